package autoscaler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// plan is the numbers of endpoints that a service needs, without regard to what it has.
type plan struct {
	settings    Settings
	limits      Limits
	dataCentres []*dataCentre // by name
	// windowDemand is the highest demand of the window, all data centres together.
	windowDemand float64
	mayHaveSpot  func(*dataCentre) bool
}

// target is the planned numbers of endpoints of a data centre.
type target struct {
	regular, spot int
}

// newPlan returns the plan for a service.
func (a *Autoscaler) newPlan(now time.Time, s *service) *plan {
	p := &plan{settings: a.settings, limits: s.limits}
	p.mayHaveSpot = func(d *dataCentre) bool {
		return s.limits.SpotPrice > 0 && s.limits.SpotPrice < 1 && !now.Before(d.noSpotUntil)
	}
	mean, remembered, ready := 0.0, 0.0, 0
	for _, name := range slices.Sorted(maps.Keys(s.dataCentres)) {
		d := s.dataCentres[name]
		p.dataCentres = append(p.dataCentres, d)
		peak := d.history.peak(now, a.settings.Window)
		p.windowDemand += peak.demand
		remembered += d.history.peak(now, a.settings.PeakMemory).demand
		mean += d.history.mean
		ready += d.Regular + d.Spot
		d.planned = p.localTarget(d, peak)
	}
	needed := p.windowDemand / (1 - a.settings.LossShare)
	missing := max(0, p.windowDemand-float64(ready)) * a.settings.ColdShare
	p.addUntil(max(needed, p.windowDemand*a.settings.Margin+missing), true)
	p.addUntil(max(a.settings.BurstFactor*mean, remembered), false)
	p.coverLossOfSpot()

	return p
}

// localTarget returns what a data centre needs for its own demand. Callers are served from there
// first, and only what is needed beyond goes where it costs least.
func (p *plan) localTarget(d *dataCentre, peak second) (t target) {
	if !d.history.hasMeans {
		return target{regular: p.limits.Min}
	}
	t.regular = int(math.Ceil(max(p.settings.CriticalMargin*peak.critical, p.settings.RegularShare*d.history.mean)))
	total := int(math.Ceil(p.settings.Margin * peak.demand))
	total = min(max(total, t.regular, p.limits.Min), p.limits.Max)
	t.regular = min(t.regular, total)
	if p.mayHaveSpot(d) {
		t.spot = total - t.regular
	} else {
		t.regular, t.spot = max(t.regular, total-d.Spot), min(d.Spot, total-t.regular)
	}

	return t
}

// total returns the planned endpoints of all data centres.
func (p *plan) total() (total int) {
	for _, d := range p.dataCentres {
		total += d.planned.regular + d.planned.spot
	}

	return total
}

// addUntil adds the cheapest endpoints until there are as many as needed or none can be added.
// Regular ones are added only if allowsRegular is set.
func (p *plan) addUntil(needed float64, allowsRegular bool) {
	for missing := int(math.Ceil(needed)) - p.total(); missing > 0; missing-- {
		if !p.add(allowsRegular, "") {
			return
		}
	}
}

// add adds an endpoint outside an excluded data centre: a spot one, or else a regular one if that is
// allowed. Spot endpoints are spread, since those of a data centre are lost together.
func (p *plan) add(allowsRegular bool, excluded string) bool {
	var best *dataCentre
	lowest := math.Inf(1)
	isSpot := false
	for _, d := range p.dataCentres {
		t := d.planned
		if d.Name == excluded || t.regular+t.spot >= p.limits.Max {
			continue
		}
		price := p.price(d)
		if p.mayHaveSpot(d) {
			// Any spot endpoint is cheaper than a regular one; among them, few go first.
			if cost := price*float64(t.spot+1) - math.MaxInt32; cost < lowest {
				best, lowest, isSpot = d, cost, true
			}
		} else if allowsRegular && price < lowest {
			best, lowest, isSpot = d, price, false
		}
	}
	if best == nil {
		return false
	}
	if isSpot {
		best.planned.spot++
	} else {
		best.planned.regular++
	}

	return true
}

// price returns the price of a regular endpoint in a data centre.
func (p *plan) price(d *dataCentre) float64 {
	return cmp.Or(p.limits.Prices[d.Name], 1)
}

// coverLossOfSpot adds endpoints until the loss of the spot endpoints of any one data centre leaves
// enough for the demand of the window.
func (p *plan) coverLossOfSpot() {
	needed := int(math.Ceil(p.settings.Margin * p.windowDemand))
	for _, d := range p.dataCentres {
		for p.total()-d.planned.spot < needed {
			if p.add(false, d.Name) {
				continue
			}
			if !p.addRegular() && !p.replaceSpot(d) {
				break
			}
		}
	}
}

// addRegular adds a regular endpoint where it costs least, and reports whether there was room.
func (p *plan) addRegular() bool {
	candidates := slices.DeleteFunc(slices.Clone(p.dataCentres), func(d *dataCentre) bool {
		return d.planned.regular+d.planned.spot >= p.limits.Max
	})
	if len(candidates) == 0 {
		return false
	}
	d := slices.MinFunc(candidates, func(a, b *dataCentre) int { return cmp.Compare(p.price(a), p.price(b)) })
	d.planned.regular++

	return true
}

// replaceSpot replaces a spot endpoint of a data centre without room by a regular one.
func (p *plan) replaceSpot(d *dataCentre) bool {
	if d.planned.spot == 0 {
		return false
	}
	d.planned.regular++
	d.planned.spot--

	return true
}

// holds reports whether the registered endpoints suffice after so many of a data centre are removed:
// for the window's demand with the loss of a share, or of the spot endpoints of any data centre.
func (p *plan) holds(removed int, from *dataCentre, isSpot bool) bool {
	ready, mostSpot := -removed, 0
	for _, d := range p.dataCentres {
		// What has been ordered away in this step or may not show yet does not count.
		spot := min(d.Spot, d.spot.wanted)
		ready += min(d.Regular, d.regular.wanted) + spot
		if isSpot && d == from {
			spot -= removed
		}
		mostSpot = max(mostSpot, spot)
	}

	return float64(ready) >= p.windowDemand/(1-p.settings.LossShare) && float64(ready-mostSpot) >= p.settings.Margin*p.windowDemand &&
		from.Regular+from.Spot-removed >= p.limits.Min
}
