// Package pinner keeps which software version of a service began each stream, so that a
// stream goes on only at that version, whichever instance its caller reaches next.
//
// An instance pins a stream before it forwards the first event, and sends the pin to other
// instances at once: to all in a small fleet, and to a few that are chosen by rendezvous
// hashing in a larger one. A pin does not change. It expires when the caller no longer waits
// for the stream. A stream without a pin has an unknown version and cannot go on.
//
// A Pinner does no input or output and has no clock. It is not safe for concurrent use.
package pinner
