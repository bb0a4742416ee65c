package retrier

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

// Retrier decides what to do after failed attempts and keeps the retry budgets.
type Retrier struct {
	settings        Settings
	random          *rand.Rand
	classBudgets    *budgets
	endpointBudgets *budgets
}

// New returns a Retrier that draws its random waits from random.
func New(settings Settings, random *rand.Rand) *Retrier {
	return &Retrier{
		settings:        settings,
		random:          random,
		classBudgets:    newBudgets(settings.MaxBudgets),
		endpointBudgets: newBudgets(settings.MaxBudgets),
	}
}

// RecordFirstAttempt records that the first attempt of a request is sent to an endpoint. It
// earns a fraction of a retry for the class and for the endpoint.
func (r *Retrier) RecordFirstAttempt(now time.Time, class, endpoint string) {
	policy := r.policyOf(class)
	r.classBudgets.getOrCreate(now, class, policy.Burst).earn(policy.RetryRatio, policy.Burst)
	r.endpointBudgets.getOrCreate(now, endpoint, r.settings.EndpointBurst).earn(r.settings.EndpointRetryRatio, r.settings.EndpointBurst)
}

// Decide returns what to do after a failed attempt. attempt is its number, from
// 1; resumptions count as attempts.
func (r *Retrier) Decide(now time.Time, class string, attempt int, failure Failure, deadline time.Time) Decision {
	if failure.Kind == answerer.KindCanceled {
		return stopDecision(ReasonCallerLeft, answerer.New(answerer.KindCanceled, "The caller left."))
	}
	policy := r.policyOf(class)
	wait := r.randomBackoff(policy, attempt)
	tooLate := !now.Add(wait).Before(deadline)
	status := failure.combinedStartStatus(attempt)
	if failure.PartlyDelivered || (failure.Resumable && !failure.StartStatus.IsNotStarted() && attempt < policy.MaxAttempts) {
		return decideResume(policy, attempt, failure, wait, tooLate)
	}
	switch {
	case !isRetryable(failure.Kind):
		return stopDecision(ReasonNotRetryable, notRetryableError(status, failure.Kind))
	case !failure.Idempotent && !status.IsNotStarted():
		return stopDecision(ReasonMayHaveRun, mayHaveRunError(answerer.KindUncertain))
	case attempt >= policy.MaxAttempts:
		return stopDecision(ReasonMaxAttempts, errorForStartStatus(status, answerer.KindRefusedByEndpoint, answerer.KindEndpointLost))
	case tooLate:
		return stopDecision(ReasonDeadline, errorForStartStatus(status, answerer.KindExpired, answerer.KindTimeout))
	}
	if reason := r.spendRetry(now, class, failure.Endpoint, policy); reason != "" {
		return stopDecision(reason, errorForStartStatus(status, answerer.KindRetryBudget, answerer.KindEndpointLost))
	}

	return Decision{Action: Retry, Delay: wait, Reason: ReasonRetry}
}

// spendRetry takes one retry from the budget of the class and one from that of
// the endpoint. If either is empty, it takes none and returns the reason.
func (r *Retrier) spendRetry(now time.Time, class, endpoint string, policy Policy) string {
	classBudget := r.classBudgets.getOrCreate(now, class, policy.Burst)
	endpointBudget := r.endpointBudgets.getOrCreate(now, endpoint, r.settings.EndpointBurst)
	switch {
	case classBudget.retriesLeft < 1:
		return ReasonClassBudget
	case endpointBudget.retriesLeft < 1:
		return ReasonEndpointBudget
	}
	classBudget.retriesLeft--
	endpointBudget.retriesLeft--

	return ""
}

func (r *Retrier) policyOf(class string) Policy {
	if policy, ok := r.settings.Policies[class]; ok {
		return policy
	}

	return r.settings.DefaultPolicy
}

// randomBackoff returns the wait after the given attempt: a random time below a
// limit that doubles with each attempt. Random waits keep requests that failed
// together from being retried together.
func (r *Retrier) randomBackoff(policy Policy, attempt int) time.Duration {
	maxWait := policy.BaseBackoff
	for range attempt - 1 {
		if maxWait >= policy.MaxBackoff {
			break
		}
		maxWait *= 2
	}
	maxWait = min(maxWait, policy.MaxBackoff)
	if maxWait <= 0 {
		return 0
	}

	return time.Duration(r.random.Int64N(int64(maxWait)))
}

// decideResume decides whether a broken stream is resumed or stopped. The first
// resumption is made without a wait.
func decideResume(policy Policy, attempt int, failure Failure, wait time.Duration, tooLate bool) Decision {
	switch {
	case !failure.Resumable:
		return stopDecision(ReasonNotResumable, brokenStreamError(failure))
	case attempt >= policy.MaxAttempts:
		return stopDecision(ReasonMaxAttempts, brokenStreamError(failure))
	case tooLate:
		return stopDecision(ReasonDeadline, lateStreamError(failure))
	case attempt == 1:
		return Decision{Action: Resume, Reason: ReasonResume}
	default:
		return Decision{Action: Resume, Delay: wait, Reason: ReasonResume}
	}
}

// isRetryable reports whether another attempt may succeed after a failure of
// this kind.
func isRetryable(kind answerer.Kind) bool {
	switch kind {
	case answerer.KindRefusedByEndpoint, answerer.KindEndpointLost, answerer.KindTruncated:
		return true
	default:
		return false
	}
}
