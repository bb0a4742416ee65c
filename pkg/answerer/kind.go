package answerer

// Kind says why a request got no complete answer. The list is closed: every
// answer that is not complete has exactly one kind of it.
type Kind int

// The error kinds.
const (
	// KindMalformed is a request that cannot be parsed: invalid or too large
	// JSON, headers that are invalid or too large, an invalid path.
	KindMalformed Kind = iota
	// KindTooLarge is a request whose body exceeds the size limit.
	KindTooLarge
	// KindUnauthorized is a request whose bearer token is missing or unknown.
	KindUnauthorized
	// KindForbidden is a request for a class that the workspace may not use.
	KindForbidden
	// KindNotFound is a request for an unknown model, service or path.
	KindNotFound
	// KindQueueFull is a request refused because its tier's share of the
	// queue is full.
	KindQueueFull
	// KindEvicted is a waiting request that was removed from the queue in favour
	// of one of a higher tier.
	KindEvicted
	// KindExpired is a waiting request whose deadline passed before it was
	// sent to an endpoint.
	KindExpired
	// KindHopeless is a request refused on arrival because it could not be
	// served in time.
	KindHopeless
	// KindLimited is a request that exceeds a limit of its workspace or of the
	// journal of non-idempotent calls.
	KindLimited
	// KindNoEndpoint is a request for a service that has no endpoint able to
	// take it.
	KindNoEndpoint
	// KindEndpointsLimited is a request for a service all of whose endpoints have
	// stated limits that are used up.
	KindEndpointsLimited
	// KindQuarantined is a request that is refused because requests with the
	// same fingerprint crashed endpoints.
	KindQuarantined
	// KindStopping is a request to an instance that is shutting down.
	KindStopping
	// KindStoreDown is a request refused because it needs the store, which
	// did not answer: a non-idempotent call that could not be recorded and
	// has no earlier attempt that may have run, or a request whose
	// configuration could not be confirmed.
	KindStoreDown
	// KindKeyExpired is a call whose idempotency key is older than the records
	// that are kept of keys, or of unknown age.
	KindKeyExpired
	// KindKeyReused is a call whose idempotency key belongs to another
	// request.
	KindKeyReused
	// KindRefusedByEndpoint is a request that every attempted endpoint refused,
	// with the confirmation that it never started the request.
	KindRefusedByEndpoint
	// KindRetryBudget is a request that provably did not run and whose next
	// attempt the retry budget does not allow.
	KindRetryBudget
	// KindInProgress is a repeated non-idempotent call while an earlier attempt
	// of it is still running.
	KindInProgress
	// KindUncertain is a request that may have run and whose answer is lost.
	KindUncertain
	// KindEndpointLost is a request whose endpoint failed after the request may
	// have started.
	KindEndpointLost
	// KindTruncated is an answer that was cut off after its first byte was sent
	// to the caller and that could not be resumed.
	KindTruncated
	// KindTimeout is a request whose deadline passed after it may have started.
	KindTimeout
	// KindCanceled is a request whose caller went away, for example by closing
	// its connection.
	KindCanceled
	// KindInternal is an internal error of the router.
	KindInternal
	// KindNoConfiguration is a request to an instance that has not loaded a
	// configuration yet.
	KindNoConfiguration

	// KindHeldBack is a request that crashed endpoints and is not run for a
	// while. Unlike KindQuarantined, its HTTP status allows a later retry.
	KindHeldBack
	// KindUnknownVersion is a stream that the caller takes up although it is not known yet
	// which version of the endpoints' software began it.
	KindUnknownVersion
	// KindLostVersion is a stream that the caller takes up although no instance will know which
	// version of the endpoints' software began it. The caller has to begin anew.
	KindLostVersion
	// KindUnreachable is a request that a peer passed on to an instance that reaches no
	// endpoint either.
	KindUnreachable
	// KindSlowBody is a request whose body did not arrive in time.
	KindSlowBody
	// KindNoMemory is a request whose body the instance has no memory for.
	KindNoMemory

	// kindCount is the number of kinds.
	kindCount
)

// Kinds returns all kinds in the order of their declaration.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for kind := range kindCount {
		kinds = append(kinds, kind)
	}

	return kinds
}

// String returns the name of the kind as it is sent to callers, such as
// "queue-full".
func (k Kind) String() string {
	return Lookup(k).Name
}
