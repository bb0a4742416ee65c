package relayer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/connector"
	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/lab/piper"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/internal/relayer"
	"github.com/oleanderpick/oleanderpick/pkg/matcher"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

// codec is a wire of the tests' own.
type codec struct{}

func (codec) Envelope(header http.Header) relayer.Envelope {
	patience, _ := strconv.Atoi(header.Get("X-Patience"))

	return relayer.Envelope{
		ID: header.Get("X-Id"), Key: header.Get("X-Key"), After: header.Get("X-After"),
		Patience: time.Duration(patience) * time.Millisecond,
	}
}

func (codec) Outgoing(header http.Header, order relayer.Order) http.Header {
	outgoing := header.Clone()
	relayer.StripConnection(outgoing)
	outgoing.Del("X-Key")
	outgoing.Set("X-Endpoint", order.Endpoint)
	outgoing.Set("X-Left", order.Remaining.String())
	outgoing.Set("X-Workspace", order.Workspace)
	if order.After != "" {
		outgoing.Set("X-After", order.After)
	}

	return outgoing
}

func (codec) Statement(status int, header http.Header) relayer.Statement {
	return relayer.Statement{
		ID: header.Get("X-Id"), NotRun: header.Get("X-Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest,
	}
}

// routes of the tests, one for each kind of request.
var routes = []matcher.Route{
	{Name: "once", Prefix: "/once/", Kind: matcher.NonIdempotent, Tries: 1},
	{Name: "often", Prefix: "/often/", Kind: matcher.Idempotent, Tries: 2},
	{Name: "stream", Prefix: "/stream/", Kind: matcher.Streaming, Tries: 1},
	{Name: "resume", Prefix: "/resume/", Kind: matcher.Streaming, Tries: 2, Resumable: true},
	{Name: "public", Prefix: "/public/", Kind: matcher.Idempotent, Tries: 1, Public: true},
}

func configuration() matcher.Configuration {
	c := matcher.Configuration{
		Number:     1,
		Services:   []matcher.Service{{Name: "api"}},
		Workspaces: []matcher.Workspace{{Name: "clinic", Keys: []string{"key"}}},
		Limits:     matcher.Limits{BodyBytes: 1000},
	}
	for _, route := range routes {
		route.Host, route.Timeout = "front", 3*time.Second
		route.Shares = []matcher.Share{{Service: "api", Weight: 1}}
		c.Routes = append(c.Routes, route)
	}

	return c
}

// world is one instance between callers and endpoints.
type world struct {
	t       *testing.T
	network *piper.Network
	control *dispatcher.Dispatcher
	relayer *relayer.Relayer
	boot    func() time.Duration
	skipped time.Duration // suspended, which only the boot clock counts

	mu       sync.Mutex
	arrivals []string // endpoints that requests reached
}

const keyLease = 5 * time.Second

// play runs a test in virtual time.
func play(t *testing.T, test func(*testing.T, *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, network: piper.New()}
		begun := time.Now()
		w.boot = func() time.Duration { return time.Since(begun) + w.skipped + time.Hour }
		w.control = dispatcher.New(dispatcher.Settings{
			KeyLease: keyLease, Return: 2 * time.Second,
			Retries: retrier.WindowSettings{Length: 10 * time.Second, Share: 0.2, Burst: 50},
		}, dispatcher.Clock{Now: time.Now, Boot: func() time.Duration { return w.boot() }}, hclog.NewNullLogger())
		links := connector.New(connector.DefaultSettings(), w.network.Dial)
		w.relayer = relayer.New(codec{}, w.control, links, meter.New(), hclog.NewNullLogger(), func() uint64 { return 0 })
		w.network.Serve("front", w.relayer)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = w.control.Serve(ctx) }()
		test(t, w)
		links.Close()
		w.network.Close()
		cancel()
		<-w.control.Done()
		time.Sleep(time.Minute)
	})
}

