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

// Report is the load report of the named endpoint.
type Report struct {
	Endpoint string
	Load     balancer.LoadReport
}

// Ask holds the credit requests to send to one home.
type Ask struct {
	Home  string // name of the instance that grants the credit
	Wants []granter.CreditRequest
}

// Known is the state that an instance sends to its peers along with credit requests
// and grants.
type Known struct {
	// Suspects are the entries of the quarantine.
	Suspects []quarantiner.Entry
	// View holds, for some members, the time since the sender last heard from them.
	View []tracker.LivenessReport
	// Doubted names the members that the sender cannot reach. The
	// receiver answers with its own liveness reports on them.
	Doubted []string
	// Idle is true if the sender is stopping and has no requests left.
	Idle bool
}

// Asks returns the credit requests that are due, one batch for each home
// other than this instance. After a request could not be placed, all homes are due.
func (c *Controller) Asks() []Ask {
	var batches []Ask
	c.runAndWait(func(now time.Time) {
		c.updateDemand()
		homes := c.borrower.DueHomes(now)
		if c.lacksCapacity {
			homes = c.borrower.Homes()
			c.lacksCapacity = false
		}
		for _, home := range homes {
			if home == c.settings.Self.Name {
				continue
			}
			batches = append(batches, Ask{Home: home, Wants: c.borrower.CreateCreditRequests(now, home)})
		}
	})

	return batches
}

// Known returns the state to send to a peer. It includes liveness reports on the
// members that the peer asks about.
func (c *Controller) Known(requestedMembers []string) Known {
	var shared Known
	c.runAndWait(func(now time.Time) {
		shared = Known{
			Suspects: c.quarantiner.EntriesToShare(now),
			View:     c.tracker.LivenessReports(now, requestedMembers),
			Doubted:  c.tracker.UnreachableMembers(),
			Idle:     c.stopping && len(c.requests) == 0,
		}
	})

	return shared
}

// Alarms returns a channel that receives a value when an endpoint has crashed and the
// peers should be sent the quarantine entries at once.
func (c *Controller) Alarms() <-chan struct{} {
	return c.crashAlerts
}

// Heard applies the state that a peer sent.
func (c *Controller) Heard(peer tracker.Instance, incarnation uint64, received Known) {
	c.sendEvent(func(now time.Time) {
		c.quarantiner.Merge(now, received.Suspects)
		c.tracker.RecordExchange(now, peer, incarnation, peer.Leaving, received.View)
		if peer.Leaving && received.Idle {
			c.home.ForgetBorrower(now, peer.Name)
		}
	})
}

// Asked answers the credit requests of a borrower. It also returns
// the latest load reports of the endpoints for which there is a grant.
func (c *Controller) Asked(borrower string, requests []granter.CreditRequest) ([]granter.Grant, []Report) {
	var grants []granter.Grant
	var reports []Report
	c.runAndWait(func(now time.Time) {
		grants = c.home.AnswerCreditRequests(now, borrower, requests)
		for _, grant := range grants {
			if report, ok := c.loadReports[grant.Endpoint]; ok {
				reports = append(reports, report)
			}
		}
	})

	return grants, reports
}

// Granted applies the grants and load reports with which a home answered.
func (c *Controller) Granted(home string, grants []granter.Grant, reports []Report) {
	c.sendEvent(func(now time.Time) {
		c.borrower.ReceiveGrants(now, home, grants)
		for _, report := range reports {
			c.applyLoadReport(now, report)
		}
	})
}

// Missed records that an exchange with a peer failed.
func (c *Controller) Missed(peer string) {
	c.sendEvent(func(now time.Time) {
		c.tracker.RecordMissedExchange(now, peer)
		c.borrower.RecordUnreachable(now, peer)
	})
}

// Reported applies a load report that was read from an endpoint. It
// ignores endpoints that are not in the configuration.
func (c *Controller) Reported(report Report) {
	c.sendEvent(func(now time.Time) {
		if _, ok := c.endpoints[report.Endpoint]; !ok {
			return
		}
		c.loadReports[report.Endpoint] = report
		c.applyLoadReport(now, report)
	})
}

// applyLoadReport passes a load report to the balancer. The report also proves that the
// endpoint is up.
func (c *Controller) applyLoadReport(now time.Time, report Report) {
	delete(c.downEndpoints, report.Endpoint)
	c.picker.RecordLoad(now, report.Endpoint, report.Load)
}

