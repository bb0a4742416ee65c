package autoscaler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Autoscaler decides for any number of services.
type Autoscaler struct {
	settings Settings
	services map[string]*service
}

// service is the state of a service.
type service struct {
	limits      Limits
	dataCentres map[string]*dataCentre
	firstAt     time.Time // of the first observation with all demands
	doubtUntil  time.Time // nothing is reduced before
}

// dataCentre is the state of a service in a data centre.
type dataCentre struct {
	DataCentre

	history        history
	regular, spot  count
	planned        target // by the last plan
	noSpotUntil    time.Time
	lastReductions time.Time
}

// count is the state of the orders of one kind.
type count struct {
	wanted     int
	isKnown    bool
	ordered    int // by the last order
	orderedAt  time.Time
	hasOrdered bool
	isInFlight bool
	lastResult Outcome
	failures   int
	retryAt    time.Time
}

// New returns an Autoscaler that knows nothing.
func New(settings Settings) *Autoscaler {
	return &Autoscaler{settings: settings, services: map[string]*service{}}
}

// Observe records what is known of a service, and decides the numbers of its endpoints.
func (a *Autoscaler) Observe(now time.Time, observation Observation) {
	s := a.services[observation.Service]
	if s == nil {
		s = &service{dataCentres: map[string]*dataCentre{}}
		a.services[observation.Service] = s
	}
	s.limits = observation.Limits
	isComplete := len(observation.DataCentres) > 0
	for _, observed := range observation.DataCentres {
		observed.HasDemand = observed.HasDemand && isPlausible(observed.Demand) && isPlausible(observed.Critical)
		d := s.dataCentres[observed.Name]
		if d == nil {
			d = &dataCentre{}
			s.dataCentres[observed.Name] = d
		}
		a.observeDataCentre(now, s, d, observed)
		isComplete = isComplete && observed.HasDemand && observed.DemandAge <= a.settings.MaxDemandAge
	}
	if !isComplete {
		s.firstAt = time.Time{}
	} else if s.firstAt.IsZero() {
		s.firstAt = now
	}
	a.decide(now, s)
}

// maxDemand is a demand that no fleet has. Reports come from other instances.
const maxDemand = 1e6

// isPlausible reports whether a number can be a demand.
func isPlausible(demand float64) bool {
	return demand >= 0 && demand <= maxDemand // false for NaN
}

// observeDataCentre records what is known of a data centre.
func (a *Autoscaler) observeDataCentre(now time.Time, s *service, d *dataCentre, observed DataCentre) {
	if observed.Spot == 0 && observed.LeavingSpot > 0 && d.spot.wanted > 0 {
		d.noSpotUntil = now.Add(a.settings.SpotRetryDelay) // They were reclaimed: an order would be refused.
	}
	d.DataCentre = observed
	if observed.HasDemand && observed.DemandAge <= a.settings.MaxDemandAge {
		d.history.record(now, a.settings, observed.Demand, observed.Critical)
	}
	effectTime := s.limits.BootTime + a.settings.SettleTime
	d.regular.adopt(now, observed.Regular, effectTime)
	d.spot.adopt(now, observed.Spot, effectTime)
}

// adopt takes over a registered number that is higher than the wanted one, unless a reduction was
// accepted that may not show yet.
func (c *count) adopt(now time.Time, registered int, effectTime time.Duration) {
	awaitsReduction := c.hasOrdered && (c.isInFlight || c.lastResult == Done) && c.ordered == c.wanted && now.Sub(c.orderedAt) < effectTime
	if !c.isKnown || (registered > c.wanted && !awaitsReduction) {
		c.wanted, c.isKnown = registered, true
	}
}

// decide raises the wanted numbers to the planned ones, and reduces them by a step where that is
// safe.
func (a *Autoscaler) decide(now time.Time, s *service) {
	p := a.newPlan(now, s)
	for _, d := range p.dataCentres {
		target := d.planned
		// Spot endpoints are only ordered where regular ones leave room for them.
		regular := max(d.regular.wanted, target.regular)
		d.regular.wanted = min(regular, max(s.limits.Max, d.regular.wanted))
		room := max(0, s.limits.Max-max(d.regular.wanted, d.Regular))
		if now.Before(d.noSpotUntil) {
			d.spot.wanted = d.Spot
		} else {
			d.spot.wanted = max(d.spot.wanted, min(target.spot, room))
		}
	}
	if s.firstAt.IsZero() || now.Sub(s.firstAt) < a.settings.Window || now.Before(s.doubtUntil) {
		return
	}
	for _, d := range p.dataCentres {
		if now.Sub(d.lastReductions) >= a.settings.ReduceInterval && a.reduce(now, p, d) {
			d.lastReductions = now
		}
	}
}

