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
	startTime           = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	confirmedNotStarted = retrier.ConfirmedNeverStarted()
	newRandom           = func() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }
)

func TestDecideReturnsActionReasonAndErrorForEachFailure(t *testing.T) {
	lost, refused := answerer.KindEndpointLost, answerer.KindRefusedByEndpoint
	for _, test := range []struct {
		name          string
		attempt       int
		failure       retrier.Failure
		timeLeft      time.Duration
		wantAction    retrier.Action
		wantReason    string
		wantErrorKind answerer.Kind
	}{
		{"refused", 1, retrier.Failure{Kind: refused, StartStatus: confirmedNotStarted}, time.Minute, retrier.Retry, retrier.ReasonRetry, 0},
		{"never sent", 1, retrier.Failure{Kind: lost, StartStatus: retrier.NeverSent()}, time.Minute, retrier.Retry, retrier.ReasonRetry, 0},
		{"lost, idempotent", 1, retrier.Failure{Kind: lost, Idempotent: true}, time.Minute, retrier.Retry, retrier.ReasonRetry, 0},
		{"lost, not idempotent", 1, retrier.Failure{Kind: lost}, time.Minute, retrier.Stop, retrier.ReasonMayHaveRun, answerer.KindUncertain},
		{"refused after an attempt that may have run", 2, retrier.Failure{Kind: refused, StartStatus: confirmedNotStarted}, time.Minute, retrier.Stop, retrier.ReasonMayHaveRun, answerer.KindUncertain},
		{"last attempt, proved not started", 3, retrier.Failure{Kind: refused, StartStatus: confirmedNotStarted, EarlierStartStatus: confirmedNotStarted}, time.Minute, retrier.Stop, retrier.ReasonMaxAttempts, refused},
		{"last attempt, an earlier one may have run", 3, retrier.Failure{Kind: refused, StartStatus: confirmedNotStarted, Idempotent: true}, time.Minute, retrier.Stop, retrier.ReasonMaxAttempts, lost},
		{"past the deadline, proved not started", 1, retrier.Failure{Kind: refused, StartStatus: confirmedNotStarted}, 0, retrier.Stop, retrier.ReasonDeadline, answerer.KindExpired},
		{"past the deadline", 1, retrier.Failure{Kind: lost, Idempotent: true}, 0, retrier.Stop, retrier.ReasonDeadline, answerer.KindTimeout},
		{"malformed, proved not started", 1, retrier.Failure{Kind: answerer.KindMalformed, StartStatus: confirmedNotStarted}, time.Minute, retrier.Stop, retrier.ReasonNotRetryable, answerer.KindMalformed},
		{"malformed, may have started", 1, retrier.Failure{Kind: answerer.KindMalformed}, time.Minute, retrier.Stop, retrier.ReasonNotRetryable, answerer.KindUncertain},
		{"resumable stream, partly delivered", 1, retrier.Failure{Kind: lost, PartlyDelivered: true, Resumable: true}, time.Minute, retrier.Resume, retrier.ReasonResume, 0},
		{"resumable stream, nothing delivered", 1, retrier.Failure{Kind: lost, Resumable: true}, time.Minute, retrier.Resume, retrier.ReasonResume, 0},
		{"resumable stream, nothing delivered, past the deadline", 1, retrier.Failure{Kind: lost, Resumable: true}, 0, retrier.Stop, retrier.ReasonDeadline, answerer.KindTimeout},
		{"resumable stream, proved not started", 1, retrier.Failure{Kind: refused, StartStatus: confirmedNotStarted, Resumable: true}, time.Minute, retrier.Retry, retrier.ReasonRetry, 0},
		{"stream that cannot be resumed", 1, retrier.Failure{Kind: lost, PartlyDelivered: true, Idempotent: true}, time.Minute, retrier.Stop, retrier.ReasonNotResumable, answerer.KindTruncated},
		{"resumable stream, last attempt", 3, retrier.Failure{Kind: lost, PartlyDelivered: true, Resumable: true}, time.Minute, retrier.Stop, retrier.ReasonMaxAttempts, answerer.KindTruncated},
		{"caller left, idempotent", 1, retrier.Failure{Kind: answerer.KindCanceled, Idempotent: true}, time.Minute, retrier.Stop, retrier.ReasonCallerLeft, answerer.KindCanceled},
		{"caller left a resumable stream", 1, retrier.Failure{Kind: answerer.KindCanceled, PartlyDelivered: true, Resumable: true}, 0, retrier.Stop, retrier.ReasonCallerLeft, answerer.KindCanceled},
		{"resumable stream, partly delivered, past the deadline", 2, retrier.Failure{Kind: lost, PartlyDelivered: true, Resumable: true}, 0, retrier.Stop, retrier.ReasonDeadline, answerer.KindTruncated},
	} {
		decision := retrier.New(retrier.DefaultSettings(), newRandom()).Decide(startTime, "chat", test.attempt, test.failure, startTime.Add(test.timeLeft))
		assert.Equal(t, decision.Action, test.wantAction, test.name)
		assert.Equal(t, decision.Reason, test.wantReason, test.name)
		assert.Equal(t, decision.Error != nil, test.wantAction == retrier.Stop, test.name)
		if decision.Error != nil {
			assert.Equal(t, decision.Error.Kind, test.wantErrorKind, test.name)
		}
	}
}