// Homed returns the endpoints whose home is this instance, sorted by name.
func (c *Controller) Homed() []Endpoint {
	var endpoints []Endpoint
	c.runAndWait(func(time.Time) {
		for _, name := range c.endpointNames() {
			if granter.HomeOf(name, c.liveMembers) == c.settings.Self.Name {
				endpoints = append(endpoints, c.endpoints[name])
			}
		}
	})

	return endpoints
}

// Stop makes the controller refuse new requests and marks this instance as leaving.
// Requests in flight go on until they end.
func (c *Controller) Stop() {
	c.runAndWait(func(time.Time) {
		c.stopping = true
		c.stopRequested.Store(true)
		c.tracker.SetLeaving()
	})
}

// InFlight returns the number of requests that are waiting or running.
func (c *Controller) InFlight() int {
	count := 0
	c.runAndWait(func(time.Time) {
		count = len(c.requests)
	})

	return count
}

// Ready reports whether this instance can place requests: it has a configuration and
// has held credit for an endpoint, or it uses no endpoints. Once true, it stays true.
func (c *Controller) Ready() bool {
	return c.ready.Load()
}

// updateReadiness sets ready once the condition of IsReady holds.
func (c *Controller) updateReadiness(now time.Time) {
	if c.ready.Load() || c.endpoints == nil {
		return
	}
	subset := c.borrower.Subset()
	hasCredit := func(endpoint string) bool { return c.borrower.HasCapacity(now, endpoint, 1, 1) }
	if len(subset) == 0 || slices.ContainsFunc(subset, hasCredit) {
		c.ready.Store(true)
	}
}

// renewLocalCredits renews the credits for the endpoints whose home is this instance.
func (c *Controller) renewLocalCredits(now time.Time) {
	if !slices.Contains(c.borrower.DueHomes(now), c.settings.Self.Name) {
		return
	}
	c.updateDemand()
	requests := c.borrower.CreateCreditRequests(now, c.settings.Self.Name)
	c.borrower.ReceiveGrants(now, c.settings.Self.Name, c.home.AnswerCreditRequests(now, c.settings.Self.Name, requests))
}

// updateDemand sets the borrower's demand at each endpoint: the waiting requests, divided
// evenly among the endpoints that could serve them.
func (c *Controller) updateDemand() {
	subset := c.borrower.Subset()
	demandByEndpoint := map[string]*[granter.Tiers]granter.Credit{}
	for _, name := range subset {
		demandByEndpoint[name] = &[granter.Tiers]granter.Credit{}
	}
	for lane, names := range c.endpointsByLane {
		usableNames := slices.DeleteFunc(slices.Clone(names), func(name string) bool {
			return demandByEndpoint[name] == nil
		})
		addLaneDemand(demandByEndpoint, usableNames, c.scheduler.Demand(lane))
	}
	for _, name := range subset {
		c.borrower.SetDemand(name, *demandByEndpoint[name])
	}
}

// addLaneDemand divides the demand of a lane among the named endpoints, and adds it to
// their entries in demandByEndpoint.
func addLaneDemand(
	demandByEndpoint map[string]*[granter.Tiers]granter.Credit, names []string, laneDemand [scheduler.TierCount]scheduler.Demand,
) {
	for tier, demand := range laneDemand {
		if demand.Requests == 0 || len(names) == 0 {
			continue
		}
		// Tokens are asked for in whole requests. If each endpoint were asked for only a
		// part of a request's tokens, none would grant enough to start the request.
		requests := divideRoundingUp(demand.Requests, len(names))
		tokens := requests * divideRoundingUp(demand.Tokens, demand.Requests)
		for _, name := range names {
			demandByEndpoint[name][tier].Slots += requests
			demandByEndpoint[name][tier].Tokens += tokens
		}
	}
}

func divideRoundingUp(total, parts int) int {
	return (total + parts - 1) / parts
}

// Stopping reports whether StopAdmitting was called.
func (c *Controller) Stopping() bool {
	return c.stopRequested.Load()
}

// Leaving reports whether an endpoint that this instance uses receives no
// new requests because it is leaving or draining.
func (c *Controller) Leaving(endpoint string) bool {
	isLeaving := false
	c.runAndWait(func(time.Time) {
		for _, state := range c.picker.States() {
			if state.Endpoint == endpoint {
				isLeaving = state.Status == balancer.Leaving
			}
		}
	})

	return isLeaving
}

// Lines returns the status of each endpoint that this instance uses, with its credit.
func (c *Controller) Lines() []granter.EndpointStatus {
	var statuses []granter.EndpointStatus
	c.runAndWait(func(now time.Time) {
		statuses = c.borrower.EndpointStatuses(now)
	})

	return statuses
}
