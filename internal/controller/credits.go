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

// EndpointLoadReport is an endpoint's load report.
type EndpointLoadReport struct {
	Endpoint string
	Load     balancer.LoadReport
}

// CreditRequestBatch is what one home is to be asked for.
type CreditRequestBatch struct {
	Home     string
	Requests []granter.CreditRequest
}

// SharedState is what instances tell each other beside wants and grants.
type SharedState struct {
	QuarantineEntries  []quarantiner.Entry
	LivenessReports    []tracker.LivenessReport
	UnreachableMembers []string
	// Idle says that an instance is leaving and has nothing in flight.
	Idle bool
}

// DueCreditRequests returns the homes of other instances that are due, with what to ask
// them.
func (c *Controller) DueCreditRequests() []CreditRequestBatch {
	var asks []CreditRequestBatch
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
			asks = append(asks, CreditRequestBatch{Home: home, Requests: c.borrower.CreateCreditRequests(now, home)})
		}
	})

	return asks
}

// StateToShare returns what to tell another instance; doubted are the instances that
// it asks about.
func (c *Controller) StateToShare(doubted []string) SharedState {
	var known SharedState
	c.query(func(now time.Time) {
		known = SharedState{
			QuarantineEntries:  c.quarantiner.EntriesToShare(now),
			LivenessReports:    c.tracker.LivenessReports(now, doubted),
			UnreachableMembers: c.tracker.UnreachableMembers(),
			Idle:               c.stopping && len(c.entries) == 0,
		}
	})

	return known
}

// CrashAlerts tells when the other instances should hear of a crash at once.
func (c *Controller) CrashAlerts() <-chan struct{} {
	return c.alarms
}

// ReceiveSharedState takes in what another instance tells.
func (c *Controller) ReceiveSharedState(peer tracker.Instance, incarnation uint64, known SharedState) {
	c.send(func(now time.Time) {
		c.quarantiner.Merge(now, known.QuarantineEntries)
		c.tracker.RecordExchange(now, peer, incarnation, peer.Leaving, known.LivenessReports)
		if peer.Leaving && known.Idle {
			c.home.ForgetBorrower(now, peer.Name)
		}
	})
}

// AnswerCreditRequests answers the wants of another instance, with the newest reports of the
// endpoints that it wants.
func (c *Controller) AnswerCreditRequests(borrower string, wants []granter.CreditRequest) ([]granter.Grant, []EndpointLoadReport) {
	var grants []granter.Grant
	var reports []EndpointLoadReport
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

// ReceiveGrants takes in a home's answer.
func (c *Controller) ReceiveGrants(home string, grants []granter.Grant, reports []EndpointLoadReport) {
	c.send(func(now time.Time) {
		c.borrower.ReceiveGrants(now, home, grants)
		for _, report := range reports {
			c.take(now, report)
		}
	})
}

// RecordMissedExchange says that an exchange with another instance failed.
func (c *Controller) RecordMissedExchange(peer string) {
	c.send(func(now time.Time) {
		c.tracker.RecordMissedExchange(now, peer)
		c.borrower.RecordUnreachable(now, peer)
	})
}

// RecordLoadReport takes in an endpoint's load report.
func (c *Controller) RecordLoadReport(report EndpointLoadReport) {
	c.send(func(now time.Time) {
		if _, ok := c.endpoints[report.Endpoint]; !ok {
			return
		}
		c.reports[report.Endpoint] = report
		c.take(now, report)
	})
}

// take takes in a report, which also shows that the endpoint is up.
func (c *Controller) take(now time.Time, report EndpointLoadReport) {
	delete(c.down, report.Endpoint)
	c.picker.RecordLoad(now, report.Endpoint, report.Load)
}

// HomedEndpoints returns the endpoints whose home this instance is, with addresses.
func (c *Controller) HomedEndpoints() []Endpoint {
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

// StopAdmitting refuses new requests from now on.
func (c *Controller) StopAdmitting() {
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

// IsReady reports whether this instance can place requests: it has a
// configuration and has had credit at some endpoint, or there is none to have.
func (c *Controller) IsReady() bool {
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

// IsStopping reports whether Stop was called.
func (c *Controller) IsStopping() bool {
	return c.halted.Load()
}

// IsEndpointLeaving reports whether nothing new goes to an endpoint since it is leaving.
func (c *Controller) IsEndpointLeaving(endpoint string) bool {
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

// EndpointStatuses returns the endpoints that this instance uses, with its credits.
func (c *Controller) EndpointStatuses() []granter.EndpointStatus {
	var lines []granter.EndpointStatus
	c.query(func(now time.Time) {
		lines = c.borrower.EndpointStatuses(now)
	})

	return lines
}
