package answerer

import "time"

// Outcome says whether a request that ended with an error may have run.
type Outcome int

// The outcomes of a request that ended with an error.
const (
	// NotRun means that the request provably did not run: it was never sent
	// to an endpoint, or the endpoint confirmed that it never started it.
	NotRun Outcome = iota
	// Unknown means that the request may have run.
	Unknown
	// Partial means that the caller has received the beginning of the answer
	// but not its end.
	Partial
)

// String returns the outcome as it is sent to callers.
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

// Answer is the response that a caller gets for an error kind.
type Answer struct {
	// Name is the name of the kind in responses, logs and metrics, without
	// spaces, such as "queue-full".
	Name string
	// Status is the HTTP status code.
	Status int
	// Outcome says whether the request may have run.
	Outcome Outcome
	// RetryAfter is the minimum time before the caller should retry. Zero
	// means that a retry does not help, or that the caller must first find
	// out whether the request ran.
	RetryAfter time.Duration
	// Counter is the name of the metric that counts the answers of this kind.
	Counter string
}

// Minimum times before a retry: after a condition that passes quickly, after one
// that lasts longer, and for a request that crashed endpoints.
const (
	shortRetryDelay  = 1 * time.Second
	longRetryDelay   = 5 * time.Second
	poisonRetryDelay = 60 * time.Second
)

// HTTP status codes, repeated here so that this package does not import
// net/http.
const (
	statusBadRequest      = 400
	statusUnauthorized    = 401
	statusForbidden       = 403
	statusNotFound        = 404
	statusRequestTimeout  = 408
	statusConflict        = 409
	statusTooLarge        = 413
	statusUnprocessable   = 422
	statusTooManyRequests = 429
	statusInternalError   = 500
	statusBadGateway      = 502
	statusUnavailable     = 503
	statusGatewayTimeout  = 504
)

// answersByKind is indexed by kind. It is an array, so that a kind without an
// entry has an empty name, which the package's test detects.
var answersByKind = [kindCount]Answer{
	KindMalformed:         newAnswer("malformed", statusBadRequest, NotRun, 0),
	KindTooLarge:          newAnswer("too-large", statusTooLarge, NotRun, 0),
	KindUnauthorized:      newAnswer("unauthorized", statusUnauthorized, NotRun, 0),
	KindForbidden:         newAnswer("forbidden", statusForbidden, NotRun, 0),
	KindNotFound:          newAnswer("not-found", statusNotFound, NotRun, 0),
	KindQueueFull:         newAnswer("queue-full", statusTooManyRequests, NotRun, shortRetryDelay),
	KindEvicted:           newAnswer("evicted", statusTooManyRequests, NotRun, longRetryDelay),
	KindExpired:           newAnswer("expired", statusUnavailable, NotRun, longRetryDelay),
	KindHopeless:          newAnswer("hopeless", statusTooManyRequests, NotRun, longRetryDelay),
	KindLimited:           newAnswer("limited", statusTooManyRequests, NotRun, shortRetryDelay),
	KindNoEndpoint:        newAnswer("no-endpoint", statusUnavailable, NotRun, longRetryDelay),
	KindEndpointsLimited:  newAnswer("endpoints-limited", statusUnavailable, NotRun, shortRetryDelay),
	KindQuarantined:       newAnswer("quarantined", statusUnprocessable, NotRun, poisonRetryDelay),
	KindStopping:          newAnswer("stopping", statusUnavailable, NotRun, shortRetryDelay),
	KindStoreDown:         newAnswer("store-down", statusUnavailable, NotRun, longRetryDelay),
	KindKeyExpired:        newAnswer("key-expired", statusConflict, Unknown, 0),
	KindKeyReused:         newAnswer("key-reused", statusUnprocessable, NotRun, 0),
	KindRefusedByEndpoint: newAnswer("refused", statusUnavailable, NotRun, shortRetryDelay),
	KindRetryBudget:       newAnswer("retry-budget", statusUnavailable, NotRun, longRetryDelay),
	KindInProgress:        newAnswer("in-progress", statusConflict, Unknown, shortRetryDelay),
	KindUncertain:         newAnswer("uncertain", statusBadGateway, Unknown, 0),
	KindEndpointLost:      newAnswer("endpoint-lost", statusBadGateway, Unknown, shortRetryDelay),
	KindTruncated:         newAnswer("truncated", statusBadGateway, Partial, shortRetryDelay),
	KindTimeout:           newAnswer("timeout", statusGatewayTimeout, Unknown, 0),
	KindCanceled:          newAnswer("canceled", statusClientClosed, Unknown, 0),
	KindNoConfiguration:   newAnswer("no-configuration", statusUnavailable, NotRun, shortRetryDelay),
	KindHeldBack:          newAnswer("held-back", statusUnavailable, NotRun, poisonRetryDelay),
	KindUnknownVersion:    newAnswer("unknown-version", statusUnavailable, NotRun, shortRetryDelay),
	KindLostVersion:       newAnswer("lost-version", statusUnavailable, NotRun, 0),
	KindUnreachable:       newAnswer("unreachable", statusUnavailable, NotRun, shortRetryDelay),
	KindSlowBody:          newAnswer("slow-body", statusRequestTimeout, NotRun, 0),
	KindNoMemory:          newAnswer("no-memory", statusUnavailable, NotRun, shortRetryDelay),
	KindInternal:          newAnswer("internal", statusInternalError, Unknown, 0),
}

// statusClientClosed is the customary status code for a client that closed the
// connection. It is only logged, since nobody is left to receive it.
const statusClientClosed = 499

// newAnswer returns an answer with the counter name that belongs to the kind's name.
func newAnswer(name string, status int, outcome Outcome, retryAfter time.Duration) Answer {
	return Answer{
		Name:       name,
		Status:     status,
		Outcome:    outcome,
		RetryAfter: retryAfter,
		Counter:    "refusals." + name,
	}
}

// Lookup returns the answer for a kind. For a value that is not a kind it returns
// the answer for KindInternal.
func Lookup(kind Kind) Answer {
	if kind < 0 || kind >= kindCount {
		return answersByKind[KindInternal]
	}

	return answersByKind[kind]
}
