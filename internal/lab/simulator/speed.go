package simulator

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// Speed is how the speeds of engines and the demands of data centres differ from each other. The zero
// value is a fleet of equal engines that state nothing.
type Speed struct {
	// SlowDataCentreSpeed is the speed of the engines of the first data centre; 0 means 1.
	SlowDataCentreSpeed float64
	// SlowFraction is the part of the engines that take Slowness times as long for SlowTime. Then
	// others are drawn.
	SlowFraction, Slowness float64
	SlowTime               time.Duration
	// States is what engines state of their pace.
	States PaceStatement
	// StatementAge is how old the stated pace is when it is stated.
	StatementAge time.Duration
	// Swing is by which part the demand of a data centre rises and falls, with SwingPeriod. The data
	// centres are out of phase.
	Swing       float64
	SwingPeriod time.Duration
}

// PaceStatement is what engines state of their pace.
type PaceStatement int

// The ways in which engines state their pace.
const (
	// NoPace means that engines state nothing.
	NoPace PaceStatement = iota
	// TruePace means that they state their true pace.
	TruePace
	// TransientPace means that they state only the part of it that changes.
	TransientPace
	// WrongPace means that a third of them always state 250, whatever their pace is.
	WrongPace
)

// wrongPace is the pace that some engines always state with WrongPace.
const wrongPace = 250

// slowEngineDraw is the seed of the draw of slow engines, beside the seed of the run.
const slowEngineDraw = 7

// meanStreamTime is about how long a stream runs, for the oracle's wait for a slot.
const meanStreamTime = time.Second

func (f *Fleet) setSpeed(speed Speed, seed uint64) {
	f.speed = speed
	if speed == (Speed{}) {
		return
	}
	for i, e := range f.engines {
		e.slowness = func(now time.Time) float64 { return f.lastingSlowness(i) * f.transientSlowness(i, now, seed) }
		e.statedPace = func(now time.Time) int { return f.statedPace(i, now, seed) }
	}
}

// lastingSlowness returns by which factor steps of an engine always take longer.
func (f *Fleet) lastingSlowness(engine int) float64 {
	if f.speed.SlowDataCentreSpeed > 0 && engine%f.size.DataCentres == 0 {
		return 1 / f.speed.SlowDataCentreSpeed
	}

	return 1
}

// transientSlowness returns by which factor steps of an engine take longer at the moment.
func (f *Fleet) transientSlowness(engine int, now time.Time, seed uint64) float64 {
	if f.speed.SlowTime <= 0 {
		return 1
	}
	period := uint64(now.UnixNano() / f.speed.SlowTime.Nanoseconds())
	if rand.New(rand.NewPCG(seed^period<<16^uint64(engine), slowEngineDraw)).Float64() < f.speed.SlowFraction {
		return f.speed.Slowness
	}

	return 1
}

// statedPace returns the pace that an engine states; 0 for none.
func (f *Fleet) statedPace(engine int, now time.Time, seed uint64) int {
	transient := f.transientSlowness(engine, now.Add(-f.speed.StatementAge), seed)
	switch {
	case f.speed.States == NoPace:
		return 0
	case f.speed.States == WrongPace && engine/f.size.DataCentres%3 == 0:
		return wrongPace
	case f.speed.States == TransientPace:
		return int(100 * transient)
	default:
		return int(100 * transient * f.lastingSlowness(engine))
	}
}

// recordStatement counts the beginning of a stream, and passes what an engine states with the first event of a stream to the instance.
func (f *Fleet) recordStatement(s *sequence, e *engine) {
	f.outcome.StartedIn[slices.Index(f.engines, e)%f.size.DataCentres]++
	if f.policy.ignoresStatements || e.statedPace == nil {
		return
	}
	id := f.endpointID(e)
	f.instances[s.instance].RecordStatement(e.stepEndsAt, id, placer.Statement{
		RunningRequests: len(e.prefilling) + len(e.running), QueuedRequests: len(e.waiting), Slots: e.slots, Pace: e.statedPace(e.stepEndsAt),
	})
}

