package simulator

import (
	"math"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/autoscaler"
)

// ReactiveScaler returns a naive scaler: it orders a quarter more regular engines in a data centre
// whose demand exceeds four fifths of its engines, and a fifth fewer below a half, every five seconds
// at the most.
func ReactiveScaler() Scaler {
	return &numberScaler{choose: func(_ time.Time, d autoscaler.DataCentre) (regular, spot int) {
		switch use := d.Demand / float64(max(1, d.Regular)); {
		case use > 0.8:
			return d.Regular + d.Regular/4 + 1, 0
		case use < 0.5:
			return max(1, d.Regular*4/5), 0
		}

		return d.Regular, 0
	}, cooldown: 5 * time.Second}
}

// Engines' work of a request in the model, measured as the mean of placer.Demand in even runs on enough
// engines (29 at the usual rates), of which critical is that of short prompts.
const (
	enginesPerLongRate  = 15.6 / 104
	enginesPerShortRate = 13.4 / 91
)

// oracleHorizon is nearly a swing of demand. Within a shorter time, engines and their caches are lost
// and ordered again in each swing.
const oracleHorizon = 10 * time.Second

// OracleScaler returns a scaler that knows the scenario's future: the highest demand of the next ten
// seconds, and which spot engines will be reclaimed. Regular engines hold short prompts,
// spot ones all else, and it removes both at once.
func OracleScaler(scenario ScaledScenario) Scaler {
	start := time.Unix(1000, 0)

	return &numberScaler{choose: func(now time.Time, d autoscaler.DataCentre) (regular, spot int) {
		dataCentre := int(d.Name[len(d.Name)-1] - '0')
		short, total := 0.0, 0.0
		for ahead := time.Duration(0); ahead <= oracleHorizon; ahead += scalingInterval {
			rates := scenario.rates(now.Sub(start)+ahead, dataCentre)
			short = max(short, rates.Short*enginesPerShortRate)
			total = max(total, rates.Short*enginesPerShortRate+rates.Long*enginesPerLongRate)
		}
		// A quarter more: with a tenth more, 273 requests of an even day were missed.
		regular, all := int(math.Ceil(1.25*short)), int(math.Ceil(1.25*total))
		for at, reclaimed := range scenario.Reclaims {
			if since := now.Sub(start) - at; reclaimed == dataCentre && since > -2*engineBootTime && since < spotAbsence {
				regular = all
			}
		}

		return regular, all - regular
	}}
}

// numberScaler orders numbers that depend on a data centre's state alone.
type numberScaler struct {
	choose      func(now time.Time, d autoscaler.DataCentre) (regular, spot int)
	cooldown    time.Duration
	lastOrders  map[string]time.Time
	observation autoscaler.Observation
}

// Observe implements Scaler.
func (s *numberScaler) Observe(_ time.Time, observation autoscaler.Observation) {
	s.observation = observation
}

// Orders implements Scaler.
func (s *numberScaler) Orders(now time.Time) (orders []autoscaler.Order) {
	if s.lastOrders == nil {
		s.lastOrders = map[string]time.Time{}
	}
	for _, d := range s.observation.DataCentres {
		regular, spot := s.choose(now, d)
		if now.Sub(s.lastOrders[d.Name]) < s.cooldown || (regular == d.Regular && spot == d.Spot) {
			continue
		}
		s.lastOrders[d.Name] = now
		orders = append(orders,
			autoscaler.Order{Service: s.observation.Service, DataCentre: d.Name, Count: regular},
			autoscaler.Order{Service: s.observation.Service, DataCentre: d.Name, Count: spot, Spot: true})
	}

	return orders
}

// Record implements Scaler.
func (*numberScaler) Record(time.Time, autoscaler.Order, autoscaler.Outcome) {}
