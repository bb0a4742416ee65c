package throttler_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/granter"
	"github.com/oleanderpick/oleanderpick/pkg/throttler"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

// faultyFleet is a fleet whose instances restart, leave, are cut off, and learn of all that
// late.
type faultyFleet struct {
	random    *rand.Rand
	now       time.Time
	limit     float64
	instances []*simulatedInstance
	arrivals  []time.Time // of requests from undisturbed instances that know the limit
}

// simulatedInstance is an instance and what happens to it.
type simulatedInstance struct {
	name       string
	throttler  *throttler.Throttler
	isDown     bool
	isLeaving  bool
	isCut      bool      // from all others, not from the endpoint
	disturbed  time.Time // end of its last restart or cut
	toldAt     time.Time // first answer of the endpoint since the start; zero if none
	views      map[string]*memberView
	lastGossip time.Time
}

// memberView is what an instance believes of another.
type memberView struct {
	isMember  bool
	changesTo bool
	changesAt time.Time
}

const (
	step           = 20 * time.Millisecond
	faultyTime     = 40 * time.Second
	maxViewLag     = 1500 * time.Millisecond // until a change of the members is known
	gossipInterval = 200 * time.Millisecond
	stableTime     = 3 * time.Second        // after the first statement until the limit is checked
	toldTime       = 500 * time.Millisecond // from an instance's first answer with a limit until it counts
	excusedTime    = 4 * time.Second        // after a restart or cut
	faultRate      = 0.7                    // faults a second
	pauseTime      = 5 * time.Second        // without requests, after as long with requests
)

func newFaultyFleet(random *rand.Rand, count int, limit float64) *faultyFleet {
	f := &faultyFleet{random: random, now: time.Unix(1000, 0), limit: limit}
	for i := range count {
		f.instances = append(f.instances, &simulatedInstance{name: fmt.Sprintf("i%02d", i)})
	}
	for _, m := range f.instances {
		f.start(m)
	}

	return f
}

// start starts an instance that knows nothing.
func (f *faultyFleet) start(m *simulatedInstance) {
	*m = simulatedInstance{name: m.name, throttler: throttler.New(f.now, m.name), disturbed: f.now, views: map[string]*memberView{}}
}

// isVisible reports whether others can hear from the instance.
func (m *simulatedInstance) isVisible() bool { return !m.isDown && !m.isCut }

// updateViews lets each instance notice changes of the members after a random lag.
func (f *faultyFleet) updateViews() {
	for _, m := range f.instances {
		if m.isDown {
			continue
		}
		var members []string
		if !m.isLeaving {
			members = append(members, m.name)
		}
		for _, other := range f.instances {
			if other == m {
				continue
			}
			view := m.views[other.name]
			if view == nil {
				view = &memberView{}
				m.views[other.name] = view
			}
			isMember := other.isVisible() && !m.isCut && !other.isLeaving
			if isMember != view.changesTo {
				view.changesTo, view.changesAt = isMember, f.now.Add(time.Duration(f.random.Float64()*float64(maxViewLag)))
			}
			if !f.now.Before(view.changesAt) {
				view.isMember = view.changesTo
			}
			if view.isMember {
				members = append(members, other.name)
			}
		}
		slices.Sort(members)
		if len(members) > 0 {
			m.throttler.SetMembers(f.now, members)
		}
	}
}

// gossip lets each instance fetch the statements of one other.
func (f *faultyFleet) gossip() {
	for _, m := range f.instances {
		other := f.instances[f.random.IntN(len(f.instances))]
		if m.isVisible() && other.isVisible() && other != m && f.now.Sub(m.lastGossip) >= gossipInterval {
			m.lastGossip = f.now
			m.throttler.ReceiveStatements(f.now, other.throttler.Statements(f.now))
		}
	}
}

