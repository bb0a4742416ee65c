package throttler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/throttler"
)

// The simulated fleet before one limited endpoint.
const (
	endpointID     = "e1"
	simulatedTime  = 60 * time.Second
	window         = 4 * time.Second // in which the requests at the endpoint are counted
	excessFactor   = 1.5             // of the limit that may arrive in a window
	excessRequests = 5               // that may arrive in a window beyond that
	topTierShare   = 0.3             // of the requests
	hotShare       = 0.4             // of the requests that one instance gets if callers are skewed
	lossRate       = 0.01            // of the messages
	simulationSeed = 1
	dataCentres    = 5
)

// fleet is a number of instances, a limit and the way in which they share it.
type fleet struct {
	instances int
	limit     float64
	skewed    bool
}

// way decides whether an instance sends a request of a tier now. It counts its messages.
type way interface {
	admit(now time.Time, instance, tier int) bool
	messages() int
}

// result is what the endpoint got.
type result struct {
	worstWindow int
	used        float64 // fraction of the limit
	topTier     float64 // fraction of the requests of the top tier
	messages    float64 // a second and instance
}

// allowed returns the largest number of requests that may arrive in a window.
func (f fleet) allowed() int {
	return int(excessFactor*f.limit*window.Seconds() + excessRequests)
}

// run plays requests at five times the limit.
func (f fleet) run(w way, random *rand.Rand) result {
	start := time.Unix(1000, 0)
	now := start
	rate := max(10, 5*f.limit)
	var arrivals []time.Time
	topTier := 0
	for now.Sub(start) < simulatedTime {
		now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		instance, tier := random.IntN(f.instances), 1
		if f.skewed && random.Float64() < hotShare {
			instance = 0
		}
		if random.Float64() < topTierShare {
			tier = 0
		}
		if w.admit(now, instance, tier) {
			arrivals = append(arrivals, now)
			if tier == 0 {
				topTier++
			}
		}
	}

	return result{
		worstWindow: worstWindow(arrivals), used: float64(len(arrivals)) / (f.limit * simulatedTime.Seconds()),
		topTier:  float64(topTier) / float64(max(1, len(arrivals))),
		messages: float64(w.messages()) / float64(f.instances) / simulatedTime.Seconds(),
	}
}

// worstWindow returns the largest number of arrivals in a window.
func worstWindow(arrivals []time.Time) int {
	worst, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) > window {
			first++
		}
		worst = max(worst, i-first+1)
	}

	return worst
}

// bucket is a naive token bucket.
type bucket struct {
	rate, burst, tokens float64
	filledAt            time.Time
}

func (b *bucket) fill(now time.Time) {
	if !b.filledAt.IsZero() {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.filledAt).Seconds())
	}
	b.filledAt = now
}

// evenParts gives each instance the same part of the limit.
type evenParts struct{ buckets []bucket }

func newEvenParts(f fleet) *evenParts {
	w := &evenParts{}
	for range f.instances {
		w.buckets = append(w.buckets, bucket{rate: f.limit / float64(f.instances), burst: 1, tokens: 1})
	}

	return w
}

func (w *evenParts) messages() int { return 0 }

func (w *evenParts) admit(now time.Time, instance, _ int) bool {
	b := &w.buckets[instance]
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--

	return true
}

// peerCounts lets each instance count its own requests and those that peers reported. Peers of its data centre, or of a small fleet, tell it at once by datagram; others
// in every second message that they exchange.
type peerCounts struct {
	fleet        fleet
	random       *rand.Rand
	buckets      []bucket
	pending      [][]time.Time // by instance: arrival times of peers' reports
	messageCount int
}

const (
	datagramDelay = 5 * time.Millisecond
	maxUndivided  = 13
	// contactsPerSecond is the number of messages that an instance exchanges with those
	// of other data centres.
	contactsPerSecond = 40
)

func newPeerCounts(f fleet, random *rand.Rand) *peerCounts {
	w := &peerCounts{fleet: f, random: random, pending: make([][]time.Time, f.instances)}
	for range f.instances {
		w.buckets = append(w.buckets, bucket{rate: f.limit, burst: 2, tokens: 1})
	}

	return w
}

func (w *peerCounts) messages() int { return w.messageCount }

