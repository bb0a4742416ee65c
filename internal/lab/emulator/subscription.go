package emulator

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/oleanderpick/oleanderpick/internal/lab/responder"
)

// subscription is the subscription of one connection to a stream.
type subscription struct {
	stream          *stream
	updates         chan struct{} // Signals new chunks or a change of state.
	disconnect      <-chan struct{}
	nextChunkNumber int // Number of the next chunk to write.
}

// writeStream writes the chunks of a stream as they are generated. It writes all
// chunks that are ready in one call and then flushes.
func (e *Emulator) writeStream(w http.ResponseWriter, r *http.Request, sub subscription) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", sub.stream.id)
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush() // If the client is gone, the next write fails.

	silenceCount := e.silencer.SilenceCount()
	encoder := newChunkEncoder(sub.stream)
	var buffer []byte
	for {
		e.mu.Lock()
		generated, state := sub.stream.generatedTokens, sub.stream.state
		e.mu.Unlock()
		if e.silencer.SilenceCount() != silenceCount {
			e.silencer.BlockIfSilent(r)
		}

		buffer = buffer[:0]
		for ; sub.nextChunkNumber < generated; sub.nextChunkNumber++ {
			buffer = encoder.appendChunk(buffer, sub.nextChunkNumber)
		}
		if final := finalEvent(state, generated); final != nil {
			_, _ = w.Write(append(buffer, final...))

			return
		}
		if len(buffer) > 0 {
			if _, err := w.Write(buffer); err != nil {
				return
			}
			_ = flusher.Flush()
		}
		select {
		case <-sub.updates:
		case <-sub.disconnect:
			responder.AbortConnection()
		case <-r.Context().Done():
			return
		}
	}
}

// finalEvent returns the event that ends a stream in the given state, or nil if
// more is to come. A lost stream breaks the connection instead.
func finalEvent(state streamState, generated int) []byte {
	switch state {
	case stateFinished:
		return append(strconv.AppendInt([]byte("id: "), int64(generated), 10), "\ndata: [DONE]\n\n"...)
	case stateCancelled:
		return []byte("event: error\ndata: {\"error\":{\"kind\":\"canceled\"}}\n\n")
	case stateLost:
		responder.AbortConnection()
	default:
	}

	return nil
}

// chunkEncoder encodes the chunks of one stream as server-sent events. Between head
// and tail, a chunk differs only by its number.
type chunkEncoder struct {
	head       []byte
	tail       []byte
	lastTail   []byte // Tail of the last chunk, with the finish reason.
	chunkCount int
}

func newChunkEncoder(s *stream) chunkEncoder {
	// Encoding a string cannot fail.
	id, _ := json.Marshal(s.id)
	model, _ := json.Marshal(s.model)
	object, opening, closing := "chat.completion.chunk", `"delta":{"content":"`, `"},`
	if !s.isChat {
		object, opening, closing = "text_completion", `"text":"`, `",`
	}
	head := "\ndata: {\"id\":" + string(id) + `,"object":"` + object + `","model":` + string(model) +
		`,"choices":[{"index":0,` + opening + " t"

	return chunkEncoder{
		head:       []byte(head),
		tail:       []byte(closing + "\"finish_reason\":null}]}\n\n"),
		lastTail:   []byte(closing + `"finish_reason":"` + s.finishReason + "\"}]}\n\n"),
		chunkCount: s.answerTokens,
	}
}

// appendChunk appends the encoded chunk with the given number to the buffer.
func (c *chunkEncoder) appendChunk(buffer []byte, number int) []byte {
	buffer = append(buffer, "id: "...)
	buffer = strconv.AppendInt(buffer, int64(number), 10)
	buffer = append(buffer, c.head...)
	buffer = strconv.AppendInt(buffer, int64(number), 10)
	if number == c.chunkCount-1 {
		return append(buffer, c.lastTail...)
	}

	return append(buffer, c.tail...)
}
