package sendtracker_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/internal/common/sendtracker"
)

// sink is a connection that takes a number of bytes and then fails.
type sink struct {
	net.Conn

	capacity int
}

func (s *sink) Write(b []byte) (int, error) {
	n := min(len(b), s.capacity)
	s.capacity -= n
	if n < len(b) {
		return n, errors.New("reset")
	}

	return n, nil
}

// drawRequest returns the bytes of a request with a body that has a length or comes in chunks.
func drawRequest(t *rapid.T) []byte {
	size := rapid.IntRange(0, 9000).Draw(t, "body bytes")
	// The body holds what ends a head and chunks.
	var body io.Reader = bytes.NewReader(bytes.Repeat([]byte("0\r\n\r\n"), size/5))
	if rapid.Bool().Draw(t, "in chunks") {
		body = io.NopCloser(iotest.OneByteReader(io.LimitReader(body, 50)))
	}
	request, err := http.NewRequest(http.MethodPost, "http://e/x", body) //nolint:noctx // It is not sent.
	assert.NilError(t, err)
	for n := range rapid.IntRange(0, 20).Draw(t, "fields") {
		request.Header.Set(fmt.Sprint("X-Field-", n), "value")
	}
	var written bytes.Buffer
	assert.NilError(t, request.Write(&written))

	return written.Bytes()
}

// Guards against a request of which a part is missing counting as sent, and against one that is whole not doing so,
// whatever pieces it is written in.
func TestRequestsCountAsSentOnlyWhenWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := make([]byte, 0, 16<<10)
		ends := map[int]bool{0: true}
		for range rapid.IntRange(1, 3).Draw(t, "requests") {
			all = append(all, drawRequest(t)...)
			ends[len(all)] = true
		}
		capacity := rapid.IntRange(0, len(all)+1).Draw(t, "bytes before an error")
		conn := sendtracker.New(&sink{capacity: capacity})
		for sent := 0; sent < len(all); {
			piece := rapid.IntRange(1, len(all)-sent).Draw(t, "piece")
			_, err := conn.Write(all[sent : sent+piece])
			sent += piece
			assert.Equal(t, conn.HasSentAll(), ends[sent] && sent <= capacity, "after %d bytes", sent)
			if err != nil {
				return
			}
		}
	})
}
