package simulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// The simulated requests and their latency targets. A long prompt is a prefix that
// its group shares, followed by a suffix of its own. Random lengths are a minimum plus
// an exponentially distributed extra with the given mean.
const (
	serviceName                = "llm"
	sharedPrefixTokens         = 6300
	prefixGroupCount           = 140
	minLongSuffixTokens        = 200
	meanExtraLongSuffixTokens  = 2600
	longOutputTokens           = 52
	minShortPromptTokens       = 100
	meanExtraShortPromptTokens = 600
	maxShortPromptTokens       = 3300
	minShortOutputTokens       = 20
	meanExtraShortOutputTokens = 250
	longFirstTokenTarget       = 600 * time.Millisecond
	shortFirstTokenTarget      = 300 * time.Millisecond
	maxStreamPause             = 200 * time.Millisecond // target for the streams of short prompts
	gossipInterval             = 150 * time.Millisecond
	streamIdleTimeout          = 2 * time.Second         // longest wait of a caller for the next event
	firstTokenTimeout          = 1500 * time.Millisecond // an attempt without an answer has then failed
	maxAttempts                = 3
	secondPCGSeed              = 2
	dataCentreCount            = 3
	firstSuffixBlockID         = 1 << 20 // above the IDs of all shared prefixes
)

// Fleet is a set of router instances and the engines of one service.
type Fleet struct {
	random           *rand.Rand
	measurementStart time.Time // end of the warm-up
	now              time.Time
	policy           Policy
	engines          []*engine
	endpoints        []registrar.Endpoint // of the engines, in the same order
	instances        []*placer.Placer
	requestCount     int
	lastSequenceID   uint64
	prefilledBlocks  map[uint64]bool // blocks that any engine has been sent to prefill
	outcome          Outcome
}

// Run simulates a scenario with so many instances and engines. The seed also
// determines which engines the faults affect.
func Run(scenario Scenario, policy Policy, instances, engines int, seed uint64) Outcome {
	f := newFleet(policy, instances, engines, seed)
	f.runPhase(scenario.WarmUp, nil)
	f.outcome = Outcome{}
	f.measurementStart = f.now
	transitions := scenario.faultTransitions(int(seed % uint64(engines)))
	for _, phase := range scenario.Phases {
		transitions = f.runPhase(phase, transitions)
	}

	return f.outcome
}

func newFleet(policy Policy, instances, engines int, seed uint64) *Fleet {
	f := &Fleet{random: rand.New(rand.NewPCG(seed, secondPCGSeed)), now: time.Unix(1000, 0), policy: policy, prefilledBlocks: map[uint64]bool{}}
	for i := range engines {
		f.engines = append(f.engines, newEngine(f.now))
		f.endpoints = append(f.endpoints, registrar.Endpoint{
			ID: fmt.Sprintf("e%02d", i), Service: serviceName, Address: fmt.Sprintf("10.0.0.%d:80", i),
			DataCentre: fmt.Sprintf("dc%d", i%dataCentreCount), Slots: engineSlots,
		})
	}
	for i := range instances {
		instance := placer.New(placer.Settings{InstanceName: instanceName(i), DataCentre: "dc0"})
		instance.Configure(f.endpoints)
		f.instances = append(f.instances, instance)
	}

	return f
}

func instanceName(instance int) string {
	return fmt.Sprintf("i%d", instance)
}

