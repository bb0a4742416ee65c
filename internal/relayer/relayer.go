// Package relayer is the callers' side of an instance that relays opaque
// requests: method, path, body and unknown headers pass unchanged.
//
// A request gets exactly one final answer: the whole answer of an endpoint, an
// endpoint's own failure, a refusal that promises that the request has not run,
// or an answer that promises nothing. An answer that breaks off after its
// beginning was passed on ends with a broken connection.
package relayer

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/connector"
	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/matcher"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

const (
	// defaultPatience bounds requests that nothing else bounds.
	defaultPatience = 60 * time.Second
	// startPatience is how long a request waits for an instance that starts;
	// reading the configuration takes some 50 ms where the platform answers.
	startPatience = 250 * time.Millisecond
	// defaultBody is the largest body, in bytes, where the configuration
	// states none.
	defaultBody = 4 << 20
)

// Relayer serves callers.
type Relayer struct {
	codec     HeaderCodec
	control   *dispatcher.Dispatcher
	endpoints *connector.Connector
	meter     *meter.Meter
	logger    hclog.Logger
	random    func() uint64
	leaving   atomic.Bool
	end       atomic.Pointer[time.Time] // of the instance; nil: not known
	inFlight  atomic.Int64
}

// New returns a handler for callers.
func New(codec HeaderCodec, control *dispatcher.Dispatcher, endpoints *connector.Connector, counters *meter.Meter, logger hclog.Logger, random func() uint64) *Relayer {
	return &Relayer{codec: codec, control: control, endpoints: endpoints, meter: counters, logger: logger, random: random}
}

// DisableKeepAlives makes answers ask callers to connect elsewhere.
func (r *Relayer) DisableKeepAlives() {
	r.leaving.Store(true)
}

// SetStopDeadline refuses requests that may take longer than to the instance's end.
func (r *Relayer) SetStopDeadline(end time.Time) {
	r.end.Store(&end)
}

// InFlight returns the number of requests without a final answer.
func (r *Relayer) InFlight() int64 {
	return r.inFlight.Load()
}

// job is one request under way.
type job struct {
	relayer  *Relayer
	w        http.ResponseWriter
	incoming *http.Request
	envelope RequestMetadata
	route    matcher.Route
	service  matcher.Service
	matcher  *matcher.Matcher
	order    ForwardingMetadata
	keyed    bool
	body     []byte
	received time.Time
	deadline time.Time

	ask      placer.Request
	begun    bool // a part of the answer has left for the caller
	after    int64
	first    time.Duration // until the first event
	pause    time.Duration // the longest between two events
	latest   time.Time     // event
	runs     int
	refusals int
	unsent   int
	ran      bool
	failure  *failure
}

// ServeHTTP relays one request.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, incoming *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	j := &job{
		relayer:  r,
		w:        w,
		incoming: incoming,
		envelope: r.codec.ParseRequest(incoming.Header),
		received: time.Now(),
	}
	if r.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if err := j.admit(); err != nil {
		j.refuse(err)

		return
	}
	ctx, cancel := context.WithDeadline(incoming.Context(), j.deadline)
	defer cancel()
	j.run(ctx)
}

// admit finds what the request may do, and reads its body.
func (j *job) admit() *answerer.Error {
	if j.awaitStart(); j.matcher == nil {
		return answerer.New(answerer.KindNoConfiguration, "No configuration is known yet.").WithRetryAfter(startWait)
	}
	path, _, _ := strings.Cut(j.target(), "?")
	route, ok := j.matcher.Route(j.incoming.Host, path)
	if !ok {
		return j.unlessStale(answerer.New(answerer.KindNotFound, "No route matches."))
	}
	j.route = route
	if err := j.identify(); err != nil {
		return err
	}
	j.limit()
	if end := j.relayer.end.Load(); end != nil && j.deadline.After(*end) {
		return answerer.New(answerer.KindStopping, "The instance stops.").WithRetryAfter(elsewhereWait)
	}
	if err := j.read(); err != nil {
		return err
	}
	if j.relayer.control.HasSuspects() && j.relayer.control.IsQuarantined(j.fingerprint()) {
		return answerer.New(answerer.KindHeldBack, "The request crashed endpoints.").WithRetryAfter(heldWait)
	}
	j.describe()

	return nil
}

