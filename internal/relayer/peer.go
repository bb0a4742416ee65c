package relayer

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/connector"
	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// Headers of requests and answers between instances.
const (
	// relayedRunsHeader marks a request that a peer passes on, and states how many endpoints may
	// have run it.
	relayedRunsHeader = "Oleanderpick-Runs"
	// configurationHeader states the number of the configuration that the peer applied.
	configurationHeader = "Oleanderpick-Configuration"
	// elsewhereHeader states in each answer to a request that was passed on whether another
	// instance may serve the request. A peer that does not know such requests sets none and answers 404.
	elsewhereHeader = "Oleanderpick-Elsewhere"
	// answeredHeader repeats in each of these answers the ID of the request that was passed on. Older
	// instances set none.
	answeredHeader = "Oleanderpick-Answers"
)

// Values of elsewhereHeader.
const (
	isFinal      = "0"
	tryElsewhere = "1"
)

const (
	// maxPeerAttempts is the number of peers that a request is offered to.
	maxPeerAttempts = 3
	// minUnsentAttempts is the number of endpoints that could not be connected to after which
	// a request is offered to peers.
	minUnsentAttempts = 2
	// maxIdlePeerConnections is the number of idle connections kept to one peer for requests
	// that are passed on.
	maxIdlePeerConnections = 16
)

// errElsewhere is the cause of an attempt at a peer that cannot serve requests itself.
var errElsewhere = errors.New("the peer cannot serve the request")

// PassedOnMetadata is what an instance states of a request that it passes on to a peer.
type PassedOnMetadata struct {
	// CallerTimeout is how long the caller still waits; zero if it did not say so.
	CallerTimeout time.Duration
	// LastEventID is the ID of the last event that the caller received, and ResumedRequestID
	// the ID of the request that brought the first one; empty if the stream has not begun.
	LastEventID, ResumedRequestID string
}

// passOnResult is what became of a request that was offered to peers.
type passOnResult int

const (
	// notTaken means that no peer got the request.
	notTaken passOnResult = iota
	// mayRepeat means that a peer got the request, failed, and the request may be repeated.
	mayRepeat
	// answered means that the caller has the final answer.
	answered
)

// shouldPassOn reports whether the request goes to a peer: this instance reaches no endpoint of
// the service, or could not connect to those that it tried. A request that a peer has passed on
// is not passed on again, so that it cannot go in circles.
func (r *relayedRequest) shouldPassOn() bool {
	if r.isPassedOn || r.hasOfferedPeers {
		return false
	}
	service := r.placementRequest.Service
	if !r.relayer.dispatcher.IsCutOffFrom(service) && r.unsentAttempts < minUnsentAttempts {
		return false
	}

	return len(r.relayer.dispatcher.HelpfulPeers(service)) > 0
}

// passOn offers the request to one peer after another, until one takes it.
func (r *relayedRequest) passOn(ctx context.Context) passOnResult {
	service := r.placementRequest.Service
	peers := r.relayer.dispatcher.HelpfulPeers(service)
	offset := int(r.relayer.random() % uint64(max(1, len(peers))))
	for i := range min(len(peers), maxPeerAttempts) {
		address := peers[(offset+i)%len(peers)]
		a := &attempt{isPeer: true, placement: dispatcher.Placement{Choice: placer.Choice{EndpointID: "peer " + address, Address: address}}}
		r.sendToPeer(ctx, a)
		r.relayer.logger.Info("Passed on.", "request", r.metadata.ID, "route", r.route.Name, "service", service, "peer", address, "cut off", r.relayer.dispatcher.IsCutOffFrom(service),
			"unsent", r.unsentAttempts, "answered", a.answered, "may have run", a.mayHaveRun, "left ms", time.Until(r.deadline).Milliseconds(), "cause", causeText(a.failureCause))
		switch {
		case a.answered:
			r.relayer.meter.Add("peers.answered", 1)

			return answered
		case a.mayHaveRun && r.retryOrFinish(ctx, a):
			return mayRepeat
		case a.mayHaveRun:
			return answered
		case ctx.Err() != nil:
			return notTaken
		}
	}
	r.hasOfferedPeers = true

	return notTaken
}