// injectFault restarts, stops or cuts off an instance, or ends such a state. Every other
// fault hits the endpoint's home, if there is one.
func (f *faultyFleet) injectFault() {
	m := f.instances[f.random.IntN(len(f.instances))]
	if f.random.IntN(2) == 0 {
		m = f.home(m)
	}
	switch {
	case m.isDown:
		f.start(m)
	case m.isCut:
		m.isCut, m.disturbed = false, f.now
	case m.isLeaving:
		m.isDown = true
	default:
		switch f.random.IntN(4) {
		case 0:
			f.start(m)
		case 1:
			m.isDown = true
		case 2:
			m.isCut = true
		case 3:
			m.isLeaving = true
		}
	}
}

// home returns the home of the endpoint among the instances that are members; the given
// one if there are none.
func (f *faultyFleet) home(fallback *simulatedInstance) *simulatedInstance {
	var members []string
	for _, m := range f.instances {
		if m.isVisible() && !m.isLeaving {
			members = append(members, m.name)
		}
	}
	name := granter.HomeOf(endpointID, members)
	for _, m := range f.instances {
		if m.name == name {
			return m
		}
	}

	return fallback
}

// send sends a request to the endpoint if the instance may, and records the answer.
func (f *faultyFleet) send(m *simulatedInstance, tier int) {
	if m.isDown || !f.mayUse(m, tier) {
		return
	}
	isExcused := m.isCut || m.isLeaving || f.now.Sub(m.disturbed) < excusedTime
	if !isExcused && !m.toldAt.IsZero() && f.now.Sub(m.toldAt) >= toldTime {
		f.arrivals = append(f.arrivals, f.now)
	}
	m.throttler.RecordAnswer(f.now, f.now, endpointID, throttler.Limit{IsStated: true, Rate: f.limit})
	if m.toldAt.IsZero() {
		m.toldAt = f.now
	}
}

// mayUse gets a permit if one is needed. Between instances that cannot reach each other all
// messages are lost, between others one in a hundred.
func (f *faultyFleet) mayUse(m *simulatedInstance, tier int) bool {
	if _, blocked := m.throttler.Blocked(f.now, tier, true)[endpointID]; blocked {
		return false
	}
	action, home := m.throttler.Take(f.now, endpointID, tier)
	if action != throttler.RequestPermit {
		return action == throttler.Send
	}
	var reply throttler.Reply
	isAnswered := false
	for _, other := range f.instances {
		if other.name == home && other.isVisible() && m.isVisible() && f.random.Float64() >= lossRate {
			statement, _ := m.throttler.Statement(endpointID)
			reply = other.throttler.Lend(f.now, statement, tier)
			isAnswered = f.random.Float64() >= lossRate
		}
	}
	m.throttler.RecordReply(f.now, endpointID, tier, reply, isAnswered)
	if !isAnswered || reply.Permits == 0 {
		return false
	}
	action, _ = m.throttler.Take(f.now, endpointID, tier)

	return action == throttler.Send
}

// Guards against an endpoint that gets more than its limit while instances restart, leave
// or are cut off and the others learn of that at different times.
func TestLimitIsKeptWhileInstancesComeAndGo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(2, 24).Draw(t, "instances")
		limit := rapid.SampledFrom([]float64{0.2, 1, 3, 10, 40}).Draw(t, "limit")
		seed := rapid.Uint64().Draw(t, "seed")
		f := newFaultyFleet(rand.New(rand.NewPCG(seed, 0)), instances, limit)
		start := f.now
		for f.now.Sub(start) < faultyTime {
			f.now = f.now.Add(step)
			if f.random.Float64() < faultRate*step.Seconds() {
				f.injectFault()
			}
			f.updateViews()
			f.gossip()
			if f.now.Sub(start)/pauseTime%2 == 1 {
				continue
			}
			for range 1 + int(3*limit*step.Seconds()) {
				f.send(f.instances[f.random.IntN(len(f.instances))], f.random.IntN(3))
			}
		}
		arrivals := slices.DeleteFunc(f.arrivals, func(at time.Time) bool { return at.Sub(start) < stableTime })
		allowed := fleet{limit: limit}.allowed()
		if worst := worstWindow(arrivals); worst > allowed {
			t.Fatalf("%d requests within %v, %d are allowed", worst, window, allowed)
		}
	})
}
