package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/forwarder"
	"github.com/oleanderpick/oleanderpick/pkg/joiner"
)

// serveConns starts an endpoint that answers the requests on each connection, and returns its URL. The text for a
// request is the answer; empty closes the connection.
func serveConns(t *testing.T, answer func(r *http.Request, isFirst bool) string) string {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for isFirst := true; ; isFirst = false {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					text := answer(request, isFirst)
					if _, err := io.WriteString(conn, text); err != nil || text == "" {
						return
					}
				}
			}()
		}
	}()

	return "http://" + listener.Addr().String()
}

const (
	emptyAnswer  = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	emptyRefusal = "HTTP/1.1 503 Busy\r\nX-Started: false\r\nContent-Length: 0\r\n\r\n"
)

// Guards against a call or model request that ran and is reported as not run, or runs twice, since the refusal of
// another request is believed: the one to the address that its answer redirects to.
func TestRefusalAfterARedirectIsNoProof(t *testing.T) {
	for _, status := range []string{"301", "302", "303", "307", "308"} {
		t.Run(status, func(t *testing.T) {
			requests := make(chan string, 10)
			address := serveConns(t, func(r *http.Request, _ bool) string {
				requests <- r.Method + " " + r.URL.Path
				switch {
				case r.URL.Path == "/other":
					return strings.Replace(emptyRefusal, "\r\n", "\r\nX-Request-Id: own\r\n", 1)
				case r.Method == http.MethodDelete:
					return "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
				}

				return "HTTP/1.1 " + status + " Moved\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n"
			})
			forward := forwarder.New(joiner.DefaultSettings())
			defer forward.Close()
			answer, failure := forward.RunPlainCall(t.Context(), forwarder.PlainCall{Address: address, Method: http.MethodPost, PathAndQuery: "/first", Header: http.Header{}, Body: []byte("x")})
			assert.Assert(t, failure == nil, "%+v", failure)
			assert.Equal(t, answer.Header.Get("Location"), "/other")
			assert.Equal(t, len(requests), 1)
			chunks := discardedChunks(0)
			result := forward.RunModelCall(t.Context(), forwarder.ModelCall{Address: address, Path: "/first", StreamID: "own", Body: []byte("x")}, &chunks, func(int) {})
			assert.Assert(t, result.Failure != nil)
			assert.Assert(t, !result.Failure.StartStatus.IsNotStarted())
		})
	}
}

// Guards against a GET that must run once and runs twice, since net/http sends it again when the kept connection
// breaks, or since an earlier refusal on a kept connection counts for it.
func TestGetThatMustRunOnceHasAConnectionOfItsOwn(t *testing.T) {
	for name, test := range map[string]struct {
		answer         string
		wantNotStarted bool
	}{"connection breaks": {"", false}, "refusal": {emptyRefusal, true}} {
		for _, method := range []string{http.MethodGet, http.MethodHead} {
			t.Run(name+" "+method, func(t *testing.T) {
				calls := make(chan bool, 10)
				address := serveConns(t, func(r *http.Request, isFirst bool) string {
					if r.URL.Path == "/keep" {
						return emptyAnswer
					}
					calls <- isFirst

					return test.answer
				})
				forward := forwarder.New(joiner.DefaultSettings())
				defer forward.Close()
				_, failure := forward.RunPlainCall(t.Context(), forwarder.PlainCall{Address: address, Method: method, PathAndQuery: "/keep", Header: http.Header{}})
				assert.Assert(t, failure == nil)
				_, failure = forward.RunPlainCall(t.Context(), forwarder.PlainCall{Address: address, Method: method, PathAndQuery: "/once", Header: http.Header{}, MustRunOnce: true})
				assert.Assert(t, failure != nil)
				assert.Equal(t, failure.StartStatus.IsNotStarted(), test.wantNotStarted)
				assert.Equal(t, len(calls), 1)
				assert.Assert(t, <-calls, "the call has a connection of its own")
			})
		}
	}
}

// Guards against a model request that runs twice, or is reported as not run, since the refusal of its first attempt
// comes again where the answer to the second is due, on the same connection.
func TestRefusalOfTheFirstAttemptSaysNothingOfTheSecond(t *testing.T) {
	connections := make(chan bool, 10)
	address := serveConns(t, func(r *http.Request, isFirst bool) string {
		if r.Method == http.MethodDelete {
			return "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
		}
		connections <- isFirst

		return strings.Replace(emptyRefusal, "\r\n", "\r\nX-Request-Id: own-1\r\n", 1)
	})
	forward := forwarder.New(joiner.DefaultSettings())
	defer forward.Close()
	for _, test := range []struct {
		id             string
		wantNotStarted bool
	}{{"own-1", true}, {"own-2", false}} {
		chunks := discardedChunks(0)
		result := forward.RunModelCall(t.Context(), forwarder.ModelCall{Address: address, Path: "/", StreamID: test.id, Body: []byte("x")}, &chunks, func(int) {})
		assert.Assert(t, result.Failure != nil)
		assert.Equal(t, result.Failure.StartStatus.IsNotStarted(), test.wantNotStarted, test.id)
	}
	assert.Assert(t, <-connections && !<-connections, "both are sent on one connection")
}
