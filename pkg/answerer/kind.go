package answerer

// Kind says why a request got no complete answer. The list is closed: every
// answer that is not complete carries exactly one of these.
type Kind int

// The error kinds.
const (
	// KindMalformed is a request that cannot be read: broken or too large
	// JSON, too large headers, a bad path.
	KindMalformed Kind = iota
	// KindTooLarge is a body over the size limit.
	KindTooLarge
	// KindUnauthorized is a missing or unknown bearer token.
	KindUnauthorized
	// KindForbidden is a class that the workspace may not use.
	KindForbidden
	// KindNotFound is an unknown model, service or path.
	KindNotFound
	// KindQueueFull is a request refused because its tier's share of the
	// queue is full.
	KindQueueFull
	// KindEvicted is a waiting request that gave its place to a higher tier.
	KindEvicted
	// KindExpired is a waiting request whose deadline passed before it was
	// handed to an endpoint.
	KindExpired
	// KindHopeless is a request refused on arrival because it cannot be
	// served before its deadline.
	KindHopeless
	// KindLimited is a request over its workspace's own limit.
	KindLimited
	// KindNoEndpoint is a request for a service with no endpoint that may
	// take it.
	KindNoEndpoint
	// KindQuarantined is a request whose fingerprint crashed endpoints.
	KindQuarantined
	// KindStopping is a request that reached an instance that is stopping.
	KindStopping
	// KindStoreDown is a non-idempotent request refused because its intent
	// cannot be recorded and no earlier try can have run.
	KindStoreDown
	// KindKeyExpired is an idempotency key older than its record may be.
	KindKeyExpired
	// KindKeyReused is an idempotency key used again for another request.
	KindKeyReused
	// KindRefusedByEndpoint is a request that every tried endpoint refused
	// and confirmed never started.
	KindRefusedByEndpoint
	// KindRetryBudget is a request proved not run, whose next try the retry
	// budget does not allow.
	KindRetryBudget
	// KindInProgress is a resend of a non-idempotent call that another try
	// is still running.
	KindInProgress
	// KindUncertain is a request that may have run and whose answer is lost.
	KindUncertain
	// KindEndpointLost is a request whose endpoint failed after it may have
	// started.
	KindEndpointLost
	// KindTruncated is a stream that broke after its first byte went to the
	// caller and that could not be resumed.
	KindTruncated
	// KindTimeout is a request whose deadline passed while it may have run.
	KindTimeout
	// KindCanceled is a request whose caller went away.
	KindCanceled
	// KindInternal is a fault of the router itself.
	KindInternal
	// KindNoConfiguration is a request that reached an instance before it
	// knew a configuration.
	KindNoConfiguration

	// KindHeldBack is a request that crashed endpoints and is not run for a
	// while, told as one that may come back.
	KindHeldBack
	// KindSlowBody is a request whose body did not come in time.
	KindSlowBody

	kindCount
)

// Kinds returns every kind, in order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for kind := range kindCount {
		kinds = append(kinds, kind)
	}

	return kinds
}

// String returns the kind's one-word name as callers see it.
func (k Kind) String() string {
	return Lookup(k).Name
}
