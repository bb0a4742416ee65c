package relayer

import (
	"time"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// slowPace is the stated pace from which an answer is counted as one of a slow endpoint, in hundredths of the normal
// time. Counts by endpoint would need a metric for each that ever was; the log has them.
const slowPace = 150

// recordStatement passes on what an answer states of its endpoint's load.
func (r *relayedRequest) recordStatement(a *attempt) {
	load := a.endpointLoad
	if load == nil || a.isPeer {
		return
	}
	r.relayer.dispatcher.RecordStatement(a.placement, placer.Statement{
		RunningRequests: load.RunningRequests, QueuedRequests: load.QueuedRequests, Slots: load.Slots, Pace: load.Pace,
	})
	switch {
	case load.Pace >= slowPace:
		r.relayer.meter.Add("pace.stated-slow", 1)
	case load.Pace > 0:
		r.relayer.meter.Add("pace.stated-usual", 1)
	}
}

// paceFields returns the fields of a log entry on what was known of the endpoint's speed; none if the
// service's endpoints state no pace.
func paceFields(placement dispatcher.Placement) []any {
	pace := placement.Pace
	if pace.Slowness <= 0 {
		return nil
	}

	return []any{
		"stated pace", pace.Stated, "pace age ms", pace.Age.Milliseconds(), "slowness", pace.Slowness, "lasting slowness", pace.Lasting,
		"expected call ms", pace.ExpectedCallTime.Milliseconds(),
	}
}

// countCrossing counts an attempt that went to another data centre for the sake of the expected time.
func (r *relayedRequest) countCrossing(placement dispatcher.Placement) {
	if placement.Pace.Slowness > 0 && placement.InOtherDataCentre {
		r.relayer.meter.Add("pace.crossed", 1)
	}
}

// recordPaceError records by how much the time that an endpoint took differs from the expected one: to the
// first event of a stream, or to the answer of a plain service.
func (r *relayedRequest) recordPaceError(a *attempt) {
	if a.placement.Pace.Slowness <= 0 || a.sentAt.IsZero() {
		return
	}
	expected := a.placement.ExpectedTimeToFirstToken
	if !a.placement.HasPrompt {
		expected = a.placement.Pace.ExpectedCallTime
	}
	r.relayer.meter.RecordDuration("pace.error", (time.Since(a.sentAt) - expected).Abs())
}
