package placer

import (
	"math"
	"time"
)

// group is the endpoints of one service.
type group struct {
	name      string      // of this instance
	endpoints []*endpoint // by rank
	rate      float64     // prompt tokens read in a millisecond
	long      int         // prompt tokens from which on a prompt is long
	demand    demand
	peers     map[string]peerDemand
	smooth    float64 // share of the engines for short prompts
	smoothed  time.Time
	current   int // border, of so many engines
	engines   int
}

type peerDemand struct {
	Demand
	at time.Time
}

const (
	// rateMemory is the weight of one more first token in the observed rate.
	rateMemory = 0.05
	// rateTokens is the fewest tokens a rate is learned from.
	rateTokens = 2048
)

func newGroup(settings Settings) *group {
	return &group{
		name: settings.InstanceName,
		rate: settings.PrefillRate, long: settings.LongPrompt,
		peers: map[string]peerDemand{}, smooth: startShare,
	}
}

// observe learns the rate from the time to a first token. Waiting makes it look
// slower than it is, so that a faster observation counts more.
func (g *group) observe(tokens int, took time.Duration) {
	if tokens < rateTokens || took <= 0 {
		return
	}
	seen := float64(tokens) / (float64(took) / float64(time.Millisecond))
	weight := rateMemory
	if seen < g.rate {
		weight /= 4
	}
	g.rate += weight * (min(seen, 4*g.rate) - g.rate)
}

// reading is the time in which an engine reads the tokens.
func (g *group) reading(tokens int) time.Duration {
	return time.Duration(float64(tokens) / g.rate * float64(time.Millisecond))
}

// own is the demand of this instance.
func (g *group) own(now time.Time) Demand {
	demand := g.demand.engines(now, g.rate)
	pending := 0
	for _, e := range g.endpoints {
		demand.ShortPromptEngines += float64(e.own.RunningShortPrompts) / (batchShare * float64(e.slots()))
		pending += e.own.PendingTokens
	}
	demand.LongPromptEngines += g.reading(pending).Seconds() / backlogTarget.Seconds()
	demand.Split, demand.EngineCount = g.current, g.engines

	return demand
}

// total is the demand of all instances.
func (g *group) total(now time.Time) Demand {
	sum := g.own(now)
	for peer, demand := range g.peers {
		if now.Sub(demand.at) > demandMemory {
			delete(g.peers, peer)

			continue
		}
		sum.ShortPromptEngines += demand.ShortPromptEngines
		sum.LongPromptEngines += demand.LongPromptEngines
	}

	return sum
}

// border returns how many of n engines, by rank, are for short prompts. The
// live instance with the first name decides, so that all agree.
func (g *group) border(now time.Time, n int) int {
	own := g.decide(now, n)
	leader, border := g.name, own
	for peer, told := range g.peers {
		if told.EngineCount > 0 && peer < leader && now.Sub(told.at) < leadFor {
			leader = peer
			border = int(math.Round(float64(told.Split) * float64(n) / float64(told.EngineCount)))
		}
	}
	if n < 2 {
		return n
	}

	return min(n-1, max(1, border))
}

// decide finds the own border. It follows the demand of all instances and moves
// smoothly: each step moves families of prompts to other engines.
func (g *group) decide(now time.Time, n int) int {
	if total := g.total(now); total.ShortPromptEngines+total.LongPromptEngines > 0 {
		if g.smoothed.IsZero() {
			g.smoothed = now
		}
		weight := 1 - math.Exp(-now.Sub(g.smoothed).Seconds()/borderMemory.Seconds())
		g.smooth += weight * (total.share(n) - g.smooth)
		g.smoothed = now
	}
	wanted := float64(n) * g.smooth
	if n != g.engines || math.Abs(wanted-float64(g.current)) > borderSlack {
		g.current, g.engines = int(math.Round(wanted)), n
	}

	return g.current
}

// share is the part of n engines that short prompts get: in proportion while
// there are enough, and else what they need first, since the same time serves
// many more of them.
func (d Demand) share(n int) float64 {
	sum := d.ShortPromptEngines + d.LongPromptEngines
	if sum <= float64(n) {
		return d.ShortPromptEngines / sum
	}

	return max(d.ShortPromptEngines/sum, min(shortMost, d.ShortPromptEngines/float64(n)))
}

// demand is what arrives for a service, with exponential forgetting.
type demand struct {
	at          time.Time
	shortTokens float64 // prompt tokens
	longTokens  float64
}

func (d *demand) decay(now time.Time) {
	if d.at.IsZero() {
		d.at = now
	}
	age := now.Sub(d.at)
	if age <= 0 {
		return
	}
	factor := math.Exp(-age.Seconds() / demandMemory.Seconds())
	d.at = now
	d.shortTokens *= factor
	d.longTokens *= factor
}

func (d *demand) arrive(now time.Time, choice Choice) {
	d.decay(now)
	if choice.IsLongPrompt {
		d.longTokens += float64(choice.UncachedTokens)
	} else {
		d.shortTokens += float64(choice.UncachedTokens)
	}
}

// engines returns how many engines the prompts of this instance keep busy.
func (d *demand) engines(now time.Time, rate float64) Demand {
	d.decay(now)
	reading := rate * float64(time.Second/time.Millisecond) * demandMemory.Seconds()

	return Demand{ShortPromptEngines: d.shortTokens / reading, LongPromptEngines: d.longTokens / reading / busyTarget}
}
