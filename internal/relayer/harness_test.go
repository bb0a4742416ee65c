package relayer_test

import (
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
	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

// testCodec uses X- headers that only these tests know.
type testCodec struct{}

func (testCodec) ParseRequest(header http.Header) relayer.RequestMetadata {
	timeoutMs, _ := strconv.Atoi(header.Get("X-Patience"))
	ids := strings.Fields(header.Get("X-Blocks"))
	blocks := make([]placer.PromptBlock, 0, len(ids))
	for _, text := range ids {
		id, _ := strconv.ParseUint(text, 16, 64)
		blocks = append(blocks, placer.PromptBlock{ID: id})
	}

	return relayer.RequestMetadata{
		PromptBlocks: blocks,
		ID:           header.Get("X-Id"), APIKey: header.Get("X-Key"), LastEventID: header.Get("X-After"), ResumedRequestID: header.Get("X-Resumes"),
		CallerTimeout: time.Duration(timeoutMs) * time.Millisecond,
	}
}

func (testCodec) OutgoingHeader(header http.Header, forwarding relayer.ForwardingMetadata) http.Header {
	outgoing := header.Clone()
	relayer.StripHopByHopHeaders(outgoing)
	outgoing.Del("X-Key")
	outgoing.Set("X-Endpoint", forwarding.EndpointID)
	outgoing.Set("X-Left", forwarding.RemainingTime.String())
	outgoing.Set("X-Workspace", forwarding.Workspace)
	outgoing.Set("X-Tier", strconv.Itoa(forwarding.Tier))
	if forwarding.LastEventID != "" {
		outgoing.Set("X-After", forwarding.LastEventID)
	}

	return outgoing
}

func (testCodec) PassedOnHeader(header http.Header, metadata relayer.PassedOnMetadata) http.Header {
	passedOn := header.Clone()
	relayer.StripHopByHopHeaders(passedOn)
	for name, value := range map[string]string{"X-After": metadata.LastEventID, "X-Resumes": metadata.ResumedRequestID} {
		if value != "" {
			passedOn.Set(name, value)
		}
	}

	return passedOn
}

func (testCodec) ParseResponse(status int, header http.Header) relayer.ResponseMetadata {
	metadata := relayer.ResponseMetadata{
		NotRun: header.Get("X-Not-Run") != "" || status == http.StatusMisdirectedRequest, HasRun: header.Get("X-Ran") != "", Misdirected: status == http.StatusMisdirectedRequest,
	}
	if ids := header.Values("X-Id"); len(ids) == 1 {
		metadata.RequestID = ids[0]
	}
	if text := header.Get("X-Brittle"); text != "" {
		rate, err := strconv.ParseFloat(text, 64)
		limit := relayer.RateLimit(rate)
		metadata.MaxRejections, metadata.HasInvalidMaxRejections = &limit, err != nil
	}
	metadata.IsLeaving = header.Get("X-Leaving") != ""
	metadata.Pause, _ = time.ParseDuration(header.Get("X-Pause"))
	if text := header.Get("X-Limit"); text != "" {
		rate, err := strconv.ParseFloat(text, 64)
		limit := relayer.RateLimit(rate)
		metadata.RateLimit, metadata.HasInvalidRateLimit = &limit, err != nil
	}

	return metadata
}

func (testCodec) EventFields() []string { return []string{"weights"} }

// ReportPath and ParseReport read the report of a versioned endpoint, a decimal number.
func (testCodec) ReportPath() string { return reportPath }

func (testCodec) ParseReport(report []byte) (int64, error) {
	return strconv.ParseInt(string(report), 10, 64)
}

// testRoutes has a route for each kind of request.
var testRoutes = []matcher.Route{
	{Name: "once", PathPrefix: "/once/", Kind: matcher.NonIdempotent, MaxRuns: 1},
	{Name: "often", PathPrefix: "/often/", Kind: matcher.Idempotent, MaxRuns: 2},
	{Name: "stream", PathPrefix: "/stream/", Kind: matcher.Streaming, MaxRuns: 1},
	{Name: "resume", PathPrefix: "/resume/", Kind: matcher.Streaming, MaxRuns: 2, Resumable: true},
	{Name: "public", PathPrefix: "/public/", Kind: matcher.Idempotent, MaxRuns: 1, Public: true},
}

func testConfiguration() matcher.Configuration {
	configuration := matcher.Configuration{
		Number:     1,
		Services:   []matcher.Service{{Name: "api"}},
		Workspaces: []matcher.Workspace{{Name: "clinic", APIKeys: []string{"key"}}},
		Limits:     matcher.Limits{MaxBodyBytes: 1000},
	}
	for _, route := range testRoutes {
		route.Host, route.Timeout, route.TargetLatency = "front", 3*time.Second, 300*time.Millisecond
		route.ServiceWeights = []matcher.ServiceWeight{{Service: "api", Weight: 1}}
		configuration.Routes = append(configuration.Routes, route)
	}

	return configuration
}

// harness is an instance with its callers and endpoints on an in-memory network.
type harness struct {
	t             *testing.T
	network       *piper.Network
	dispatcher    *dispatcher.Dispatcher
	relayer       *relayer.Relayer
	meter         *meter.Meter
	bootClock     func() time.Duration
	onDial        func(address string)    // is called when a connection to an endpoint is open; nil for none
	wrapConn      func(net.Conn) net.Conn // wraps connections to endpoints; nil for none
	suspendedTime time.Duration           // time that the machine was suspended; only the boot clock counts it
	registered    []registrar.Endpoint    // what instances read that are started
	losesPins     bool                    // pins that instances send are lost
	partition     *partition              // of started instances from endpoints; nil for none

	mu               sync.Mutex
	reachedEndpoints []string                          // IDs of the endpoints that requests reached, in order of arrival
	dispatchers      map[string]*dispatcher.Dispatcher // of the started instances, by name
}

const keyLease = 5 * time.Second

// runWithHarness runs a test with a new harness in virtual time.
func runWithHarness(t *testing.T, test func(*testing.T, *harness)) {
	t.Helper()
	runWithFeatures(t, dispatcher.Features{}, test)
}

// runWithFeatures is runWithHarness for an instance with features.
func runWithFeatures(t *testing.T, features dispatcher.Features, test func(*testing.T, *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &harness{t: t, network: piper.New(), meter: meter.New(), dispatchers: map[string]*dispatcher.Dispatcher{}}
		startTime := time.Now()
		h.bootClock = func() time.Duration { return time.Since(startTime) + h.suspendedTime + time.Hour }
		h.dispatcher = dispatcher.New(dispatcher.Settings{
			KeyLeaseDuration: keyLease, ReregistrationWindow: 2 * time.Second, Features: features,
			RepeatLimits: retrier.RepeatLimiterSettings{Window: 10 * time.Second, RepeatRatio: 0.2, Burst: 50},
		}, dispatcher.Clock{Now: time.Now, SinceBoot: func() time.Duration { return h.bootClock() }}, hclog.NewNullLogger())
		connections := connector.New(connector.DefaultSettings(), h.dialEndpoint)
		h.relayer = relayer.New(testCodec{}, h.dispatcher, connections, connector.New(connector.DefaultSettings(), h.network.Dial), h.meter, hclog.NewNullLogger(), func() uint64 { return 0 })
		h.network.Serve("front", h.relayer)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = h.dispatcher.Serve(ctx) }()
		defer func() {
			time.Sleep(time.Minute) // Requests and restarts of endpoints end.
			connections.Close()
			h.network.Close()
			cancel()
			<-h.dispatcher.Done()
			time.Sleep(time.Minute)
		}()
		test(t, h)
	})
}

