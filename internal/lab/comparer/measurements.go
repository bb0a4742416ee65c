package comparer

import (
	"slices"
	"sync"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/lab/deployer"
)

// ejectionLog is the set of endpoints that routers ejected. It is safe for concurrent
// use.
type ejectionLog struct {
	mu        sync.Mutex
	endpoints map[string]bool
}

func (l *ejectionLog) record(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endpoints[endpoint] = true
}

func (l *ejectionLog) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.endpoints)
}

func (l *ejectionLog) sorted() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	names := make([]string, 0, len(l.endpoints))
	for name := range l.endpoints {
		names = append(names, name)
	}
	slices.Sort(names)

	return names
}

// measureSlowEngine counts the requests that engines accept from the time when traffic
// must have moved away from the slow engine, until the end of the arrivals. The returned
// function returns the slow engine's count relative to the mean of the other engines. It
// is negative if no engine is slow or the arrivals ended early.
func (r roundRunner) measureSlowEngine() (ratio func() float64) {
	start := slowdownStart(r.settings.Duration) + slowEngineGracePeriod
	if r.settings.Scenario.Name != "slow" || start >= r.settings.Duration {
		return func() float64 { return -1 }
	}
	var before, after []int
	startTimer := time.AfterFunc(start, func() { before = acceptedCounts(r.deployment) })
	done := make(chan struct{})
	endTimer := time.AfterFunc(r.settings.Duration, func() {
		after = acceptedCounts(r.deployment)
		close(done)
	})

	return func() float64 {
		if endTimer.Stop() { // the arrivals ended early, so there is no measurement
			startTimer.Stop()

			return -1
		}
		<-done

		return growthRatio(before, after, faultyEngine)
	}
}

// acceptedCounts returns how many requests each engine has accepted so far.
func acceptedCounts(deployment *deployer.Deployment) []int {
	counts := make([]int, 0, len(deployment.Engines))
	for _, engine := range deployment.Engines {
		counts = append(counts, engine.Audit().Accepted)
	}

	return counts
}

// growthRatio returns the growth of one count relative to the mean growth of the others,
// or -1 if the others did not grow.
func growthRatio(before, after []int, index int) float64 {
	growth, otherGrowth := 0, 0
	for i := range after {
		if i == index {
			growth = after[i] - before[i]
		} else {
			otherGrowth += after[i] - before[i]
		}
	}
	if otherGrowth == 0 {
		return -1
	}

	return float64(growth) * float64(len(after)-1) / float64(otherGrowth)
}
