// Package sse reads streams of server-sent events whose ids are numbers.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/go-faster/errors"
)

// MaxLineBytes is the maximum length in bytes of a line that Reader accepts, with its
// line break. RawReader refuses a longer event if one of its lines exceeds the read buffer.
const MaxLineBytes = 64 << 10

// ErrMalformed means that a stream has an id that is not a number or a line that is too
// long.
var ErrMalformed = errors.New("malformed event stream")

// Event holds the fields of one event.
type Event struct {
	// ID is the number in the event's id field, or -1 if there is none.
	ID int
	// Type is the event field, empty if there is none. It is valid until the next call of
	// Next.
	Type []byte
	// Data is the data field, with the lines of several joined by line breaks. It is
	// valid until the next call of Next.
	Data []byte
}

// Reader reads events and parses their fields. It is not safe for concurrent use.
type Reader struct {
	buffered  *bufio.Reader
	data      []byte
	eventType []byte
	fields    fieldSet
}

// NewReader returns a Reader of the event stream in source.
func NewReader(source io.Reader) *Reader {
	return &Reader{buffered: bufio.NewReaderSize(source, MaxLineBytes)}
}

// NewStrictReader returns a Reader that accepts only lines of the standard fields, as
// NewStrictRawReader does.
func NewStrictReader(source io.Reader) *Reader {
	r := NewReader(source)
	r.fields = newFieldSet(nil)

	return r
}

// HasBuffered reports whether bytes of the next event are buffered already.
func (r *Reader) HasBuffered() bool {
	return r.buffered.Buffered() > 0
}

// Next returns the next event; its Data is empty if it consists of comments or other
// fields. It returns io.EOF at the end of the stream, io.ErrUnexpectedEOF if the stream
// ends within an event, and ErrMalformed if an id is not a number or a line is too long.
func (r *Reader) Next() (Event, error) {
	event := Event{ID: -1}
	r.data = r.data[:0]
	r.eventType = r.eventType[:0]
	hasLines := false
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, unexpectedEOF(err, hasLines)
		}
		if len(line) == 0 {
			if !hasLines {
				continue
			}
			event.Data = r.data
			event.Type = r.eventType

			return event, nil
		}
		hasLines = true
		if err := r.fields.check(line); err != nil {
			return Event{}, err
		}
		if err := r.parseField(&event, line); err != nil {
			return Event{}, err
		}
	}
}

// unexpectedEOF returns io.ErrUnexpectedEOF instead of io.EOF if the stream ended within
// an event, and any other error unchanged.
func unexpectedEOF(err error, withinEvent bool) error {
	if withinEvent && errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}

	return err
}

// parseField adds a line to the event. Lines of unknown fields and comments are ignored.
func (r *Reader) parseField(event *Event, line []byte) error {
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
		r.eventType = append(r.eventType[:0], value...)
	}

	return nil
}

// readLine returns the next line without its line break.
func (r *Reader) readLine() ([]byte, error) {
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
