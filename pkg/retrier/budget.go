package retrier

import "time"

// budget holds the retries that a class or an endpoint may still make.
type budget struct {
	retriesLeft float64
	lastUsed    time.Time
}

// earn adds what a first attempt earns: ratio retries, up to burst in all. The
// sum is rounded to a millionth, so that ten times 0.1 is exactly one retry.
func (b *budget) earn(ratio float64, burst int) {
	retries := float64(int64((b.retriesLeft+ratio)*stepsPerRetry+0.5)) / stepsPerRetry
	b.retriesLeft = min(retries, float64(burst))
}

// stepsPerRetry is the number of steps into which one retry is divided when a
// budget is rounded.
const stepsPerRetry = 1e6

// budgets holds the budgets by name, at most maxBudgets of them.
type budgets struct {
	maxBudgets int
	byName     map[string]*budget
}

func newBudgets(maxBudgets int) *budgets {
	return &budgets{maxBudgets: max(maxBudgets, 1), byName: map[string]*budget{}}
}

// getOrCreate returns the budget of the given name and marks it as used. A new
// budget is full; if there is no space for it, the least recently used one is
// evicted.
func (b *budgets) getOrCreate(now time.Time, name string, burst int) *budget {
	found, ok := b.byName[name]
	if !ok {
		if len(b.byName) >= b.maxBudgets {
			b.evictLeastRecentlyUsed()
		}
		found = &budget{retriesLeft: float64(burst)}
		b.byName[name] = found
	}
	found.lastUsed = now

	return found
}

// evictLeastRecentlyUsed removes the budget that was used the longest ago; of
// several, the one whose name sorts first.
func (b *budgets) evictLeastRecentlyUsed() {
	oldestName := ""
	for name, candidate := range b.byName {
		oldest, ok := b.byName[oldestName]
		sortsFirst := ok && candidate.lastUsed.Equal(oldest.lastUsed) && name < oldestName
		if !ok || sortsFirst || candidate.lastUsed.Before(oldest.lastUsed) {
			oldestName = name
		}
	}
	delete(b.byName, oldestName)
}
