// Package reviser compiles the operators' resources into numbered configuration
// revisions and decides which revision is in force.
//
// Compile turns resources into a Revision: a number and immutable parts, each
// named by the hash of its contents. The head is the small stored object that
// names the newest revision and its parts. A Publisher is the state machine of
// the lease holder: it writes the parts, then the head by a conditional update,
// then the status of each resource. An Applier is the state machine of every
// instance: it collects the parts of a head from the store or from peers and
// applies the revision if its number is higher than the number in force.
//
// Both state machines take events with the time at which they happened and return
// actions for the caller to carry out. The package reads no clock, starts no
// goroutine and does no I/O. None of its types is safe for concurrent use.
//
// Bounds: a part holds at most MaxPartBytes bytes, and a head names at most
// MaxParts parts. An Applier holds the revision in force and at most
// MaxPendingHeads newer heads; if there are more, it drops those with the lowest
// numbers. A Publisher holds the stored revision, the one that this instance has
// applied, the one being written, and the last status of each resource.
//
// Failures: while the store is unreachable, the revision in force stays in force
// and instances fetch it from each other. An Applier never applies a lower number.
package reviser