// Records first attempts and failures in random order and checks that retries
// stay within the budget, that waits end before the deadline, that a request
// that may have run is neither retried (unless idempotent) nor reported as not
// run, and that each reason is one of Reasons.
func TestRandomFailuresKeepBudgetDeadlineAndOutcomeRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := retrier.DefaultSettings()
		settings.DefaultPolicy.RetryRatio = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "share")
		settings.DefaultPolicy.Burst = rapid.IntRange(0, 5).Draw(t, "burst")
		r := retrier.New(settings, newRandom())
		firstAttempts, retries := 0, 0
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			if rapid.Bool().Draw(t, "first") {
				r.RecordFirstAttempt(startTime, "chat", "e")
				firstAttempts++
				continue
			}
			startStatuses := []retrier.StartStatus{retrier.StartUnknown(), retrier.StartConfirmed(), confirmedNotStarted, retrier.NeverSent()}
			failure := retrier.Failure{
				Kind:               rapid.SampledFrom(answerer.Kinds()).Draw(t, "kind"),
				StartStatus:        rapid.SampledFrom(startStatuses).Draw(t, "started"),
				EarlierStartStatus: rapid.SampledFrom(startStatuses).Draw(t, "earlier"),
				Idempotent:         rapid.Bool().Draw(t, "idempotent"), PartlyDelivered: rapid.Bool().Draw(t, "bytes"),
				Resumable: rapid.Bool().Draw(t, "resumable"), Endpoint: "e",
			}
			attempt := rapid.IntRange(1, 4).Draw(t, "attempt")
			timeLeft := time.Duration(rapid.IntRange(0, 200).Draw(t, "time left")) * time.Millisecond
			decision := r.Decide(startTime, "chat", attempt, failure, startTime.Add(timeLeft))
			provedNotStarted := failure.StartStatus.IsNotStarted() && (attempt == 1 || failure.EarlierStartStatus.IsNotStarted())
			assert.Assert(t, slices.Contains(retrier.Reasons(), decision.Reason))
			assert.Assert(t, decision.Action == retrier.Stop || decision.Delay < timeLeft)
			switch decision.Action {
			case retrier.Retry:
				retries++
				assert.Assert(t, !failure.PartlyDelivered && (provedNotStarted || failure.Idempotent) && attempt < settings.DefaultPolicy.MaxAttempts)
			case retrier.Resume:
				assert.Assert(t, failure.Resumable && attempt < settings.DefaultPolicy.MaxAttempts)
			default:
				outcome := answerer.Lookup(decision.Error.Kind).Outcome
				assert.Assert(t, outcome != answerer.NotRun || provedNotStarted && !failure.PartlyDelivered, "error kind %s without proof that the request did not start", decision.Error.Kind)
			}
		}
		maxRetries := settings.DefaultPolicy.RetryRatio*float64(firstAttempts) + float64(settings.DefaultPolicy.Burst)
		assert.Assert(t, float64(retries) <= maxRetries+1e-6, "%d retries for %d first attempts", retries, firstAttempts)
	})
}

// simulateOutage sends 200 new requests a second for 30 s to a service that can
// serve 300 a second and is down from second 5 to second 15. It returns the
// attempts made in each second and the number of requests served in the last.
func simulateOutage(settings retrier.Settings) (attemptsPerSecond []int, servedInLastSecond int) {
	const requestsPerSecond, capacityPerSecond, seconds = 200, 300, 30
	type request struct{ attempts int }
	r := retrier.New(settings, newRandom())
	step := time.Second / requestsPerSecond
	requestsByTick := map[int][]request{}
	attemptsPerSecond = make([]int, seconds)
	for tick := range seconds * requestsPerSecond {
		now, second := startTime.Add(time.Duration(tick)*step), tick/requestsPerSecond
		endpoint := fmt.Sprint("e", tick%9)
		r.RecordFirstAttempt(now, "chat", endpoint)
		for _, current := range append(requestsByTick[tick], request{}) {
			current.attempts++
			attemptsPerSecond[second]++
			isDown := second >= 5 && second < 15
			if !isDown && attemptsPerSecond[second] <= capacityPerSecond {
				if second == seconds-1 {
					servedInLastSecond++
				}
				continue
			}
			failure := retrier.Failure{Kind: answerer.KindEndpointLost, Idempotent: true, Endpoint: endpoint}
			decision := r.Decide(now, "chat", current.attempts, failure, now.Add(time.Minute))
			if decision.Action == retrier.Retry {
				retryTick := tick + 1 + int(decision.Delay/step)
				requestsByTick[retryTick] = append(requestsByTick[retryTick], current)
			}
		}
		delete(requestsByTick, tick)
	}
	return attemptsPerSecond, servedInLastSecond
}

