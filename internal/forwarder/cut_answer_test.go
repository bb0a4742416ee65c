package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/forwarder"
	"github.com/oleanderpick/oleanderpick/pkg/joiner"
)

// cutServer writes an answer to each request, and ends the connection behind it.
type cutServer struct {
	address string
	script  atomic.Pointer[cutScript]
}

// cutScript is what a cutServer does.
type cutScript struct {
	answers map[string]string // by method; others get none
	isReset bool
}

func newCutServer(t *testing.T) *cutServer {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &cutServer{address: (&url.URL{Scheme: "http", Host: listener.Addr().String()}).String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			isReset := false
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				script := s.script.Load()
				_, _ = io.WriteString(conn, script.answers[request.Method])
				isReset = script.isReset
			}
			if socket, ok := conn.(*net.TCPConn); ok && isReset {
				_ = socket.SetLinger(0)
			}
			_ = conn.Close()
		}
	}()

	return s
}

// cutFormats are forms of an answer with a body, in hexadecimal or decimal length.
var cutFormats = map[string]struct {
	text       string
	isUnframed bool // only the end of the connection ends the body
}{
	"length":           {"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", false},
	"HTTP/1.0":         {"HTTP/1.0 200 OK\r\nContent-Length: %d\r\n\r\n%s", false},
	"interim answer":   {"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", false},
	"chunks, trailer":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x;a=b\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n", false},
	"to the end":       {"HTTP/1.1 200 OK\r\nX-Length: %d\r\n\r\n%s", true},
	"several to close": {"HTTP/1.0 201 Made\nX-Length: %d\nConnection: close\n\n%s", true},
}

// Guards against a call whose answer ended within its head, its body or a trailer looking complete.
func TestPlainAnswerThatIsCutAnywhereIsAFailure(t *testing.T) {
	const body = "whole body"
	for name, format := range cutFormats {
		t.Run(name, func(t *testing.T) {
			answer := fmt.Sprintf(format.text, len(body), body)
			server := newCutServer(t)
			for cut := range len(answer) + 1 {
				for _, method := range []string{http.MethodPost, http.MethodGet} {
					for _, isReset := range []bool{false, true} {
						server.script.Store(&cutScript{map[string]string{method: answer[:cut]}, isReset})
						forward := forwarder.New(joiner.DefaultSettings())
						received, failure := forward.RunPlainCall(t.Context(), forwarder.PlainCall{Address: server.address, Method: method, PathAndQuery: "/", Header: http.Header{}, Body: []byte("x")})
						forward.Close()
						switch isWhole := cut == len(answer); {
						case isWhole && !isReset:
							assert.Assert(t, failure == nil && string(received.Body) == body)
						case failure != nil:
							assert.Assert(t, !failure.StartStatus.IsNotStarted(), "cut at %d", cut)
						case format.isUnframed && !isReset:
							assert.Assert(t, len(received.Body) > 0, "cut at %d: no body looks whole", cut)
						default:
							assert.Assert(t, isWhole && !format.isUnframed, "cut at %d, reset %v: %q looks whole", cut, isReset, received.Body)
						}
					}
				}
			}
		})
	}
}

// Guards against a complete answer that has no body counting as one that was cut off.
func TestPlainAnswerThatHasNoBodyIsWhole(t *testing.T) {
	for method, answer := range map[string]string{
		http.MethodHead: "HTTP/1.1 200 OK\r\nA: b\r\n\r\n", http.MethodDelete: "HTTP/1.1 204 Gone\r\nA: b\r\n\r\n",
		http.MethodPut: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", http.MethodPost: "HTTP/1.1 500 Failed\r\nA: b\r\n\r\n",
	} {
		server := newCutServer(t)
		server.script.Store(&cutScript{answers: map[string]string{method: answer}})
		forward := forwarder.New(joiner.DefaultSettings())
		_, failure := forward.RunPlainCall(t.Context(), forwarder.PlainCall{Address: server.address, Method: method, PathAndQuery: "/", Header: http.Header{}})
		assert.Assert(t, failure == nil, method)
		forward.Close()
	}
}

// collectedChunks is a ChunkWriter that keeps the chunks.
type collectedChunks []string

func (c *collectedChunks) WriteChunk(data []byte) error { *c = append(*c, string(data)); return nil }
func (c *collectedChunks) Flush() error                 { return nil }

// Guards against a stream looking complete without all its chunks, after the engine's answer or the one with which
// the stream went on ended within its head or a chunk.
func TestStreamThatIsCutAnywhereIsNotComplete(t *testing.T) {
	const last = "id: 2\ndata: [DONE]\n\n"
	for name, format := range cutFormats {
		text := strings.Replace(format.text, "201 Made", "200 OK", 1)
		stream := "id: 0\ndata: a\n\nid: 1\ndata: b\n\n" + last
		answer := fmt.Sprintf(text, len(stream), stream)
		end := strings.Index(answer, last) + len(last)
		for method, other := range map[string]string{http.MethodPost: "", http.MethodGet: answer[:end-len(last)-1]} {
			t.Run(name+" "+method, func(t *testing.T) {
				server := newCutServer(t)
				for cut := range len(answer) + 1 {
					server.script.Store(&cutScript{answers: map[string]string{http.MethodPost: other, method: answer[:cut]}})
					forward := forwarder.New(joiner.DefaultSettings())
					chunks := collectedChunks{}
					result := forward.RunModelCall(t.Context(), forwarder.ModelCall{Address: server.address, Path: "/", StreamID: "own"}, &chunks, func(int) {})
					forward.Close()
					assert.Equal(t, result.Failure == nil, cut >= end, "cut at %d: %q", cut, chunks)
					if result.Failure == nil {
						assert.DeepEqual(t, chunks, collectedChunks{"a", "b"})
					}
				}
			})
		}
	}
}
