package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/go-faster/errors"
)

// rawBuffer is the bytes read at once; events of a few tokens are far smaller.
const rawBuffer = 2 << 10

// RawEvent is one event as it came.
type RawEvent struct {
	// ID is the event's id field; -1 when it has none.
	ID int64
	// Bytes are valid until the next call of Next.
	Bytes []byte
}

// RawReader reads events without changing them. It is not safe for concurrent
// use.
type RawReader struct {
	buffered *bufio.Reader
	event    []byte
}

// NewRawReader returns a reader of the events in source.
func NewRawReader(source io.Reader) *RawReader {
	return &RawReader{buffered: bufio.NewReaderSize(source, rawBuffer)}
}

// HasBuffered reports whether more bytes can be read without waiting.
func (r *RawReader) HasBuffered() bool {
	return r.buffered.Buffered() > 0
}

// Next returns the next whole event. It returns io.EOF at the end of the
// stream and io.ErrUnexpectedEOF when the stream ends within an event.
func (r *RawReader) Next() (RawEvent, error) {
	event := RawEvent{ID: -1}
	r.event = r.event[:0]
	for {
		start := len(r.event)
		if err := r.line(); err != nil {
			return RawEvent{}, ended(err, len(r.event) > 0)
		}
		line := bytes.TrimRight(r.event[start:], "\r\n")
		if len(line) == 0 {
			event.Bytes = r.event

			return event, nil
		}
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		number, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			return RawEvent{}, errors.Wrapf(ErrMalformed, "id %q", value)
		}
		event.ID = number
	}
}

// line appends a line with its end to the event.
func (r *RawReader) line() error {
	for {
		piece, err := r.buffered.ReadSlice('\n')
		r.event = append(r.event, piece...)
		switch {
		case err == nil:
			return nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return err
		case len(r.event) > MaxLine:
			return errors.Wrap(ErrMalformed, "event too long")
		}
	}
}
