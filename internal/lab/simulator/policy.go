package simulator

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// Policy is a way of choosing engines for requests.
type Policy struct {
	Name string
	// choose returns one of the untried engine indexes; requestCount is the number of
	// requests so far. If it is nil, the instances' placers choose.
	choose func(f *Fleet, requestCount int, request placer.Request, untried []int) int
	// sendsLoadUpdates reports whether instances send changes of their loads to each
	// other at once, besides the rounds of gossip.
	sendsLoadUpdates bool
	// copiesCache reports whether the chosen engine copies cached prompt blocks from
	// any engine that has them.
	copiesCache bool
	// ignoresStatements reports whether instances ignore what engines state of their load and pace.
	ignoresStatements bool
}

// minLongPromptTokens is the length from which the policies without a placer treat a
// prompt as long.
const minLongPromptTokens = 4096

// RouterPlacer uses the placer as the router does.
func RouterPlacer() Policy {
	return Policy{Name: "ours", sendsLoadUpdates: true}
}

// GossipOnly is RouterPlacer without load updates: instances learn each other's loads
// from rounds of gossip alone.
func GossipOnly() Policy {
	return Policy{Name: "by messages"}
}

// RoundRobin takes the engines in turn.
func RoundRobin() Policy {
	return Policy{Name: "in turn", choose: func(_ *Fleet, requestCount int, _ placer.Request, untried []int) int {
		return untried[requestCount%len(untried)]
	}}
}

// FixedSplit reserves a third of the engines for short prompts, and sends the long
// prompts of a prefix group to the same one of the others.
func FixedSplit() Policy {
	return Policy{Name: "a fixed third", choose: func(_ *Fleet, requestCount int, request placer.Request, untried []int) int {
		shortEngines := len(untried) / 3
		if request.PromptTokens < minLongPromptTokens {
			return untried[requestCount%max(1, shortEngines)]
		}

		return untried[shortEngines+int(request.Blocks[0].ID)%(len(untried)-shortEngines)]
	}}
}

// Oracle knows the exact state of every engine at any time, lets engines copy all
// cached prompt blocks, and avoids engines that are down or unresponsive. It takes the
// engine with the least cost, which is the time to the prompt's first token plus a
// penalty for pausing other streams, and refuses no request.
func Oracle() Policy {
	return Policy{Name: "known", copiesCache: true, choose: func(f *Fleet, _ int, request placer.Request, untried []int) int {
		best, lowestCost := untried[0], time.Duration(0)
		for n, i := range untried {
			if cost := f.oracleCost(f.engines[i], request); n == 0 || cost < lowestCost {
				best, lowestCost = i, cost
			}
		}

		return best
	}}
}

// Policies returns all policies: the router's two, the baselines and the oracle.
func Policies() []Policy {
	return []Policy{RouterPlacer(), GossipOnly(), RoundRobin(), FixedSplit(), Oracle()}
}

const (
	// maxPendingPrefillTokens is how many prompt tokens an engine can prefill within
	// the longest pause that its streams may have.
	maxPendingPrefillTokens = 3 * prefillChunkTokens
	// longPauseCost is the cost of one stream that pauses too long, as a time.
	longPauseCost = 20 * time.Millisecond
)

// oracleCost returns the exact time to the prompt's first token at an engine, plus a
// penalty for the streams there that a long prompt would pause too long.
func (f *Fleet) oracleCost(e *engine, request placer.Request) time.Duration {
	if e.down || e.unresponsive {
		return time.Hour
	}
	uncachedTokens := e.uncachedTokens(request.PromptTokens, request.Blocks)
	if source := f.cacheSource(request); source != nil {
		uncachedTokens = min(uncachedTokens, source.uncachedTokens(request.PromptTokens, request.Blocks))
	}
	pendingTokens := e.pendingPrefillTokens() + uncachedTokens
	cost := time.Duration(float64(pendingTokens)/prefillTokensPerMillisecond*float64(time.Millisecond)) + time.Duration(len(e.running))*stepDurationPerStream*tokensPerEvent
	if pendingTokens > maxPendingPrefillTokens && request.PromptTokens >= minLongPromptTokens {
		cost += time.Duration(len(e.running)) * longPauseCost
	}

	return f.pacedOracleCost(e, cost)
}
