// Package sse reads server-sent events that carry a number each.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/go-faster/errors"
)

// MaxLine is the longest line of an event in bytes.
const MaxLine = 64 << 10

// ErrMalformed is a stream that is not numbered server-sent events.
var ErrMalformed = errors.New("malformed event stream")

// Event is one event.
type Event struct {
	// ID is the event's id field; -1 when it has none.
	ID int
	// Name is the event field; nil for the usual message.
	Name []byte
	// Data is the data field. It is valid until the next call of Next.
	Data []byte
}

// Reader reads events. It is not safe for concurrent use.
type Reader struct {
	buffered *bufio.Reader
	data     []byte
	name     []byte
}

// NewReader returns a reader of the events in source.
func NewReader(source io.Reader) *Reader {
	return &Reader{buffered: bufio.NewReaderSize(source, MaxLine)}
}

// HasBuffered reports whether more bytes can be read without waiting.
func (r *Reader) HasBuffered() bool {
	return r.buffered.Buffered() > 0
}

// Next returns the next event that has data. It returns io.EOF at the end of
// the stream and io.ErrUnexpectedEOF when the stream ends within an event.
func (r *Reader) Next() (Event, error) {
	event := Event{ID: -1}
	r.data = r.data[:0]
	r.name = r.name[:0]
	begun := false
	for {
		line, err := r.line()
		if err != nil {
			return Event{}, ended(err, begun)
		}
		if len(line) == 0 {
			if !begun {
				continue
			}
			event.Data = r.data
			event.Name = r.name

			return event, nil
		}
		begun = true
		if err := r.field(&event, line); err != nil {
			return Event{}, err
		}
	}
}

func ended(err error, begun bool) error {
	if begun && errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}

	return err
}

func (r *Reader) field(event *Event, line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		number, err := strconv.Atoi(string(value))
		if err != nil {
			return errors.Wrapf(ErrMalformed, "id %q", value)
		}
		event.ID = number
	case "data":
		if len(r.data) > 0 {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
	case "event":
		r.name = append(r.name[:0], value...)
	}

	return nil
}

func (r *Reader) line() ([]byte, error) {
	line, err := r.buffered.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, errors.Wrap(ErrMalformed, "line too long")
	}
	if err != nil {
		if len(line) > 0 && errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}

		return nil, err
	}

	return bytes.TrimRight(line, "\r\n"), nil
}