func (w *peerCounts) admit(now time.Time, instance, _ int) bool {
	b := &w.buckets[instance]
	b.fill(now)
	w.pending[instance] = slices.DeleteFunc(w.pending[instance], func(at time.Time) bool {
		if at.After(now) {
			return false
		}
		b.tokens--

		return true
	})
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	for peer := range w.pending {
		isNear := w.fleet.instances <= maxUndivided || peer%dataCentres == instance%dataCentres
		switch {
		case peer == instance:
		case isNear:
			w.messageCount++
			if w.random.Float64() >= lossRate {
				w.pending[peer] = append(w.pending[peer], now.Add(datagramDelay))
			}
		default:
			interval := 2 * time.Duration(w.fleet.instances) * time.Second / contactsPerSecond
			w.pending[peer] = append(w.pending[peer], now.Add(time.Duration(w.random.Float64()*float64(interval))))
		}
	}

	return true
}

// lending gets permits from the endpoint's home. Messages arrive at once or are lost.
type lending struct {
	throttlers   map[string]*throttler.Throttler
	names        []string
	random       *rand.Rand
	messageCount int
}

func newLending(f fleet, random *rand.Rand) *lending {
	w := &lending{throttlers: map[string]*throttler.Throttler{}, random: random}
	for i := range f.instances {
		w.names = append(w.names, fmt.Sprintf("i%03d", i))
	}
	longAgo := time.Unix(0, 0)
	for _, name := range w.names {
		t := throttler.New(longAgo, name)
		t.SetMembers(longAgo, w.names)
		t.RecordAnswer(longAgo, longAgo, endpointID, throttler.Limit{IsStated: true, Rate: f.limit})
		w.throttlers[name] = t
	}

	return w
}

func (w *lending) messages() int { return w.messageCount }

func (w *lending) admit(now time.Time, instance, tier int) bool {
	name := w.names[instance]
	t := w.throttlers[name]
	if _, blocked := t.Blocked(now, tier, true)[endpointID]; blocked {
		return false
	}
	action, home := t.Take(now, endpointID, tier)
	if action != throttler.RequestPermit {
		return action == throttler.Send
	}
	w.messageCount += 2
	var reply throttler.Reply
	isAnswered := w.throttlers[home] != nil && w.random.Float64() >= lossRate
	if isAnswered {
		statement, _ := t.Statement(endpointID)
		reply = w.throttlers[home].Lend(now, statement, tier)
		isAnswered = w.random.Float64() >= lossRate
	}
	t.RecordReply(now, endpointID, tier, reply, isAnswered)
	if reply.Permits == 0 || !isAnswered {
		return false
	}
	action, _ = t.Take(now, endpointID, tier)

	return action == throttler.Send
}

// Guards against a fleet of any size that sends an endpoint more than its limit, or leaves
// its room unused. Even parts and news among peers are played beside lending for the
// figures in docs/design/limits.md.
func TestLendingKeepsAndUsesTheLimit(t *testing.T) {
	const minUsed, minTopTier = 0.8, 0.8
	t.Logf("%-14s %9s %6s  worst window of allowed, used, top tier, messages a second and instance", "way", "instances", "limit")
	for _, instances := range []int{7, 83, 380} {
		for _, limit := range []float64{0.5, 1, 10, 100} {
			for _, skewed := range []bool{false, true} {
				f := fleet{instances: instances, limit: limit, skewed: skewed}
				newRandom := func() *rand.Rand { return rand.New(rand.NewPCG(simulationSeed, uint64(instances))) }
				results := map[string]result{
					"even parts":  f.run(newEvenParts(f), newRandom()),
					"peer counts": f.run(newPeerCounts(f, newRandom()), newRandom()),
					"lending":     f.run(newLending(f, newRandom()), newRandom()),
				}
				for _, name := range []string{"even parts", "peer counts", "lending"} {
					r := results[name]
					t.Logf("%-14s %9d %6g  skewed %-5v %4d of %3d, %.2f, %.2f, %.2f", name, instances, limit, skewed, r.worstWindow, f.allowed(), r.used, r.topTier, r.messages)
				}
				lent := results["lending"]
				assert.Assert(t, lent.worstWindow <= f.allowed(), "%+v: %d requests in a window", f, lent.worstWindow)
				assert.Assert(t, lent.used >= minUsed, "%+v: %g of the limit used", f, lent.used)
				assert.Assert(t, lent.topTier >= minTopTier, "%+v: %g of the requests are of the top tier", f, lent.topTier)
			}
		}
	}
}
