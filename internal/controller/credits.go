package controller

import (
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/balancer"
	"github.com/oleanderpick/oleanderpick/pkg/granter"
	"github.com/oleanderpick/oleanderpick/pkg/quarantiner"
	"github.com/oleanderpick/oleanderpick/pkg/scheduler"
	"github.com/oleanderpick/oleanderpick/pkg/tracker"
)

// Report is an endpoint's load report.
type Report struct {
	Endpoint string
	Load     balancer.LoadReport
}

// Ask is what one home is to be asked for.
type Ask struct {
	Home  string
	Wants []granter.CreditRequest
}

// Known is what instances tell each other beside wants and grants.
type Known struct {
	Suspects []quarantiner.Entry
	View     []tracker.LivenessReport
	Doubted  []string
	// Idle says that an instance is leaving and has nothing in flight.
	Idle bool
}

// Asks returns the homes of other instances that are due, with what to ask
// them.
func (c *Controller) Asks() []Ask {
	var asks []Ask
	c.query(func(now time.Time) {
		c.spreadDemand()
		homes := c.borrower.DueHomes(now)
		if c.urgent {
			homes = c.borrower.Homes()
			c.urgent = false
		}
		for _, home := range homes {
			if home == c.settings.Self.Name {
				continue
			}
			asks = append(asks, Ask{Home: home, Wants: c.borrower.CreateCreditRequests(now, home)})
		}
	})

	return asks
}

// Known returns what to tell another instance; doubted are the instances that
// it asks about.
func (c *Controller) Known(doubted []string) Known {
	var known Known
	c.query(func(now time.Time) {
		known = Known{
			Suspects: c.quarantiner.EntriesToShare(now),
			View:     c.tracker.LivenessReports(now, doubted),
			Doubted:  c.tracker.UnreachableMembers(),
			Idle:     c.stopping && len(c.entries) == 0,
		}
	})

	return known
}

// Alarms tells when the other instances should hear of a crash at once.
func (c *Controller) Alarms() <-chan struct{} {
	return c.alarms
}

// Heard takes in what another instance tells.
func (c *Controller) Heard(peer tracker.Instance, incarnation uint64, known Known) {
	c.send(func(now time.Time) {
		c.quarantiner.Merge(now, known.Suspects)
		c.tracker.RecordExchange(now, peer, incarnation, peer.Leaving, known.View)
		if peer.Leaving && known.Idle {
			c.home.ForgetBorrower(now, peer.Name)
		}
	})
}

// Asked answers the wants of another instance, with the newest reports of the
// endpoints that it wants.
func (c *Controller) Asked(borrower string, wants []granter.CreditRequest) ([]granter.Grant, []Report) {
	var grants []granter.Grant
	var reports []Report
	c.query(func(now time.Time) {
		grants = c.home.AnswerCreditRequests(now, borrower, wants)
		for _, grant := range grants {
			if report, ok := c.reports[grant.Endpoint]; ok {
				reports = append(reports, report)
			}
		}
	})

	return grants, reports
}

// Granted takes in a home's answer.
func (c *Controller) Granted(home string, grants []granter.Grant, reports []Report) {
	c.send(func(now time.Time) {
		c.borrower.ReceiveGrants(now, home, grants)
		for _, report := range reports {
			c.take(now, report)
		}
	})
}

// Missed says that an exchange with another instance failed.
func (c *Controller) Missed(peer string) {
	c.send(func(now time.Time) {
		c.tracker.RecordMissedExchange(now, peer)
		c.borrower.RecordUnreachable(now, peer)
	})
}

// Reported takes in an endpoint's load report.
func (c *Controller) Reported(report Report) {
	c.send(func(now time.Time) {
		if _, ok := c.endpoints[report.Endpoint]; !ok {
			return
		}
		c.reports[report.Endpoint] = report
		c.take(now, report)
	})
}

// take takes in a report, which also shows that the endpoint is up.
func (c *Controller) take(now time.Time, report Report) {
	delete(c.down, report.Endpoint)
	c.picker.RecordLoad(now, report.Endpoint, report.Load)
}

