package simulator

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
	"github.com/oleanderpick/oleanderpick/pkg/spreader"
)

// The simulated requests and their latency targets. A long prompt is a prefix that
// its group shares, followed by a suffix of its own. Random lengths are a minimum plus
// an exponentially distributed extra with the given mean.
const (
	serviceName                = "llm"
	sharedPrefixTokens         = 6300
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
	maxStreamPause             = 200 * time.Millisecond  // target for the streams of short prompts
	roundInterval              = 100 * time.Millisecond  // between two rounds of gossip
	streamIdleTimeout          = 2 * time.Second         // longest wait of a caller for the next event
	firstTokenTimeout          = 1500 * time.Millisecond // an attempt without an answer has then failed
	maxAttempts                = 3
	secondPCGSeed              = 2
	firstSuffixBlockID         = 1 << 20 // above the IDs of all shared prefixes
)

// gossipFanout is the fanout of the router's instances.
var gossipFanout = spreader.Fanout{Min: 2, Max: 3}

// Size is the size of a fleet and of its engines.
type Size struct {
	Instances, Engines, DataCentres int
	// Slots is the number of sequences that an engine works on at once.
	Slots int
	// PrefixGroups is the number of different prefixes of long prompts.
	PrefixGroups int
}

// SmallSize returns the size of a fleet in which each instance can tell all others of
// each request.
func SmallSize() Size {
	return Size{Instances: 7, Engines: 9, DataCentres: 3, Slots: 64, PrefixGroups: 140}
}

// GrownSize returns the size of a fleet of many small instances and engines with few
// slots.
func GrownSize() Size {
	return Size{Instances: 62, Engines: 90, DataCentres: 4, Slots: 16, PrefixGroups: 584}
}

// LargeSize returns the size of a fleet in which each instance places few requests, and in which
// most endpoints are in other data centres.
func LargeSize() Size {
	return Size{Instances: 195, Engines: 78, DataCentres: 5, Slots: 16, PrefixGroups: 1110}
}

// Fleet is a set of router instances and the engines of one service.
type Fleet struct {
	size             Size
	random           *rand.Rand
	measurementStart time.Time // end of the warm-up
	now              time.Time
	policy           Policy
	engines          []*engine
	endpoints        []registrar.Endpoint // of the engines, in the same order
	instances        []*placer.Placer
	contacts         [][]contact // by instance and peer
	summaryAt        map[summaryKey]time.Time
	round            int
	requestCount     int
	lastSequenceID   uint64
	prefilledBlocks  map[uint64]bool // blocks that any engine has been sent to prefill
	outcome          Outcome
	drawInstance     func() int // returns the instance that gets the next request
	speed            Speed
}

// contact is what an instance knows of a peer.
type contact struct {
	lastRound int // in which the instance contacted the peer
}

// summaryKey names the summary of a data centre's loads that an instance has.
type summaryKey struct {
	instance, dataCentre int
}

// Run simulates a scenario with a fleet of the given size. The seed also determines
// which engines the faults affect.
func Run(scenario Scenario, policy Policy, size Size, seed uint64) Outcome {
	f := newFleet(policy, size, seed)
	f.setSpeed(scenario.Speed, seed)
	f.runPhase(scenario.WarmUp, nil)
	f.outcome = Outcome{}
	f.measurementStart = f.now
	transitions := scenario.faultTransitions(int(seed % uint64(size.Engines)))
	for _, phase := range scenario.Phases {
		transitions = f.runPhase(phase, transitions)
	}

	return f.outcome
}

func newFleet(policy Policy, size Size, seed uint64) *Fleet {
	f := &Fleet{size: size, random: rand.New(rand.NewPCG(seed, secondPCGSeed)), now: time.Unix(1000, 0), policy: policy, prefilledBlocks: map[uint64]bool{}, summaryAt: map[summaryKey]time.Time{}}
	f.drawInstance = f.drawInstanceBySwing
	for i := range size.Engines {
		f.engines = append(f.engines, newEngine(f.now, size.Slots))
		f.endpoints = append(f.endpoints, registrar.Endpoint{
			ID: fmt.Sprintf("e%02d", i), Service: serviceName, Address: fmt.Sprintf("10.0.0.%d:80", i),
			DataCentre: f.dataCentre(i), Slots: size.Slots,
		})
	}
	for i := range size.Instances {
		instance := placer.New(placer.Settings{InstanceName: instanceName(i), DataCentre: f.dataCentre(i)})
		instance.Configure(f.endpoints)
		instance.SetFleetDivided(f.spreaderFleet(i).IsDivided())
		f.instances = append(f.instances, instance)
		f.contacts = append(f.contacts, make([]contact, size.Instances))
	}

	return f
}

