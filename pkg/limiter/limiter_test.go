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
		limits := limiter.Limits{
			MaxInFlight:          rapid.IntRange(0, 5).Draw(t, "parallel"),
			MaxRequestsPerSecond: float64(rapid.IntRange(0, 5).Draw(t, "rate")),
		}
		l := limiter.New()
		l.Configure(map[string]limiter.Limits{"store": limits})
		now := testStart
		inFlight := 0
		var admitted []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if inFlight > 0 && rapid.Bool().Draw(t, "end") {
				l.Release("store")
				inFlight--
				continue
			}
			ok, wait := l.Admit(now, "store")
			if !ok {
				assert.Assert(t, wait > 0 || inFlight == limits.MaxInFlight)
				continue
			}
			inFlight++
			admitted = append(admitted, now)
			assert.Assert(t, limits.MaxInFlight == 0 || inFlight <= limits.MaxInFlight)
		}
		if limits.MaxRequestsPerSecond == 0 {
			return
		}
		for i, first := range admitted {
			for j := i; j < len(admitted); j++ {
				maxAdmitted := max(1, limits.MaxRequestsPerSecond) + limits.MaxRequestsPerSecond*admitted[j].Sub(first).Seconds()
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
			l.Release(fmt.Sprint(i))
		}
	}
	l.Sweep(testStart.Add(limiter.IdleTTL))
	assert.Equal(t, l.WorkspaceCount(), 1000)
	l.Sweep(testStart.Add(limiter.IdleTTL + 1))
	assert.Equal(t, l.WorkspaceCount(), 1)
}

// Guards against a sweep that gives a workspace a full bucket before its share of the rate
// has refilled it: limits below one request in two seconds for each instance.
func TestSweepKeepsRatesBelowOneRequestInTwoSeconds(t *testing.T) {
	const instances, rate, interval, requests = 7, 1.0, 2100 * time.Millisecond, 20
	l := limiter.New()
	l.Configure(map[string]limiter.Limits{"clinic": {MaxRequestsPerSecond: rate}})
	l.SetInstanceCount(instances)
	admitted := 0
	for i := range requests {
		now := testStart.Add(time.Duration(i) * interval)
		if ok, _ := l.Admit(now, "clinic"); ok {
			admitted++
			l.Release("clinic")
		}
		l.Sweep(now.Add(interval - 1))
	}
	maxAdmitted := 1 + int(rate/instances*(requests*interval).Seconds())
	assert.Assert(t, admitted <= maxAdmitted, "%d requests admitted, %d are allowed", admitted, maxAdmitted)
}

func ExampleLimiter_Admit() {
	l := limiter.New()
	l.Configure(map[string]limiter.Limits{"clinic": {MaxInFlight: 14, MaxRequestsPerSecond: 3.5}})
	l.SetInstanceCount(7)
	now := time.Now()
	for range 2 {
		fmt.Println(l.Admit(now, "clinic"))
	}
	// Output:
	// true 0s
	// false 2s
}
