// Package simulator simulates a fleet of router instances that place requests on
// modelled engines, in virtual time and without network or goroutines.
//
// It compares placement policies on the same arrivals: the placer as the router
// uses it, naive baselines, and an oracle that knows every engine's exact state
// and so shows what better knowledge could gain. A scenario of half a minute runs
// in well under a second. The same scenario, policy and seed give the same outcome.
//
// The engines batch continuously: each step prefills a chunk of the prompt at the
// head of the queue and generates a token for each running stream, so that long
// prompts delay the streams beside them. Memory limits are not modelled: an engine
// loses its cached prompt blocks only when it crashes.
package simulator
