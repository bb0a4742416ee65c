// Package placer chooses the endpoint of a service that runs a request. It weighs
// the load at each endpoint and what the request would cost the requests that
// already run there.
//
// Model engines prefill prompts in chunks between the decoding steps of their
// running streams, so a long prompt makes the streams on the same engine pause. The
// placer therefore splits a service's engines into a short group, for short
// prompts, and a long group, for long prompts. The split follows the demand. Long
// prompts that begin with the same blocks form a prefix group and go to the same
// engine, which has those blocks in its cache, as long as the predicted time to the
// first token allows it. Short prompts go to the least busy engine. Requests to
// plain services go to the endpoint with the fewest requests for its slots, with a
// preference for this instance's data centre.
//
// In a fleet that is divided by data centre, an instance learns the loads at engines
// elsewhere late. Short prompts then stay in the own data centre while its engines are
// in time, and prefix groups are spread over the engines of all data centres.
//
// The inputs are the registered endpoints, this instance's own requests (exact
// counts), the loads that peers report, and the results of earlier requests. Equal
// inputs give equal choices: endpoints are ranked by hashes of their names, so
// instances with the same information agree without asking each other.
//
// State is bounded: one record per endpoint, one per local request in flight, and a
// limited number of cached blocks per engine. A Placer is not safe for concurrent
// use.
package placer
