// Package journaler makes sure that a non-idempotent call runs at most once, across
// several instances, repeated attempts of the caller, crashes, and a store whose
// answers get lost.
//
// It does no input or output itself. Its inputs are calls, answers of the store and
// results of endpoints, each with the time. Its outputs are actions: read or write
// a shard, forward a call to its endpoint, replay a recorded answer, or refuse the
// call. Before a call is forwarded, its intent is written to the store with a
// conditional update. Only the instance whose update took effect forwards the call,
// once, and only within Settings.ForwardTimeout. A shard is one stored object with
// the records of many calls. Intents and outcomes of a shard share writes, and at
// most one store operation per shard is in flight.
//
// The shard of a call is computed from its key and the time of its first attempt,
// which a caller repeats unchanged with each later attempt. Time is divided into
// epochs, and the names of shards repeat after a fixed number of epochs. The epoch
// of a stored shard only grows; when it grows, the records of the older epoch are
// dropped, and a key of an older epoch is refused from then on. That a dropped key
// cannot run again is thus proved by epochs and does not depend on any clock.
//
// Settings.MaxCalls and Settings.MaxCachedShards bound the memory; a call above the
// bound is refused. While the store fails, calls wait for up to
// Settings.ForwardTimeout and are then refused. The refusal says "not run" only if
// the caller states that this is the first attempt or if the intent of this
// instance proves it; else it says that the call may have run.
//
// A Journaler is not safe for concurrent use.
package journaler
