// Package placer decides which endpoint of a service runs a request, by what
// the request would meet there and what it would do to those that run there.
//
// Model engines read prompts in chunks between the tokens of the streams that
// they run, so that a long prompt makes the streams beside it pause. The placer
// therefore keeps two groups of a service's engines, one for short prompts and
// one for long ones, whose border follows the demand. Long prompts that begin
// alike go to the same engine, which has the shared part in its cache, while
// the predicted time to the first token allows it. Short ones go where least
// runs. Plain services take the endpoint with the fewest requests for its
// slots, the own data centre first.
//
// Inputs are the registered endpoints, the own requests (exact), what other
// instances tell of theirs, and how requests ended. The same inputs give the
// same choices: ranks come from hashes of names, so that instances that know
// the same choose alike without asking each other.
//
// State is bounded: one record for an endpoint, one for an own request in
// flight, and a bounded number of cached parts for each engine. A Placer is not
// safe for concurrent use.
package placer
