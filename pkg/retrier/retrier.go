package retrier

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

// Retrier decides what to do after failures.
type Retrier struct {
	settings  Settings
	random    *rand.Rand
	classes   *budgets
	endpoints *budgets
}

// New returns a Retrier that draws its waits from random.
func New(settings Settings, random *rand.Rand) *Retrier {
	return &Retrier{
		settings:  settings,
		random:    random,
		classes:   newBudgets(settings.Names),
		endpoints: newBudgets(settings.Names),
	}
}

// RecordFirstAttempt takes a first try that leaves for an endpoint.
func (r *Retrier) RecordFirstAttempt(now time.Time, class, endpoint string) {
	policy := r.policy(class)
	r.classes.get(now, class, policy.Burst).earn(policy.RetryRatio, policy.Burst)
	r.endpoints.get(now, endpoint, r.settings.EndpointBurst).earn(r.settings.EndpointShare, r.settings.EndpointBurst)
}

// Decide returns what to do after the failure of the given try, counted from
// 1; resumptions count as tries.
func (r *Retrier) Decide(now time.Time, class string, tries int, failure Failure, deadline time.Time) Decision {
	policy := r.policy(class)
	wait := r.backoff(policy, tries)
	late := !now.Add(wait).Before(deadline)
	known := failure.known(tries)
	if failure.PartlyDelivered || (failure.Resumable && !failure.StartStatus.IsNotStarted() && tries < policy.Tries) {
		return resume(policy, tries, failure, wait, late)
	}
	switch {
	case !retryable(failure.Kind):
		return stop(ReasonNotRetryable, final(known, failure.Kind))
	case !failure.Idempotent && !known.IsNotStarted():
		return stop(ReasonMayHaveRun, mayHaveRun(answerer.KindUncertain))
	case tries >= policy.Tries:
		return stop(ReasonTries, outcome(known, answerer.KindRefusedByEndpoint, answerer.KindEndpointLost))
	case late:
		return stop(ReasonDeadline, outcome(known, answerer.KindExpired, answerer.KindTimeout))
	}
	if reason := r.spend(now, class, failure.Endpoint, policy); reason != "" {
		return stop(reason, outcome(known, answerer.KindRetryBudget, answerer.KindEndpointLost))
	}

	return Decision{Action: Retry, Delay: wait, Reason: ReasonRetry}
}

// spend takes a retry from both budgets or, with the reason, from none.
func (r *Retrier) spend(now time.Time, class, endpoint string, policy Policy) string {
	forClass := r.classes.get(now, class, policy.Burst)
	forEndpoint := r.endpoints.get(now, endpoint, r.settings.EndpointBurst)
	switch {
	case forClass.tokens < 1:
		return ReasonClassBudget
	case forEndpoint.tokens < 1:
		return ReasonEndpointBudget
	}
	forClass.tokens--
	forEndpoint.tokens--

	return ""
}

func (r *Retrier) policy(class string) Policy {
	if policy, ok := r.settings.Policies[class]; ok {
		return policy
	}

	return r.settings.DefaultPolicy
}

// backoff draws a wait from nothing to a bound that doubles with each try, so
// that requests that failed together do not come back together.
func (r *Retrier) backoff(policy Policy, tries int) time.Duration {
	bound := policy.Backoff
	for range tries - 1 {
		if bound >= policy.BackoffMax {
			break
		}
		bound *= 2
	}
	bound = min(bound, policy.BackoffMax)
	if bound <= 0 {
		return 0
	}

	return time.Duration(r.random.Int64N(int64(bound)))
}

// resume goes on with a stream, at first without a wait, or gives it up.
func resume(policy Policy, tries int, failure Failure, wait time.Duration, late bool) Decision {
	switch {
	case !failure.Resumable:
		return stop(ReasonPartial, broken(failure))
	case tries >= policy.Tries:
		return stop(ReasonTries, broken(failure))
	case late:
		return stop(ReasonDeadline, brokenLate(failure))
	case tries == 1:
		return Decision{Action: Resume, Reason: ReasonResume}
	default:
		return Decision{Action: Resume, Delay: wait, Reason: ReasonResume}
	}
}

// retryable says whether another try may fare better.
func retryable(kind answerer.Kind) bool {
	switch kind {
	case answerer.KindRefusedByEndpoint, answerer.KindEndpointLost, answerer.KindTruncated:
		return true
	default:
		return false
	}
}
