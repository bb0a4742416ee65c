package emulator

import (
	"container/list"
	"fmt"
	"time"
)

const (
	// blockBytes is the size of a prompt block, the unit of the prefix cache.
	blockBytes = 256
	// bytesPerToken is how many bytes of a prompt count as one token.
	bytesPerToken = 4
	blockTokens   = blockBytes / bytesPerToken
	// maxCacheEvents is how many cache events are kept. When there are more, all but
	// the newest half of that number are dropped, published or not.
	maxCacheEvents = 8192
)

// Kinds of prefix cache events.
const (
	eventStore = "store"
	eventEvict = "evict"
)

// cacheEvent records that a prefix was stored in the cache or evicted from it. A
// lost event is never published, which leaves a gap in the sequence numbers.
type cacheEvent struct {
	Seq       uint64 `json:"seq"`
	Kind      string `json:"kind"`
	Prefix    string `json:"prefix"`
	createdAt time.Time
	isLost    bool
}

// prefixCache is an LRU cache of prompt blocks. The key of a block is the hash of
// the prompt from its start to the end of the block.
type prefixCache struct {
	maxBlocks     int
	elementByHash map[uint64]*list.Element
	lru           *list.List
	lastSeq       uint64
	events        []cacheEvent
}

func newPrefixCache(maxBlocks int) *prefixCache {
	return &prefixCache{maxBlocks: maxBlocks, elementByHash: map[uint64]*list.Element{}, lru: list.New()}
}

// prefixHashes returns, for each whole block of a prompt, the FNV-1a hash of the
// prompt up to the end of the block.
func prefixHashes(prompt []byte) []uint64 {
	const (
		offset = 14695981039346656037
		prime  = 1099511628211
	)
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	hash := uint64(offset)
	for i, b := range prompt {
		hash = (hash ^ uint64(b)) * prime
		if (i+1)%blockBytes == 0 {
			hashes = append(hashes, hash)
		}
	}

	return hashes
}

// matchPrefix returns how many leading blocks of a prompt are cached and marks
// them as recently used.
func (c *prefixCache) matchPrefix(hashes []uint64) int {
	for i, hash := range hashes {
		element, ok := c.elementByHash[hash]
		if !ok {
			return i
		}
		c.lru.MoveToFront(element)
	}

	return len(hashes)
}

// store caches the blocks with the given hashes. drawLoss decides for each event
// whether it is lost.
func (c *prefixCache) store(hashes []uint64, now time.Time, drawLoss func() bool) {
	for _, hash := range hashes {
		if element, ok := c.elementByHash[hash]; ok {
			c.lru.MoveToFront(element)

			continue
		}
		if c.maxBlocks == 0 {
			return
		}
		if c.lru.Len() >= c.maxBlocks {
			c.evictOldest(now, drawLoss)
		}
		c.elementByHash[hash] = c.lru.PushFront(hash)
		c.recordEvent(eventStore, hash, now, drawLoss())
	}
}

// evictOldest evicts the least recently used block.
func (c *prefixCache) evictOldest(now time.Time, drawLoss func() bool) {
	oldest := c.lru.Back()
	hash, ok := c.lru.Remove(oldest).(uint64)
	if !ok {
		return
	}
	delete(c.elementByHash, hash)
	c.recordEvent(eventEvict, hash, now, drawLoss())
}

// recordEvent appends an event, which is published once it is as old as
// Settings.CacheEventLag, unless it is lost.
func (c *prefixCache) recordEvent(kind string, hash uint64, now time.Time, isLost bool) {
	c.lastSeq++
	c.events = append(c.events, cacheEvent{
		Seq: c.lastSeq, Kind: kind, Prefix: fmt.Sprintf("%016x", hash), createdAt: now, isLost: isLost,
	})
	if len(c.events) > maxCacheEvents {
		c.events = append([]cacheEvent{}, c.events[len(c.events)-maxCacheEvents/2:]...)
	}
}

// clear empties the cache without recording evictions, and drops the events that
// were recorded.
func (c *prefixCache) clear() {
	c.elementByHash = map[uint64]*list.Element{}
	c.lru.Init()
	c.events = nil
}

// eventsAfter returns the events after a sequence number that were created no later
// than the given time, without the lost ones, and the sequence number to pass to the
// next call.
func (c *prefixCache) eventsAfter(seq uint64, latest time.Time) (events []cacheEvent, next uint64) {
	events, next = []cacheEvent{}, seq
	for _, event := range c.events {
		if event.Seq <= seq || event.createdAt.After(latest) {
			continue
		}
		next = event.Seq
		if !event.isLost {
			events = append(events, event)
		}
	}

	return events, next
}
