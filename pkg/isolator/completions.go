package isolator

import (
	"container/list"
	"time"
)

// completedTTL is how long a completion counts.
const completedTTL = 10 * time.Minute

// completions stores when blocks last completed, for a bounded number of blocks. The ones
// that completed longest ago are evicted first.
type completions struct {
	maxBlocks int
	elements  map[uint64]*list.Element // by block
	recency   *list.List               // of completion, the latest in front
}

// completion is the last completion of a block.
type completion struct {
	block uint64
	at    time.Time
}

func newCompletions(maxBlocks int) *completions {
	return &completions{maxBlocks: maxBlocks, elements: map[uint64]*list.Element{}, recency: list.New()}
}

// record records that a block completed now.
func (c *completions) record(block uint64, now time.Time) {
	if element, ok := c.elements[block]; ok {
		element.Value = completion{block: block, at: now}
		c.recency.MoveToFront(element)

		return
	}
	c.elements[block] = c.recency.PushFront(completion{block: block, at: now})
	if c.recency.Len() > c.maxBlocks {
		oldest := c.recency.Back()
		c.recency.Remove(oldest)
		delete(c.elements, c.valueOf(oldest).block)
	}
}

// latest returns when a block last completed; zero if that is not known or too long ago.
func (c *completions) latest(now time.Time, block uint64) time.Time {
	element, ok := c.elements[block]
	if !ok {
		return time.Time{}
	}
	at := c.valueOf(element).at
	if now.Sub(at) >= completedTTL {
		return time.Time{}
	}

	return at
}

func (c *completions) valueOf(element *list.Element) completion {
	value, _ := element.Value.(completion)

	return value
}