// runPhase simulates one phase and returns the fault transitions that are still to come.
func (f *Fleet) runPhase(phase Phase, transitions []faultTransition) []faultTransition {
	end := f.now.Add(phase.Duration)
	nextShort, nextLong, nextGossip := f.nextArrival(phase.Rates.Short), f.nextArrival(phase.Rates.Long), f.now
	for f.now.Before(end) {
		earliest := nextGossip
		for _, at := range []time.Time{nextShort, nextLong} {
			if at.Before(earliest) {
				earliest = at
			}
		}
		for len(transitions) > 0 && !f.measurementStart.Add(transitions[0].at).After(earliest) {
			f.advance(f.measurementStart.Add(transitions[0].at))
			f.applyFaultTransition(transitions[0])
			transitions = transitions[1:]
		}
		f.advance(earliest)
		switch earliest {
		case nextGossip:
			f.exchangeLoads()
			nextGossip = nextGossip.Add(gossipInterval)
		case nextShort:
			f.submitShort()
			nextShort = f.nextArrival(phase.Rates.Short)
		default:
			f.submitLong(phase.HotGroupFraction)
			nextLong = f.nextArrival(phase.Rates.Long)
		}
	}

	return transitions
}

// nextArrival draws the time of the next arrival, at a rate per second.
func (f *Fleet) nextArrival(rate float64) time.Time {
	return f.now.Add(time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)))
}

// advance runs the engines up to a time and records their results at the instances.
func (f *Fleet) advance(until time.Time) {
	for _, e := range f.engines {
		for e.stepEndsAt.Before(until) {
			if e.isIdle() || e.unresponsive || e.down {
				e.stepEndsAt = until

				break
			}
			result := e.runStep(e.stepEndsAt)
			for _, s := range result.sentEvent {
				f.instances[s.instance].RecordActivity(e.stepEndsAt, s.id)
			}
			for _, s := range result.started {
				f.instances[s.instance].RecordFirstEvent(e.stepEndsAt, s.id)
				f.sendLoadUpdates(s.instance, e)
			}
			for _, s := range result.finished {
				f.instances[s.instance].RecordResult(e.stepEndsAt, s.id, placer.Finished)
				f.outcome.recordFinished(s)
			}
		}
	}
	f.now = until
	f.failTimedOut()
}

// failTimedOut fails the sequences at unresponsive engines that have waited too long.
func (f *Fleet) failTimedOut() {
	for _, e := range f.engines {
		if !e.unresponsive {
			continue
		}
		e.running = f.failMatching(e.running, func(s *sequence) bool { return f.now.Sub(s.lastEventAt) > streamIdleTimeout })
		e.prefilling = f.failMatching(e.prefilling, func(s *sequence) bool { return f.now.Sub(s.arrivedAt) > firstTokenTimeout })
		e.waiting = f.failMatching(e.waiting, func(s *sequence) bool { return f.now.Sub(s.arrivedAt) > firstTokenTimeout })
	}
}

// failMatching fails the sequences that have timed out and returns the others.
func (f *Fleet) failMatching(sequences []*sequence, isTimedOut func(*sequence) bool) []*sequence {
	var remaining []*sequence
	for _, s := range sequences {
		if !isTimedOut(s) {
			remaining = append(remaining, s)

			continue
		}
		f.outcome.Lost++
		f.instances[s.instance].RecordResult(f.now, s.id, placer.Failed)
	}

	return remaining
}

// sendLoadUpdates sends an instance's local load at an engine to its peers at once,
// if the policy does so.
func (f *Fleet) sendLoadUpdates(sender int, e *engine) {
	if !f.policy.sendsLoadUpdates {
		return
	}
	id := f.endpoints[slices.Index(f.engines, e)].ID
	load := f.instances[sender].LocalLoad(id)
	for i, receiver := range f.instances {
		if i != sender {
			receiver.ReceiveLoadUpdate(instanceName(sender), id, load)
		}
	}
}

// exchangeLoads sends each instance's loads, demands and prefills to all its peers,
// as a round of gossip does.
func (f *Fleet) exchangeLoads() {
	for i, sender := range f.instances {
		for j, receiver := range f.instances {
			if i != j {
				receiver.ReceiveLoads(f.now, instanceName(i), sender.LocalLoads(), sender.LocalDemands(f.now))
				receiver.ReceivePrefills(sender.LocalPrefills(f.now))
			}
		}
	}
}
