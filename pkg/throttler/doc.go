// Package throttler decides when instances may send requests to endpoints that state a
// limit: the number of requests a second that an endpoint takes from all instances
// together, for as long as its answers say so.
//
// Each limited endpoint has a home among the live instances, chosen by rendezvous hashing.
// The home lends permits, each for one request, at the rate of the limit; the others get
// one from it before they send. So a limit below one request for each instance is kept, and
// whichever instance has requests gets its permits. While higher tiers
// demand more than the limit, lower tiers get only the permits that these leave. An
// instance that is denied or gets no reply does not use the endpoint for a while.
//
// Limits spread between instances as statements with their age. A limit ends when an
// endpoint answers without one a request that was sent after its last statement.
//
// Two homes at once could lend twice the limit. An instance that becomes a home therefore
// lends nothing until the others have had time to notice.
//
// Inputs are the endpoints' answers, the statements of peers, the live instances and
// their requests for permits, each with the time. A Throttler has a record for each endpoint that
// stated a limit and is still registered. It is not safe for concurrent use.
package throttler
