package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/go-faster/errors"
)

// rawBufferSize is the size in bytes of a RawReader's read buffer. Events of a few tokens
// are far smaller.
const rawBufferSize = 2 << 10

// RawEvent is one event with its bytes unchanged.
type RawEvent struct {
	// ID is the number in the event's id field, or -1 if there is none.
	ID int64
	// Bytes is the whole event with the empty line at its end. It is valid until the next
	// call of Next.
	Bytes []byte
}

// RawReader reads whole events and keeps their bytes as they are. It is not safe for
// concurrent use.
type RawReader struct {
	buffered *bufio.Reader
	event    []byte
	fields   fieldSet
}

// NewRawReader returns a RawReader of the event stream in source.
func NewRawReader(source io.Reader) *RawReader {
	return &RawReader{buffered: bufio.NewReaderSize(source, rawBufferSize)}
}

// NewStrictRawReader returns a RawReader that accepts only lines of the standard fields and of the
// given ones. It is for streams whose end only the end of their connection shows: a next answer that
// stands behind such a stream must not be taken for an event.
func NewStrictRawReader(source io.Reader, fields ...string) *RawReader {
	r := NewRawReader(source)
	r.fields = newFieldSet(fields)

	return r
}

// HasBuffered reports whether bytes of the next event are buffered already.
func (r *RawReader) HasBuffered() bool {
	return r.buffered.Buffered() > 0
}

// Next returns the next event. It returns io.EOF at the end of the stream,
// io.ErrUnexpectedEOF if the stream ends within an event, and ErrMalformed if an id is
// not a number, the event is too long or a strict reader does not accept a line.
func (r *RawReader) Next() (RawEvent, error) {
	event := RawEvent{ID: -1}
	r.event = r.event[:0]
	for {
		lineStart := len(r.event)
		if err := r.appendLine(); err != nil {
			return RawEvent{}, unexpectedEOF(err, len(r.event) > 0)
		}
		line := bytes.TrimRight(r.event[lineStart:], "\r\n")
		if len(line) == 0 {
			event.Bytes = r.event

			return event, nil
		}
		if err := r.fields.check(line); err != nil {
			return RawEvent{}, err
		}
		value, isID := bytes.CutPrefix(line, []byte("id:"))
		if !isID {
			continue
		}
		number, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			return RawEvent{}, errors.Wrapf(ErrMalformed, "id %q", value)
		}
		event.ID = number
	}
}

// appendLine reads a line and appends it to the event with its line break. It returns
// ErrMalformed once the event is longer than MaxLineBytes.
func (r *RawReader) appendLine() error {
	for {
		fragment, err := r.buffered.ReadSlice('\n')
		r.event = append(r.event, fragment...)
		switch {
		case len(r.event) > MaxLineBytes:
			return errors.Wrap(ErrMalformed, "event too long")
		case err == nil:
			return nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return err
		}
	}
}