// target is the path and query as the caller wrote them, also where it wrote
// the whole URL.
func (j *job) target() string {
	if strings.HasPrefix(j.incoming.RequestURI, "/") {
		return j.incoming.RequestURI
	}

	return j.incoming.URL.RequestURI()
}

// awaitStart gives an instance that has just started the time to read its
// configuration, which is short against a caller's way back.
func (j *job) awaitStart() {
	control := j.relayer.control
	select {
	case <-control.Initialized():
	default:
		timer := time.NewTimer(startPatience)
		defer timer.Stop()
		select {
		case <-control.Initialized():
		case <-j.incoming.Context().Done():
		case <-timer.C:
		}
	}
	j.matcher = control.Matcher()
}

// unlessStale refuses for good only when the configuration is known to be the
// newest: a newer one may allow what this one does not.
func (j *job) unlessStale(err *answerer.Error) *answerer.Error {
	if j.relayer.control.IsConfigurationFresh() {
		return err
	}

	return j.stale()
}

// stale sends the caller to another instance.
func (j *job) stale() *answerer.Error {
	j.w.Header().Set("Connection", "close")

	return answerer.New(answerer.KindStoreDown, "The configuration cannot be confirmed.").WithRetryAfter(elsewhereWait)
}

// identify finds the workspace of the request's key.
func (j *job) identify() *answerer.Error {
	if !j.matcher.RequiresKey() {
		j.order.Tier = j.route.Tier

		return nil
	}
	workspace, known := j.matcher.Workspace(j.envelope.APIKey)
	if !known && !j.route.Public {
		return j.unlessStale(answerer.New(answerer.KindUnauthorized, "The key is not known."))
	}
	j.keyed = !j.route.Public
	if j.keyed && !j.relayer.control.IsConfigurationFresh() {
		return j.stale()
	}
	j.order.Workspace = workspace.Name
	j.order.Tier = j.route.Tier
	if workspace.HasTier {
		j.order.Tier = workspace.Tier
	}

	return nil
}

// read reads the body whole, so that it can be sent again. A caller that does
// not send it in time is not waited for.
func (j *job) read() *answerer.Error {
	limit := j.matcher.Limits().MaxBodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	connection := http.NewResponseController(j.w)
	if err := connection.SetReadDeadline(j.deadline); err != nil {
		return answerer.Wrap(answerer.KindInternal, "The connection takes no deadline.", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(j.w, j.incoming.Body, limit))
	if err == nil {
		err = connection.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return answerer.New(answerer.KindTooLarge, "The body is too large.")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return answerer.Wrap(answerer.KindSlowBody, "The body did not come in time.", err)
	case err != nil:
		return answerer.Wrap(answerer.KindMalformed, "The body cannot be read.", err)
	}
	j.body = body

	return nil
}

// limit finds the time by which the request must have its final answer.
func (j *job) limit() {
	patience := defaultPatience
	if j.envelope.CallerTimeout > 0 {
		patience = j.envelope.CallerTimeout
	}
	if j.route.Timeout > 0 {
		patience = min(patience, j.route.Timeout)
	}
	j.deadline = j.received.Add(patience)
}

// describe finds the service and describes the request to the placer.
func (j *job) describe() {
	name := j.route.PickService(j.relayer.random())
	j.service, _ = j.matcher.Service(name)
	j.ask = placer.Request{Service: name}
	if j.service.Engine != nil {
		j.ask.PromptTokens = max(1, j.envelope.PromptTokens)
		j.ask.OutputTokens = j.envelope.OutputTokens
		j.ask.Blocks = j.envelope.PromptBlocks
		j.ask.TargetTimeToFirstToken = j.route.TargetLatency
		j.ask.CanCopyCache = j.service.Engine.CanCopyCache
	} else {
		j.order.Tier = -1
	}
}
