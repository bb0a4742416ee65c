package autoscaler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/autoscaler"
)

var (
	start    = time.Unix(1000, 0)
	settings = autoscaler.DefaultSettings()
	limits   = autoscaler.Limits{Min: 2, Max: 40, BootTime: 4 * time.Second, SpotPrice: 0.18}
)

// cloud executes orders as the cloud API does: some late, some never, some without an answer.
type cloud struct {
	counts  map[bool]map[string]int // by kind and data centre
	pending []pendingOrder
	noSpot  map[string]bool
}

type pendingOrder struct {
	autoscaler.Order

	at time.Time
}

func newCloud(regular int) *cloud {
	return &cloud{counts: map[bool]map[string]int{false: {"a": regular, "b": regular, "c": regular}, true: {}}, noSpot: map[string]bool{}}
}

func (c *cloud) observation(demand float64, age time.Duration) autoscaler.Observation {
	o := autoscaler.Observation{Service: "s", Limits: limits}
	for _, name := range []string{"a", "b", "c"} {
		o.DataCentres = append(o.DataCentres, autoscaler.DataCentre{
			Name: name, Demand: demand / 3, Critical: demand / 6, DemandAge: age, HasDemand: true, Regular: c.counts[false][name], Spot: c.counts[true][name],
		})
	}

	return o
}

// step runs one decision. result returns how an order ends, and whether and when it is executed.
func (c *cloud) step(a *autoscaler.Autoscaler, now time.Time, o autoscaler.Observation, result func(autoscaler.Order) (autoscaler.Outcome, bool, time.Duration)) {
	a.Observe(now, o)
	for _, order := range a.Orders(now) {
		outcome, isExecuted, delay := result(order)
		if isExecuted {
			c.pending = append(c.pending, pendingOrder{order, now.Add(delay)})
		}
		a.Record(now, order, outcome)
	}
	var later []pendingOrder
	for _, p := range c.pending {
		if p.at.After(now) {
			later = append(later, p)
		} else if !p.Spot || !c.noSpot[p.DataCentre] {
			c.counts[p.Spot][p.DataCentre] = p.Count
		}
	}
	c.pending = later
}

func (c *cloud) total() (regular, spot int) {
	for _, name := range []string{"a", "b", "c"} {
		regular, spot = regular+c.counts[false][name], spot+c.counts[true][name]
	}

	return regular, spot
}

func accept(autoscaler.Order) (autoscaler.Outcome, bool, time.Duration) {
	return autoscaler.Done, true, 0
}

const interval = 250 * time.Millisecond

// Guards against orders that are lost, refused, executed late or out of order leaving the wrong number
// of endpoints, removing endpoints that the demand needs, or breaking the limits; and against counts
// that never settle.
func TestNumbersSettleWhateverHappensToOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, c := autoscaler.New(settings), newCloud(rapid.IntRange(5, 40).Draw(t, "initial"))
		demand := rapid.Float64Range(3, 60).Draw(t, "demand")
		faults := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 40).Draw(t, "faults")
		now, n := start, 0
		for ; now.Before(start.Add(60 * time.Second)); now = now.Add(interval) {
			c.step(a, now, c.observation(demand, 0), func(o autoscaler.Order) (autoscaler.Outcome, bool, time.Duration) {
				n++
				assert.Assert(t, o.Count >= 0 && o.Count <= max(limits.Max, o.Registered), "%+v", o)
				switch faults[n%len(faults)] {
				case 1:
					return autoscaler.InDoubt, false, 0
				case 2:
					return autoscaler.InDoubt, true, 3 * time.Second
				case 3:
					return autoscaler.RateLimited, false, 0
				case 4:
					if o.Spot {
						return autoscaler.Unavailable, false, 0
					}
				case 5:
					return autoscaler.Done, false, 0
				}

				return accept(o)
			})
		}
		orders := 0
		for ; now.Before(start.Add(240 * time.Second)); now = now.Add(interval) {
			c.step(a, now, c.observation(demand, 0), func(o autoscaler.Order) (autoscaler.Outcome, bool, time.Duration) {
				if now.After(start.Add(200 * time.Second)) {
					orders++
				}

				return accept(o)
			})
			regular, spot := c.total()
			if now.After(start.Add(75 * time.Second)) {
				assert.Assert(t, float64(regular+spot) >= demand, "%d and %d for a demand of %f at %s", regular, spot, demand, now.Sub(start))
			}
		}
		regular, spot := c.total()
		assert.Equal(t, orders, 0, "the numbers do not settle: %d and %d", regular, spot)
		assert.Assert(t, float64(regular+spot) >= min(120, demand/(1-settings.LossShare)), "%d and %d for %f", regular, spot, demand)
		for _, name := range []string{"a", "b", "c"} {
			assert.Assert(t, c.counts[false][name]+c.counts[true][name] <= limits.Max && c.counts[false][name]+c.counts[true][name] >= limits.Min)
			assert.Assert(t, float64(regular+spot-c.counts[true][name]) >= min(120, demand), "%d and %d without the spot ones of %s for %f", regular, spot, name, demand)
		}
	})
}

// Guards against a burst that ends before the endpoints for it are ordered, and against removing
// endpoints as soon as a demand falls.
func TestCountsRiseAtOnceAndFallSlowly(t *testing.T) {
	a, c := autoscaler.New(settings), newCloud(10)
	now := start
	run := func(duration time.Duration, demand float64) {
		for end := now.Add(duration); now.Before(end); now = now.Add(interval) {
			c.step(a, now, c.observation(demand, 0), accept)
		}
	}
	run(time.Second, 80)
	regular, spot := c.total()
	assert.Assert(t, regular+spot >= 88, "%d and %d", regular, spot)
	run(settings.Window-2*time.Second, 8)
	heldRegular, heldSpot := c.total()
	assert.Assert(t, heldRegular >= regular && heldSpot >= spot, "%d and %d", heldRegular, heldSpot)
	run(10*time.Second, 8)
	laterRegular, laterSpot := c.total()
	assert.Assert(t, laterRegular+laterSpot >= 50, "%d and %d", laterRegular, laterSpot)
	run(5*time.Minute, 8)
	regular, spot = c.total()
	assert.Assert(t, regular <= 10 && spot <= 12, "%d and %d", regular, spot)
}

// Guards against numbers that change by a demand that is no longer known.
func TestOldDemandKeepsNumbers(t *testing.T) {
	a, c := autoscaler.New(settings), newCloud(20)
	for now := start; now.Before(start.Add(5 * time.Minute)); now = now.Add(interval) {
		c.step(a, now, c.observation(3, settings.MaxDemandAge+1), accept)
	}
	regular, _ := c.total()
	assert.Equal(t, regular, 60)
}

// Guards against a data centre without spot endpoints being left with too few, and against asking for
// spot ones again and again meanwhile.
func TestRegularEndpointsReplaceUnavailableSpotOnes(t *testing.T) {
	a, c := autoscaler.New(settings), newCloud(8)
	refused := 0
	for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(interval) {
		c.step(a, now, c.observation(40, 0), func(o autoscaler.Order) (autoscaler.Outcome, bool, time.Duration) {
			if o.Spot {
				refused++

				return autoscaler.Unavailable, false, 0
			}

			return accept(o)
		})
	}
	regular, spot := c.total()
	assert.Assert(t, regular >= 44 && spot == 0, "%d and %d", regular, spot)
	assert.Assert(t, refused <= 9, "%d orders of spot endpoints", refused)
}
