package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// raw registers an endpoint that handles its connections itself.
func (w *world) raw(handle func(net.Conn, *bufio.Reader)) {
	w.confirm()
	w.network.ServeConn("raw", func(conn net.Conn) { handle(conn, bufio.NewReader(conn)) })
	w.control.ApplyListing(w.boot(), []registrar.Endpoint{{ID: "raw", Service: "api", Address: "raw:80", Slots: 6}})
}

// next reads a request; nil: the connection ended.
func (w *world) next(reader *bufio.Reader) *http.Request {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, "raw")

	return request
}

func answer(conn net.Conn, id, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// An answer too many, at once or late, is never given to the next request.
func TestExtraAnswersBelongToNobody(t *testing.T) {
	for name, late := range map[string]time.Duration{"at once": 0, "late": 500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				w.raw(func(conn net.Conn, reader *bufio.Reader) {
					for request := w.next(reader); request != nil; request = w.next(reader) {
						answer(conn, request.Header.Get("X-Id"), "own")
						time.Sleep(late)
						answer(conn, "of before", "extra")
					}
				})
				for i := range 3 {
					request := w.request(http.MethodGet, "/often/x", "")
					request.Header.Set("X-Id", fmt.Sprint("r", i))
					response, body, err := w.send(request)
					assert.NilError(t, err)
					if response.StatusCode == http.StatusOK {
						assert.Equal(t, body, "own")
						assert.Equal(t, response.Header.Get("X-Id"), fmt.Sprint("r", i))
					}
				}
			})
		})
	}
}

// An answer without a length that ends with its connection is whole.
func TestUnframedAnswerIsPassedOn(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		w.raw(func(conn net.Conn, reader *bufio.Reader) {
			request := w.next(reader)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\nto the end", request.Header.Get("X-Id"))
			_ = conn.Close()
		})
		response, body, err := w.send(w.request(http.MethodPost, "/once/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, body, "to the end")
	})
}

func TestBytesThatAreNoAnswer(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		w.raw(func(conn net.Conn, reader *bufio.Reader) {
			if w.next(reader) != nil {
				_, _ = io.WriteString(conn, "what is this\r\n\r\n")
			}
		})
		response, _, err := w.send(w.request(http.MethodPost, "/once/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusBadGateway)
		assert.Equal(t, w.arrived(), 1)
	})
}

// An endpoint that answers before it has read the body gets nothing else where
// the rest of the body is due: the connection is not used again.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		connections := 0
		w.raw(func(conn net.Conn, _ *bufio.Reader) {
			connections++
			reader := bufio.NewReaderSize(conn, 16) // Leaves most of the body on its way.
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			answer(conn, request.Header.Get("X-Id"), "early")
			time.Sleep(time.Second)
			rest, _ := io.ReadAll(reader)
			assert.Assert(t, !strings.Contains(string(rest), "HTTP/1.1"), "another request where the body is due")
		})
		for range 2 {
			response, body, err := w.send(w.request(http.MethodPost, "/once/x", strings.Repeat("x", 900)))
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusOK)
			assert.Equal(t, body, "early")
		}
		assert.Equal(t, connections, 2)
	})
}

// What a caller hides in a body stays a body, however the body is framed.
func TestSmuggledRequestStaysABody(t *testing.T) {
	const hidden = "POST /once/hidden HTTP/1.1\r\nHost: front\r\nX-Id: evil\r\nContent-Length: 0\r\n\r\n"
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden)
	for name, text := range map[string]string{
		"sized":             fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(hidden), hidden),
		"chunked":           "Transfer-Encoding: chunked\r\n\r\n" + chunked,
		"sized and chunked": fmt.Sprintf("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n%s", chunked),
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				var paths []string
				w.endpoints(func(_ http.ResponseWriter, request *http.Request) {
					paths = append(paths, request.RequestURI)
					body, _ := io.ReadAll(request.Body)
					assert.Equal(t, string(body), hidden)
					assert.Equal(t, request.ContentLength, int64(len(hidden)))
				})
				conn, err := w.network.Dial(t.Context(), "tcp", "front:80")
				assert.NilError(t, err)
				_, err = io.WriteString(conn, "POST /once/x HTTP/1.1\r\nHost: front\r\nX-Id: r1\r\nX-Key: key\r\n"+text)
				assert.NilError(t, err)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				assert.NilError(t, err)
				assert.NilError(t, response.Body.Close())
				assert.NilError(t, conn.Close())
				assert.DeepEqual(t, paths, []string{"/once/x"})
			})
		})
	}
}

// A caller that does not finish its body is not waited for beyond the route's
// timeout, and nothing of its request reaches an endpoint.
func TestUnfinishedBodyIsNotWaitedFor(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		w.endpoints(ok)
		conn, err := w.network.Dial(t.Context(), "tcp", "front:80")
		assert.NilError(t, err)
		begun := time.Now()
		_, err = io.WriteString(conn, "POST /once/x HTTP/1.1\r\nHost: front\r\nX-Id: r1\r\nX-Key: key\r\nContent-Length: 500\r\n\r\nsome")
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
		assert.Assert(t, time.Since(begun) < 3500*time.Millisecond)
		assert.Equal(t, w.arrived(), 0)
		assert.NilError(t, response.Body.Close())
		assert.NilError(t, conn.Close())
	})
}

func TestWholeURLAsTarget(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		w.endpoints(ok)
		conn, err := w.network.Dial(t.Context(), "tcp", "front:80")
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "GET http://front/often/x?y=1 HTTP/1.1\r\nHost: front\r\nX-Id: r1\r\nX-Key: key\r\n\r\n")
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "GET front /often/x?y=1 ")
		assert.NilError(t, conn.Close())
	})
}
