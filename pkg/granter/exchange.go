package granter

import (
	"slices"
	"time"
)

// Homes returns the homes of the endpoints used, sorted.
func (b *Borrower) Homes() []string { return slices.Clone(b.homes) }

// DueHomes returns the homes to ask now, sorted: each at the interval, and sooner
// when there is no credit yet or requests begin to wait for lack of it.
func (b *Borrower) DueHomes(now time.Time) []string {
	var due []string
	for _, home := range b.homes {
		t := b.talks[home]
		if t == nil || now.Sub(t.asked) >= b.pause(now, home, t) {
			due = append(due, home)
		}
	}
	return due
}

func (b *Borrower) pause(now time.Time, home string, t *talk) time.Duration {
	if b.starved(now, home) {
		return t.pause
	}
	return b.settings.RequestInterval
}

func (b *Borrower) starved(now time.Time, home string) bool {
	return slices.ContainsFunc(b.order, func(l *line) bool { return l.home == home && l.starved(now) })
}

// starved tells whether there is no credit, or requests wait and there is no
// room for one of them.
func (l *line) starved(now time.Time) bool {
	if l.used && (l.credit.Slots == 0 || !now.Before(l.expires)) {
		return true
	}
	var waiting Credit
	for _, tier := range l.waiting {
		waiting = waiting.plus(tier)
	}
	return waiting.Slots > 0 && !l.fits(now, 1, waiting.Tokens/waiting.Slots)
}

// CreateCreditRequests returns what to ask a home for now.
func (b *Borrower) CreateCreditRequests(now time.Time, home string) []CreditRequest {
	b.talk(now, home)
	var wants []CreditRequest
	for _, l := range b.order {
		if l.home != home {
			continue
		}
		want := CreditRequest{Endpoint: l.Name, InUse: l.held, Waiting: l.waiting, GrantEpoch: l.epoch, RequestedAt: now}
		if now.Before(l.expires) {
			want.UnexpiredCredit = l.credit
		}
		wants = append(wants, want)
	}
	return wants
}

// talk records that the home is asked now. While requests go on to wait, the
// pauses double up to the interval: a home with nothing to lend is not asked
// often.
func (b *Borrower) talk(now time.Time, home string) {
	t := b.talks[home]
	if t == nil {
		t = &talk{pause: b.settings.Urgent}
		b.talks[home] = t
	}
	if b.starved(now, home) {
		t.pause = min(2*t.pause, b.settings.RequestInterval)
	} else {
		t.pause = b.settings.Urgent
	}
	t.asked = now
}

// ReceiveGrants takes in a home's answer. Grants count from when they were asked
// for, so a late or repeated one lasts no longer than its home believes.
func (b *Borrower) ReceiveGrants(now time.Time, home string, grants []Grant) {
	for _, grant := range grants {
		l := b.lines[grant.Endpoint]
		if l == nil || l.home != home {
			continue
		}
		l.grant(now, grant)
	}
}

func (l *line) grant(now time.Time, grant Grant) {
	expires := grant.RequestedAt.Add(grant.TTL)
	if grant.RequestedAt.Before(l.since) || !now.Before(expires) || !l.newer(grant) {
		return
	}
	l.credit, l.expires = grant.Credit, expires
	l.epoch, l.asked = grant.Epoch, grant.RequestedAt
}

// newer tells whether the grant replaces the last one. A restarted home may
// count its epochs from a lower number, so the time asked goes first.
func (l *line) newer(grant Grant) bool {
	if grant.RequestedAt.Equal(l.asked) {
		return grant.Epoch > l.epoch
	}
	return grant.RequestedAt.After(l.asked)
}

// RecordUnreachable records that a home did not answer. It is asked again at the
// interval; its credits last until they expire, then the floors hold.
func (b *Borrower) RecordUnreachable(now time.Time, home string) {
	if t := b.talks[home]; t != nil {
		t.asked = now
	}
}

// EndpointStatus is an endpoint's credit and its use here, for status and metrics.
type EndpointStatus struct {
	Endpoint string
	Home     string
	Limit    Credit
	Held     Credit
	Fallback bool // on the floor, without credit
}

// EndpointStatuses returns the endpoints in use or in the subset, sorted by name.
func (b *Borrower) EndpointStatuses(now time.Time) []EndpointStatus {
	lines := make([]EndpointStatus, 0, len(b.order))
	for _, l := range b.order {
		lines = append(lines, EndpointStatus{
			Endpoint: l.Name,
			Home:     l.home,
			Limit:    l.limit(now),
			Held:     l.held,
			Fallback: !now.Before(l.expires),
		})
	}
	return lines
}
