package simulator

import (
	"fmt"
	"math"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/autoscaler"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// ScaledScenario is a pattern of arrivals and faults in a fleet whose engines are ordered. Times count
// from the start.
type ScaledScenario struct {
	Name     string
	Duration time.Duration
	// Usual are the mean rates of all data centres together. Swing is the share by which a data
	// centre's demand rises and falls, out of phase, within SwingPeriod.
	Usual       Rates
	Swing       float64
	SwingPeriod time.Duration
	// Level returns the multiples of the usual rates at a time.
	Level func(at time.Duration) Rates
	// Reclaims are the times at which the spot engines of a data centre are reclaimed.
	Reclaims map[time.Duration]int
	// Crashes are the times at which a quarter of the engines crash.
	Crashes []time.Duration
	// Outage is the time in which no order succeeds.
	OutageStart, OutageEnd time.Duration
	// MaxEngines is the largest number of engines of a data centre, InitialEngines the first one.
	MaxEngines, InitialEngines int
}

// Scaler decides how many engines there are.
type Scaler interface {
	Observe(now time.Time, observation autoscaler.Observation)
	Orders(now time.Time) []autoscaler.Order
	Record(now time.Time, order autoscaler.Order, outcome autoscaler.Outcome)
}

// ScaledOutcome is the outcome of a ScaledScenario.
type ScaledOutcome struct {
	Outcome

	// EngineSeconds are weighted with the price of spot engines. MeanRegular and MeanSpot are the mean
	// numbers of engines.
	EngineSeconds         float64
	MeanRegular, MeanSpot float64
	Orders                int
}

// String returns the outcome as one line.
func (o ScaledOutcome) String() string {
	return fmt.Sprintf("%d missed, %.0f engine-seconds, %.1f regular and %.1f spot, %d orders; %s", o.Missed(), o.EngineSeconds, o.MeanRegular, o.MeanSpot, o.Orders, o.Outcome)
}

// The scaled engines, as the lending desk has them.
const (
	engineBootTime   = 4 * time.Second
	spotPrice        = 0.18
	spotNotice       = 2300 * time.Millisecond
	spotAbsence      = 10 * time.Second
	crashTime        = 3 * time.Second
	maxDrainTime     = 10 * time.Second
	scalingInterval  = 250 * time.Millisecond
	scaledInstances  = 24
	scaledDataCentre = 3
	scaledSlots      = 12
	scaledGroups     = 200
)

// engineState is the state of a place for an engine.
type engineState struct {
	isOrdered, isSpot    bool
	readyAt, leavesAt    time.Time
	isLeaving, isCrashed bool
	restartsAt           time.Time
	incarnation          int64
}

// scaledRun is a running ScaledScenario.
type scaledRun struct {
	*Fleet

	scenario ScaledScenario
	scaler   Scaler
	states   []engineState
	noSpot   []time.Time // by data centre: until when none are available
	startAt  time.Time
	result   ScaledOutcome
}

// RunScaled simulates a scenario with a scaler; nil keeps the initial engines.
func RunScaled(scenario ScaledScenario, scaler Scaler, seed uint64) ScaledOutcome {
	size := Size{Instances: scaledInstances, Engines: scaledDataCentre * scenario.MaxEngines, DataCentres: scaledDataCentre, Slots: scaledSlots, PrefixGroups: scaledGroups}
	r := &scaledRun{Fleet: newFleet(RouterPlacer(), size, seed), scenario: scenario, scaler: scaler, noSpot: make([]time.Time, scaledDataCentre)}
	r.states, r.startAt, r.measurementStart = make([]engineState, size.Engines), r.now, r.now
	for i := range r.states {
		r.states[i].isOrdered = i/scaledDataCentre < scenario.InitialEngines
	}
	for _, instance := range r.instances {
		instance.SetScaledServices([]string{serviceName})
	}
	r.register()
	end, nextScaling, nextGossip := r.now.Add(scenario.Duration), r.now, r.now
	next := r.nextScaledArrival()
	for r.now.Before(end) {
		earliest := next
		for _, at := range []time.Time{nextScaling, nextGossip} {
			if at.Before(earliest) {
				earliest = at
			}
		}
		r.advance(earliest)
		switch earliest {
		case nextScaling:
			r.step()
			nextScaling = nextScaling.Add(scalingInterval)
		case nextGossip:
			r.runGossipRound()
			nextGossip = nextGossip.Add(roundInterval)
		default:
			r.submitScaled()
			next = r.nextScaledArrival()
		}
	}
	r.result.Outcome = r.outcome
	seconds := scenario.Duration.Seconds()
	r.result.EngineSeconds = seconds * (r.result.MeanRegular + spotPrice*r.result.MeanSpot)

	return r.result
}

// maxLevel bounds the multiples of the usual rates.
const maxLevel = 5

// nextScaledArrival draws the time of a possible arrival; submitScaled thins them.
func (r *scaledRun) nextScaledArrival() time.Time {
	return r.nextArrival(maxLevel * (r.scenario.Usual.Short + r.scenario.Usual.Long))
}

// rates returns the rates of a data centre at a time.
func (s ScaledScenario) rates(at time.Duration, dataCentre int) Rates {
	phase := 2 * math.Pi * (at.Seconds()/s.SwingPeriod.Seconds() + float64(dataCentre)/scaledDataCentre)
	factor := (1 + s.Swing*math.Sin(phase)) / scaledDataCentre
	level := s.Level(at)

	return Rates{Short: s.Usual.Short * level.Short * factor, Long: s.Usual.Long * level.Long * factor}
}

// submitScaled submits a request of a random kind and data centre, or none.
func (r *scaledRun) submitScaled() {
	draw := r.random.Float64() * maxLevel * (r.scenario.Usual.Short + r.scenario.Usual.Long)
	for dataCentre := range scaledDataCentre {
		rates := r.scenario.rates(r.now.Sub(r.startAt), dataCentre)
		r.drawInstance = func() int { return dataCentre + scaledDataCentre*r.random.IntN(scaledInstances/scaledDataCentre) }
		if draw -= rates.Short; draw < 0 {
			r.submitShort()

			return
		}
		if draw -= rates.Long; draw < 0 {
			r.submitLong(0)

			return
		}
	}
}

// step changes the engines and lets the scaler decide.
func (r *scaledRun) step() {
	r.applyFaults()
	for i := range r.states {
		s := &r.states[i]
		if s.isLeaving && (!r.now.Before(s.leavesAt) || r.engines[i].isIdle()) {
			r.crashEngine(r.engines[i])
			*s = engineState{incarnation: s.incarnation + 1}
		}
		if s.isCrashed && !r.now.Before(s.restartsAt) {
			s.isCrashed = false
		}
	}
	r.register()
	r.observe()
	share := scalingInterval.Seconds() / r.scenario.Duration.Seconds()
	for _, s := range r.states {
		switch {
		case s.isOrdered && s.isSpot:
			r.result.MeanSpot += share
		case s.isOrdered:
			r.result.MeanRegular += share
		}
	}
}

// applyFaults starts the faults that are due.
func (r *scaledRun) applyFaults() {
	isDue := func(at time.Duration) bool {
		since := r.now.Sub(r.startAt) - at

		return since >= 0 && since < scalingInterval
	}
	for at, dataCentre := range r.scenario.Reclaims {
		if isDue(at) {
			r.noSpot[dataCentre] = r.now.Add(spotAbsence)
			for i := dataCentre; i < len(r.states); i += scaledDataCentre {
				if s := &r.states[i]; s.isOrdered && s.isSpot && !s.isLeaving {
					s.isLeaving, s.leavesAt = true, r.now.Add(spotNotice)
				}
			}
		}
	}
	for _, at := range r.scenario.Crashes {
		for i := range r.states {
			if isDue(at) && r.states[i].isOrdered && i%4 == 1 {
				r.states[i].isCrashed, r.states[i].restartsAt = true, r.now.Add(crashTime)
				r.crashEngine(r.engines[i])
			}
		}
	}
}

// register tells the instances which engines are ready.
func (r *scaledRun) register() {
	var registered []registrar.Endpoint
	for i, s := range r.states {
		r.engines[i].down = !s.isOrdered || s.isCrashed || r.now.Before(s.readyAt)
		if s.isOrdered && !r.now.Before(s.readyAt) {
			e := r.endpoints[i]
			e.Spot, e.Draining, e.StartedUnixMs = s.isSpot, s.isLeaving, s.incarnation
			registered = append(registered, e)
		}
	}
	for _, instance := range r.instances {
		instance.Configure(registered)
	}
}

// observe shows the scaler what the first instance knows, and executes its orders.
func (r *scaledRun) observe() {
	if r.scaler == nil {
		return
	}
	observation := autoscaler.Observation{Service: serviceName, Limits: autoscaler.Limits{Max: r.scenario.MaxEngines, BootTime: engineBootTime, SpotPrice: spotPrice}}
	demands := r.instances[0].WantedDemands(r.now, serviceName)
	for dataCentre := range scaledDataCentre {
		observation.DataCentres = append(observation.DataCentres, r.observedDataCentre(dataCentre, demands))
	}
	r.scaler.Observe(r.now, observation)
	for _, order := range r.scaler.Orders(r.now) {
		r.result.Orders++
		r.scaler.Record(r.now, order, r.execute(order))
	}
}

func (r *scaledRun) observedDataCentre(dataCentre int, demands map[string]placer.WantedDemand) autoscaler.DataCentre {
	demand, ok := demands[r.dataCentre(dataCentre)]
	d := autoscaler.DataCentre{Name: r.dataCentre(dataCentre), Demand: demand.Short + demand.Long, Critical: demand.Short, DemandAge: demand.Age, HasDemand: ok}
	for i := dataCentre; i < len(r.states); i += scaledDataCentre {
		switch s := r.states[i]; {
		case !s.isOrdered || r.now.Before(s.readyAt):
		case s.isLeaving && s.isSpot:
			d.LeavingSpot++
		case s.isLeaving:
		case s.isSpot:
			d.Spot++
		default:
			d.Regular++
		}
	}

	return d
}

// execute executes an order.
func (r *scaledRun) execute(order autoscaler.Order) autoscaler.Outcome {
	since := r.now.Sub(r.startAt)
	if since >= r.scenario.OutageStart && since < r.scenario.OutageEnd {
		return autoscaler.InDoubt
	}
	for dataCentre := range scaledDataCentre {
		if r.dataCentre(dataCentre) == order.DataCentre {
			return r.executeIn(dataCentre, order)
		}
	}

	return autoscaler.NotExecuted
}

func (r *scaledRun) executeIn(dataCentre int, order autoscaler.Order) autoscaler.Outcome {
	count := 0
	for i := dataCentre; i < len(r.states); i += scaledDataCentre {
		if s := r.states[i]; s.isOrdered && !s.isLeaving && s.isSpot == order.Spot {
			count++
		}
	}
	if order.Spot && count < order.Count && r.now.Before(r.noSpot[dataCentre]) {
		return autoscaler.Unavailable
	}
	for i := dataCentre; i < len(r.states); i += scaledDataCentre {
		s := &r.states[i]
		switch {
		case count < order.Count && !s.isOrdered:
			*s = engineState{isOrdered: true, isSpot: order.Spot, readyAt: r.now.Add(engineBootTime), incarnation: s.incarnation + 1}
			r.engines[i].cachedBlocks = map[uint64]bool{}
			count++
		case count > order.Count && s.isOrdered && !s.isLeaving && s.isSpot == order.Spot:
			s.isLeaving, s.leavesAt = true, r.now.Add(maxDrainTime)
			count--
		}
	}

	return autoscaler.Done
}
