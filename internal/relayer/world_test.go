package relayer_test

import (
	"context"
	"fmt"
	"io"
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

func (codec) ParseRequest(header http.Header) relayer.RequestMetadata {
	patience, _ := strconv.Atoi(header.Get("X-Patience"))

	return relayer.RequestMetadata{
		ID: header.Get("X-Id"), APIKey: header.Get("X-Key"), LastEventID: header.Get("X-After"),
		CallerTimeout: time.Duration(patience) * time.Millisecond,
	}
}

func (codec) OutgoingHeader(header http.Header, order relayer.ForwardingMetadata) http.Header {
	outgoing := header.Clone()
	relayer.StripHopByHopHeaders(outgoing)
	outgoing.Del("X-Key")
	outgoing.Set("X-Endpoint", order.EndpointID)
	outgoing.Set("X-Left", order.RemainingTime.String())
	outgoing.Set("X-Workspace", order.Workspace)
	if order.LastEventID != "" {
		outgoing.Set("X-After", order.LastEventID)
	}

	return outgoing
}

func (codec) ParseResponse(status int, header http.Header) relayer.ResponseMetadata {
	return relayer.ResponseMetadata{
		RequestID: header.Get("X-Id"), NotRun: header.Get("X-Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest,
	}
}

// routes of the tests, one for each kind of request.
var routes = []matcher.Route{
	{Name: "once", PathPrefix: "/once/", Kind: matcher.NonIdempotent, MaxRuns: 1},
	{Name: "often", PathPrefix: "/often/", Kind: matcher.Idempotent, MaxRuns: 2},
	{Name: "stream", PathPrefix: "/stream/", Kind: matcher.Streaming, MaxRuns: 1},
	{Name: "resume", PathPrefix: "/resume/", Kind: matcher.Streaming, MaxRuns: 2, Resumable: true},
	{Name: "public", PathPrefix: "/public/", Kind: matcher.Idempotent, MaxRuns: 1, Public: true},
}

func configuration() matcher.Configuration {
	c := matcher.Configuration{
		Number:     1,
		Services:   []matcher.Service{{Name: "api"}},
		Workspaces: []matcher.Workspace{{Name: "clinic", APIKeys: []string{"key"}}},
		Limits:     matcher.Limits{MaxBodyBytes: 1000},
	}
	for _, route := range routes {
		route.Host, route.Timeout, route.TargetLatency = "front", 3*time.Second, 300*time.Millisecond
		route.ServiceWeights = []matcher.ServiceWeight{{Service: "api", Weight: 1}}
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
			KeyLeaseDuration: keyLease, ReregistrationWindow: 2 * time.Second,
			RepeatLimits: retrier.RepeatLimiterSettings{Window: 10 * time.Second, RepeatRatio: 0.2, Burst: 50},
		}, dispatcher.Clock{Now: time.Now, SinceBoot: func() time.Duration { return w.boot() }}, hclog.NewNullLogger())
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
	w.control.ApplyConfiguration(w.boot(), matcher.New(configuration()), dispatcher.StoredConfiguration{})
}

// endpoints registers handlers as endpoints e0, e1, …
func (w *world) endpoints(handlers ...http.HandlerFunc) {
	w.confirm()
	registered := make([]registrar.Endpoint, 0, len(handlers))
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
	w.control.ApplyListing(w.boot(), registered)
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
