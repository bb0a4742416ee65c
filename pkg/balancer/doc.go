// Package balancer decides which endpoint a request is sent to.
//
// Inputs are the configured endpoints, this instance's requests in flight (exact), load
// reports and cache events (which may be late, repeated or missing), and a function that
// reports whether an endpoint has free capacity. Pick returns one endpoint, or none when
// no eligible endpoint has free capacity.
//
// Endpoints in this instance's data centre are preferred to all others, unless a request
// has to run isolated and only another data centre has an endpoint without local
// requests. Among a few candidates (holders of the prompt's prefix and random samples)
// the one with the earliest estimated finish is chosen. Endpoints that fail, or that are
// much slower than the median of the other endpoints in their group, are ejected up to a
// capped share of the group, and return to service through single probe requests.
//
// State is bounded: one record per configured endpoint and per request in flight, and at
// most Settings.MaxPrefixes prompt prefixes, of which the least recently used are
// evicted first. The same inputs and seed give the same choices. A Balancer is not safe
// for concurrent use: one goroutine owns it.
package balancer
