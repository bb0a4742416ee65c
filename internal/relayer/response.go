package relayer

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/common/verifier"
	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/throttler"
)

// handleResponse decides by the status and headers of a response whether its body is
// forwarded or discarded, or whether the attempt has failed.
func (r *relayedRequest) handleResponse(ctx context.Context, a *attempt) {
	metadata := r.relayer.codec.ParseResponse(a.response.StatusCode, a.response.Header)
	a.endpointLoad, a.rateLimit, a.answeredID = metadata.Load, metadata.RateLimit, metadata.RequestID
	isOwn := metadata.RequestID == r.metadata.ID
	if isOwn && !metadata.Misdirected {
		r.recordLimit(a, metadata)
		r.recordMaxRejections(a, metadata)
		r.recordAvailability(a, metadata)
		r.recordStatement(a)
	}
	isRefusal := metadata.Misdirected || (metadata.NotRun && a.response.StatusCode != http.StatusBadRequest)
	a.mayHaveRun = true // Unless a refusal proves the opposite.
	switch {
	case !isOwn: // It may be an earlier answer, which says nothing of this request.
		r.failAttempt(ctx, a, errors.Errorf("answer is for request %q", metadata.RequestID))
	case isRefusal:
		r.handleRefusal(ctx, a, metadata)
	case a.response.Header.Get("Content-Encoding") != "":
		r.failAttempt(ctx, a, errors.New("answer has a content encoding"))
	case a.response.StatusCode == http.StatusOK && isEventStream(a.response.Header):
		r.forwardStream(ctx, a)
	case r.answerStarted:
		r.failAttempt(ctx, a, errors.Errorf("status %d instead of further events", a.response.StatusCode))
	default:
		r.countAnswered(a, metadata)
		r.forwardBuffered(ctx, a)
	}
}

// handleRefusal ends an attempt whose answer states that the request was not run. The statement
// holds only if one whole message makes it, which names the request and says nothing to the contrary.
func (r *relayedRequest) handleRefusal(ctx context.Context, a *attempt, metadata ResponseMetadata) {
	switch {
	case r.metadata.ID == "":
		r.failAttempt(ctx, a, errors.New("a refusal names no request"))
	case metadata.HasRun || !promisesNotRun(a.response.StatusCode):
		r.failAttempt(ctx, a, errors.Errorf("status %d says both that the request ran and that it did not", a.response.StatusCode))
	case !r.discardResponse(a):
		r.failAttempt(ctx, a, errors.New("a refusal is not whole"))
	case metadata.Misdirected:
		a.mayHaveRun = false
		a.result, a.failureCause = placer.Misdirected, errors.New("another endpoint has the address")
	default:
		a.mayHaveRun = false
		a.result, a.failureCause = placer.Refused, errors.Errorf("refused with status %d", a.response.StatusCode)
		r.relayer.dispatcher.RecordRejection(a.placement)
	}
}

// recordLimit records what an answer says of its endpoint's limit. A limit that cannot be
// read leaves the one before in force, and so does a refusal or failure that states none:
// only a served request shows that the endpoint needs none any more.
func (r *relayedRequest) recordLimit(a *attempt, metadata ResponseMetadata) {
	mayEndLimit := a.response.StatusCode/100 == 2 && r.relayer.dispatcher.HasLimits()
	if metadata.HasInvalidRateLimit || (metadata.RateLimit == nil && !mayEndLimit) {
		return
	}
	var limit throttler.Limit
	if metadata.RateLimit != nil {
		limit = throttler.Limit{IsStated: true, Rate: float64(*metadata.RateLimit)}
	}
	r.relayer.dispatcher.RecordLimit(a.placement, a.sentAt, limit)
}

// recordMaxRejections records whether an answer says that the endpoints of the service are
// brittle. As with limits, only a served request shows that they are not any more.
func (r *relayedRequest) recordMaxRejections(a *attempt, metadata ResponseMetadata) {
	mayEnd := a.response.StatusCode/100 == 2 && r.relayer.dispatcher.HasBrittleEndpoints()
	if metadata.HasInvalidMaxRejections || (metadata.MaxRejections == nil && !mayEnd) {
		return
	}
	var limit throttler.Limit
	if metadata.MaxRejections != nil {
		limit = throttler.Limit{IsStated: true, Rate: float64(*metadata.MaxRejections)}
	}
	r.relayer.dispatcher.RecordMaxRejections(r.placementRequest.Service, a.sentAt, limit)
}

// recordAvailability records what an answer says of its endpoint's taking further requests. A
// pause counts only with a refusal.
func (r *relayedRequest) recordAvailability(a *attempt, metadata ResponseMetadata) {
	availability := dispatcher.Availability{IsLeaving: metadata.IsLeaving}
	if a.response.StatusCode == http.StatusServiceUnavailable {
		availability.Pause = metadata.Pause
		if metadata.HasInvalidPause {
			r.relayer.logger.Warn("Endpoint asks for a pause that cannot be read.", "request", r.metadata.ID, "endpoint", a.placement.EndpointID)
		}
	}
	if availability != (dispatcher.Availability{}) {
		r.relayer.dispatcher.RecordAvailability(a.placement, availability)
	}
}

// defaultMaxConnections is the number of connections that an endpoint accepts if the
// configuration does not state it.
const defaultMaxConnections = 100

// releaseConnection returns the connection to the connector for reuse. After an answer that is not the
// final one the request may be sent again; the connection is not reused for that, as a copy of this
// answer would pass for the next one. All instances together keep at most half of the connections that the endpoint
// accepts idle. This instance keeps an equal share of that half.
func (r *relayedRequest) releaseConnection(a *attempt, isFinal bool) {
	if !isFinal {
		a.connection.Exclude(r.metadata.ID)
	}
	if a.isPeer {
		r.relayer.peers.Release(a.connection, a.response, maxIdlePeerConnections)

		return
	}
	r.relayer.connections.Release(a.connection, a.response, r.maxIdleConnections())
}

// maxIdleConnections returns how many idle connections this instance may keep to an
// endpoint of the request's service.
func (r *relayedRequest) maxIdleConnections() int {
	maxConnections := r.service.MaxConnections
	if maxConnections <= 0 {
		maxConnections = defaultMaxConnections
	}

	return r.relayer.dispatcher.LocalShare(maxConnections / 2)
}

// maxDiscardedBytes is how much of a discarded answer is read so that its connection can
// be reused. The connection of a longer answer is closed.
const maxDiscardedBytes = 16 << 10

// maxDiscardTime is how long the body of a discarded answer may take. The bodies of
// refusals arrive with their headers.
const maxDiscardTime = 100 * time.Millisecond

// discardResponse reads the body of an answer that is not forwarded. It returns false if the body is not
// whole, is too long, or may hold the beginning of another answer; the connection is closed then.
func (r *relayedRequest) discardResponse(a *attempt) bool {
	timer := time.AfterFunc(maxDiscardTime, a.connection.Close)
	body, err := io.ReadAll(io.LimitReader(a.response.Body, maxDiscardedBytes))
	isInTime := timer.Stop() // Before the connection may carry another request.
	if !isInTime || err != nil || len(body) == maxDiscardedBytes || verifier.MayHoldStart(body) {
		a.connection.Close()

		return false
	}
	r.releaseConnection(a, false)

	return true
}
