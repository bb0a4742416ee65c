// Package throttler decides when instances may send requests to endpoints that state a
// limit: the number of requests a second that an endpoint takes from all instances
// together, for as long as its answers say so.
//
// Each limited endpoint has a home among the live instances, chosen by rendezvous hashing.
// The home lends permits, each for one request, at the rate of the limit; the others ask
// it before they send. So a limit below one request for each instance is kept, and
// whichever instance has requests gets its permits. While requests of higher tiers ask for
// more than the limit, lower tiers get only the permits that these leave. An instance that
// is denied or gets no answer does not use the endpoint for a while.
//
// Limits spread between instances as statements with their age. A limit ends when an
// endpoint answers without one a request that was sent after its last statement.
//
// Two homes at once could lend twice the limit. An instance that becomes a home therefore
// lends nothing until the others have had time to notice.
//
// Inputs are the endpoints' answers, the statements of peers, the live instances and the
// asks of borrowers, each with the time. A Throttler has a record for each endpoint that
// stated a limit and is still registered. It is not safe for concurrent use.
package throttler
