package simulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// The requests of the simulation, and what is promised.
const (
	service       = "llm"
	sharedTokens  = 6300 // that the prompts of a family begin with
	families      = 140
	longOwn       = 200  // least tokens of a long prompt's own part
	longMean      = 2600 // mean of the rest
	longOutput    = 52
	shortLeast    = 100
	shortMean     = 600
	shortLimit    = 3300
	outputLeast   = 20
	outputMean    = 250
	longTarget    = 600 * time.Millisecond
	shortTarget   = 300 * time.Millisecond
	pauseLimit    = 200 * time.Millisecond
	gossipPeriod  = 150 * time.Millisecond
	patience      = 2 * time.Second         // that a caller bears without an event
	sendLimit     = 1500 * time.Millisecond // until a send without an answer has failed
	triesMost     = 3
	secondSeed    = 2
	dataCentres   = 3
	firstSequence = 1 << 20
)

// Fleet is instances before one service of engines.
type Fleet struct {
	random    *rand.Rand
	began     time.Time
	now       time.Time
	way       Way
	engines   []*engine
	endpoints []registrar.Endpoint
	instances []*placer.Placer
	serial    int
	sequences uint64
	known     map[uint64]bool // parts that any engine has read
	outcome   Outcome
}

// Run plays a scenario with instances before so many engines. The seed also says
// which engines the faults strike.
func Run(scenario Scenario, way Way, instances, engines int, seed uint64) Outcome {
	f := newFleet(way, instances, engines, seed)
	f.play(scenario.Warm, nil)
	f.outcome = Outcome{}
	f.began = f.now
	faults := scenario.switches(int(seed % uint64(engines)))
	for _, phase := range scenario.Phases {
		faults = f.play(phase, faults)
	}

	return f.outcome
}

func newFleet(way Way, instances, engines int, seed uint64) *Fleet {
	f := &Fleet{random: rand.New(rand.NewPCG(seed, secondSeed)), now: time.Unix(1000, 0), way: way, known: map[uint64]bool{}}
	for i := range engines {
		f.engines = append(f.engines, newEngine(f.now))
		f.endpoints = append(f.endpoints, registrar.Endpoint{
			ID: fmt.Sprintf("e%02d", i), Service: service, Address: fmt.Sprintf("10.0.0.%d:80", i),
			DataCentre: fmt.Sprintf("dc%d", i%dataCentres), Slots: engineSlots,
		})
	}
	for i := range instances {
		instance := placer.New(placer.Settings{InstanceName: name(i), DataCentre: "dc0"})
		instance.Configure(f.endpoints)
		f.instances = append(f.instances, instance)
	}

	return f
}

func name(instance int) string {
	return fmt.Sprintf("i%d", instance)
}

// play plays one phase and returns the switches of faults that are left.
func (f *Fleet) play(phase Phase, faults []faultSwitch) []faultSwitch {
	end := f.now.Add(phase.Length)
	short, long, gossip := f.after(phase.Rates.Short), f.after(phase.Rates.Long), f.now
	for f.now.Before(end) {
		earliest := gossip
		for _, at := range []time.Time{short, long} {
			if at.Before(earliest) {
				earliest = at
			}
		}
		for len(faults) > 0 && !f.began.Add(faults[0].at).After(earliest) {
			f.advance(f.began.Add(faults[0].at))
			f.toggle(faults[0])
			faults = faults[1:]
		}
		f.advance(earliest)
		switch earliest {
		case gossip:
			f.gossip()
			gossip = gossip.Add(gossipPeriod)
		case short:
			f.arriveShort()
			short = f.after(phase.Rates.Short)
		default:
			f.arriveLong(phase.Hot)
			long = f.after(phase.Rates.Long)
		}
	}

	return faults
}

// after draws the time of the next arrival.
func (f *Fleet) after(rate float64) time.Time {
	return f.now.Add(time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)))
}

// advance runs the engines up to a time.
func (f *Fleet) advance(until time.Time) {
	for _, e := range f.engines {
		for e.next.Before(until) {
			if e.idle() || e.dark || e.down {
				e.next = until

				break
			}
			result := e.step(e.next)
			for _, s := range result.heard {
				f.instances[s.instance].RecordActivity(e.next, s.id)
			}
			for _, s := range result.begun {
				f.instances[s.instance].RecordFirstEvent(e.next, s.id)
				f.note(s.instance, e)
			}
			for _, s := range result.ended {
				f.instances[s.instance].RecordResult(e.next, s.id, placer.Finished)
				f.outcome.count(s)
			}
		}
	}
	f.now = until
	f.leave()
}

// leave ends what has waited too long at dark engines.
func (f *Fleet) leave() {
	for _, e := range f.engines {
		if !e.dark {
			continue
		}
		e.running = f.give(e.running, func(s *sequence) bool { return f.now.Sub(s.latest) > patience })
		e.reading = f.give(e.reading, func(s *sequence) bool { return f.now.Sub(s.arrived) > sendLimit })
		e.waiting = f.give(e.waiting, func(s *sequence) bool { return f.now.Sub(s.arrived) > sendLimit })
	}
}

// give gives up the sequences that are out of patience and returns the others.
func (f *Fleet) give(sequences []*sequence, out func(*sequence) bool) []*sequence {
	var left []*sequence
	for _, s := range sequences {
		if !out(s) {
			left = append(left, s)

			continue
		}
		f.outcome.Lost++
		f.instances[s.instance].RecordResult(f.now, s.id, placer.Failed)
	}

	return left
}

// note tells the other instances at once what one has at an engine.
func (f *Fleet) note(teller int, e *engine) {
	if !f.way.notes {
		return
	}
	id := f.endpoints[slices.Index(f.engines, e)].ID
	load := f.instances[teller].LocalLoad(id)
	for i, hearer := range f.instances {
		if i != teller {
			hearer.ReceiveLoadUpdate(name(teller), id, load)
		}
	}
}

// gossip tells each instance what the others have.
func (f *Fleet) gossip() {
	for i, teller := range f.instances {
		for j, hearer := range f.instances {
			if i != j {
				hearer.ReceiveLoads(f.now, name(i), teller.LocalLoads(), teller.LocalDemands(f.now))
				hearer.ReceivePrefills(teller.LocalPrefills(f.now))
			}
		}
	}
}
