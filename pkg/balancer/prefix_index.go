package balancer

// maxHoldersPerPrefix is the maximum number of endpoints recorded as holders of a
// prefix.
const maxHoldersPerPrefix = 8

// prefixIndex records which endpoints hold which prompt prefixes in their caches. When
// it is full, prefixes that were not used recently are evicted first (second-chance
// algorithm).
type prefixIndex struct {
	byHash         map[uint64]int // position in entries, by prefix hash
	entries        []prefixEntry
	evictionCursor int // position of the next entry to examine for eviction
	maxLen         int // maximum number of entries
}

// prefixEntry is a prompt prefix and the endpoints recorded as its holders.
type prefixEntry struct {
	hash            uint64
	shorterPosition int   // last known position of the next shorter prefix; may be out of date
	recentlyUsed    bool  // since the eviction cursor last passed
	nextReplaced    uint8 // index of the holder to replace when all are valid
	holderCount     uint8
	holders         [maxHoldersPerPrefix]prefixHolder
}

// prefixHolder is an endpoint that cached a prefix, with the cache epoch at that time.
type prefixHolder struct {
	endpoint   *trackedEndpoint
	cacheEpoch uint32
}

func newIndex(maxLen int) *prefixIndex { return &prefixIndex{byHash: map[uint64]int{}, maxLen: maxLen} }

// find returns the entry of a prefix and marks it as recently used, or returns nil.
func (t *prefixIndex) find(hash uint64) *prefixEntry {
	i, found := t.byHash[hash]
	if !found {
		return nil
	}
	t.entries[i].recentlyUsed = true
	return &t.entries[i]
}

// recordHolder records that the endpoint holds the prefix, and returns the position of
// the prefix's entry and whether the endpoint was already a holder. A correct
// guessedPosition saves the map look-up; a wrong one does no harm.
func (t *prefixIndex) recordHolder(hash uint64, e *trackedEndpoint, guessedPosition int) (position int, alreadyHeld bool) {
	position = guessedPosition
	if guessedPosition >= len(t.entries) || t.entries[guessedPosition].hash != hash {
		position = t.findOrInsert(hash)
	}
	t.entries[position].recentlyUsed = true
	return position, t.entries[position].addHolder(e)
}

// findOrInsert returns the position of the prefix's entry. A missing entry is created,
// and evicts another one when the index is full.
func (t *prefixIndex) findOrInsert(hash uint64) int {
	if i, found := t.byHash[hash]; found {
		return i
	}
	i := len(t.entries)
	if i < t.maxLen {
		t.entries = append(t.entries, prefixEntry{})
	} else {
		i = t.evictionVictim()
		delete(t.byHash, t.entries[i].hash)
	}
	t.entries[i] = prefixEntry{hash: hash}
	t.byHash[hash] = i
	return i
}

// evictionVictim returns the position of the first entry that was not used since the
// cursor last passed it. It clears the mark of the entries that it skips and advances
// the cursor.
func (t *prefixIndex) evictionVictim() int {
	for t.entries[t.evictionCursor].recentlyUsed {
		t.entries[t.evictionCursor].recentlyUsed = false
		t.evictionCursor = (t.evictionCursor + 1) % len(t.entries)
	}
	i := t.evictionCursor
	t.evictionCursor = (t.evictionCursor + 1) % len(t.entries)
	return i
}

// removeHolder records that the endpoint no longer holds the prefix.
func (t *prefixIndex) removeHolder(hash uint64, e *trackedEndpoint) {
	i, found := t.byHash[hash]
	if !found {
		return
	}
	recorded := t.entries[i].recordedHolders()
	for j := range recorded {
		if recorded[j].endpoint == e {
			recorded[j] = prefixHolder{}
		}
	}
}

func (n *prefixEntry) recordedHolders() []prefixHolder { return n.holders[:n.holderCount] }

// addHolder records the endpoint as a holder. If it is not listed yet, it takes the
// place of an invalid holder, else a free place, else that of the valid holders in turn.
// It reports whether the endpoint was already a valid holder.
func (n *prefixEntry) addHolder(e *trackedEndpoint) bool {
	slot := -1
	for i, h := range n.recordedHolders() {
		if h.endpoint == e {
			n.holders[i].cacheEpoch = e.cacheEpoch
			return h.isValid()
		}
		if slot < 0 && !h.isValid() {
			slot = i
		}
	}
	if slot < 0 && n.holderCount < maxHoldersPerPrefix {
		slot = int(n.holderCount)
		n.holderCount++
	}
	if slot < 0 {
		slot = int(n.nextReplaced)
		n.nextReplaced = (n.nextReplaced + 1) % maxHoldersPerPrefix
	}
	n.holders[slot] = prefixHolder{endpoint: e, cacheEpoch: e.cacheEpoch}
	return false
}

// isValid reports whether the endpoint is still configured and has not lost its cache
// since it was recorded.
func (h prefixHolder) isValid() bool {
	return h.endpoint != nil && !h.endpoint.removed && h.cacheEpoch == h.endpoint.cacheEpoch
}
