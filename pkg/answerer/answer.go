package answerer

import (
	"net/http"
	"time"
)

// Outcome says what is known about a request that got no complete answer.
type Outcome int

// The outcomes.
const (
	// NotRun is proved: the request was never handed over, or the endpoint
	// confirmed that it never started.
	NotRun Outcome = iota
	// Unknown means that the request may have run.
	Unknown
	// Partial means that the caller holds a prefix of the answer.
	Partial
)

// String returns the outcome as callers see it.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Partial:
		return "partial"
	default:
		return "unknown"
	}
}

// Answer is what a caller is told for a kind.
type Answer struct {
	// Name is the kind's one-word name.
	Name string
	// Status is the HTTP status code.
	Status int
	// Outcome is what is known about the request.
	Outcome Outcome
	// RetryAfter is the least time before the caller should ask again; zero
	// means that asking again does not help or must not be done blindly.
	RetryAfter time.Duration
	// Counter is the name of the metric that counts this answer.
	Counter string
}

const (
	shortWait = 1 * time.Second
	longWait  = 5 * time.Second
	poisoned  = 60 * time.Second
)

// answers is the table from kind to answer. It is an array so that a kind
// without a row shows up as an empty name in the table's test.
var answers = [kindCount]Answer{
	KindMalformed:         row("malformed", http.StatusBadRequest, NotRun, 0),
	KindTooLarge:          row("too-large", http.StatusRequestEntityTooLarge, NotRun, 0),
	KindUnauthorized:      row("unauthorized", http.StatusUnauthorized, NotRun, 0),
	KindForbidden:         row("forbidden", http.StatusForbidden, NotRun, 0),
	KindNotFound:          row("not-found", http.StatusNotFound, NotRun, 0),
	KindQueueFull:         row("queue-full", http.StatusTooManyRequests, NotRun, shortWait),
	KindEvicted:           row("evicted", http.StatusTooManyRequests, NotRun, longWait),
	KindExpired:           row("expired", http.StatusServiceUnavailable, NotRun, longWait),
	KindHopeless:          row("hopeless", http.StatusTooManyRequests, NotRun, longWait),
	KindLimited:           row("limited", http.StatusTooManyRequests, NotRun, shortWait),
	KindNoEndpoint:        row("no-endpoint", http.StatusServiceUnavailable, NotRun, longWait),
	KindQuarantined:       row("quarantined", http.StatusUnprocessableEntity, NotRun, poisoned),
	KindStopping:          row("stopping", http.StatusServiceUnavailable, NotRun, shortWait),
	KindStoreDown:         row("store-down", http.StatusServiceUnavailable, NotRun, longWait),
	KindKeyExpired:        row("key-expired", http.StatusConflict, Unknown, 0),
	KindKeyReused:         row("key-reused", http.StatusUnprocessableEntity, NotRun, 0),
	KindRefusedByEndpoint: row("refused", http.StatusServiceUnavailable, NotRun, shortWait),
	KindRetryBudget:       row("retry-budget", http.StatusServiceUnavailable, NotRun, longWait),
	KindInProgress:        row("in-progress", http.StatusConflict, Unknown, shortWait),
	KindUncertain:         row("uncertain", http.StatusBadGateway, Unknown, 0),
	KindEndpointLost:      row("endpoint-lost", http.StatusBadGateway, Unknown, shortWait),
	KindTruncated:         row("truncated", http.StatusBadGateway, Partial, shortWait),
	KindTimeout:           row("timeout", http.StatusGatewayTimeout, Unknown, 0),
	KindCanceled:          row("canceled", statusClientClosed, Unknown, 0),
	KindNoConfiguration:   row("no-configuration", http.StatusServiceUnavailable, NotRun, shortWait),
	KindHeldBack:          row("held-back", http.StatusServiceUnavailable, NotRun, poisoned),
	KindInternal:          row("internal", http.StatusInternalServerError, Unknown, 0),
}

// statusClientClosed is the customary status for a caller that went away; it
// is only ever logged.
const statusClientClosed = 499

func row(name string, status int, outcome Outcome, retryAfter time.Duration) Answer {
	return Answer{
		Name:       name,
		Status:     status,
		Outcome:    outcome,
		RetryAfter: retryAfter,
		Counter:    "refusals." + name,
	}
}

// Lookup returns the answer for a kind; a kind outside the list is answered
// as KindInternal.
func Lookup(kind Kind) Answer {
	if kind < 0 || kind >= kindCount {
		return answers[KindInternal]
	}

	return answers[kind]
}