// dataCentre returns the data centre of an instance or engine.
func (f *Fleet) dataCentre(index int) string {
	return fmt.Sprintf("dc%d", index%f.size.DataCentres)
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
			f.runGossipRound()
			nextGossip = nextGossip.Add(roundInterval)
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
				f.recordStatement(s, e)
				f.instances[s.instance].RecordFirstEvent(e.stepEndsAt, s.id)
				f.sendLoadUpdates(s.instance, e)
			}
			for _, s := range result.finished {
				f.instances[s.instance].RecordResult(e.stepEndsAt, s.id, placer.Finished)
				f.sendLoadUpdates(s.instance, e)
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

// isLocal reports whether two instances are in the same data centre.
func (f *Fleet) isLocal(a, b int) bool {
	return a%f.size.DataCentres == b%f.size.DataCentres
}

// spreaderFleet returns what an instance knows of its peers.
func (f *Fleet) spreaderFleet(instance int) spreader.Fleet {
	lastInDataCentre := (f.size.Instances - 1 - instance%f.size.DataCentres) / f.size.DataCentres

	return spreader.Fleet{Peers: f.size.Instances - 1, LocalPeers: lastInDataCentre}
}

// sendLoadUpdates sends an instance's local load at an engine to the peers that get
// updates, if the policy does so.
func (f *Fleet) sendLoadUpdates(sender int, e *engine) {
	if !f.policy.sendsLoadUpdates {
		return
	}
	id := f.endpointID(e)
	load := f.instances[sender].LocalLoad(id)
	fleet := f.spreaderFleet(sender)
	for i, receiver := range f.instances {
		if i != sender && fleet.SharesEngines(f.isLocal(i, sender)) {
			receiver.ReceiveLoadUpdate(instanceName(sender), id, load)
		}
	}
}

// endpointID returns the ID of an engine's endpoint.
func (f *Fleet) endpointID(e *engine) string {
	return f.endpoints[slices.Index(f.engines, e)].ID
}

// runGossipRound lets each instance exchange messages with the peers that it contacted
// longest ago. Messages arrive at once and are never lost. Policies without a placer
// need none.
func (f *Fleet) runGossipRound() {
	if f.policy.choose != nil {
		return
	}
	f.round++
	for i := range f.instances {
		fleet := f.spreaderFleet(i)
		for _, j := range f.selectPeers(i, fleet) {
			contact := &f.contacts[i][j]
			key := summaryKey{i, j % f.size.DataCentres}
			if fleet.CarriesLoads(f.isLocal(i, j), f.now.Sub(f.summaryAt[key])) {
				f.sendLoads(j, i, fleet)
				f.summaryAt[key] = f.now
			}
			if fleet.SharesEngines(f.isLocal(i, j)) {
				f.sendLoads(i, j, fleet)
			}
			contact.lastRound = f.round
		}
	}
}

// selectPeers returns the peers that an instance contacts in a round.
func (f *Fleet) selectPeers(instance int, fleet spreader.Fleet) []int {
	var peers []int
	for i := range f.instances {
		if i != instance {
			peers = append(peers, i)
		}
	}
	slices.SortStableFunc(peers, func(a, b int) int {
		return cmp.Compare(f.contacts[instance][a].lastRound, f.contacts[instance][b].lastRound)
	})

	selected := spreader.SelectPeers(fleet, gossipFanout, peers, func(peer int) bool { return f.isLocal(peer, instance) })
	if !fleet.IsLocalRound(f.round) {
		return selected
	}

	return slices.DeleteFunc(selected, func(peer int) bool { return !f.isLocal(peer, instance) })
}

// sendLoads sends a peer an instance's loads and demands, or those of its data centre if
// the peer does not share its engines, and the instance's prefills.
func (f *Fleet) sendLoads(sender, receiver int, fleet spreader.Fleet) {
	from, to := f.instances[sender], f.instances[receiver]
	sharesEngines := fleet.SharesEngines(f.isLocal(sender, receiver))
	demands := from.LocalDemands(f.now)
	if sharesEngines {
		to.SetPeerDataCentre(instanceName(sender), f.dataCentre(sender))
		to.ReceiveLoads(f.now, instanceName(sender), from.LocalLoads(), demands)
		to.ReceivePrefills(f.now, from.LocalPrefills(f.now), f.isLocal(sender, receiver))
	} else {
		from.AddTotals(f.now, demands)
		to.ReceiveDataCentreLoads(f.now, f.dataCentre(sender), from.DataCentreLoads(), demands)
		to.ReceivePrefills(f.now, from.DataCentrePrefills(f.now), false)
	}
}