// confirm puts the configuration in force.
func (w *world) confirm() {
	w.control.Confirmed(w.boot(), matcher.New(configuration()), dispatcher.Source{})
}

// endpoints registers handlers as endpoints e0, e1, …
func (w *world) endpoints(handlers ...http.HandlerFunc) {
	w.confirm()
	var registered []registrar.Endpoint
	for i, handler := range handlers {
		id := fmt.Sprintf("e%d", i)
		registered = append(registered, registrar.Endpoint{ID: id, Service: "api", Address: id + ":80", Slots: 6})
		w.network.Serve(id, http.HandlerFunc(func(answer http.ResponseWriter, request *http.Request) {
			w.mu.Lock()
			w.arrivals = append(w.arrivals, id)
			w.mu.Unlock()
			answer.Header().Set("X-Id", request.Header.Get("X-Id"))
			answer.Header().Set("X-Stamp", "stamp-"+id)
			handler(answer, request)
		}))
	}
	w.control.Listed(w.boot(), registered)
}

func (w *world) arrived() int {
	w.mu.Lock()
	defer w.mu.Unlock()

	return len(w.arrivals)
}

// request makes a caller's request.
func (w *world) request(method, path, body string) *http.Request {
	request, err := http.NewRequestWithContext(w.t.Context(), method, "http://front"+path, strings.NewReader(body))
	assert.NilError(w.t, err)
	request.Header.Set("X-Id", "r1")
	request.Header.Set("X-Key", "key")

	return request
}

// send sends a caller's request and reads the answer.
func (w *world) send(request *http.Request) (*http.Response, string, error) {
	client := w.network.Client()
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)

	return response, string(body), err
}

func ok(answer http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	_, _ = fmt.Fprintf(answer, "%s %s %s %s", request.Method, request.Host, request.RequestURI, body)
}

func crash(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func status(code int, notRun bool) http.HandlerFunc {
	return func(answer http.ResponseWriter, _ *http.Request) {
		if notRun {
			answer.Header().Set("X-Not-Run", "1")
		}
		answer.WriteHeader(code)
		_, _ = io.WriteString(answer, "own words")
	}
}

func truncated(answer http.ResponseWriter, _ *http.Request) {
	answer.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(answer, "half")
	panic(http.ErrAbortHandler)
}

func encoded(answer http.ResponseWriter, _ *http.Request) {
	answer.Header().Set("Content-Encoding", "br")
	_, _ = io.WriteString(answer, "not the body")
}

func otherID(answer http.ResponseWriter, _ *http.Request) {
	answer.Header().Set("X-Id", "another")
	_, _ = io.WriteString(answer, "another's answer")
}

func TestRequestsPassUnchanged(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		var seen http.Header
		w.endpoints(func(answer http.ResponseWriter, request *http.Request) {
			seen = request.Header
			ok(answer, request)
		})
		request := w.request(http.MethodPost, "/once/a%2Fb/../c?x=1&y=%20", "body")
		request.Header.Set("X-Unknown", "kept")
		response, body, err := w.send(request)
		assert.NilError(t, err)
		assert.Equal(t, body, "POST front /once/a%2Fb/../c?x=1&y=%20 body")
		assert.Equal(t, response.Header.Get("X-Stamp"), "stamp-e0")
		assert.Equal(t, seen.Get("X-Unknown"), "kept")
		assert.Equal(t, seen.Get("X-Key"), "", "the key is not shown to endpoints")
		assert.Equal(t, seen.Get("X-Workspace"), "clinic")
		assert.Equal(t, seen.Get("X-Endpoint"), "e0")
		assert.Equal(t, seen.Get("X-Left"), "3s")
	})
}

