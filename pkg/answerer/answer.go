package answerer

import "time"

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

// HTTP status codes, by number so that this package needs no server.
const (
	badRequest     = 400
	unauthorized   = 401
	forbidden      = 403
	notFound       = 404
	requestTimeout = 408
	conflict       = 409
	tooLarge       = 413
	unprocessable  = 422
	tooMany        = 429
	internalError  = 500
	badGateway     = 502
	unavailable    = 503
	gatewayTimeout = 504
)

// answers is the table from kind to answer. It is an array so that a kind
// without a row shows up as an empty name in the table's test.
var answers = [kindCount]Answer{
	KindMalformed:         row("malformed", badRequest, NotRun, 0),
	KindTooLarge:          row("too-large", tooLarge, NotRun, 0),
	KindUnauthorized:      row("unauthorized", unauthorized, NotRun, 0),
	KindForbidden:         row("forbidden", forbidden, NotRun, 0),
	KindNotFound:          row("not-found", notFound, NotRun, 0),
	KindQueueFull:         row("queue-full", tooMany, NotRun, shortWait),
	KindEvicted:           row("evicted", tooMany, NotRun, longWait),
	KindExpired:           row("expired", unavailable, NotRun, longWait),
	KindHopeless:          row("hopeless", tooMany, NotRun, longWait),
	KindLimited:           row("limited", tooMany, NotRun, shortWait),
	KindNoEndpoint:        row("no-endpoint", unavailable, NotRun, longWait),
	KindQuarantined:       row("quarantined", unprocessable, NotRun, poisoned),
	KindStopping:          row("stopping", unavailable, NotRun, shortWait),
	KindStoreDown:         row("store-down", unavailable, NotRun, longWait),
	KindKeyExpired:        row("key-expired", conflict, Unknown, 0),
	KindKeyReused:         row("key-reused", unprocessable, NotRun, 0),
	KindRefusedByEndpoint: row("refused", unavailable, NotRun, shortWait),
	KindRetryBudget:       row("retry-budget", unavailable, NotRun, longWait),
	KindInProgress:        row("in-progress", conflict, Unknown, shortWait),
	KindUncertain:         row("uncertain", badGateway, Unknown, 0),
	KindEndpointLost:      row("endpoint-lost", badGateway, Unknown, shortWait),
	KindTruncated:         row("truncated", badGateway, Partial, shortWait),
	KindTimeout:           row("timeout", gatewayTimeout, Unknown, 0),
	KindCanceled:          row("canceled", statusClientClosed, Unknown, 0),
	KindNoConfiguration:   row("no-configuration", unavailable, NotRun, shortWait),
	KindHeldBack:          row("held-back", unavailable, NotRun, poisoned),
	KindSlowBody:          row("slow-body", requestTimeout, NotRun, 0),
	KindInternal:          row("internal", internalError, Unknown, 0),
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
