package simulator

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// Way chooses engines for requests.
type Way struct {
	Name string
	// choose picks among the engines that are not avoided; nil: the instances'
	// placers do.
	choose func(f *Fleet, serial int, ask placer.Request, open []int) int
	// notes tells that instances tell loads at once, beside their messages.
	notes bool
	// copies tells that cached parts are copied from any engine that has them.
	copies bool
}

// shortMost is the most tokens of a prompt that the naive ways count as short.
const shortMost = 4096

// Ours is the placer as the router uses it.
func Ours() Way {
	return Way{Name: "ours", notes: true}
}

// Messages is ours without notes: loads are told by messages alone.
func Messages() Way {
	return Way{Name: "by messages"}
}

// InTurn takes the engines in turn.
func InTurn() Way {
	return Way{Name: "in turn", choose: func(_ *Fleet, serial int, _ placer.Request, open []int) int {
		return open[serial%len(open)]
	}}
}

// FixedThird keeps a third of the engines for short prompts, and families of
// long ones together on the others.
func FixedThird() Way {
	return Way{Name: "a fixed third", choose: func(_ *Fleet, serial int, ask placer.Request, open []int) int {
		border := len(open) / 3
		if ask.PromptTokens < shortMost {
			return open[serial%max(1, border)]
		}

		return open[border+int(ask.Blocks[0].ID)%(len(open)-border)]
	}}
}

// Known sees every engine's true state at once, copies what any engine has
// cached, and leaves engines that are out of order. It takes the engine where a
// prompt's first token and the pauses that it causes cost least, and refuses
// nothing.
func Known() Way {
	return Way{Name: "known", copies: true, choose: func(f *Fleet, _ int, ask placer.Request, open []int) int {
		best, lowest := open[0], time.Duration(0)
		for n, i := range open {
			if cost := f.cost(f.engines[i], ask); n == 0 || cost < lowest {
				best, lowest = i, cost
			}
		}

		return best
	}}
}

// Policies returns all ways, the naive ones after ours.
func Policies() []Way {
	return []Way{Ours(), Messages(), InTurn(), FixedThird(), Known()}
}

const (
	// pauseTokens are read in the longest pause that streams may have.
	pauseTokens = 3 * chunkTokens
	// pauseCost is the time that a stream which pauses too long counts for.
	pauseCost = 20 * time.Millisecond
)

// cost is the true time to the prompt's first token, and what it does to others.
func (f *Fleet) cost(e *engine, ask placer.Request) time.Duration {
	if e.down || e.dark {
		return time.Hour
	}
	fresh := e.fresh(ask.PromptTokens, ask.Blocks)
	if source := f.holder(ask); source != nil {
		fresh = min(fresh, source.fresh(ask.PromptTokens, ask.Blocks))
	}
	unread := e.unread() + fresh
	cost := time.Duration(float64(unread)/tokensPerMilli*float64(time.Millisecond)) + time.Duration(len(e.running))*stepPerStream*tokensPerEvent
	if unread > pauseTokens && ask.PromptTokens >= shortMost {
		cost += time.Duration(len(e.running)) * pauseCost
	}

	return cost
}
