// Package granter decides how instances share the capacity of endpoints without a
// shared store.
//
// Each endpoint has one home among the live instances, chosen by rendezvous hashing.
// The home lends out the endpoint's capacity as credits, which expire after a short
// time unless they are renewed. A Borrower counts its instance's use against the
// credits that it holds. If the home can't be reached and the credit has expired, the
// borrower falls back to its reserved share, a small static share of the capacity that
// the home never lends to others, so that traffic never stops.
//
// Inputs are the endpoints, the live members and their data centres, the requests that
// run and wait at this instance, and the messages of its peers, which may be lost,
// late, repeated or out of order. Outputs are credit requests, grants and whether an
// endpoint has free capacity. While member lists differ, an endpoint may have two homes
// that both lend its capacity; the design note states for how long.
//
// State is bounded: a Home keeps one record for each borrower of an endpoint, and a
// Borrower keeps one for each endpoint of its subset and each request in flight.
// Neither is safe for concurrent use: one control goroutine owns them.
package granter
