package retrier_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

func init() { _ = flag.Set("rapid.seed", "20261203") }

var (
	start  = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	never  = retrier.ConfirmedNeverStarted()
	source = func() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }
)

func TestDecide(t *testing.T) {
	lost, refused := answerer.KindEndpointLost, answerer.KindRefusedByEndpoint
	for _, c := range []struct {
		name    string
		tries   int
		failure retrier.Failure
		left    time.Duration
		do      retrier.Action
		reason  string
		kind    answerer.Kind
	}{
		{"refused", 1, retrier.Failure{Kind: refused, StartStatus: never}, time.Minute, retrier.Retry, retrier.ReasonRetry, 0},
		{"never handed over", 1, retrier.Failure{Kind: lost, StartStatus: retrier.NeverSent()}, time.Minute, retrier.Retry, retrier.ReasonRetry, 0},
		{"lost, idempotent", 1, retrier.Failure{Kind: lost, Idempotent: true}, time.Minute, retrier.Retry, retrier.ReasonRetry, 0},
		{"lost, not idempotent", 1, retrier.Failure{Kind: lost}, time.Minute, retrier.Stop, retrier.ReasonMayHaveRun, answerer.KindUncertain},
		{"refused after a try that may have run", 2, retrier.Failure{Kind: refused, StartStatus: never}, time.Minute, retrier.Stop, retrier.ReasonMayHaveRun, answerer.KindUncertain},
		{"out of tries, proved", 3, retrier.Failure{Kind: refused, StartStatus: never, EarlierStartStatus: never}, time.Minute, retrier.Stop, retrier.ReasonTries, refused},
		{"out of tries, lost before", 3, retrier.Failure{Kind: refused, StartStatus: never, Idempotent: true}, time.Minute, retrier.Stop, retrier.ReasonTries, lost},
		{"deadline, proved", 1, retrier.Failure{Kind: refused, StartStatus: never}, 0, retrier.Stop, retrier.ReasonDeadline, answerer.KindExpired},
		{"deadline", 1, retrier.Failure{Kind: lost, Idempotent: true}, 0, retrier.Stop, retrier.ReasonDeadline, answerer.KindTimeout},
		{"malformed", 1, retrier.Failure{Kind: answerer.KindMalformed, StartStatus: never}, time.Minute, retrier.Stop, retrier.ReasonNotRetryable, answerer.KindMalformed},
		{"malformed without a proof", 1, retrier.Failure{Kind: answerer.KindMalformed}, time.Minute, retrier.Stop, retrier.ReasonNotRetryable, answerer.KindUncertain},
		{"stream", 1, retrier.Failure{Kind: lost, PartlyDelivered: true, Resumable: true}, time.Minute, retrier.Resume, retrier.ReasonResume, 0},
		{"stream before its first byte", 1, retrier.Failure{Kind: lost, Resumable: true}, time.Minute, retrier.Resume, retrier.ReasonResume, 0},
		{"stream before its first byte, late", 1, retrier.Failure{Kind: lost, Resumable: true}, 0, retrier.Stop, retrier.ReasonDeadline, answerer.KindTimeout},
		{"stream that never started", 1, retrier.Failure{Kind: refused, StartStatus: never, Resumable: true}, time.Minute, retrier.Retry, retrier.ReasonRetry, 0},
		{"stream gone", 1, retrier.Failure{Kind: lost, PartlyDelivered: true, Idempotent: true}, time.Minute, retrier.Stop, retrier.ReasonPartial, answerer.KindTruncated},
		{"stream out of tries", 3, retrier.Failure{Kind: lost, PartlyDelivered: true, Resumable: true}, time.Minute, retrier.Stop, retrier.ReasonTries, answerer.KindTruncated},
		{"stream, late", 2, retrier.Failure{Kind: lost, PartlyDelivered: true, Resumable: true}, 0, retrier.Stop, retrier.ReasonDeadline, answerer.KindTruncated},
	} {
		d := retrier.New(retrier.DefaultSettings(), source()).Decide(start, "chat", c.tries, c.failure, start.Add(c.left))
		assert.Equal(t, d.Action, c.do, c.name)
		assert.Equal(t, d.Reason, c.reason, c.name)
		assert.Equal(t, d.Error != nil, c.do == retrier.Stop, c.name)
		if d.Error != nil {
			assert.Equal(t, d.Error.Kind, c.kind, c.name)
		}
	}
}

