// Package leaser decides when an instance holds a lease that is stored as one
// object of the platform's object API, and under which fencing token.
//
// Its inputs are the results of reads and writes, each with the time on this
// instance's monotonic clock; its outputs are reads and conditional writes. It
// never compares clocks of two machines: a holder counts the lease's duration
// from the time before it sent the write, and every other instance counts it
// from the time it first saw the stored version. The holder's lease therefore
// ends before another instance can acquire it, however far the clocks are
// apart, as long as their rates differ by less than one part in
// DriftMarginDivisor.
//
// The fencing token grows by one whenever the lease is acquired and never
// decreases, not even after a release. State is bounded: one lease and at most
// MaxPendingWrites writes whose result is not known.
//
// While the store is unreachable no instance can acquire the lease, and the
// holder stops acting when its lease expires. A Leaser is not safe for
// concurrent use.
package leaser
