// Package prober decides whether an instance is cut off from all endpoints of a service, although
// other instances may reach them.
//
// Only new connections count: those that are open may live on while new ones fail, and an
// endpoint that is silent for a while still accepts them. After a connection could not be
// opened, or an endpoint was silent, the instance probes a few other endpoints of the service. If one of them
// accepts a connection, the endpoint was the cause. If none does in two rounds of probes, the
// instance is cut off, until one accepts a connection again.
//
// A Prober does no input or output and has no clock. It is not safe for concurrent use.
package prober