// What a caller is told, and how often endpoints are asked, by kind of request
// and of failure. A request that must run once reaches one endpoint, unless that
// one says that it did not run it; 503 is told only of what did not run.
func TestFailuresByKindOfRequest(t *testing.T) {
	for name, test := range map[string]struct {
		path     string
		first    http.HandlerFunc
		status   int
		arrivals int
	}{
		"crash, once":              {"/once/x", crash, http.StatusBadGateway, 1},
		"crash, often":             {"/often/x", crash, http.StatusOK, 2},
		"crash, stream":            {"/stream/x", crash, http.StatusBadGateway, 1},
		"crash, resumable":         {"/resume/x", crash, http.StatusOK, 2},
		"truncated, once":          {"/once/x", truncated, http.StatusBadGateway, 1},
		"truncated, often":         {"/often/x", truncated, http.StatusOK, 2},
		"encoded, once":            {"/once/x", encoded, http.StatusBadGateway, 1},
		"other's answer, once":     {"/once/x", otherID, http.StatusBadGateway, 1},
		"other's answer, often":    {"/often/x", otherID, http.StatusOK, 2},
		"marked refusal, once":     {"/once/x", status(http.StatusServiceUnavailable, true), http.StatusOK, 2},
		"unmarked refusal, once":   {"/once/x", status(http.StatusServiceUnavailable, false), http.StatusBadGateway, 1},
		"unmarked 429, once":       {"/once/x", status(http.StatusTooManyRequests, false), http.StatusBadGateway, 1},
		"address reused, once":     {"/once/x", status(http.StatusMisdirectedRequest, false), http.StatusOK, 2},
		"failure, once":            {"/once/x", status(http.StatusInternalServerError, false), http.StatusInternalServerError, 1},
		"failure, often":           {"/often/x", status(http.StatusInternalServerError, false), http.StatusOK, 2},
		"its own 404, often":       {"/often/x", status(http.StatusNotFound, false), http.StatusNotFound, 1},
		"its own gateway, stream":  {"/stream/x", status(http.StatusGatewayTimeout, false), http.StatusGatewayTimeout, 1},
		"refused for an id, often": {"/often/x", status(http.StatusBadRequest, true), http.StatusBadRequest, 1},
	} {
		t.Run(name, func(t *testing.T) {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				play(t, func(t *testing.T, w *world) {
					w.endpoints(test.first, ok)
					response, body, err := w.send(w.request(method, test.path, ""))
					assert.NilError(t, err)
					assert.Equal(t, response.StatusCode, test.status, body)
					assert.Equal(t, w.arrived(), test.arrivals)
					assert.Equal(t, response.Header.Get("Retry-After"), "")
				})
			}
		})
	}
}

func TestEndpointsFailureIsPassedOnWhole(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		w.endpoints(status(http.StatusInternalServerError, false), status(http.StatusInternalServerError, false))
		response, body, err := w.send(w.request(http.MethodGet, "/often/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusInternalServerError)
		assert.Equal(t, body, "own words")
		assert.Assert(t, strings.HasPrefix(response.Header.Get("X-Stamp"), "stamp-"))
		assert.Equal(t, w.arrived(), 2)
	})
}

func TestRefusedEverywhereSaysWhenToComeBack(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		full := status(http.StatusServiceUnavailable, true)
		w.endpoints(full, full, full, full, full)
		response, _, err := w.send(w.request(http.MethodPost, "/once/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, response.Header.Get("Retry-After") != "")
		assert.Equal(t, w.arrived(), 3)
	})
}

// A connection that the endpoint closes while it is idle makes net/http resend a
// GET by itself; here each send is counted.
func TestKeptConnectionThatIsDeadIsNoReasonToResend(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		w.endpoints()
		w.network.ServeConn("raw", func(conn net.Conn) {
			reader := bufio.NewReader(conn)
			for i := 0; ; i++ {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				w.mu.Lock()
				w.arrivals = append(w.arrivals, "raw")
				w.mu.Unlock()
				if i > 0 { // The second request on the connection gets no answer.
					_ = conn.Close()

					return
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok", request.Header.Get("X-Id"))
			}
		})
		w.control.Listed(w.boot(), []registrar.Endpoint{{ID: "raw", Service: "api", Address: "raw:80", Slots: 6}})
		for i, want := range []int{http.StatusOK, http.StatusBadGateway} {
			response, _, err := w.send(w.request(http.MethodGet, "/once/x", ""))
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, want)
			assert.Equal(t, w.arrived(), i+1)
		}
	})
}