// TestPromises holds for any order of first tries and failures: budgets keep
// their share, a wait ends before the deadline, what may have run is neither
// retried nor called not run, and the reasons are from the list.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		settings := retrier.DefaultSettings()
		settings.DefaultPolicy.RetryRatio = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(r, "share")
		settings.DefaultPolicy.Burst = rapid.IntRange(0, 5).Draw(r, "burst")
		decider := retrier.New(settings, source())
		firsts, retries := 0, 0
		for range rapid.IntRange(1, 100).Draw(r, "events") {
			if rapid.Bool().Draw(r, "first") {
				decider.RecordFirstAttempt(start, "chat", "e")
				firsts++
				continue
			}
			stateds := []retrier.StartStatus{retrier.StartUnknown(), retrier.StartConfirmed(), never, retrier.NeverSent()}
			failure := retrier.Failure{
				Kind:               rapid.SampledFrom(answerer.Kinds()).Draw(r, "kind"),
				StartStatus:        rapid.SampledFrom(stateds).Draw(r, "started"),
				EarlierStartStatus: rapid.SampledFrom(stateds).Draw(r, "earlier"),
				Idempotent:         rapid.Bool().Draw(r, "idempotent"), PartlyDelivered: rapid.Bool().Draw(r, "bytes"),
				Resumable: rapid.Bool().Draw(r, "resumable"), Endpoint: "e",
			}
			tries := rapid.IntRange(1, 4).Draw(r, "tries")
			left := time.Duration(rapid.IntRange(0, 200).Draw(r, "left")) * time.Millisecond
			d := decider.Decide(start, "chat", tries, failure, start.Add(left))
			proved := failure.StartStatus.IsNotStarted() && (tries == 1 || failure.EarlierStartStatus.IsNotStarted())
			assert.Assert(r, slices.Contains(retrier.Reasons(), d.Reason))
			assert.Assert(r, d.Action == retrier.Stop || d.Delay < left)
			switch d.Action {
			case retrier.Retry:
				retries++
				assert.Assert(r, !failure.PartlyDelivered && (proved || failure.Idempotent) && tries < settings.DefaultPolicy.Tries)
			case retrier.Resume:
				assert.Assert(r, failure.Resumable && tries < settings.DefaultPolicy.Tries)
			default:
				told := answerer.Lookup(d.Error.Kind).Outcome
				assert.Assert(r, told != answerer.NotRun || proved && !failure.PartlyDelivered, "%s without a proof", d.Error.Kind)
			}
		}
		limit := settings.DefaultPolicy.RetryRatio*float64(firsts) + float64(settings.DefaultPolicy.Burst)
		assert.Assert(r, float64(retries) <= limit+1e-6, "%d retries for %d first tries", retries, firsts)
	})
}

// storm is a service of 300 requests a second that fails for 10 s, asked 200
// times a second. It returns the tries of each second and the goodput of the
// last one.
func storm(settings retrier.Settings) (tries []int, good int) {
	const rate, capacity, seconds = 200, 300, 30
	type request struct{ tries int }
	decider := retrier.New(settings, source())
	step := time.Second / rate
	due := map[int][]request{}
	tries = make([]int, seconds)
	for tick := range seconds * rate {
		now, second := start.Add(time.Duration(tick)*step), tick/rate
		endpoint := fmt.Sprint("e", tick%9)
		decider.RecordFirstAttempt(now, "chat", endpoint)
		for _, one := range append(due[tick], request{}) {
			one.tries++
			tries[second]++
			down := second >= 5 && second < 15
			if !down && tries[second] <= capacity {
				if second == seconds-1 {
					good++
				}
				continue
			}
			failure := retrier.Failure{Kind: answerer.KindEndpointLost, Idempotent: true, Endpoint: endpoint}
			d := decider.Decide(now, "chat", one.tries, failure, now.Add(time.Minute))
			if d.Action == retrier.Retry {
				later := tick + 1 + int(d.Delay/step)
				due[later] = append(due[later], one)
			}
		}
		delete(due, tick)
	}
	return tries, good
}

