// Package publisher does the configuration work that one instance does on behalf
// of all: it acquires the configuration lease and, while it holds it, reads the
// operators' resources, publishes them as numbered revisions, writes their
// statuses and gives model engines the orders of planned changes.
//
// The decisions are made by the state machines of pkg/leaser, pkg/reviser and
// pkg/orderer. One goroutine owns all three; each call to the store or to an
// engine runs in a goroutine of its own, which passes the result back as an
// event. A call that needs the lease does not start once the lease has ended,
// and is canceled at the end of the lease.
package publisher
