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
func (c *cache) add(parts []Part) {
	for _, part := range parts {
		if element, ok := c.parts[part.ID]; ok {
			c.order.MoveToFront(element)

			continue
		}
		c.parts[part.ID] = c.order.PushFront(part.ID)
		if c.order.Len() > c.most {
			oldest := c.order.Back()
			delete(c.parts, c.order.Remove(oldest).(uint64))
		}
	}
}

// covered returns the tokens of the leading parts that the engine holds.
func (c *cache) covered(parts []Part) int {
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
