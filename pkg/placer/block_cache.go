package placer

import "container/list"

// blockCache estimates which shared prompt blocks an engine has cached. When it is
// full, it evicts the least recently used block.
type blockCache struct {
	maxBlocks int
	elements  map[uint64]*list.Element // by block ID
	recency   *list.List               // of block IDs (uint64), most recently used first
}

func newBlockCache(maxBlocks int) *blockCache {
	return &blockCache{maxBlocks: maxBlocks, elements: map[uint64]*list.Element{}, recency: list.New()}
}

// addBlocks records that the engine prefilled the blocks.
func (c *blockCache) addBlocks(blocks []PromptBlock) {
	for _, block := range blocks {
		c.touch(block.ID)
	}
}

// addIDs records that the engine prefilled the blocks with these IDs.
func (c *blockCache) addIDs(ids []uint64) {
	for _, id := range ids {
		c.touch(id)
	}
}

// has reports whether the engine has the block cached.
func (c *blockCache) has(id uint64) bool {
	return c.elements[id] != nil
}

// touch marks a block as the most recently used and evicts the least recently used
// one if the cache is over its limit.
func (c *blockCache) touch(id uint64) {
	if element, ok := c.elements[id]; ok {
		c.recency.MoveToFront(element)

		return
	}
	c.elements[id] = c.recency.PushFront(id)
	if c.recency.Len() > c.maxBlocks {
		oldest, _ := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.elements, oldest)
	}
}

// cachedTokens returns the number of tokens in the leading blocks of a prompt that
// the engine has cached. It stops at the first block that is not cached.
func (c *blockCache) cachedTokens(blocks []PromptBlock) int {
	tokens := 0
	for _, block := range blocks[:c.cachedBlocks(blocks)] {
		tokens += block.Tokens
	}

	return tokens
}

// cachedBlocks returns the number of leading blocks of a prompt that the engine has
// cached.
func (c *blockCache) cachedBlocks(blocks []PromptBlock) int {
	for i, block := range blocks {
		if _, ok := c.elements[block.ID]; !ok {
			return i
		}
	}

	return len(blocks)
}

func (c *blockCache) clear() {
	clear(c.elements)
	c.recency.Init()
}