// drawInstanceBySwing draws the instance that gets a request, by the demand of its data centre.
func (f *Fleet) drawInstanceBySwing() int {
	for {
		instance := f.random.IntN(len(f.instances))
		if f.speed.Swing == 0 {
			return instance
		}
		phase := f.now.Sub(f.measurementStart).Seconds()/f.speed.SwingPeriod.Seconds() + float64(instance%f.size.DataCentres)/float64(f.size.DataCentres)
		if f.random.Float64()*(1+f.speed.Swing) < 1+f.speed.Swing*math.Sin(2*math.Pi*phase) {
			return instance
		}
	}
}

// pacedOracleCost returns the oracle's cost at an engine, by its true pace and with the wait for a slot.
func (f *Fleet) pacedOracleCost(e *engine, cost time.Duration) time.Duration {
	if e.slowness == nil {
		return cost
	}
	waiting := max(0, len(e.waiting)+len(e.prefilling)+len(e.running)+1-e.slots)
	cost += meanStreamTime * time.Duration(waiting) / time.Duration(e.slots)

	return time.Duration(float64(cost) * e.slowness(f.now))
}

// RouterBeforePace is RouterPlacer as it places without what endpoints state.
func RouterBeforePace() Policy {
	return Policy{Name: "ours before", sendsLoadUpdates: true, ignoresStatements: true}
}

// LeastLoaded takes the engine with the fewest requests, by its true state.
func LeastLoaded() Policy {
	return Policy{Name: "least loaded", choose: func(f *Fleet, _ int, _ placer.Request, untried []int) int {
		best, fewest := untried[0], math.MaxInt
		for _, i := range untried {
			e := f.engines[i]
			if requests := len(e.waiting) + len(e.prefilling) + len(e.running); requests < fewest && !e.down && !e.unresponsive {
				best, fewest = i, requests
			}
		}

		return best
	}}
}

// UnevenPolicies returns the policies that are compared in UnevenScenarios.
func UnevenPolicies() []Policy {
	return []Policy{RouterPlacer(), RouterBeforePace(), RoundRobin(), LeastLoaded(), Oracle()}
}

// UnevenSize returns the size of a fleet of four data centres, of which one may be slow.
func UnevenSize() Size {
	return Size{Instances: 36, Engines: 48, DataCentres: 4, Slots: 12, PrefixGroups: 300}
}

// UnevenScenarios returns the patterns in which engines differ in speed.
func UnevenScenarios() []Scenario {
	usual := Rates{Short: 130, Long: 190}
	scenario := func(name string, rates Rates, speed Speed) Scenario {
		s := surgeScenario(name, usual, rates)
		s.Speed = speed

		return s
	}
	passing := func(states PaceStatement) Speed {
		return Speed{SlowFraction: 0.15, Slowness: 2.5, SlowTime: 600 * time.Millisecond, States: states}
	}
	old, swing := passing(TruePace), passing(TruePace)
	old.StatementAge = 600 * time.Millisecond
	swing.Swing, swing.SwingPeriod = 0.55, 15*time.Second
	slow := func(states PaceStatement) Speed { return Speed{SlowDataCentreSpeed: 0.55, States: states} }

	return []Scenario{
		scenario("even", usual, Speed{States: TruePace}),
		scenario("even, more long prompts", Rates{Short: 130, Long: 300}, Speed{States: TruePace}),
		scenario("slow data centre", usual, slow(TruePace)),
		scenario("slow data centre, not stated", usual, slow(TransientPace)),
		scenario("slow data centre, more short prompts", Rates{Short: 180, Long: 190}, slow(TruePace)),
		scenario("slow data centre, more long prompts", Rates{Short: 130, Long: 280}, slow(TruePace)),
		scenario("passing slowness", usual, passing(TruePace)),
		scenario("passing slowness, old statements", usual, old),
		scenario("passing slowness, wrong statements", usual, passing(WrongPace)),
		scenario("passing slowness and swing", usual, swing),
	}
}
