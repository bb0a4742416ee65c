// Package relayer is the HTTP reverse proxy of an instance. It forwards callers'
// requests to endpoints without interpreting them: the method, path, body and
// unknown headers stay unchanged.
//
// A request gets exactly one final answer: the whole answer of an endpoint, an
// endpoint's own failure, a refusal that promises that the request has not run,
// or an error that leaves open whether it has run. If an answer is truncated
// after a part of it was forwarded, the caller's connection is closed.
package relayer

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/connector"
	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/matcher"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

const (
	// defaultTimeout limits requests whose caller and route set no timeout.
	defaultTimeout = 60 * time.Second
	// configurationTimeout is how long a request waits for the configuration of a
	// starting instance, which takes about 50 ms to read if the platform answers.
	configurationTimeout = 250 * time.Millisecond
	// defaultMaxBodyBytes is the largest request body if the configuration sets
	// no limit.
	defaultMaxBodyBytes = 4 << 20
)

// Relayer is the HTTP handler for callers' requests. It is safe for concurrent use.
type Relayer struct {
	codec              Codec
	dispatcher         *dispatcher.Dispatcher
	connections        *connector.Connector
	peers              *connector.Connector // connections to other instances
	reach              *reachChecker
	crashes            *crashChecker
	memory             *memory
	meter              *meter.Meter
	logger             hclog.Logger
	random             func() uint64
	keepAlivesDisabled atomic.Bool
	stop               atomic.Pointer[plannedStop] // nil if there is none
	durations          *routeDurations
	inFlight           atomic.Int64
	usage              UsageCounter // nil if requests are not counted
}

// New returns a handler that sends requests to endpoints on connections, or passes them on to
// peers if it reaches none. It uses the random function to choose a service by weight, and a
// peer.
func New(codec Codec, dispatch *dispatcher.Dispatcher, connections, peers *connector.Connector, metrics *meter.Meter, logger hclog.Logger, random func() uint64) *Relayer {
	reach := newReachChecker(dispatch, connections)

	return &Relayer{
		codec: codec, dispatcher: dispatch, connections: connections, peers: peers, reach: reach,
		crashes: newCrashChecker(dispatch, connections, reach), memory: newMemory(), durations: newRouteDurations(),
		meter: metrics, logger: logger, random: random,
	}
}

// DisableKeepAlives makes all later answers close the caller's connection, so that callers
// connect to another instance.
func (r *Relayer) DisableKeepAlives() {
	r.keepAlivesDisabled.Store(true)
}

// SetMemory sets the memory that the instance has, in bytes. Requests' bodies and the answers that are
// kept until they are whole take a part of it at most.
func (r *Relayer) SetMemory(bytes int64) {
	r.memory.configure(bytes)
}

// InFlight returns the number of requests that have no complete answer yet.
func (r *Relayer) InFlight() int64 {
	return r.inFlight.Load()
}

// connectionTimeKey is the context key of the time at which the caller's connection was opened.
type connectionTimeKey struct{}

// WithConnectionTime returns the context of a caller's connection that was opened at a time. It
// is for the ConnContext of the server that the handler runs in.
func WithConnectionTime(ctx context.Context, openedAt time.Time) context.Context {
	return context.WithValue(ctx, connectionTimeKey{}, openedAt)
}

// connectionAge returns how long before the request the caller's connection was opened; -1 if
// unknown.
func (r *relayedRequest) connectionAge() time.Duration {
	openedAt, ok := r.incoming.Context().Value(connectionTimeKey{}).(time.Time)
	if !ok {
		return -1
	}

	return r.receivedAt.Sub(openedAt)
}

