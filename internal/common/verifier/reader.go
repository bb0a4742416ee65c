package verifier

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
)

// Reader reads a body that must not contain another answer. It passes the bytes on as they arrive, but
// keeps back what may be the beginning of a head until it is clear whether it is one.
type Reader struct {
	source  io.Reader
	accept  Accept
	pending []byte // read from the source and not passed on
	free    int    // bytes of pending that may be passed on
	heads   int    // heads that were parsed
	err     error  // of the source
}

// readerBytes is the size of a Reader's reads. It holds a head of MaxHeadBytes and bytes before it.
const readerBytes = 2 * MaxHeadBytes

// NewReader returns a reader of a body. Its Read returns ErrSeveralMessages in place of the first head
// that the function accepts. It parses maxHeads heads of at most MaxHeadBytes.
func NewReader(body io.Reader, accept Accept) *Reader {
	return &Reader{source: body, accept: accept, pending: make([]byte, 0, readerBytes)}
}

// Read reads into p.
func (r *Reader) Read(p []byte) (int, error) {
	for r.free == 0 {
		if r.err != nil && len(r.pending) == 0 {
			return 0, r.err
		}
		if err := r.search(); err != nil {
			return 0, err
		}
		if r.free == 0 {
			r.fill()
		}
	}
	n := copy(p, r.pending[:r.free])
	r.pending = append(r.pending[:0], r.pending[n:]...)
	r.free -= n

	return n, nil
}

// fill reads further bytes from the source.
func (r *Reader) fill() {
	n, err := r.source.Read(r.pending[len(r.pending):cap(r.pending)])
	r.pending = r.pending[:len(r.pending)+n]
	r.err = err
}

// search sets how many of the pending bytes may be passed on. It needs more of them if that is none.
func (r *Reader) search() error {
	start := bytes.Index(r.pending, []byte(startLinePrefix))
	switch {
	case r.err != nil && start < 0, r.heads >= maxHeads:
		r.free = len(r.pending)
	case start < 0:
		r.free = max(0, len(r.pending)-len(startLinePrefix)+1)
	case start > 0:
		r.free = start
	case r.err == nil && len(r.pending) < MaxHeadBytes && !hasWholeHead(r.pending):
	default:
		r.heads++
		if r.isAccepted() {
			return ErrSeveralMessages
		}
		r.free = len(startLinePrefix)
	}

	return nil
}

// hasWholeHead reports whether an empty line ends the head, or its first line shows that it is none.
func hasWholeHead(head []byte) bool {
	line, _, hasLine := bytes.Cut(head, []byte("\n"))

	return bytes.Contains(head, []byte("\n\r\n")) || bytes.Contains(head, []byte("\n\n")) || (hasLine && !startLine.Match(bytes.TrimRight(line, "\r")))
}

// isAccepted reports whether the pending bytes begin with a head that the function accepts.
func (r *Reader) isAccepted() bool {
	next, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(r.pending[:min(len(r.pending), MaxHeadBytes)])), nil)
	if err != nil {
		return false
	}
	_ = next.Body.Close()

	return r.accept(next.StatusCode, next.Header)
}
