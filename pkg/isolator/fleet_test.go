package isolator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/isolator"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// finder is a way to find the blocks that crash endpoints, as one instance uses it.
type finder interface {
	recordCrash(now, at time.Time, endpoint string, prompts []isolator.Prompt)
	recordCompletion(now time.Time, blocks []uint64)
	decide(now time.Time, blocks []uint64) isolator.Verdict
	mayRepeat(blocks []uint64) bool
	// receive merges what a peer knows.
	receive(now time.Time, peer finder)
	// archive returns what the platform keeps, and restore reads it after a restart.
	archive(now time.Time) []isolator.Record
	restore(now time.Time, archived []isolator.Record)
}

// scenario is what happens to a simulated fleet.
type scenario struct {
	seed                      uint64
	instanceCount             int
	endpointCount             int
	soundRate                 float64   // requests a second
	poisonRates               []float64 // requests a second with each poison block
	maxRuns                   int       // runs of one request, repeats and resumptions included
	oneSees, silent           float64   // shares of the crashes
	newsLoss                  float64   // share of the messages between instances
	singleDeaths, massDeaths  int       // deaths of endpoints without a cause
	restarts, cuts, lateNames int       // instances that restart, are cut off, exchange messages rarely
	fleetRestarts             int       // restarts of all instances at once
	trialsAlone               bool
	sparse                    time.Duration
}

const (
	tick         = 20 * time.Millisecond
	round        = 5 * tick // between messages to peers
	warmUp       = 10 * time.Second
	dense        = 40 * time.Second
	sparseTick   = 5 * time.Second
	sparseRounds = 5                // rounds of messages in a sparseTick
	sparsePeriod = 15 * time.Second // between requests with a poison block in the sparse part
	firstPoison  = 1 << 32
)

// stable is the time within which an instance must have learned of a crash, as the fleets
// of users have it.
func (s scenario) stable() time.Duration {
	if s.instanceCount > 13 {
		return 4 * time.Second
	}

	return 3 * time.Second
}

// run is a request at an endpoint.
type run struct {
	instance        int
	blocks          []uint64
	poison          int // index of the poison block; -1 if there is none
	beginsAt, endAt time.Time
	runs            int
	isFirst         bool
	hasBegun        bool // when the endpoint crashed
	sound           *soundRequest
}

// soundRequest is a request without a poison block.
type soundRequest struct {
	at          time.Time
	blocks      []uint64
	hasBegun    bool // at the first attempt
	wasRefused  bool
	byUntouched bool // the instance was in touch
}

type endpoint struct {
	name      string
	downUntil time.Time
	runs      []*run
	isTrial   bool // only the request on trial may run
}

type instance struct {
	finder        finder
	touchedAt     time.Time // when it last restarted or was cut off
	cutUntil      time.Time
	isLate        bool
	nextExchanges int
}

// detection is the moment at which an instance notices a crash.
type detection struct {
	at, crashAt time.Time
	instance    int
	endpoint    string
	prompts     []isolator.Prompt
	repeats     []*run
}

// fleet is a simulation of instances and endpoints in virtual time.
type fleet struct {
	scenario   scenario
	random     *rand.Rand
	now        time.Time
	newFinder  func(name string) finder
	instances  []*instance
	endpoints  []*endpoint
	detections []detection
	sounds     []*soundRequest
	crashes    [][]time.Time // by poison block
	arrivals   [][]time.Time // at endpoints, by poison block, from instances in touch
	sent       [][]time.Time // to instances, by poison block
	rounds     int
	archived   []isolator.Record
}

func newFleet(s scenario, newFinder func(name string) finder) *fleet {
	f := &fleet{scenario: s, random: rand.New(rand.NewPCG(s.seed, 28)), now: start, newFinder: newFinder}
	for i := range s.instanceCount {
		f.instances = append(f.instances, &instance{finder: newFinder(fmt.Sprint("instance-", i)), isLate: i < s.lateNames})
	}
	for i := range s.endpointCount {
		f.endpoints = append(f.endpoints, &endpoint{name: fmt.Sprint("e", i)})
	}
	f.crashes = make([][]time.Time, len(s.poisonRates))
	f.arrivals = make([][]time.Time, len(s.poisonRates))
	f.sent = make([][]time.Time, len(s.poisonRates))

	return f
}

// play runs the simulation: a time without poison blocks, then many requests with them,
// and at last few over a long time.
func (f *fleet) play() {
	faults := f.drawFaults()
	for f.now.Before(start.Add(warmUp + dense)) {
		f.now = f.now.Add(tick)
		for len(faults) > 0 && !f.now.Before(faults[0].at) {
			faults[0].happen()
			faults = faults[1:]
		}
		f.sendAll(tick, f.scenario.soundRate, f.now.Sub(start) >= warmUp)
		f.step()
		if f.rounds++; f.rounds%int(round/tick) == 0 {
			f.exchangeMessages()
		}
		if f.rounds%int(time.Second/tick) == 0 {
			f.archive()
		}
	}
	for end := f.now.Add(f.scenario.sparse); f.now.Before(end); {
		f.now = f.now.Add(sparseTick)
		for p := range f.scenario.poisonRates {
			if f.random.Float64() < float64(sparseTick)/float64(sparsePeriod) {
				f.sendPoison(p)
			}
		}
		f.step()
		for range sparseRounds {
			f.exchangeMessages()
		}
	}
}

func (f *fleet) randomEndpoint() *endpoint {
	return f.endpoints[f.random.IntN(len(f.endpoints))]
}

