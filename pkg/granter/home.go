package granter

import (
	"slices"
	"time"
)

// Home lends out the capacity of the endpoints whose home this instance is.
type Home struct {
	settings    Settings
	ledgers     map[string]*endpointLedger // by endpoint name
	dataCentres map[string]string          // data centre of each member
	lastEpoch   uint64                     // of the newest grant
}

// NewHome returns a Home without endpoints.
func NewHome(settings Settings) *Home {
	return &Home{settings: settings.withDefaults(), ledgers: map[string]*endpointLedger{}}
}

// SetDataCentres sets the data centre of each member, by which subsets are chosen. It
// takes effect at the next call of Configure.
func (h *Home) SetDataCentres(dataCentres map[string]string) { h.dataCentres = dataCentres }

// Configure replaces the endpoints and the live members, which include self, the
// name of this instance. For an endpoint that this instance becomes the home of, no
// new capacity is lent until Settings.CreditTTL has passed or all assigned borrowers
// have reported the credit that they hold.
func (h *Home) Configure(now time.Time, endpoints []Endpoint, members []string, self string) {
	locations := groupLocations(endpoints)
	borrowers := newPlacement(h.settings.SubsetSize, endpoints, members, h.dataCentres).borrowersByEndpoint()
	previous := h.ledgers
	h.ledgers = map[string]*endpointLedger{}
	for _, e := range endpoints {
		if HomeOf(e.Name, members) != self {
			continue
		}
		ledger := previous[e.Name]
		if ledger == nil {
			ledger = &endpointLedger{openedAt: now, recovering: true}
		}
		ledger.endpoint = e
		ledger.capacity = h.settings.lendableCapacity(e)
		ledger.reservedShare = h.settings.reservedShare(e, len(borrowers[e.Name]))
		ledger.assignBorrowers(now, borrowers[e.Name])
		for _, record := range ledger.records {
			record.hasNoNearerEndpoint = h.hasNoNearerEndpoint(record.borrower, e, locations)
		}
		h.ledgers[e.Name] = ledger
	}
}

// groupLocation is a group of endpoints and a data centre that has some of them.
type groupLocation struct{ group, dataCentre string }

// groupLocations returns the data centres in which each group has endpoints.
func groupLocations(endpoints []Endpoint) map[groupLocation]bool {
	locations := map[groupLocation]bool{}
	for _, e := range endpoints {
		locations[groupLocation{e.Group, e.DataCentre}] = true
	}
	return locations
}

// hasNoNearerEndpoint reports whether no endpoint of the group is nearer to the
// borrower than e: either e is in the borrower's data centre, or the borrower's data
// centre has no endpoint of the group.
func (h *Home) hasNoNearerEndpoint(borrower string, e Endpoint, locations map[groupLocation]bool) bool {
	borrowerDataCentre := h.dataCentres[borrower]
	return borrowerDataCentre == e.DataCentre || !locations[groupLocation{e.Group, borrowerDataCentre}]
}

// AnswerCreditRequests answers a borrower's credit requests with grants. There is
// no grant for an endpoint that this instance isn't the home of, for a request older than
// the last one from that borrower, or if the endpoint has too many unassigned borrowers.
func (h *Home) AnswerCreditRequests(now time.Time, borrower string, requests []CreditRequest) []Grant {
	grants := make([]Grant, 0, len(requests))
	for _, request := range requests {
		ledger := h.ledgers[request.Endpoint]
		if ledger == nil || !ledger.admits(now, borrower) {
			continue
		}
		record := ledger.recordOf(borrower)
		if !record.recordRequest(now, request, h.settings) {
			continue
		}
		grants = append(grants, h.grantCredit(now, ledger, record))
	}
	return grants
}

// grantCredit lends the borrower its target credit, as far as other borrowers can't
// be using that capacity. While the ledger is recovering, it grants only what the
// borrower already uses or holds. While demand is contended, credit beyond the
// borrower's own demand is lent for half of the usual time.
func (h *Home) grantCredit(now time.Time, ledger *endpointLedger, record *borrowerRecord) Grant {
	free := ledger.freeCapacity(now, record)
	ttl := h.settings.CreditTTL
	credit := record.committedCapacity(now, Credit{})
	if ledger.hasRecovered(now, h.settings.CreditTTL) {
		target, contended := ledger.targetCredit(now, record)
		if contended && target.Slots > record.totalDemand().Slots {
			ttl /= 2
		}
		credit = target
	}
	credit = credit.componentMin(free)
	h.lastEpoch = max(h.lastEpoch+1, uint64(now.UnixNano()))
	record.addGrant(outstandingGrant{credit: credit, expiresAt: now.Add(ttl), epoch: h.lastEpoch})
	return Grant{Endpoint: ledger.endpoint.Name, Credit: credit, TTL: ttl, Epoch: h.lastEpoch, RequestedAt: record.lastRequestedAt}
}

// totalDemand returns what the borrower uses plus the demand of its waiting requests.
func (r *borrowerRecord) totalDemand() Credit {
	total := r.inUse
	for _, waiting := range r.waiting {
		total = total.plus(waiting)
	}
	return total
}

// ForgetBorrower drops the credit of a borrower that left cleanly, with no request in flight.
func (h *Home) ForgetBorrower(_ time.Time, borrower string) {
	for _, ledger := range h.ledgers {
		if i, found := findRecord(ledger.records, borrower); found {
			record := ledger.records[i]
			*record = borrowerRecord{borrower: borrower, assigned: record.assigned, hasLeft: true, lastRequestedAt: record.lastRequestedAt}
		}
	}
}

// LentCapacity is the capacity of one endpoint and how much of it its home has lent.
type LentCapacity struct {
	Endpoint      string
	Capacity      Credit
	Committed     Credit // unexpired credits, reserved shares and requests in flight
	BorrowerCount int    // borrowers that sent a credit request recently
	Recovering    bool   // credits of an earlier home may be outstanding
}

// LentCapacities returns the lent capacity of each endpoint of this home, sorted by
// name.
func (h *Home) LentCapacities(now time.Time) []LentCapacity {
	capacities := make([]LentCapacity, 0, len(h.ledgers))
	for name, ledger := range h.ledgers {
		lent := LentCapacity{Endpoint: name, Capacity: ledger.capacity, Recovering: ledger.recovering}
		for _, record := range ledger.records {
			lent.Committed = lent.Committed.plus(record.committedCapacity(now, ledger.reservedShare))
			if record.isLive(now) {
				lent.BorrowerCount++
			}
		}
		capacities = append(capacities, lent)
	}
	slices.SortFunc(capacities, func(x, y LentCapacity) int { return compareNames(x.Endpoint, y.Endpoint) })
	return capacities
}
