package granter

import (
	"slices"
	"time"
)

// Home lends out the capacity of the endpoints that it is home of.
type Home struct {
	settings Settings
	ledgers  map[string]*ledger
	places   map[string]string
	epoch    uint64
}

// NewHome returns a Home without endpoints.
func NewHome(settings Settings) *Home {
	return &Home{settings: settings.withDefaults(), ledgers: map[string]*ledger{}}
}

// SetDataCentres tells the data centre of each member, for the choice of subsets. It
// takes effect with the next Configure.
func (h *Home) SetDataCentres(places map[string]string) { h.places = places }

// Configure replaces the endpoints and the live members, self included. A
// ledger opened here first waits out one lifetime, or until all borrowers have
// told what they hold.
func (h *Home) Configure(now time.Time, endpoints []Endpoint, members []string, self string) {
	places := groupPlaces(endpoints)
	borrowers := newPlacement(h.settings.Subset, endpoints, members, h.places).borrowers()
	old := h.ledgers
	h.ledgers = map[string]*ledger{}
	for _, e := range endpoints {
		if HomeOf(e.Name, members) != self {
			continue
		}
		l := old[e.Name]
		if l == nil {
			l = &ledger{opened: now, learning: true}
		}
		l.endpoint = e
		l.capacity = h.settings.capacity(e)
		l.floor = h.settings.floor(e, len(borrowers[e.Name]))
		l.expect(now, borrowers[e.Name])
		for _, a := range l.accounts {
			a.near = h.near(a.borrower, e, places)
		}
		h.ledgers[e.Name] = l
	}
}

// place is a group's presence in a data centre.
type place struct{ group, dataCentre string }

func groupPlaces(endpoints []Endpoint) map[place]bool {
	places := map[place]bool{}
	for _, e := range endpoints {
		places[place{e.Group, e.DataCentre}] = true
	}
	return places
}

// near tells whether the borrower has no endpoints of the group that are
// nearer than this one: it is in the same data centre, or has none in its own.
func (h *Home) near(borrower string, e Endpoint, places map[place]bool) bool {
	own := h.places[borrower]
	return own == e.DataCentre || !places[place{e.Group, own}]
}

// AnswerCreditRequests answers a borrower's wants with grants. A want for an endpoint of
// another home, or one older than the last from that borrower, gets none.
func (h *Home) AnswerCreditRequests(now time.Time, borrower string, wants []CreditRequest) []Grant {
	grants := make([]Grant, 0, len(wants))
	for _, want := range wants {
		l := h.ledgers[want.Endpoint]
		if l == nil || !l.admits(now, borrower) {
			continue
		}
		a := l.account(borrower)
		if !a.take(now, want, h.settings) {
			continue
		}
		grants = append(grants, h.grant(now, l, a))
	}
	return grants
}

func (h *Home) grant(now time.Time, l *ledger, a *account) Grant {
	free := l.free(now, a)
	lifetime := h.settings.Lifetime
	credit := a.committed(now, Credit{})
	if l.learned(now, h.settings.Lifetime) {
		target, contended := l.target(now, a)
		if contended && target.Slots > a.demand().Slots {
			lifetime /= 2
		}
		credit = target
	}
	credit = credit.within(free)
	h.epoch = max(h.epoch+1, uint64(now.UnixNano()))
	a.issue(issue{credit: credit, expires: now.Add(lifetime), epoch: h.epoch})
	return Grant{Endpoint: l.endpoint.Name, Credit: credit, TTL: lifetime, Epoch: h.epoch, RequestedAt: a.asked}
}

// demand is what the borrower uses and what waits there.
func (a *account) demand() Credit {
	sum := a.held
	for _, waiting := range a.waiting {
		sum = sum.plus(waiting)
	}
	return sum
}

// ForgetBorrower drops what a borrower held. It left cleanly, with nothing in flight.
func (h *Home) ForgetBorrower(_ time.Time, borrower string) {
	for _, l := range h.ledgers {
		if i, found := find(l.accounts, borrower); found {
			a := l.accounts[i]
			*a = account{borrower: borrower, expected: a.expected, left: true, asked: a.asked}
		}
	}
}

// Lent is what a home has lent out of one endpoint.
type Lent struct {
	Endpoint  string
	Capacity  Credit
	Committed Credit // credits not expired, floors and work in flight
	Borrowers int
	Learning  bool // waits for an earlier home's credits
}

// Lent returns what is lent out of each endpoint of this home, sorted by name.
func (h *Home) Lent(now time.Time) []Lent {
	lent := make([]Lent, 0, len(h.ledgers))
	for name, l := range h.ledgers {
		entry := Lent{Endpoint: name, Capacity: l.capacity, Learning: l.learning}
		for _, a := range l.accounts {
			entry.Committed = entry.Committed.plus(a.committed(now, l.floor))
			if a.live(now) {
				entry.Borrowers++
			}
		}
		lent = append(lent, entry)
	}
	slices.SortFunc(lent, func(x, y Lent) int { return compare(x.Endpoint, y.Endpoint) })
	return lent
}