// sendToPeer sends the request to a peer and forwards its answer. A request that may run only
// once is not sent again once a byte may have left.
func (r *relayedRequest) sendToPeer(ctx context.Context, a *attempt) {
	connection, err := r.relayer.peers.Open(ctx, a.placement.Address, r.metadata.ID)
	if err != nil {
		a.failureCause = err

		return
	}
	a.connection, a.sentAt = connection, time.Now()
	response, err := connection.Send(r.peerRequest(ctx), r.checkBeforeSending) //nolint:bodyclose // The body is read to its end or closed with the connection.
	if err != nil {
		a.mayHaveRun = !errors.Is(err, connector.ErrNotSent)
		r.failAttempt(ctx, a, err)

		return
	}
	a.response, a.requestNumber, a.mayHaveRun = response, connection.SentRequests(), true
	a.answeredID = response.Header.Get(answeredHeader)
	elsewhere := response.Header.Get(elsewhereHeader)
	isNotTaken := elsewhere == tryElsewhere || (elsewhere == "" && response.StatusCode == http.StatusNotFound)
	switch {
	case !a.isNamedByPeer(r.metadata.ID):
		r.failAttempt(ctx, a, errors.Errorf("the peer's answer is for request %q", a.answeredID))

		return
	case isNotTaken && !r.discardResponse(a):
		r.failAttempt(ctx, a, errors.New("the peer's refusal is not whole"))

		return
	case isNotTaken:
		a.mayHaveRun, a.failureCause = false, errElsewhere

		return
	case elsewhere != isFinal: // No instance answers so; the request may have reached something else.
		r.failAttempt(ctx, a, errors.New("the answer is not that of an instance"))

		return
	}
	response.Header.Del(answeredHeader)
	response.Header.Del(elsewhereHeader)
	switch {
	case response.StatusCode == http.StatusOK && isEventStream(response.Header):
		r.forwardStream(ctx, a)
	case r.answerStarted:
		r.failAttempt(ctx, a, errors.Errorf("status %d instead of further events", response.StatusCode))
	case r.mayHaveRun && promisesNotRun(response.StatusCode):
		a.answered = true
		r.discardResponse(a)
		r.finishUnanswered(ctx, answerer.KindUncertain, 0)
	default:
		r.forwardBuffered(ctx, a)
	}
}

// isNamedByPeer reports whether a peer's answer is that to the request with an ID. One that names none, as
// older instances give it, is if no other request was sent on the connection.
func (a *attempt) isNamedByPeer(id string) bool {
	if _, isNamed := a.response.Header[answeredHeader]; !isNamed {
		return a.connection.IsFirstRequest()
	}

	return a.answeredID == id
}

// peerRequest returns the request as a peer gets it: like the caller's, with the time left and
// the events that have been forwarded.
func (r *relayedRequest) peerRequest(ctx context.Context) *http.Request {
	metadata := PassedOnMetadata{LastEventID: r.metadata.LastEventID, ResumedRequestID: r.metadata.ResumedRequestID}
	if r.metadata.CallerTimeout > 0 {
		metadata.CallerTimeout = max(time.Millisecond, r.metadata.CallerTimeout-time.Since(r.receivedAt))
	}
	if r.lastEventID > 0 {
		metadata.LastEventID = formatEventID(r.lastEventID)
		if metadata.ResumedRequestID == "" {
			metadata.ResumedRequestID = r.metadata.ID
		}
	}
	header := r.relayer.codec.PassedOnHeader(r.incoming.Header, metadata)
	header.Set(relayedRunsHeader, strconv.Itoa(r.possibleRuns))
	header.Set(configurationHeader, strconv.FormatUint(r.matcher.Number(), 10))

	return r.newRequest(ctx, header)
}

// IsPassedOn reports whether a peer passes the request on. Only requests that arrive at the
// address for peers may be taken at their word.
func IsPassedOn(request *http.Request) bool {
	return request.Header.Get(relayedRunsHeader) != ""
}

// ServePassedOn relays a request that a peer passes on, because it reaches no endpoint. The
// request is not passed on again.
func (r *Relayer) ServePassedOn(w http.ResponseWriter, incoming *http.Request) {
	runs, err := strconv.Atoi(incoming.Header.Get(relayedRunsHeader))
	number, numberErr := strconv.ParseUint(incoming.Header.Get(configurationHeader), 10, 64)
	if err != nil || numberErr != nil || runs < 0 {
		w.WriteHeader(http.StatusBadRequest)

		return
	}
	incoming.Header.Del(relayedRunsHeader)
	incoming.Header.Del(configurationHeader)
	w.Header().Set(elsewhereHeader, isFinal)
	w.Header().Set(answeredHeader, r.codec.ParseRequest(incoming.Header).ID)
	r.serve(w, incoming, passedOnState{isPassedOn: true, possibleRuns: runs, configurationNumber: number})
}

// passedOnState is what a peer states of a request that it passes on.
type passedOnState struct {
	isPassedOn          bool
	possibleRuns        int    // endpoints that may have run it
	configurationNumber uint64 // that of the configuration that the peer applied
}

// checkReach returns an error if a peer passes the request on and this instance cannot reach an
// endpoint for it either.
func (r *relayedRequest) checkReach() *answerer.Error {
	if r.isPassedOn && r.relayer.dispatcher.IsCutOffFrom(r.placementRequest.Service) {
		return answerer.New(answerer.KindUnreachable, "No endpoint can be reached.").WithRetryAfter(reconnectRetryAfter)
	}

	return nil
}

// markElsewhere marks the refusal of a request that a peer passed on, if another instance may
// serve the request.
func (r *relayedRequest) markElsewhere(kind answerer.Kind) {
	switch kind {
	case answerer.KindUnreachable, answerer.KindNoConfiguration, answerer.KindStoreDown, answerer.KindStopping:
	case answerer.KindRefusedByEndpoint:
		if r.refusals > 0 {
			return
		}
	default:
		return
	}
	if r.isPassedOn && r.possibleRuns == 0 {
		r.w.Header().Set(elsewhereHeader, tryElsewhere)
	}
}
