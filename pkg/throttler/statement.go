package throttler

import (
	"cmp"
	"slices"
	"time"
)

// Limit is what an endpoint's answer says of its limit.
type Limit struct {
	// IsStated is false if the answer states no limit. Rate, in requests a second from
	// all instances together, is then ignored.
	IsStated bool
	Rate     float64
}

// Statement is the newest that an instance knows of an endpoint's limit.
type Statement struct {
	Endpoint string
	Limit    Limit
	// MadeAt is when the endpoint's answer came or, if it states no limit, when the
	// request was sent. A statement from a peer seems older than it is, never newer.
	MadeAt time.Time
}

const (
	// maxMessageDelay is how much older than it is a peer's statement may seem.
	maxMessageDelay = 500 * time.Millisecond
	// spreadTime is how long a changed limit comes first in the statements to peers.
	spreadTime = 5 * time.Second
	// maxStatements is the number of statements to a peer at once.
	maxStatements = 64
	// lowestRate is the rate, in requests a second, at which an endpoint gets requests
	// that show whether its limit has ended, even if the limit is lower.
	lowestRate = 0.1
)

// RecordAnswer records what an answer says of its endpoint's limit. The answer's request
// was sent at sentAt.
func (t *Throttler) RecordAnswer(now, sentAt time.Time, endpoint string, limit Limit) {
	r := t.records[endpoint]
	switch {
	case limit.IsStated:
		t.update(now, Statement{Endpoint: endpoint, Limit: limit, MadeAt: now})
	case r != nil && r.limit.IsStated && sentAt.After(r.madeAt):
		t.update(now, Statement{Endpoint: endpoint, MadeAt: sentAt})
	}
}

// ReceiveStatements records the statements of a peer, as far as they are newer than what
// this instance knows.
func (t *Throttler) ReceiveStatements(now time.Time, statements []Statement) {
	for _, s := range statements {
		r := t.records[s.Endpoint]
		switch {
		case r == nil && !s.Limit.IsStated:
		case r != nil && r.limit.IsStated && !s.Limit.IsStated && !s.MadeAt.After(r.madeAt.Add(maxMessageDelay)):
		case r == nil || s.MadeAt.After(r.madeAt):
			t.update(now, s)
		}
	}
}

// update replaces what is known of an endpoint's limit.
func (t *Throttler) update(now time.Time, s Statement) {
	r := t.records[s.Endpoint]
	if r == nil {
		r = &record{home: t.homeOf(s.Endpoint), homeSince: t.membersChangedAt, tokens: 1, refilledAt: now, minBurst: t.settings.MinBurst}
		t.records[s.Endpoint] = r
	}
	if r.limit != s.Limit {
		r.refill(now)
		r.changedAt = now
	}
	r.limit, r.madeAt = s.Limit, s.MadeAt
}

// Statements returns what to tell a peer: the limits that changed lately and some of the
// others, in turn.
func (t *Throttler) Statements(now time.Time) []Statement {
	endpoints := make([]string, 0, len(t.records))
	for endpoint := range t.records {
		endpoints = append(endpoints, endpoint)
	}
	slices.Sort(endpoints)
	if len(endpoints) > maxStatements {
		t.statementOffset = (t.statementOffset + maxStatements/2) % len(endpoints)
		endpoints = slices.Concat(endpoints[t.statementOffset:], endpoints[:t.statementOffset])
		isSettled := func(endpoint string) int {
			if now.Sub(t.records[endpoint].changedAt) > spreadTime {
				return 1
			}

			return 0
		}
		slices.SortStableFunc(endpoints, func(a, b string) int { return cmp.Compare(isSettled(a), isSettled(b)) })
		endpoints = endpoints[:maxStatements]
	}
	statements := make([]Statement, 0, len(endpoints))
	for _, endpoint := range endpoints {
		statements = append(statements, t.records[endpoint].statement(endpoint))
	}

	return statements
}

// Statement returns what this instance knows of an endpoint's limit; false if the endpoint
// never stated one.
func (t *Throttler) Statement(endpoint string) (Statement, bool) {
	r := t.records[endpoint]
	if r == nil {
		return Statement{}, false
	}

	return r.statement(endpoint), true
}

// statement returns what the record of an endpoint says of its limit.
func (r *record) statement(endpoint string) Statement {
	return Statement{Endpoint: endpoint, Limit: r.limit, MadeAt: r.madeAt}
}