func TestStorm(t *testing.T) {
	settings := retrier.DefaultSettings()
	tries, good := storm(settings)
	total, after := 0, 0
	for second, count := range tries {
		total += count
		if second >= 15 {
			after = max(after, count)
		}
	}
	firsts := 200 * len(tries)
	allowed := settings.DefaultPolicy.RetryRatio*float64(firsts) + float64(settings.DefaultPolicy.Burst)
	t.Logf("with budgets: %v tries each second, %d good in the last; %d retries of %.0f allowed", tries, good, total-firsts, allowed)
	assert.Assert(t, float64(total-firsts) <= allowed)
	assert.Assert(t, slices.Max(tries) <= 200+20+settings.DefaultPolicy.Burst, "a peak while down: %v", tries)
	assert.Assert(t, after <= 200+settings.DefaultPolicy.Burst, "a second peak of %d", after)
	assert.Equal(t, good, 200)

	settings.DefaultPolicy.RetryRatio, settings.EndpointShare = 1e6, 1e6
	settings.DefaultPolicy.Burst, settings.EndpointBurst = 1e6, 1e6
	tries, good = storm(settings)
	t.Logf("without budgets: %v tries each second, %d good in the last", tries, good)
	assert.Assert(t, slices.Max(tries) > 500, "the storm of this test is none")
}

func TestEndpointBudget(t *testing.T) {
	settings := retrier.DefaultSettings()
	settings.DefaultPolicy.Burst, settings.EndpointBurst = 100, 2
	decider := retrier.New(settings, source())
	reasons := make([]string, 0, 4)
	for _, endpoint := range []string{"down", "down", "down", "other"} {
		failure := retrier.Failure{Kind: answerer.KindEndpointLost, Idempotent: true, Endpoint: endpoint}
		reasons = append(reasons, decider.Decide(start, "chat", 1, failure, start.Add(time.Minute)).Reason)
	}
	assert.DeepEqual(t, reasons, []string{retrier.ReasonRetry, retrier.ReasonRetry, retrier.ReasonEndpointBudget, retrier.ReasonRetry})
}

func TestBackoffDoublesUpToItsBound(t *testing.T) {
	settings := retrier.DefaultSettings()
	settings.DefaultPolicy.Tries, settings.DefaultPolicy.Burst, settings.EndpointBurst = 100, 1e6, 1e6
	decider := retrier.New(settings, source())
	failure := retrier.Failure{Kind: answerer.KindEndpointLost, Idempotent: true}
	for tries, bound := range map[int]time.Duration{1: 50, 2: 100, 3: 200, 7: 2000, 50: 2000} {
		longest := time.Duration(0)
		for range 1000 {
			longest = max(longest, decider.Decide(start, "chat", tries, failure, start.Add(time.Minute)).Delay)
		}
		bound *= time.Millisecond
		assert.Assert(t, longest > bound*9/10 && longest < bound, "%v after %d tries", longest, tries)
	}
}

func TestBoundedNames(t *testing.T) {
	settings := retrier.DefaultSettings()
	settings.Names = 2
	settings.DefaultPolicy.Burst, settings.DefaultPolicy.RetryRatio = 1, 0
	decider := retrier.New(settings, source())
	failure := retrier.Failure{Kind: answerer.KindEndpointLost, Idempotent: true}
	do := func(second int, class string) retrier.Action {
		now := start.Add(time.Duration(second) * time.Second)
		return decider.Decide(now, class, 1, failure, now.Add(time.Minute)).Action
	}
	assert.Equal(t, do(0, "a"), retrier.Retry)
	assert.Equal(t, do(1, "b"), retrier.Retry)
	assert.Equal(t, do(2, "a"), retrier.Stop)
	assert.Equal(t, do(3, "c"), retrier.Retry) // Drops b.
	assert.Equal(t, do(4, "a"), retrier.Stop)
	assert.Equal(t, do(5, "b"), retrier.Retry)
}
