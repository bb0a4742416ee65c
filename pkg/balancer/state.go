package balancer

import (
	"math"
	"time"
)

// State is what the balancer knows of one endpoint.
type State struct {
	Endpoint string
	Status   Status
	Running  int           // own requests in flight
	Tokens   int           // their tokens
	Others   float64       // requests of other instances, by the last report
	Gap      time.Duration // time between tokens; 0 when not observed lately
	Limit    int           // requests it may hold at its present speed
	Probe    time.Time     // next probe, when ejected
}

// States returns what is known of each endpoint, sorted by name.
func (b *Balancer) States() []State {
	states := make([]State, 0, len(b.order))
	for _, e := range b.order {
		states = append(states, e.state())
	}
	return states
}

func (e *engine) state() State {
	state := State{
		Endpoint: e.Name,
		Status:   e.standing.status,
		Running:  e.running,
		Tokens:   e.tokens,
		Others:   e.othersSlots,
		Limit:    int(math.Min(e.limit, e.slots)),
	}
	if e.Leaving || e.departed || e.draining {
		state.Status = Leaving
	}
	if e.standing.status == Ejected {
		state.Probe = e.standing.due
	}
	if e.meter.known() {
		state.Gap = time.Duration(e.meter.gap() * float64(time.Second))
	}
	return state
}
