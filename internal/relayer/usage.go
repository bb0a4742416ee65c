package relayer

import (
	"net/http"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/matcher"
)

// UsageCounter counts the requests that endpoints began to run.
type UsageCounter interface {
	// CountRun counts a request of a workspace that an endpoint began to run at a time.
	CountRun(workspace string, beganAt time.Time)
}

// SetUsageCounter sets what counts requests. Without it, they are not counted. Call SetUsageCounter
// before the first request.
func (r *Relayer) SetUsageCounter(counter UsageCounter) {
	r.usage = counter
}

// countRun counts the request, once, as begun by the attempt's endpoint. Not counted are requests
// without a workspace, those that a peer runs, which counts them, and those that take up a stream of
// which the caller has events: the request that began it was counted.
func (r *relayedRequest) countRun(a *attempt, beganAt time.Time) {
	isTakenUp := r.route.Kind == matcher.Streaming && r.metadata.LastEventID != ""
	if r.relayer.usage == nil || r.isCounted || a.isPeer || r.forwarding.Workspace == "" || isTakenUp {
		return
	}
	r.isCounted = true
	r.relayer.usage.CountRun(r.forwarding.Workspace, beganAt)
}

// countAnswered counts a request whose answer is not a stream, if the answer shows that the endpoint
// ran it. A failure may come before that, unless it states that the request ran. When the run began
// is not stated; the time of sending is the closest that is known.
func (r *relayedRequest) countAnswered(a *attempt, metadata ResponseMetadata) {
	if metadata.HasRun || a.response.StatusCode < http.StatusInternalServerError && !promisesNotRun(a.response.StatusCode) {
		r.countRun(a, a.sentAt)
	}
}
