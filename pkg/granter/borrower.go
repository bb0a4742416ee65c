package granter

import (
	"cmp"
	"slices"
	"time"
)

func compare(x, y string) int { return cmp.Compare(x, y) }

// Borrower counts an instance's use of endpoints against its credits.
type Borrower struct {
	settings Settings
	self     string
	places   map[string]string
	lines    map[string]*line
	order    []*line // by name
	subset   []string
	homes    []string
	talks    map[string]*talk
	requests map[uint64]*request
}

// line is an endpoint's credit and its use here.
type line struct {
	Endpoint
	home    string
	since   time.Time // when the home or the endpoint was new here
	used    bool      // in the subset
	floor   Credit
	lesser  Credit    // the floor until raised
	raised  time.Time // when credits lent under a lower floor have expired
	credit  Credit
	expires time.Time
	epoch   uint64
	asked   time.Time // of the grant taken in last
	held    Credit
	waiting [Tiers]Credit
}

// talk is the exchange with one home.
type talk struct {
	asked time.Time
	pause time.Duration // while requests wait for lack of credit
}

type request struct {
	line   *line
	tokens int
}

// NewBorrower returns a Borrower without endpoints for the instance self.
func NewBorrower(settings Settings, self string) *Borrower {
	return &Borrower{
		settings: settings.withDefaults(),
		self:     self,
		lines:    map[string]*line{},
		talks:    map[string]*talk{},
		requests: map[uint64]*request{},
	}
}

// SetDataCentres tells the data centre of each member, for the choice of subsets. It
// takes effect with the next Configure.
func (b *Borrower) SetDataCentres(places map[string]string) { b.places = places }

// Configure replaces the endpoints and live members, self included, and
// chooses the subset. An endpoint that left it stays known while in use.
func (b *Borrower) Configure(now time.Time, endpoints []Endpoint, members []string) {
	p := newPlacement(b.settings.Subset, endpoints, members, b.places)
	borrowers := p.borrowers()
	for _, l := range b.order {
		l.used = false
	}
	for _, e := range p.of(b.self) {
		l := b.lines[e.Name]
		if l == nil {
			l = &line{since: now}
			b.lines[e.Name] = l
		}
		l.Endpoint = e
		l.used = true
		l.rise(now, b.settings.floor(e, len(borrowers[e.Name])), b.settings.Lifetime)
	}
	b.order = b.order[:0]
	for name, l := range b.lines {
		if !l.used && l.held.Slots == 0 {
			delete(b.lines, name)
			continue
		}
		l.move(now, HomeOf(name, members))
		b.order = append(b.order, l)
	}
	slices.SortFunc(b.order, func(x, y *line) int { return compare(x.Name, y.Name) })
	b.list()
}

// rise changes the floor. A higher one holds only when credits that the home
// lent before have expired.
func (l *line) rise(now time.Time, floor Credit, lifetime time.Duration) {
	if floor == l.floor {
		return
	}
	before := l.floor
	if now.Before(l.raised) {
		before = before.within(l.lesser)
	}
	l.floor, l.lesser, l.raised = floor, before.within(floor), now.Add(lifetime)
}

// move changes the line's home. The credit of the old one stays until it
// expires or the new one grants.
func (l *line) move(now time.Time, home string) {
	if l.home == home {
		return
	}
	l.home = home
	l.since = now
	l.epoch = 0
}

func (b *Borrower) list() {
	b.subset = b.subset[:0]
	b.homes = b.homes[:0]
	for _, l := range b.order {
		if l.used {
			b.subset = append(b.subset, l.Name)
		}
		if l.home != "" {
			b.homes = append(b.homes, l.home)
		}
	}
	slices.Sort(b.homes)
	b.homes = slices.Compact(b.homes)
	for home := range b.talks {
		if _, found := slices.BinarySearch(b.homes, home); !found {
			delete(b.talks, home)
		}
	}
}

// Subset returns the endpoints that this instance uses, sorted.
func (b *Borrower) Subset() []string { return slices.Clone(b.subset) }

// SetDemand sets what waits here and could go to the endpoint, by tier.
func (b *Borrower) SetDemand(endpoint string, waiting [Tiers]Credit) {
	if l := b.lines[endpoint]; l != nil {
		l.waiting = waiting
	}
}

// limit is what may be in use: the credit while it lasts, then the floor.
func (l *line) limit(now time.Time) Credit {
	if now.Before(l.expires) {
		return l.credit
	}
	if now.Before(l.raised) {
		return l.lesser
	}
	return l.floor
}

// HasCapacity tells whether the endpoint has credit for this much more.
func (b *Borrower) HasCapacity(now time.Time, endpoint string, slots, tokens int) bool {
	l := b.lines[endpoint]
	return l != nil && l.fits(now, slots, tokens)
}

func (l *line) fits(now time.Time, slots, tokens int) bool {
	limit := l.limit(now)
	if !l.used || l.held.Slots+slots > limit.Slots {
		return false
	}
	return l.Tokens == 0 || l.held.Tokens+tokens <= limit.Tokens
}

// Acquire counts request id against the endpoint's credit. It returns false
// without effect when there is no room or the id is in use.
func (b *Borrower) Acquire(now time.Time, id uint64, endpoint string, tokens int) bool {
	l := b.lines[endpoint]
	if l == nil || b.requests[id] != nil || !l.fits(now, 1, tokens) {
		return false
	}
	l.held = l.held.plus(Credit{Slots: 1, Tokens: tokens})
	b.requests[id] = &request{line: l, tokens: tokens}
	return true
}

// IncreaseTokens raises request id to tokens when its answer outgrew the estimate.
// Nothing in flight is cut; there is less room until it ends.
func (b *Borrower) IncreaseTokens(_ time.Time, id uint64, tokens int) {
	r := b.requests[id]
	if r == nil || tokens <= r.tokens {
		return
	}
	r.line.held.Tokens += tokens - r.tokens
	r.tokens = tokens
}

// Release ends request id's use.
func (b *Borrower) Release(_ time.Time, id uint64) {
	r := b.requests[id]
	if r == nil {
		return
	}
	delete(b.requests, id)
	r.line.held = r.line.held.minus(Credit{Slots: 1, Tokens: r.tokens})
}