// relayedRequest is the state of one request from its arrival to its final answer.
type relayedRequest struct {
	relayer     *Relayer
	w           http.ResponseWriter
	incoming    *http.Request
	metadata    RequestMetadata
	route       matcher.Route
	service     matcher.Service
	matcher     *matcher.Matcher
	forwarding  ForwardingMetadata
	target      *url.URL
	requiresKey bool
	body        []byte
	memory      *memoryShare
	receivedAt  time.Time
	deadline    time.Time

	placementRequest placer.Request
	answerStarted    bool // a part of the answer was written to the caller
	hasOrigin        bool // the first event came; placementRequest.Version is that of the stream, empty if unknown
	lastEventID      int64
	timeToFirstEvent time.Duration // measured from receivedAt
	longestEventGap  time.Duration // between two events of a stream
	lastEventAt      time.Time     // when the last event was received
	possibleRuns     int           // attempts that an endpoint may have run
	refusals         int           // attempts on an open connection that the endpoint has not run
	unsentAttempts   int           // attempts for which no connection could be opened
	mayHaveRun       bool          // true if possibleRuns > 0
	endpointFailure  *endpointFailure
	isOnTrial        bool // allowed to find out whether a block still crashes endpoints
	isPassedOn       bool // a peer sent the request, which reaches no endpoint
	hasOfferedPeers  bool // no peer took the request
	isAbandoned      bool // the answer could not be written to the caller
	isCounted        bool // as a request that an endpoint began to run
	isServed         bool // the whole answer of an endpoint was forwarded
}

// ServeHTTP relays one request to an endpoint and forwards the answer.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, incoming *http.Request) {
	r.serve(w, incoming, passedOnState{})
}

// serve is ServeHTTP for a request that a caller sent or a peer passes on.
func (r *Relayer) serve(w http.ResponseWriter, incoming *http.Request, passedOn passedOnState) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	request := &relayedRequest{
		relayer:    r,
		w:          w,
		incoming:   incoming,
		metadata:   r.codec.ParseRequest(incoming.Header),
		memory:     r.memory.open(),
		receivedAt: time.Now(),

		isPassedOn: passedOn.isPassedOn, possibleRuns: passedOn.possibleRuns, mayHaveRun: passedOn.possibleRuns > 0,
	}
	defer request.memory.close()
	if r.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	if err := request.admit(passedOn.configurationNumber); err != nil {
		request.refuse(err)

		return
	}
	ctx, cancel := context.WithDeadline(incoming.Context(), request.deadline)
	defer cancel()
	defer request.limitWrites()()
	defer request.recordUnfinished()
	if err := request.findOrigin(ctx); err != nil {
		request.refuse(err)

		return
	}
	request.relay(ctx)
}

// writeSlack is how long after a request's deadline its caller may still read the answer.
const writeSlack = time.Second

// limitWrites ends writes to a caller who does not read, which would hold memory for good. The returned
// function removes the limit, for the next request on the connection.
func (r *relayedRequest) limitWrites() (remove func()) {
	controller := http.NewResponseController(r.w)
	if err := controller.SetWriteDeadline(r.deadline.Add(writeSlack)); err != nil {
		r.relayer.logger.Warn("The connection does not support a write deadline.", "request", r.metadata.ID, "error", err)
	}

	return func() { _ = controller.SetWriteDeadline(time.Time{}) }
}

// admit finds the request's route, workspace and deadline and reads its body. It
// returns an error if the request must be refused, also if the configuration is older than
// minConfiguration.
func (r *relayedRequest) admit(minConfiguration uint64) *answerer.Error {
	isCurrent := r.awaitConfiguration()
	if r.matcher == nil {
		return answerer.New(answerer.KindNoConfiguration, "No configuration is known yet.").WithRetryAfter(startRetryAfter)
	}
	if !isCurrent {
		return r.staleConfigurationError()
	}
	if r.matcher.Number() < minConfiguration {
		return answerer.New(answerer.KindNoConfiguration, "The configuration is older than the peer's.").WithRetryAfter(reconnectRetryAfter)
	}
	target := r.requestTarget()
	var isProper bool
	if r.target, isProper = targetURL(r.incoming.Host, target); !isProper {
		return answerer.New(answerer.KindMalformed, "The path is not encoded properly.")
	}
	path, _, _ := strings.Cut(target, "?")
	route, ok := r.matcher.Route(r.incoming.Host, path)
	if !ok {
		return r.errorIfFresh(answerer.New(answerer.KindNotFound, "No route matches."))
	}
	r.route = route
	if err := r.authenticate(); err != nil {
		return err
	}
	r.setDeadline()
	if err := r.checkStop(); err != nil {
		return err
	}
	if err := r.readBody(); err != nil {
		return err
	}
	if r.relayer.dispatcher.HasSuspects() && r.relayer.dispatcher.IsQuarantined(r.fingerprint()) {
		return answerer.New(answerer.KindHeldBack, "The request crashed endpoints.").WithRetryAfter(quarantineRetryAfter)
	}
	r.preparePlacement()

	return r.checkReach()
}