// dialEndpoint connects to an endpoint.
func (h *harness) dialEndpoint(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := h.network.Dial(ctx, network, address)
	if err == nil && h.onDial != nil {
		h.onDial(address)
	}
	if err != nil || h.wrapConn == nil {
		return conn, err
	}

	return h.wrapConn(conn), nil
}

// confirmConfiguration applies the test configuration as read just now.
func (h *harness) confirmConfiguration() {
	h.dispatcher.ApplyConfiguration(h.bootClock(), matcher.New(testConfiguration()), dispatcher.StoredConfiguration{})
}

// serveEndpoints confirms the configuration and registers the handlers as endpoints e0,
// e1, …
func (h *harness) serveEndpoints(handlers ...http.HandlerFunc) {
	h.confirmConfiguration()
	endpoints := make([]registrar.Endpoint, 0, len(handlers))
	for i, handler := range handlers {
		id := fmt.Sprintf("e%d", i)
		endpoints = append(endpoints, registrar.Endpoint{ID: id, Service: "api", Address: id + ":80", Slots: 6, Version: "v1"})
		h.network.Serve(id, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			h.mu.Lock()
			h.reachedEndpoints = append(h.reachedEndpoints, id)
			h.mu.Unlock()
			w.Header().Set("X-Id", request.Header.Get("X-Id"))
			w.Header().Set("X-Stamp", "stamp-"+id)
			handler(w, request)
		}))
	}
	h.dispatcher.ApplyListing(h.bootClock(), 0, endpoints)
}

// arrivalCount returns the number of requests that reached an endpoint.
func (h *harness) arrivalCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()

	return len(h.reachedEndpoints)
}

// newRequest returns a caller's request with the ID r1 and a valid API key.
func (h *harness) newRequest(method, path, body string) *http.Request {
	request, err := http.NewRequestWithContext(h.t.Context(), method, "http://front"+path, strings.NewReader(body))
	assert.NilError(h.t, err)
	request.Header.Set("X-Id", "r1")
	request.Header.Set("X-Key", "key")

	return request
}

// send sends a caller's request and returns the answer and its body.
func (h *harness) send(request *http.Request) (*http.Response, string, error) {
	client := h.network.Client()
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)

	return response, string(body), err
}

// echoRequest answers with the parts of the request that must not change.
func echoRequest(w http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	_, _ = fmt.Fprintf(w, "%s %s %s %s", request.Method, request.Host, request.RequestURI, body)
}

func closeWithoutAnswer(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// respondWithStatus returns a handler that answers with a status code, marked as not
// run if notRun is true.
func respondWithStatus(code int, notRun bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if notRun {
			w.Header().Set("X-Not-Run", "1")
		}
		w.WriteHeader(code)
		_, _ = io.WriteString(w, "endpoint's body")
	}
}

func respondTruncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
	panic(http.ErrAbortHandler)
}

func respondEncoded(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Encoding", "br")
	_, _ = io.WriteString(w, "not the body")
}

// respondWithOtherID answers with the ID of a different request.
func respondWithOtherID(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Id", "another")
	_, _ = io.WriteString(w, "another's answer")
}
