package emulator

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/oleanderpick/oleanderpick/internal/lab/responder"
)

// delivery is one connection's reading of a stream.
type delivery struct {
	stream *stream
	reader chan struct{}
	broken <-chan struct{}
	next   int // The next chunk to write.
}

// deliver writes a stream's chunks as they are made. It writes what is ready
// at once and flushes after each batch.
func (e *Emulator) deliver(w http.ResponseWriter, r *http.Request, d delivery) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", d.stream.id)
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush() // A caller that went away shows on the next write.

	epoch := e.silencer.Epoch()
	chunks := newChunks(d.stream)
	var buffer []byte
	for {
		e.mu.Lock()
		made, current := d.stream.made, d.stream.state
		e.mu.Unlock()
		if e.silencer.Epoch() != epoch {
			e.silencer.BlockIfSilent(r)
		}

		buffer = buffer[:0]
		for ; d.next < made; d.next++ {
			buffer = chunks.append(buffer, d.next)
		}
		if last := endOf(current, made); last != nil {
			_, _ = w.Write(append(buffer, last...))

			return
		}
		if len(buffer) > 0 {
			if _, err := w.Write(buffer); err != nil {
				return
			}
			_ = flusher.Flush()
		}
		select {
		case <-d.reader:
		case <-d.broken:
			responder.AbortConnection()
		case <-r.Context().Done():
			return
		}
	}
}

// endOf returns the last event of a stream in a state, or nil if there is
// more to come.
func endOf(current state, made int) []byte {
	switch current {
	case stateFinished:
		return append(strconv.AppendInt([]byte("id: "), int64(made), 10), "\ndata: [DONE]\n\n"...)
	case stateCancelled:
		return []byte("event: error\ndata: {\"error\":{\"kind\":\"canceled\"}}\n\n")
	case stateLost:
		responder.AbortConnection()
	default:
	}

	return nil
}

// chunks renders the chunks of one stream.
type chunks struct {
	head   []byte
	tail   []byte
	final  []byte // Tail of the last chunk, which says why the answer ends.
	length int
}

func newChunks(s *stream) chunks {
	// The encoding of strings cannot fail.
	id, _ := json.Marshal(s.id)
	model, _ := json.Marshal(s.model)
	object, content, after := "chat.completion.chunk", `"delta":{"content":"`, `"},`
	if !s.chat {
		object, content, after = "text_completion", `"text":"`, `",`
	}
	head := "\ndata: {\"id\":" + string(id) + `,"object":"` + object + `","model":` + string(model) +
		`,"choices":[{"index":0,` + content + " t"

	return chunks{
		head:   []byte(head),
		tail:   []byte(after + "\"finish_reason\":null}]}\n\n"),
		final:  []byte(after + `"finish_reason":"` + s.reason + "\"}]}\n\n"),
		length: s.length,
	}
}

func (c *chunks) append(buffer []byte, number int) []byte {
	buffer = append(buffer, "id: "...)
	buffer = strconv.AppendInt(buffer, int64(number), 10)
	buffer = append(buffer, c.head...)
	buffer = strconv.AppendInt(buffer, int64(number), 10)
	if number == c.length-1 {
		return append(buffer, c.final...)
	}

	return append(buffer, c.tail...)
}
