package limiter_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/limiter"
)

func init() { _ = flag.Set("rapid.seed", "20261203") }

var testStart = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

// TestAdmissionsStayWithinLimits records all admissions of random requests. No more may be
// in flight than allowed, and no interval may hold more than the rate allows in it.
func TestAdmissionsStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := limiter.Limit{
			Parallel: rapid.IntRange(0, 5).Draw(t, "parallel"),
			Rate:     float64(rapid.IntRange(0, 5).Draw(t, "rate")),
		}
		l := limiter.New()
		l.Configure(map[string]limiter.Limit{"store": limits})
		now := testStart
		inFlight := 0
		var admitted []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if inFlight > 0 && rapid.Bool().Draw(t, "end") {
				l.End("store")
				inFlight--
				continue
			}
			ok, wait := l.Admit(now, "store")
			if !ok {
				assert.Assert(t, wait > 0 || inFlight == limits.Parallel)
				continue
			}
			inFlight++
			admitted = append(admitted, now)
			assert.Assert(t, limits.Parallel == 0 || inFlight <= limits.Parallel)
		}
		if limits.Rate == 0 {
			return
		}
		for i, first := range admitted {
			for j := i; j < len(admitted); j++ {
				maxAdmitted := max(1, limits.Rate) + limits.Rate*admitted[j].Sub(first).Seconds()
				assert.Assert(t, float64(j-i+1) <= maxAdmitted+1e-6, "%d in %s", j-i+1, admitted[j].Sub(first))
			}
		}
	})
}

func TestSweepRemovesOnlyIdleWorkspaces(t *testing.T) {
	l := limiter.New()
	for i := range 1000 {
		l.Admit(testStart, fmt.Sprint(i))
		if i > 0 {
			l.End(fmt.Sprint(i))
		}
	}
	l.Sweep(testStart.Add(limiter.IdleTTL))
	assert.Equal(t, l.WorkspaceCount(), 1000)
	l.Sweep(testStart.Add(limiter.IdleTTL + 1))
	assert.Equal(t, l.WorkspaceCount(), 1)
}

func ExampleLimiter_Admit() {
	l := limiter.New()
	l.Configure(map[string]limiter.Limit{"clinic": {Parallel: 14, Rate: 3.5}})
	l.Share(7)
	now := time.Now()
	for range 2 {
		fmt.Println(l.Admit(now, "clinic"))
	}
	// Output:
	// true 0s
	// false 2s
}
