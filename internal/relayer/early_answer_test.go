package relayer_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/connector"
	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/internal/relayer"
	"github.com/oleanderpick/oleanderpick/pkg/matcher"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// uploadBytes is more than the sockets of a connection hold, so that an endpoint which reads the head only
// closes the connection while the upload is being sent.
const uploadBytes = 4 << 20

// serveOnSockets returns the address of an instance in front of an endpoint on real sockets. The endpoint reads
// the head of each request and leaves the rest to the function.
func serveOnSockets(t *testing.T, handle func(conn net.Conn, id string)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetReadBuffer(16 << 10) // So the upload does not fit in the sockets.
			go func() {
				request, err := http.ReadRequest(bufio.NewReaderSize(conn, 16)) // It reads as little of the body as possible.
				if err == nil {
					handle(conn, request.Header.Get("X-Id"))
				}
				_ = conn.Close()
			}()
		}
	}()
	started := time.Now()
	dispatch := dispatcher.New(dispatcher.Settings{KeyLeaseDuration: time.Hour}, dispatcher.Clock{Now: time.Now, SinceBoot: func() time.Duration { return time.Since(started) }}, hclog.NewNullLogger())
	configuration := testConfiguration()
	configuration.Limits.MaxBodyBytes = uploadBytes
	for i := range configuration.Routes {
		configuration.Routes[i].Timeout = time.Minute // The upload takes as long as it takes.
	}
	dispatch.ApplyConfiguration(0, matcher.New(configuration), dispatcher.StoredConfiguration{})
	dispatch.ApplyListing(0, 0, []registrar.Endpoint{{ID: "raw", Service: "api", Address: listener.Addr().String(), Slots: 6}})
	dial := (&net.Dialer{}).DialContext
	instance := relayer.New(testCodec{}, dispatch, connector.New(connector.DefaultSettings(), dial), connector.New(connector.DefaultSettings(), dial), meter.New(), hclog.NewNullLogger(), func() uint64 { return 0 })
	instance.SetMemory(1 << 30)
	server := httptest.NewServer(instance)
	t.Cleanup(server.Close)

	return server.URL
}

// upload sends a request with a long body and reports whether the caller gets an answer of status 200 that is complete.
func upload(t *testing.T, url, path string) (isComplete bool, status int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+path, bytes.NewReader(make([]byte, uploadBytes)))
	assert.NilError(t, err)
	request.Host = "front"
	request.Header.Set("X-Id", "r1")
	request.Header.Set("X-Key", "key")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false, 0
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)

	return err == nil && response.StatusCode == http.StatusOK, response.StatusCode
}

// Guards against an answer without a length that an endpoint broke off by closing its connection while the upload
// was still being sent: the caller took the part that came for the whole answer.
func TestAnswerBeforeTheUploadIsReadIsNotComplete(t *testing.T) {
	heads := map[string]string{"answer": "", "stream": "Content-Type: text/event-stream\r\n"}
	bodies := map[string]string{"answer": "half of the answer", "stream": eventsText(1)}
	for kind, head := range heads {
		for _, path := range []string{"/once/x", "/often/x"} {
			for _, delay := range []time.Duration{0, 10 * time.Millisecond, time.Second} {
				t.Run(fmt.Sprint(kind, path, delay), func(t *testing.T) {
					t.Parallel()
					url := serveOnSockets(t, func(conn net.Conn, id string) {
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%s\r\n%s", id, head, bodies[kind])
						time.Sleep(delay)
					})
					isComplete, status := upload(t, url, path)
					assert.Assert(t, !isComplete, "status %d", status)
				})
			}
		}
	}
}

// Guards against taking every answer that ends with its connection for one that was broken off.
func TestAnswerAfterTheUploadIsReadIsComplete(t *testing.T) {
	url := serveOnSockets(t, func(conn net.Conn, id string) {
		_, _ = io.CopyN(io.Discard, conn, uploadBytes-16) // The reader of the head has some of the rest.
		_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		_, _ = io.Copy(io.Discard, conn)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\nthe whole answer", id)
	})
	isComplete, status := upload(t, url, "/once/x")
	assert.Assert(t, isComplete, "status %d", status)
}