// sendAll sends the requests that callers send within a time.
func (f *fleet) sendAll(within time.Duration, soundRate float64, withPoison bool) {
	for range f.count(soundRate * within.Seconds()) {
		sound := &soundRequest{at: f.now, blocks: f.drawBlocks()}
		i := f.random.IntN(len(f.instances))
		sound.byUntouched = f.isInTouch(i)
		f.sounds = append(f.sounds, sound)
		f.send(&run{instance: i, blocks: sound.blocks, poison: -1, isFirst: true, sound: sound})
	}
	if !withPoison {
		return
	}
	for p, rate := range f.scenario.poisonRates {
		for range f.count(rate * within.Seconds()) {
			f.sendPoison(p)
		}
	}
}

// count draws a number of requests with the given mean.
func (f *fleet) count(mean float64) int {
	n := 0
	for product, limit := f.random.Float64(), math.Exp(-mean); product > limit; n++ {
		product *= f.random.Float64()
	}

	return n
}

// drawBlocks draws the shared blocks of a prompt: its first one, its key's, and up to two
// others, of which some are in many prompts and some in few.
func (f *fleet) drawBlocks() []uint64 {
	skewed := func(n int) uint64 { u := f.random.Float64(); return uint64(float64(n) * u * u * u) }
	blocks := append(make([]uint64, 0, 5), 1+skewed(3), 100+skewed(10))
	for range f.random.IntN(3) {
		blocks = append(blocks, 1000+skewed(60))
	}

	return blocks
}

// sendPoison sends a request with a poison block anywhere among others.
func (f *fleet) sendPoison(p int) {
	blocks := f.drawBlocks()
	blocks = slices.Insert(blocks, f.random.IntN(len(blocks)+1), firstPoison+uint64(p))
	f.sent[p] = append(f.sent[p], f.now)
	f.send(&run{instance: f.random.IntN(len(f.instances)), blocks: blocks, poison: p, isFirst: true})
}

// isInTouch reports whether an instance has neither restarted nor been cut off lately.
func (f *fleet) isInTouch(i int) bool {
	return f.now.Sub(f.instances[i].touchedAt) >= f.scenario.stable()
}

// send lets the instance decide about a request and places it at an endpoint that is up. If
// trials run alone and no endpoint is idle, a request on trial is refused.
func (f *fleet) send(r *run) {
	verdict := f.instances[r.instance].finder.decide(f.now, r.blocks)
	isTrial := verdict == isolator.Trial && f.scenario.trialsAlone
	for range 10 * len(f.endpoints) {
		e := f.randomEndpoint()
		if verdict == isolator.Quarantined {
			break
		}
		if f.now.Before(e.downUntil) || (e.isTrial && len(e.runs) > 0) || (isTrial && len(e.runs) > 0) {
			continue
		}
		e.isTrial = isTrial
		r.runs++
		r.beginsAt = f.now.Add(time.Duration(30+f.random.IntN(400)) * time.Millisecond)
		r.endAt = r.beginsAt.Add(time.Duration(100+f.random.IntN(4000)) * time.Millisecond)
		e.runs = append(e.runs, r)
		if r.poison >= 0 && f.isInTouch(r.instance) {
			f.arrivals[r.poison] = append(f.arrivals[r.poison], f.now)
		}

		return
	}
	if r.sound != nil && r.isFirst {
		r.sound.wasRefused = true
	}
}

// step lets endpoints answer and crash, and instances notice crashes.
func (f *fleet) step() {
	for _, e := range f.endpoints {
		for _, r := range slices.Clone(e.runs) {
			if f.now.Before(r.beginsAt) || !slices.Contains(e.runs, r) {
				continue
			}
			if r.poison >= 0 {
				f.crashes[r.poison] = append(f.crashes[r.poison], f.now)
				f.crash(e)

				break
			}
			if r.isFirst {
				r.sound.hasBegun = true
			}
			if !f.now.Before(r.endAt) {
				f.instances[r.instance].finder.recordCompletion(f.now, r.blocks)
				e.runs = slices.DeleteFunc(e.runs, func(other *run) bool { return other == r })
			}
		}
	}
	due := f.detections
	f.detections = nil
	for _, d := range due {
		if f.now.Before(d.at) {
			f.detections = append(f.detections, d)

			continue
		}
		used := f.instances[d.instance].finder
		used.recordCrash(f.now, d.crashAt, d.endpoint, d.prompts)
		for _, r := range d.repeats {
			if r.hasBegun || used.mayRepeat(r.blocks) {
				f.send(&run{instance: r.instance, blocks: r.blocks, poison: r.poison, runs: r.runs, sound: r.sound})
			}
		}
	}
}

// archive lets the first instance write to the platform what is to outlast a restart.
func (f *fleet) archive() {
	if records := f.instances[0].finder.archive(f.now); len(records) > 0 {
		f.archived = records
	}
}

// exchangeMessages lets each instance exchange messages with two others.
func (f *fleet) exchangeMessages() {
	for i, from := range f.instances {
		if from.nextExchanges++; from.isLate && from.nextExchanges%10 != 0 {
			continue
		}
		for range 2 {
			to := f.instances[f.random.IntN(len(f.instances))]
			isCut := f.now.Before(from.cutUntil) || f.now.Before(to.cutUntil)
			if to == f.instances[i] || isCut || f.random.Float64() < f.scenario.newsLoss {
				continue
			}
			to.finder.receive(f.now, from.finder)
			from.finder.receive(f.now, to.finder)
		}
	}
}
