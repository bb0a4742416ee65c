package controller

import (
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/balancer"
	"github.com/oleanderpick/oleanderpick/pkg/granter"
	"github.com/oleanderpick/oleanderpick/pkg/isolator"
	"github.com/oleanderpick/oleanderpick/pkg/quarantiner"
	"github.com/oleanderpick/oleanderpick/pkg/scheduler"
	"github.com/oleanderpick/oleanderpick/pkg/tracker"
)

// EndpointLoadReport is the load report of the named endpoint.
type EndpointLoadReport struct {
	Endpoint string
	Load     balancer.LoadReport
}

// CreditRequestBatch holds the credit requests to send to one home.
type CreditRequestBatch struct {
	Home     string // name of the instance that grants the credit
	Requests []granter.CreditRequest
}

// SharedState is the state that an instance sends to its peers along with credit requests
// and grants.
type SharedState struct {
	// QuarantineEntries are the entries of the quarantine.
	QuarantineEntries []quarantiner.Entry
	// BlockRecords are the prompt blocks that were present when endpoints crashed.
	BlockRecords []isolator.Record
	// LivenessReports holds, for some members, the time since the sender's last exchange
	// with each of them.
	LivenessReports []tracker.LivenessReport
	// UnreachableMembers names the members that the sender cannot reach. The
	// receiver answers with its own liveness reports on them.
	UnreachableMembers []string
	// Idle is true if the sender is stopping and has no requests left.
	Idle bool
}

// DueCreditRequests returns the credit requests that are due, one batch for each home
// other than this instance. After a request could not be placed, all homes are due.
func (c *Controller) DueCreditRequests() []CreditRequestBatch {
	var batches []CreditRequestBatch
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
			batches = append(batches, CreditRequestBatch{Home: home, Requests: c.borrower.CreateCreditRequests(now, home)})
		}
	})

	return batches
}

// StateToShare returns the state to send to a peer. It includes liveness reports on the
// members that the peer asks about.
func (c *Controller) StateToShare(requestedMembers []string) SharedState {
	var shared SharedState
	c.runAndWait(func(now time.Time) {
		shared = SharedState{
			QuarantineEntries:  c.quarantiner.EntriesToShare(now),
			BlockRecords:       c.isolator.RecordsToShare(now),
			LivenessReports:    c.tracker.LivenessReports(now, requestedMembers),
			UnreachableMembers: c.tracker.UnreachableMembers(),
			Idle:               c.stopping && len(c.requests) == 0,
		}
	})

	return shared
}

// CrashAlerts returns a channel that receives a value when an endpoint has crashed and the
// peers should be sent the quarantine entries at once.
func (c *Controller) CrashAlerts() <-chan struct{} {
	return c.crashAlerts
}

// ReceiveSharedState applies the state that a peer sent.
func (c *Controller) ReceiveSharedState(peer tracker.Instance, incarnation uint64, received SharedState) {
	c.sendEvent(func(now time.Time) {
		c.quarantiner.Merge(now, received.QuarantineEntries)
		c.isolator.Merge(now, received.BlockRecords)
		c.tracker.RecordExchange(now, peer, incarnation, peer.Leaving, received.LivenessReports)
		if peer.Leaving && received.Idle {
			c.home.ForgetBorrower(now, peer.Name)
		}
	})
}

// AnswerCreditRequests answers the credit requests of a borrower. It also returns
// the latest load reports of the endpoints for which there is a grant.
func (c *Controller) AnswerCreditRequests(borrower string, requests []granter.CreditRequest) ([]granter.Grant, []EndpointLoadReport) {
	var grants []granter.Grant
	var reports []EndpointLoadReport
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

// ReceiveGrants applies the grants and load reports with which a home answered.
func (c *Controller) ReceiveGrants(home string, grants []granter.Grant, reports []EndpointLoadReport) {
	c.sendEvent(func(now time.Time) {
		c.borrower.ReceiveGrants(now, home, grants)
		for _, report := range reports {
			c.applyLoadReport(now, report)
		}
	})
}

// RecordMissedExchange records that an exchange with a peer failed.
func (c *Controller) RecordMissedExchange(peer string) {
	c.sendEvent(func(now time.Time) {
		c.tracker.RecordMissedExchange(now, peer)
		c.borrower.RecordUnreachable(now, peer)
	})
}

// RecordLoadReport applies a load report that was read from an endpoint. It
// ignores endpoints that are not in the configuration.
func (c *Controller) RecordLoadReport(report EndpointLoadReport) {
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
func (c *Controller) applyLoadReport(now time.Time, report EndpointLoadReport) {
	delete(c.downEndpoints, report.Endpoint)
	c.picker.RecordLoad(now, report.Endpoint, report.Load)
}

// HomedEndpoints returns the endpoints whose home is this instance, sorted by name.
func (c *Controller) HomedEndpoints() []Endpoint {
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

// StopAdmitting makes the controller refuse new requests and marks this instance as leaving.
// Requests in flight continue until they end.
func (c *Controller) StopAdmitting() {
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

// IsReady reports whether this instance can place requests: it has a configuration and
// has held credit for an endpoint, or it uses no endpoints. Once true, it stays true.
func (c *Controller) IsReady() bool {
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
	demandByEndpoint := map[string]*[granter.TierCount]granter.Credit{}
	for _, name := range subset {
		demandByEndpoint[name] = &[granter.TierCount]granter.Credit{}
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
	demandByEndpoint map[string]*[granter.TierCount]granter.Credit, names []string, laneDemand [scheduler.TierCount]scheduler.Demand,
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

// IsStopping reports whether StopAdmitting was called.
func (c *Controller) IsStopping() bool {
	return c.stopRequested.Load()
}

// IsEndpointLeaving reports whether an endpoint that this instance uses receives no
// new requests because it is leaving or draining.
func (c *Controller) IsEndpointLeaving(endpoint string) bool {
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

// EndpointStatuses returns the status of each endpoint that this instance uses, with its
// credit.
func (c *Controller) EndpointStatuses() []granter.EndpointStatus {
	var statuses []granter.EndpointStatus
	c.runAndWait(func(now time.Time) {
		statuses = c.borrower.EndpointStatuses(now)
	})

	return statuses
}
