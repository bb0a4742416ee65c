package scheduler_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/scheduler"
)

// policy is what the simulation drives: the scheduler, or a policy that it is compared
// with.
type policy interface {
	Enqueue(now time.Time, request scheduler.Request) []scheduler.Refusal
	Dispatch(now time.Time, tryPlace func(scheduler.Request) bool) []scheduler.Request
	Finish(now time.Time, id uint64, tokens int)
	Expire(now time.Time) []scheduler.Refusal
	NextDue() time.Time
}

const tierCount = scheduler.TierCount

var (
	simGuaranteedWaits = [tierCount]float64{10, 15, 20, 30, 30}
	simWaitTargets     = [tierCount]float64{0.36, 0.5, 2, 10, 30}
	simMeanTokens      = [tierCount]float64{150, 250, 300, 600, 600}
	simTierMix         = [tierCount]float64{0.2, 0.25, 0.2, 0.2, 0.15}
	testStart          = time.Unix(1_000_000, 0)
)

func simClasses() map[string]scheduler.Class {
	classes := map[string]scheduler.Class{}
	for t, guaranteedWait := range simGuaranteedWaits {
		classes[fmt.Sprint(t)] = scheduler.Class{Tier: t, GuaranteedWait: seconds(guaranteedWait)}
	}

	return classes
}

func seconds(amount float64) time.Duration { return time.Duration(amount * float64(time.Second)) }

// simulatedLoad describes a simulated load on one lane whose endpoints have equal slots.
type simulatedLoad struct {
	seed            uint64
	slotCount       int
	tokensPerSecond float64 // speed of each slot
	durationSeconds float64
	overloadFactor  float64
	tierMix         [tierCount]float64
	outageWindow    [2]float64         // start and end of an outage, in seconds
	deadlineSeconds [tierCount]float64 // deadline of requests by tier; 0 means none
}

// simulationResult holds what a simulation measured, by tier.
type simulationResult struct {
	arrived, servedWithinTarget, refused, refusedAfterOvertaken [tierCount]int
	longestWait                                                 [tierCount]float64
	servedTokens, overtakingTokens                              int
	// starvedRefusals counts requests refused after their class, although it had
	// requests, was not served for its guaranteed wait.
	starvedRefusals [tierCount]int
}

// simulation is the state of one simulated run.
type simulation struct {
	simulatedLoad
	policy         policy
	rng            *rand.Rand
	now            float64
	slotEnds       []float64 // end of the running request by slot; 0 when free
	running        []scheduler.Request
	answerTokens   map[uint64]int
	waiting        map[uint64]*waitingRequest
	result         simulationResult
	unservedSince  [tierCount]float64 // first arrival since the class was last served
	waitingPerTier [tierCount]int     // number of waiting requests by tier
	overtakenID    [tierCount]uint64  // newest arrival when a lower tier was last served
	newestID       uint64
}

func (s *simulation) currentTime() time.Time { return testStart.Add(seconds(s.now)) }

func simulate(p policy, load simulatedLoad) simulationResult {
	s := &simulation{
		simulatedLoad: load, policy: p, rng: rand.New(rand.NewPCG(load.seed, 1)),
		slotEnds: make([]float64, load.slotCount), running: make([]scheduler.Request, load.slotCount),
		answerTokens: map[uint64]int{}, waiting: map[uint64]*waitingRequest{},
	}
	var nextArrivals [tierCount]float64
	for t := range nextArrivals {
		nextArrivals[t] = s.nextArrivalDelay(t)
		s.unservedSince[t] = math.Inf(1)
	}
	for id := uint64(1); s.now < load.durationSeconds; {
		nextTime, tier, slot := math.Inf(1), -1, -1
		for t := range nextArrivals {
			if nextArrivals[t] < nextTime {
				nextTime, tier = nextArrivals[t], t
			}
		}
		for i, end := range s.slotEnds {
			if end > 0 && end < nextTime {
				nextTime, slot = end, i
			}
		}
		if dueTime := p.NextDue(); !dueTime.IsZero() && dueTime.Sub(testStart).Seconds() < nextTime {
			nextTime, tier, slot = dueTime.Sub(testStart).Seconds(), -1, -1
		}
		s.now = max(nextTime, s.now)
		switch {
		case slot >= 0:
			s.slotEnds[slot] = 0
			p.Finish(s.currentTime(), s.running[slot].ID, s.answerTokens[s.running[slot].ID])
		case tier >= 0:
			s.enqueueArrival(id, tier)
			id++
			nextArrivals[tier] = s.now + s.nextArrivalDelay(tier)
		default:
			s.now += 1e-6
		}
		s.recordRefusals(p.Expire(s.currentTime()))
		s.dispatch()
	}

	return s.result
}

// nextArrivalDelay draws the random time in seconds to the next arrival of a tier.
func (s *simulation) nextArrivalDelay(tier int) float64 {
	rate := s.overloadFactor * s.tierMix[tier] * float64(s.slotCount) * s.tokensPerSecond / simMeanTokens[tier]
	if rate == 0 {
		return math.Inf(1)
	}

	return s.rng.ExpFloat64() / rate
}

