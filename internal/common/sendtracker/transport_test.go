package sendtracker_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/common/sendtracker"
)

// Guards against a client of the platform's store, of engines or of peers taking a part of an answer for the whole, which
// the other side broke off while the request was still being sent.
func TestAnswerThatEndsBeforeItsRequestIsSentIsAnError(t *testing.T) {
	const uploadBytes = 4 << 20
	for _, delay := range []time.Duration{0, 10 * time.Millisecond} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetReadBuffer(16 << 10) // So the upload does not fit in the sockets.
			if _, err := http.ReadRequest(bufio.NewReaderSize(conn, 16)); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf of the answer")
				time.Sleep(delay)
			}
			_ = conn.Close()
		}()
		client := &http.Client{Transport: sendtracker.NewTransport(&http.Transport{})}
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+listener.Addr().String(), bytes.NewReader(make([]byte, uploadBytes)))
		assert.NilError(t, err)
		response, err := client.Do(request)
		if err == nil {
			_, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		assert.Assert(t, err != nil, "an answer that was broken off looks whole")
		client.CloseIdleConnections()
		assert.Assert(t, listener.Close() == nil || errors.Is(err, net.ErrClosed))
	}
}