// Without budgets, retries during an outage multiply the load of the service.
// With budgets, retries stay within the budgets, no further peak follows the
// outage, and all requests are served in the last second.
func TestRetryBudgetsPreventRetryStorm(t *testing.T) {
	settings := retrier.DefaultSettings()
	attemptsPerSecond, servedInLastSecond := simulateOutage(settings)
	totalAttempts, peakAfterOutage := 0, 0
	for second, count := range attemptsPerSecond {
		totalAttempts += count
		if second >= 15 {
			peakAfterOutage = max(peakAfterOutage, count)
		}
	}
	firstAttempts := 200 * len(attemptsPerSecond)
	maxRetries := settings.DefaultPolicy.RetryRatio*float64(firstAttempts) + float64(settings.DefaultPolicy.Burst)
	t.Logf("with budgets: %v attempts in each second, %d requests served in the last; %d retries of %.0f allowed", attemptsPerSecond, servedInLastSecond, totalAttempts-firstAttempts, maxRetries)
	assert.Assert(t, float64(totalAttempts-firstAttempts) <= maxRetries)
	assert.Assert(t, slices.Max(attemptsPerSecond) <= 200+20+settings.DefaultPolicy.Burst, "too many attempts in a second: %v", attemptsPerSecond)
	assert.Assert(t, peakAfterOutage <= 200+settings.DefaultPolicy.Burst, "%d attempts in a second after the outage", peakAfterOutage)
	assert.Equal(t, servedInLastSecond, 200)

	settings.DefaultPolicy.RetryRatio, settings.EndpointRetryRatio = 1e6, 1e6
	settings.DefaultPolicy.Burst, settings.EndpointBurst = 1e6, 1e6
	attemptsPerSecond, servedInLastSecond = simulateOutage(settings)
	t.Logf("without budgets: %v attempts in each second, %d requests served in the last", attemptsPerSecond, servedInLastSecond)
	assert.Assert(t, slices.Max(attemptsPerSecond) > 500, "the simulated outage causes no retry storm")
}

func TestEmptyEndpointBudgetStopsOnlyRetriesOfThatEndpoint(t *testing.T) {
	settings := retrier.DefaultSettings()
	settings.DefaultPolicy.Burst, settings.EndpointBurst = 100, 2
	r := retrier.New(settings, newRandom())
	reasons := make([]string, 0, 4)
	for _, endpoint := range []string{"down", "down", "down", "other"} {
		failure := retrier.Failure{Kind: answerer.KindEndpointLost, Idempotent: true, Endpoint: endpoint}
		reasons = append(reasons, r.Decide(startTime, "chat", 1, failure, startTime.Add(time.Minute)).Reason)
	}
	assert.DeepEqual(t, reasons, []string{retrier.ReasonRetry, retrier.ReasonRetry, retrier.ReasonEndpointBudget, retrier.ReasonRetry})
}

func TestBackoffDoublesUpToMaxBackoff(t *testing.T) {
	settings := retrier.DefaultSettings()
	settings.DefaultPolicy.MaxAttempts, settings.DefaultPolicy.Burst, settings.EndpointBurst = 100, 1e6, 1e6
	r := retrier.New(settings, newRandom())
	failure := retrier.Failure{Kind: answerer.KindEndpointLost, Idempotent: true}
	for attempt, maxWait := range map[int]time.Duration{1: 50, 2: 100, 3: 200, 7: 2000, 50: 2000} {
		longestWait := time.Duration(0)
		for range 1000 {
			longestWait = max(longestWait, r.Decide(startTime, "chat", attempt, failure, startTime.Add(time.Minute)).Delay)
		}
		maxWait *= time.Millisecond
		assert.Assert(t, longestWait > maxWait*9/10 && longestWait < maxWait, "longest wait %v after attempt %d", longestWait, attempt)
	}
}

func TestLeastRecentlyUsedBudgetIsEvictedAndStartsFullAgain(t *testing.T) {
	settings := retrier.DefaultSettings()
	settings.MaxBudgets = 2
	settings.DefaultPolicy.Burst, settings.DefaultPolicy.RetryRatio = 1, 0
	r := retrier.New(settings, newRandom())
	failure := retrier.Failure{Kind: answerer.KindEndpointLost, Idempotent: true}
	decide := func(second int, class string) retrier.Action {
		now := startTime.Add(time.Duration(second) * time.Second)
		return r.Decide(now, class, 1, failure, now.Add(time.Minute)).Action
	}
	assert.Equal(t, decide(0, "a"), retrier.Retry)
	assert.Equal(t, decide(1, "b"), retrier.Retry)
	assert.Equal(t, decide(2, "a"), retrier.Stop)
	assert.Equal(t, decide(3, "c"), retrier.Retry) // Evicts the budget of b.
	assert.Equal(t, decide(4, "a"), retrier.Stop)
	assert.Equal(t, decide(5, "b"), retrier.Retry)
}
