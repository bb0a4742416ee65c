package placer

import "container/list"

// cache is what an engine is believed to hold of shared parts, the least
// recently used forgotten first.
type cache struct {
	most  int
	parts map[uint64]*list.Element
	order *list.List // of uint64, the latest first
}

func newCache(most int) *cache {
	return &cache{most: most, parts: map[uint64]*list.Element{}, order: list.New()}
}

// add takes in that the engine read the parts.
func (c *cache) add(parts []PromptBlock) {
	for _, part := range parts {
		c.touch(part.ID)
	}
}

// addIDs is add for parts of which only the ids are known.
func (c *cache) addIDs(ids []uint64) {
	for _, id := range ids {
		c.touch(id)
	}
}

func (c *cache) touch(id uint64) {
	if element, ok := c.parts[id]; ok {
		c.order.MoveToFront(element)

		return
	}
	c.parts[id] = c.order.PushFront(id)
	if c.order.Len() > c.most {
		oldest, _ := c.order.Remove(c.order.Back()).(uint64)
		delete(c.parts, oldest)
	}
}

// covered returns the tokens of the leading parts that the engine holds.
func (c *cache) covered(parts []PromptBlock) int {
	tokens := 0
	for _, part := range parts {
		if _, ok := c.parts[part.ID]; !ok {
			break
		}
		tokens += part.Tokens
	}

	return tokens
}

func (c *cache) clear() {
	clear(c.parts)
	c.order.Init()
}