// requestTarget returns the path and query exactly as the caller sent them. A
// scheme and host in front of them are left out.
func (r *relayedRequest) requestTarget() string {
	if strings.HasPrefix(r.incoming.RequestURI, "/") {
		return r.incoming.RequestURI
	}

	return r.incoming.URL.RequestURI()
}

// awaitConfiguration waits until a starting instance has read its configuration, or for a younger
// one. It reports whether the request may be handled by it.
// The wait is short compared to the time that a refused caller takes to come back.
func (r *relayedRequest) awaitConfiguration() bool {
	dispatch := r.relayer.dispatcher
	select {
	case <-dispatch.Initialized():
	default:
		timer := time.NewTimer(configurationTimeout)
		defer timer.Stop()
		select {
		case <-dispatch.Initialized():
		case <-r.incoming.Context().Done():
		case <-timer.C:
		}
	}
	isCurrent := dispatch.AwaitConfiguration(r.incoming.Context())
	r.matcher = dispatch.Matcher()

	return isCurrent
}

// errorIfFresh returns err if the configuration is known to be the newest one.
// Otherwise it returns an error that lets the caller retry, since a newer
// configuration may allow what this one does not.
func (r *relayedRequest) errorIfFresh(err *answerer.Error) *answerer.Error {
	if r.relayer.dispatcher.IsConfigurationFresh() && r.relayer.dispatcher.IsConfigurationYoung() {
		return err
	}

	return r.staleConfigurationError()
}

// staleConfigurationError returns the error for a configuration that may be out of
// date, and closes the connection so that the caller retries at another instance.
func (r *relayedRequest) staleConfigurationError() *answerer.Error {
	r.w.Header().Set("Connection", "close")

	return answerer.New(answerer.KindStoreDown, "The configuration cannot be confirmed.").WithRetryAfter(reconnectRetryAfter)
}

// authenticate finds the workspace of the request's API key and the priority tier
// of the request.
func (r *relayedRequest) authenticate() *answerer.Error {
	if !r.matcher.RequiresKey() {
		r.forwarding.Tier = r.matcher.EngineTier(r.route, matcher.Workspace{}, placer.TierCount)

		return nil
	}
	workspace, found := r.matcher.Workspace(r.metadata.APIKey)
	if !found && !r.route.Public {
		return r.errorIfFresh(answerer.New(answerer.KindUnauthorized, "The API key is unknown."))
	}
	r.requiresKey = !r.route.Public
	if r.requiresKey && !r.relayer.dispatcher.IsConfigurationFresh() {
		return r.staleConfigurationError()
	}
	r.forwarding.Workspace = workspace.Name
	r.forwarding.Tier = r.matcher.EngineTier(r.route, workspace, placer.TierCount)

	return nil
}

// setDeadline sets the time by which the request must have its final answer, from
// the timeouts of the caller and the route.
func (r *relayedRequest) setDeadline() {
	timeout := defaultTimeout
	if r.metadata.CallerTimeout > 0 {
		timeout = r.metadata.CallerTimeout
	}
	if r.route.Timeout > 0 {
		timeout = min(timeout, r.route.Timeout)
	}
	r.deadline = r.receivedAt.Add(timeout)
}

// preparePlacement chooses the service and builds the request to the placer. Only
// engines receive a priority tier.
func (r *relayedRequest) preparePlacement() {
	service := r.route.PickService(r.relayer.random())
	r.service, _ = r.matcher.Service(service)
	r.placementRequest = placer.Request{
		ID: r.metadata.ID, Service: service, Tier: r.forwarding.Tier,
		Workspace: r.forwarding.Workspace, Deadline: r.deadline, MayHaveRun: r.mayHaveRun, IsResumed: r.metadata.ResumedRequestID != "" || r.metadata.LastEventID != "",
	}
	if r.service.Engine != nil {
		r.placementRequest.PromptTokens = max(1, r.metadata.PromptTokens)
		r.placementRequest.OutputTokens = r.metadata.OutputTokens
		r.placementRequest.Blocks = placer.CombineBlocks(r.metadata.PromptBlocks)
		r.placementRequest.TargetTimeToFirstToken = r.route.TargetLatency
		r.placementRequest.CanCopyCache = r.service.Engine.CanCopyCache
	} else {
		r.forwarding.Tier = -1
	}
}
