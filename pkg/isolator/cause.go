package isolator

import (
	"cmp"
	"slices"
	"time"
)

const (
	// unbegunWeight is the weight of a crash at which a request with the block had not
	// begun to be answered, and begunWeight that of any other crash.
	unbegunWeight = 2
	begunWeight   = 1
	// explainedWeight is the weight of a crash that a cause explains, for a block of other
	// requests of which none had begun to be answered at any crash. Two blocks that both
	// crash endpoints may be in the same crashes.
	explainedWeight = 1
	// minCauseWeight is the minimum weight of the crashes of a cause, if no completed
	// request with the block is known.
	minCauseWeight = 2 * unbegunWeight
	// minCompletedCauseWeight is the same for a block that has completed before.
	minCompletedCauseWeight = 4 * unbegunWeight
)

// cause is a block that crashes endpoints.
type cause struct {
	record *Record
	// blocks are the blocks that a prompt must all contain to be refused: the cause's own,
	// and those that may be the cause in its place.
	blocks []uint64
}

// isIn reports whether a prompt has all blocks of the cause.
func (c cause) isIn(prompt []uint64) bool {
	for _, block := range c.blocks {
		if !slices.Contains(prompt, block) {
			return false
		}
	}

	return true
}

// findCauses returns the causes that explain the crashes in the records, the best
// supported first. Each explains all crashes that it was in, so that blocks which were
// there too are causes only if enough other crashes remain. hasCompleted reports whether a
// block without a record has completed.
func findCauses(records map[uint64]*Record, hasCompleted func(block uint64) bool) []cause {
	candidates := make([]*Record, 0, len(records))
	for _, r := range records {
		if weigh(r, nil) >= minWeight(r) {
			candidates = append(candidates, r)
		}
	}
	var causes []cause
	for len(candidates) > 0 {
		best := slices.MaxFunc(candidates, func(a, b *Record) int { return compareSupport(a, b, causes) })
		if weigh(best, causes) < minWeight(best) {
			break
		}
		causes = append(causes, cause{record: best, blocks: alternatives(records, hasCompleted, best)})
		candidates = slices.DeleteFunc(candidates, func(r *Record) bool { return r == best })
	}

	return causes
}

// minWeight returns the minimum weight of crashes that makes a block a cause.
func minWeight(r *Record) int {
	if r.LastCompletedAt.IsZero() {
		return minCauseWeight
	}

	return minCompletedCauseWeight
}

// compareSupport orders blocks by how well they explain the crashes that the causes do not
// explain. Blocks with enough weight come before others, and among these the ones of which no
// answer had begun. Then the weight counts in proportion to the one needed. Among equals, the
// one that was always accompanied by more blocks is in fewer requests.
func compareSupport(a, b *Record, causes []cause) int {
	weightOfA, weightOfB := weigh(a, causes), weigh(b, causes)
	isUnbegunCause := func(r *Record, weight int) int {
		if weight >= minWeight(r) && !r.hasBegun() {
			return 1
		}

		return 0
	}

	return cmp.Or(
		cmp.Compare(isUnbegunCause(a, weightOfA), isUnbegunCause(b, weightOfB)),
		cmp.Compare(weightOfA*minWeight(b), weightOfB*minWeight(a)),
		cmp.Compare(len(a.Companions), len(b.Companions)),
		cmp.Compare(b.Block, a.Block),
	)
}

// weigh returns the weight of a block's crashes beside the causes that are known. Crashes
// within eventWindow weigh as much as the heaviest of them.
func weigh(r *Record, causes []cause) int {
	total, weight := 0, 0
	var eventAt time.Time
	for _, crash := range r.Crashes {
		crashWeight := weighCrash(r, crash, causes)
		if crashWeight == 0 {
			continue
		}
		if weight == 0 || crash.At.Sub(eventAt) >= eventWindow {
			total += weight
			weight, eventAt = 0, crash.At
		}
		weight = max(weight, crashWeight)
	}

	return total + weight
}

// weighCrash returns the weight of one of a block's crashes.
func weighCrash(r *Record, crash Crash, causes []cause) int {
	weight := unbegunWeight
	if crash.HasBegun {
		weight = begunWeight
	}
	for _, c := range causes {
		if !slices.ContainsFunc(c.record.Crashes, crash.isSame) {
			continue
		}
		if _, isCompanion := slices.BinarySearch(r.Companions, c.record.Block); isCompanion || r.hasBegun() {
			return 0
		}
		weight = explainedWeight
	}

	return weight
}

// alternatives returns the cause's own block and those of its companions that may be the
// cause in its place. It removes the companions that are known to have completed.
func alternatives(records map[uint64]*Record, hasCompleted func(block uint64) bool, best *Record) []uint64 {
	best.Companions = slices.DeleteFunc(best.Companions, func(companion uint64) bool {
		if r, ok := records[companion]; ok {
			return !r.LastCompletedAt.IsZero()
		}

		return hasCompleted(companion)
	})
	blocks := []uint64{best.Block}
	for _, companion := range best.Companions {
		if _, ok := records[companion]; ok {
			blocks = append(blocks, companion)
		}
	}

	return blocks
}
