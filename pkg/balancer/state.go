package balancer

import (
	"math"
	"time"
)

// State is what the balancer knows about one endpoint.
type State struct {
	Endpoint         string
	Status           Status
	LocalRequests    int           // this instance's requests in flight
	LocalTokens      int           // prompt and estimated answer tokens of these
	RemoteRequests   float64       // other instances' requests by the last load report
	TokenInterval    time.Duration // mean time between tokens of a stream; 0 without recent evidence
	ConcurrencyLimit int           // concurrent requests allowed at its present speed
	ProbeDueAt       time.Time     // when the next probe is due; zero unless ejected
}

// States returns the state of each configured endpoint, sorted by name.
func (b *Balancer) States() []State {
	states := make([]State, 0, len(b.configured))
	for _, e := range b.configured {
		states = append(states, e.state())
	}
	return states
}

func (e *trackedEndpoint) state() State {
	state := State{
		Endpoint:         e.Name,
		Status:           e.breaker.status,
		LocalRequests:    e.localRequests,
		LocalTokens:      e.localTokens,
		RemoteRequests:   e.remoteRequests,
		ConcurrencyLimit: int(math.Min(e.concurrencyLimit, e.slots)),
	}
	if e.Leaving || e.markedLeaving || e.reportedDraining {
		state.Status = Leaving
	}
	if e.breaker.status == Ejected {
		state.ProbeDueAt = e.breaker.probeDueAt
	}
	if e.meter.hasEvidence() {
		state.TokenInterval = time.Duration(e.meter.tokenInterval() * float64(time.Second))
	}
	return state
}