// Homed returns the endpoints whose home this instance is, with addresses.
func (c *Controller) Homed() []Endpoint {
	var homed []Endpoint
	c.query(func(time.Time) {
		for _, name := range c.endpointNames() {
			if granter.HomeOf(name, c.members) == c.settings.Self.Name {
				homed = append(homed, c.endpoints[name])
			}
		}
	})

	return homed
}

// Stop refuses new requests from now on.
func (c *Controller) Stop() {
	c.query(func(time.Time) {
		c.stopping = true
		c.halted.Store(true)
		c.tracker.SetLeaving()
	})
}

// InFlight returns the number of requests that wait or run.
func (c *Controller) InFlight() int {
	count := 0
	c.query(func(time.Time) {
		count = len(c.entries)
	})

	return count
}

// Ready reports whether this instance can place requests: it has a
// configuration and has had credit at some endpoint, or there is none to have.
func (c *Controller) Ready() bool {
	return c.ready.Load()
}

// notice notices when the instance becomes ready; it stays so.
func (c *Controller) notice(now time.Time) {
	if c.ready.Load() || c.endpoints == nil {
		return
	}
	subset := c.borrower.Subset()
	credited := func(endpoint string) bool { return c.borrower.HasCapacity(now, endpoint, 1, 1) }
	if len(subset) == 0 || slices.ContainsFunc(subset, credited) {
		c.ready.Store(true)
	}
}

// askSelf renews the credits of the endpoints whose home is this instance.
func (c *Controller) askSelf(now time.Time) {
	if !slices.Contains(c.borrower.DueHomes(now), c.settings.Self.Name) {
		return
	}
	c.spreadDemand()
	wants := c.borrower.CreateCreditRequests(now, c.settings.Self.Name)
	c.borrower.ReceiveGrants(now, c.settings.Self.Name, c.home.AnswerCreditRequests(now, c.settings.Self.Name, wants))
}

// spreadDemand tells the borrower what waits, spread evenly over the
// endpoints that could take it.
func (c *Controller) spreadDemand() {
	subset := c.borrower.Subset()
	waiting := map[string]*[granter.Tiers]granter.Credit{}
	for _, name := range subset {
		waiting[name] = &[granter.Tiers]granter.Credit{}
	}
	for lane, names := range c.lanes {
		usable := slices.DeleteFunc(slices.Clone(names), func(name string) bool {
			return waiting[name] == nil
		})
		addDemand(waiting, usable, c.scheduler.Demand(lane))
	}
	for _, name := range subset {
		c.borrower.SetDemand(name, *waiting[name])
	}
}

func addDemand(waiting map[string]*[granter.Tiers]granter.Credit, names []string, demand [scheduler.TierCount]scheduler.Demand) {
	for tier, one := range demand {
		if one.Requests == 0 || len(names) == 0 {
			continue
		}
		// Tokens go by whole requests: a part of one request's tokens at
		// each endpoint would let it start at none.
		requests := ceil(one.Requests, len(names))
		tokens := requests * ceil(one.Tokens, one.Requests)
		for _, name := range names {
			waiting[name][tier].Slots += requests
			waiting[name][tier].Tokens += tokens
		}
	}
}

func ceil(sum, parts int) int {
	return (sum + parts - 1) / parts
}

// Stopping reports whether Stop was called.
func (c *Controller) Stopping() bool {
	return c.halted.Load()
}

// Leaving reports whether nothing new goes to an endpoint since it is leaving.
func (c *Controller) Leaving(endpoint string) bool {
	departed := false
	c.query(func(time.Time) {
		for _, state := range c.picker.States() {
			if state.Endpoint == endpoint {
				departed = state.Status == balancer.Leaving
			}
		}
	})

	return departed
}

// Lines returns the endpoints that this instance uses, with its credits.
func (c *Controller) Lines() []granter.EndpointStatus {
	var lines []granter.EndpointStatus
	c.query(func(now time.Time) {
		lines = c.borrower.EndpointStatuses(now)
	})

	return lines
}