func (s *simulation) enqueueArrival(id uint64, tier int) {
	tokens := int(simMeanTokens[tier] * math.Exp(s.rng.NormFloat64()*0.8-0.32))
	s.answerTokens[id] = max(1, tokens)
	request := scheduler.Request{
		ID: id, Lane: "pool", Tier: tier, Class: fmt.Sprint(tier),
		Workspace: fmt.Sprint(s.rng.IntN(10)), Cost: int(simMeanTokens[tier]),
	}
	if s.deadlineSeconds[tier] > 0 {
		request.Deadline = s.currentTime().Add(seconds(s.deadlineSeconds[tier]))
	}
	s.result.arrived[tier]++
	s.unservedSince[tier] = min(s.unservedSince[tier], s.now)
	s.waiting[id] = &waitingRequest{Request: request, arrivedAt: s.currentTime()}
	s.waitingPerTier[tier]++
	s.newestID = id
	s.recordRefusals(s.policy.Enqueue(s.currentTime(), request))
}

func (s *simulation) recordRefusals(refusals []scheduler.Refusal) {
	for _, refusal := range refusals {
		w := s.waiting[refusal.ID]
		s.result.refused[w.Tier]++
		if w.ID <= s.overtakenID[w.Tier] {
			s.result.refusedAfterOvertaken[w.Tier]++
		}
		if s.now-s.unservedSince[w.Tier] > simGuaranteedWaits[w.Tier] {
			s.result.starvedRefusals[w.Tier]++
		}
		delete(s.waiting, refusal.ID)
		s.waitingPerTier[w.Tier]--
	}
}

func (s *simulation) dispatch() {
	s.policy.Dispatch(s.currentTime(), func(r scheduler.Request) bool {
		if s.now >= s.outageWindow[0] && s.now < s.outageWindow[1] {
			return false
		}
		for i, end := range s.slotEnds {
			if end == 0 {
				s.slotEnds[i] = s.now + float64(s.answerTokens[r.ID])/s.tokensPerSecond
				s.running[i] = r
				s.recordService(r)

				return true
			}
		}

		return false
	})
}

func (s *simulation) recordService(r scheduler.Request) {
	w := s.waiting[r.ID]
	delete(s.waiting, r.ID)
	s.waitingPerTier[r.Tier]--
	wait := s.currentTime().Sub(w.arrivedAt).Seconds()
	s.result.longestWait[r.Tier] = max(s.result.longestWait[r.Tier], wait)
	s.unservedSince[r.Tier] = math.Inf(1)
	if wait <= simWaitTargets[r.Tier] {
		s.result.servedWithinTarget[r.Tier]++
	}
	s.result.servedTokens += s.answerTokens[r.ID]
	overtaken := 0
	for tier := range r.Tier {
		s.overtakenID[tier] = s.newestID
		overtaken += s.waitingPerTier[tier]
	}
	if overtaken > 0 {
		s.result.overtakingTokens += s.answerTokens[r.ID]
	}
}

// TestEveryClassIsServedWithinItsGuaranteedWaitUnderOverload overloads a lane with
// requests of the higher tiers, in some runs with an outage, and checks that every class
// below the highest is served within its guaranteed wait.
func TestEveryClassIsServedWithinItsGuaranteedWaitUnderOverload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		load := simulatedLoad{
			seed: rapid.Uint64().Draw(t, "seed"), slotCount: rapid.IntRange(20, 40).Draw(t, "slots"),
			tokensPerSecond: 60, durationSeconds: 100, overloadFactor: rapid.Float64Range(1.2, 3).Draw(t, "overload"),
			tierMix: [tierCount]float64{0.9, 0.4, 0.1, 0.1, 0.1}, deadlineSeconds: [tierCount]float64{
				rapid.Float64Range(0.3, 5).Draw(t, "deadline"), rapid.Float64Range(0.3, 20).Draw(t, "deadline"),
			},
		}
		if rapid.Bool().Draw(t, "outage") {
			load.outageWindow = [2]float64{40, 55}
		}
		result := simulate(scheduler.New(scheduler.Settings{Classes: simClasses()}), load)
		outageSeconds := load.outageWindow[1] - load.outageWindow[0]
		for tier, guaranteedWait := range simGuaranteedWaits {
			assert.Equal(t, result.refusedAfterOvertaken[tier], 0)
			if tier > 0 {
				assert.Assert(t, result.longestWait[tier] <= guaranteedWait*1.1+outageSeconds,
					"tier %d waited %v", tier, result.longestWait[tier])
				assert.Assert(t, outageSeconds > 0 || result.starvedRefusals[tier] == 0, "tier %d starved", tier)
			}
		}
		assert.Assert(t, result.longestWait[tierCount-1] <= simGuaranteedWaits[tierCount-1])
	})
}