func TestRefusalsOfTheInstance(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*http.Request)
		path   string
		status int
	}{
		"unknown route": {func(*http.Request) {}, "/none/x", http.StatusNotFound},
		"unknown key":   {func(r *http.Request) { r.Header.Set("X-Key", "no") }, "/once/x", http.StatusUnauthorized},
		"public":        {func(r *http.Request) { r.Header.Del("X-Key") }, "/public/x", http.StatusOK},
		"large body": {func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 2000))), 2000
		}, "/once/x", http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				w.endpoints(ok)
				request := w.request(http.MethodPost, test.path, "")
				test.change(request)
				response, _, err := w.send(request)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, test.status)
			})
		})
	}
}

func TestWithoutConfigurationNothingIsDenied(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		response, _, err := w.send(w.request(http.MethodGet, "/none/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, response.Header.Get("Retry-After") != "")
	})
}

// An instance that cannot confirm the configuration lets no key pass and denies
// nothing for good, cut off or suspended.
func TestStaleConfigurationLetsNoKeyPass(t *testing.T) {
	for name, age := range map[string]func(*world){
		"cut off":   func(*world) { time.Sleep(keyLease) },
		"suspended": func(w *world) { w.skipped += keyLease },
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				w.endpoints(ok)
				age(w)
				for _, path := range []string{"/once/x", "/none/x"} {
					response, _, err := w.send(w.request(http.MethodPost, path, ""))
					assert.NilError(t, err)
					assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
					assert.Assert(t, response.Header.Get("Retry-After") != "")
					assert.Assert(t, response.Close, "the caller had better connect elsewhere")
				}
				response, _, err := w.send(w.request(http.MethodGet, "/public/x", ""))
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK, "public routes need no key")
				assert.Equal(t, w.arrived(), 1)
			})
		})
	}
}

// An instance that is suspended between its check of the key and the first byte
// to an endpoint sends nothing.
func TestKeyIsCheckedAgainBeforeTheFirstByte(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		w.endpoints(ok)
		checks := 0
		steady := w.boot
		w.boot = func() time.Duration {
			checks++
			if checks > 1 {
				return steady() + keyLease
			}

			return steady()
		}
		response, _, err := w.send(w.request(http.MethodPost, "/once/x", "body"))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, w.arrived(), 0)
	})
}

func TestSilentEndpointEndsWithTheRoutesTimeout(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		w.endpoints(func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() })
		begun := time.Now()
		response, _, err := w.send(w.request(http.MethodPost, "/once/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusGatewayTimeout)
		assert.Assert(t, time.Since(begun) < 3500*time.Millisecond)
	})
}

func TestCallerThatLeavesEndsTheWork(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		ended := time.Time{}
		w.endpoints(func(_ http.ResponseWriter, request *http.Request) {
			<-request.Context().Done()
			ended = time.Now()
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		left := time.Now().Add(time.Second)
		_, _, err := w.send(w.request(http.MethodPost, "/once/x", "").WithContext(ctx))
		assert.Assert(t, err != nil)
		synctest.Wait()
		assert.Assert(t, !ended.IsZero() && ended.Sub(left) < 500*time.Millisecond)
	})
}

func TestLeavingInstanceAsksToConnectElsewhere(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		w.endpoints(ok)
		w.relayer.Leave()
		response, _, err := w.send(w.request(http.MethodGet, "/often/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Assert(t, response.Close)
	})
}