// reduce reduces the more expensive kind of endpoints in a data centre that has more than planned, and
// reports whether it did.
func (a *Autoscaler) reduce(now time.Time, p *plan, d *dataCentre) bool {
	target := d.planned
	for _, kind := range []struct {
		count      *count
		target     int
		registered int
	}{{&d.regular, target.regular, d.Regular}, {&d.spot, target.spot, d.Spot}} {
		surplus := kind.count.wanted - kind.target
		if surplus <= 0 || kind.count.isInFlight || kind.registered != kind.count.wanted || now.Before(kind.count.retryAt) {
			continue
		}
		step := min(surplus, int(math.Ceil(a.settings.ReduceShare*float64(kind.registered))))
		if !p.holds(step, d, kind.count == &d.spot) {
			continue
		}
		kind.count.wanted -= step

		return true
	}

	return false
}

// Orders returns the orders to send now: at most one for a service and a data centre at a time.
// Report the result of each with Record.
func (a *Autoscaler) Orders(now time.Time) (orders []Order) {
	for _, name := range slices.Sorted(maps.Keys(a.services)) {
		s := a.services[name]
		for _, dataCentreName := range slices.Sorted(maps.Keys(s.dataCentres)) {
			d := s.dataCentres[dataCentreName]
			if order, ok := a.nextOrder(now, s, d); ok {
				order.Service = name
				orders = append(orders, order)
			}
		}
	}

	return orders
}

// nextOrder returns the next order for a data centre; false if there is none. Increases go first.
func (a *Autoscaler) nextOrder(now time.Time, s *service, d *dataCentre) (Order, bool) {
	if d.regular.isInFlight || d.spot.isInFlight {
		return Order{}, false
	}
	effectTime := s.limits.BootTime + a.settings.SettleTime
	price := cmp.Or(s.limits.Prices[d.Name], 1)
	candidates := []Order{
		{Count: d.regular.wanted, Previous: d.regular.ordered, Registered: d.Regular, Price: price},
		{Count: d.spot.wanted, Previous: d.spot.ordered, Registered: d.Spot, Spot: true, Price: price * s.limits.SpotPrice},
	}
	// Within the limit of both kinds together, room has to be made before it can be used.
	slices.SortStableFunc(candidates, func(a, b Order) int { return cmp.Compare(a.Count-a.Registered, b.Count-b.Registered) })
	if d.Regular+d.Spot < s.limits.Max {
		slices.Reverse(candidates)
	}
	for _, order := range candidates {
		c := d.countOf(order.Spot)
		if !c.isDue(now, order.Registered, effectTime) || (order.Spot && now.Before(d.noSpotUntil)) {
			continue
		}
		order.DataCentre, order.Demand, order.IsRepeat = d.Name, d.history.peak(now, a.settings.Window).demand, c.hasOrdered && c.ordered == c.wanted
		if !c.hasOrdered {
			order.Previous = order.Registered
		}
		c.ordered, c.orderedAt, c.hasOrdered, c.isInFlight = c.wanted, now, true, true

		return order, true
	}

	return Order{}, false
}

func (d *dataCentre) countOf(spot bool) *count {
	if spot {
		return &d.spot
	}

	return &d.regular
}

// isDue reports whether the wanted number has to be ordered: the registry shows another one, and
// the last order does not explain that.
func (c *count) isDue(now time.Time, registered int, effectTime time.Duration) bool {
	if registered == c.wanted || now.Before(c.retryAt) {
		return false
	}
	isAwaited := c.hasOrdered && c.lastResult == Done && c.ordered == c.wanted && now.Sub(c.orderedAt) < effectTime

	return !isAwaited
}

const (
	// minRetryDelay is the time after which an order is sent again that did not succeed. It doubles
	// each time up to maxRetryDelay.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 4 * time.Second
)

// Record records how an order ended that Orders returned.
func (a *Autoscaler) Record(now time.Time, order Order, outcome Outcome) {
	s := a.services[order.Service]
	if s == nil || s.dataCentres[order.DataCentre] == nil {
		return
	}
	d := s.dataCentres[order.DataCentre]
	c := d.countOf(order.Spot)
	c.isInFlight, c.lastResult = false, outcome
	switch outcome {
	case Done:
		c.failures, c.retryAt = 0, time.Time{}

		return
	case Unavailable:
		if order.Spot {
			d.noSpotUntil = now.Add(a.settings.SpotRetryDelay)
			c.wanted = d.Spot
		}
	case InDoubt:
		s.doubtUntil = now.Add(a.settings.DoubtTime)
	case RateLimited, NotExecuted:
	}
	c.retryAt = now.Add(min(maxRetryDelay, minRetryDelay<<min(c.failures, 4)))
	c.failures++
}

// Wanted returns the wanted numbers of regular and spot endpoints of a service in a data centre.
func (a *Autoscaler) Wanted(service, dataCentre string) (regular, spot int) {
	if s := a.services[service]; s != nil && s.dataCentres[dataCentre] != nil {
		return s.dataCentres[dataCentre].regular.wanted, s.dataCentres[dataCentre].spot.wanted
	}

	return 0, 0
}
