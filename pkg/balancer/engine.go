package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	// reportMemory is the time constant with which a load report gives way to
	// the mean of the peers' reports.
	reportMemory = 2 * time.Second
	// reportTrust is the weight of a fresh report. All instances act on the same
	// reports, so each corrects only a part of what they show.
	reportTrust = 0.3
	// refusedFor is how long an endpoint that refused a request counts as full.
	refusedFor = 200 * time.Millisecond
	// limitStep is the shortest time between two changes of a limit.
	limitStep = 250 * time.Millisecond
	// limitRest is the time without evidence after which a limit goes up.
	limitRest = time.Second
	// limitFloor is the share of the slots that a limit never goes below.
	limitFloor = 0.25
	// lateHigh and lateLow are the shares of late tokens at which a limit
	// goes down and up.
	lateHigh, lateLow = 0.04, 0.01
	// gapHigh and gapLow are the shares of the target time between tokens at
	// which a limit goes down and up.
	gapHigh, gapLow = 0.97, 0.88
	// limitSteps is the steps in which a limit goes up to all slots.
	limitSteps = 32
	// limitDown is the factor by which a limit goes down.
	limitDown = 0.9
	// promptSeconds is the time per prompt token of an endpoint not yet seen.
	promptSeconds = 0.00025
	// promptLearn is the weight of a new first-token delay.
	promptLearn = 0.02
	// promptLeast is the fewest prompt tokens a delay is divided by.
	promptLeast = 64
)

// engine is the state of one endpoint. What a pick reads stands first.
type engine struct {
	group   *group
	running int // own requests
	tokens  int // their tokens
	alone   int // own requests that asked to be alone
	pending int // prompt tokens of own requests before their first token
	slots   float64
	limit   float64 // requests it may hold at its present speed
	meter   meter

	away     bool // in another data centre
	removed  bool
	departed bool   // leaves for good
	draining bool   // by its newest report
	epoch    uint32 // grows when its cache is lost
	pick     uint64 // serial of the pick that set reuse
	reuse    int    // prompt tokens it holds of the request being placed

	taken        time.Time // of the newest load report
	othersSlots  float64
	othersTokens float64
	refusedUntil time.Time
	standing     standing
	Endpoint

	decoding     int // own requests past their first token
	lastToken    time.Time
	limitChanged time.Time
	history      history
}

func newEngine(name string) *engine {
	return &engine{Endpoint: Endpoint{Name: name}, limit: math.Inf(1)}
}

// open tells whether the endpoint takes new requests and this one hasn't been
// tried there.
func (e *engine) open(ask *Request) bool {
	if e.removed || e.Leaving || e.departed || e.draining {
		return false
	}
	return len(ask.TriedEndpoints) == 0 || !slices.Contains(ask.TriedEndpoints, e.Name)
}

// serves tells whether the endpoint has the request's service and model.
func (e *engine) serves(ask *Request) bool {
	return e.Service == ask.Service && (len(e.Models) == 0 || slices.Contains(e.Models, ask.Model))
}

// limited tells whether the endpoint is too slow to be filled further.
func (e *engine) limited(now time.Time) bool {
	return e.limit < e.slots && e.load(now)+1 > e.limit
}

// fits tells whether the endpoint has room for the request. What others run
// there counts only when no room function answers for it.
func (e *engine) fits(now time.Time, ask *Request, room CapacityFunc) bool {
	if e.alone > 0 || now.Before(e.refusedUntil) {
		return false
	}
	if room != nil {
		return room(e.Name, 1, ask.TotalTokens)
	}
	if e.load(now)+1 > e.slots {
		return false
	}
	if e.TokenCapacity == 0 {
		return true
	}
	return float64(e.tokens+ask.TotalTokens)+e.others(now, e.othersTokens, e.group.othersTokens) <= float64(e.TokenCapacity)
}

// load estimates the requests at the endpoint, those of others included.
func (e *engine) load(now time.Time) float64 {
	return float64(e.running) + e.others(now, e.othersSlots, e.group.othersSlots)
}

// others draws an ageing report towards the mean of the peers' reports.
func (e *engine) others(now time.Time, reported, total float64) float64 {
	if e.group.reported == 0 {
		return 0
	}
	mean := total / float64(e.group.reported)
	if e.taken.IsZero() {
		return mean
	}
	trust := reportTrust * math.Exp(-max(0, now.Sub(e.taken).Seconds())/reportMemory.Seconds())
	return trust*reported + (1-trust)*mean
}

// factor is the slowdown by load: a full endpoint makes tokens at half speed.
func (e *engine) factor(load float64) float64 {
	return 1 + load/max(1, e.slots)
}

// finish estimates the seconds until the request would be done here.
func (e *engine) finish(now time.Time, ask *Request, reuse int) float64 {
	fresh := max(0, ask.PromptTokens-reuse)
	answer := max(1, ask.TotalTokens-ask.PromptTokens)
	base := e.meter.base(e.group.base)
	slowness := base / e.group.base
	gap := base * e.factor(e.load(now)+1)
	return float64(e.pending+fresh)*e.group.promptSeconds*slowness + float64(answer)*gap
}

// firstToken learns the time per prompt token from a first-token delay. The
// prompts that were ahead of the request count too.
func (g *group) firstToken(delay time.Duration, prompts int) {
	seen := delay.Seconds() / float64(max(promptLeast, prompts))
	g.promptSeconds += promptLearn * (seen - g.promptSeconds)
}

// adjust moves the limit by the share of late tokens: down by a factor, up by
// steps, so that an endpoint too slow for the target isn't filled.
func (e *engine) adjust(now time.Time, target time.Duration) {
	if !e.meter.known() || now.Sub(e.limitChanged) < limitStep {
		return
	}
	load := e.load(now)
	late, gap := e.meter.late/e.meter.tokens, e.meter.gap()/target.Seconds()
	switch {
	case late > lateHigh || gap > gapHigh:
		e.limit = max(math.Ceil(e.slots*limitFloor), limitDown*min(e.limit, e.slots, load))
		e.limitChanged = now
	case late < lateLow && gap < gapLow && e.limit < e.slots && load+1 >= e.limit:
		e.limit = min(e.slots, e.limit+max(1, e.slots/limitSteps))
		e.limitChanged = now
	}
}

// relax lets the limit of an endpoint without evidence drift up, so that it is
// tried again.
func (e *engine) relax(now time.Time) {
	if e.limit >= e.slots || e.meter.known() || now.Sub(e.limitChanged) < limitRest {
		return
	}
	e.limit = min(e.slots, e.limit+max(1, e.slots/limitSteps))
	e.limitChanged = now
}

// report takes in a load report and splits off the own share.
func (e *engine) report(now time.Time, load LoadReport) {
	taken := load.MeasuredAt
	if taken.After(now) {
		taken = now
	}
	if !taken.After(e.taken) {
		return
	}
	own := e.history.at(taken)
	if !e.taken.IsZero() {
		e.group.forget(e)
	}
	e.taken = taken
	e.draining = load.Draining
	e.othersSlots = float64(max(0, load.Running+load.Waiting-own.running))
	e.othersTokens = float64(max(0, load.UsedTokens-own.tokens))
	e.group.count(e)
}

func (e *engine) changed(now time.Time, slots, tokens int) {
	e.running += slots
	e.tokens += tokens
	e.group.running += slots
	e.history.note(now, e.running, e.tokens)
}
