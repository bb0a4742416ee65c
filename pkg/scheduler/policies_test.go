package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/scheduler"
)

// scorePolicy serves the request with the lowest score first. Like the scheduler, it
// limits the number of waiting requests and expires requests that are older than their
// guaranteed wait or past their deadline.
type scorePolicy struct {
	waiting     []*waitingRequest
	servedCount int
	score       func(w *waitingRequest, now time.Time, servedCount int) float64
}

func (p *scorePolicy) Enqueue(now time.Time, request scheduler.Request) []scheduler.Refusal {
	p.waiting = append(p.waiting, &waitingRequest{Request: request, arrivedAt: now})
	if len(p.waiting) <= 400 {
		return nil
	}
	victim := len(p.waiting) - 1
	for i, w := range p.waiting {
		if w.Tier > p.waiting[victim].Tier {
			victim = i
		}
	}
	id := p.waiting[victim].ID
	p.waiting = slices.Delete(p.waiting, victim, victim+1)

	return []scheduler.Refusal{{ID: id, Kind: answerer.KindEvicted}}
}

func (p *scorePolicy) Dispatch(now time.Time, tryPlace func(scheduler.Request) bool) []scheduler.Request {
	for len(p.waiting) > 0 {
		best := 0
		for i, w := range p.waiting {
			if p.score(w, now, p.servedCount) < p.score(p.waiting[best], now, p.servedCount) {
				best = i
			}
		}
		if !tryPlace(p.waiting[best].Request) {
			break
		}
		p.servedCount++
		p.waiting = slices.Delete(p.waiting, best, best+1)
	}

	return nil
}

func (p *scorePolicy) Finish(time.Time, uint64, int) {}

func (p *scorePolicy) NextDue() time.Time { return time.Time{} }

func (p *scorePolicy) Expire(now time.Time) []scheduler.Refusal {
	var refusals []scheduler.Refusal
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waitingRequest) bool {
		pastDeadline := !w.Deadline.IsZero() && !now.Before(w.Deadline)
		if !pastDeadline && now.Sub(w.arrivedAt) < seconds(simGuaranteedWaits[w.Tier]) {
			return false
		}
		refusals = append(refusals, scheduler.Refusal{ID: w.ID, Kind: answerer.KindExpired})

		return true
	})

	return refusals
}

func waitSeconds(w *waitingRequest, now time.Time) float64 { return now.Sub(w.arrivedAt).Seconds() }

// strictTierScore orders requests by tier and, inside a tier, oldest first.
func strictTierScore(w *waitingRequest, now time.Time, _ int) float64 {
	return float64(w.Tier) - waitSeconds(w, now)/1000
}

// ageingScore raises a request's priority with its age, up to that of the highest tier
// shortly before its guaranteed wait is over.
func ageingScore(w *waitingRequest, now time.Time, _ int) float64 {
	return float64(w.Tier) * (1 - waitSeconds(w, now)/(0.9*simGuaranteedWaits[w.Tier]))
}

// slackScore orders requests by the time that is left of their guaranteed wait.
func slackScore(w *waitingRequest, now time.Time, _ int) float64 {
	return simGuaranteedWaits[w.Tier] - waitSeconds(w, now)
}

// reservedTenthScore gives every tenth dispatch to the oldest request of the lower tiers.
func reservedTenthScore(w *waitingRequest, now time.Time, servedCount int) float64 {
	if servedCount%10 == 9 && w.Tier > 0 {
		return -waitSeconds(w, now)
	}

	return strictTierScore(w, now, servedCount)
}

// BenchmarkPolicies compares policies that serve lower tiers within their guaranteed
// waits, at two levels of overload.
//
//	go test ./pkg/scheduler -run '^$' -bench Policies -benchtime 1x
func BenchmarkPolicies(b *testing.B) {
	newScheduler := func(throughputFraction float64) func() policy {
		return func() policy {
			return scheduler.New(scheduler.Settings{
				MaxWaiting: 400, Classes: simClasses(), GuaranteedThroughputFraction: throughputFraction,
			})
		}
	}
	newScorePolicy := func(score func(*waitingRequest, time.Time, int) float64) func() policy {
		return func() policy { return &scorePolicy{score: score} }
	}
	candidates := []struct {
		name      string
		newPolicy func() policy
	}{
		{"strict", newScorePolicy(strictTierScore)}, {"ageing", newScorePolicy(ageingScore)},
		{"slack", newScorePolicy(slackScore)}, {"trickle", newScorePolicy(reservedTenthScore)},
		{"ours=0.02", newScheduler(0.02)}, {"ours=0.1", newScheduler(0.1)}, {"ours=0.4", newScheduler(0.4)},
	}
	mixes := map[string][tierCount]float64{"mixed": simTierMix, "top": {0.5, 0.2, 0.1, 0.1, 0.1}}
	for _, mix := range []string{"mixed", "top"} {
		for _, overload := range []float64{1.5, 2} {
			for _, candidate := range candidates {
				b.Run(fmt.Sprintf("%s/overload=%v/%s", mix, overload, candidate.name), func(b *testing.B) {
					load := simulatedLoad{
						seed: 7, slotCount: 40, tokensPerSecond: 60, durationSeconds: 1200,
						overloadFactor: overload, tierMix: mixes[mix],
						deadlineSeconds: [tierCount]float64{0.36, 0.5},
					}
					var result simulationResult
					for b.Loop() {
						result = simulate(candidate.newPolicy(), load)
					}
					b.ReportMetric(0, "ns/op")
					refusedAfterOvertaken := 0
					for t := range tierCount {
						b.ReportMetric(100*float64(result.servedWithinTarget[t])/float64(result.arrived[t]), fmt.Sprintf("%%t%d", t))
						refusedAfterOvertaken += result.refusedAfterOvertaken[t]
					}
					b.ReportMetric(result.longestWait[tierCount-1], "s-longest")
					b.ReportMetric(100*float64(result.overtakingTokens)/float64(result.servedTokens), "%floors")
					b.ReportMetric(float64(refusedAfterOvertaken), "broken")
				})
			}
		}
	}
}
