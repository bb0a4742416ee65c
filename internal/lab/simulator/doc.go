// Package simulator plays the requests of heavy days to a fleet of instances
// before modelled engines, in virtual time, without network or goroutines.
//
// It compares ways of placing requests on the same arrivals: the placer as the
// router uses it, naive ways, and one that knows every engine's exact state and
// so shows what better knowledge could gain. A scenario of half a minute takes
// well under a second; the same scenario, way and seed give the same outcome.
//
// The engines batch continuously: a step reads a chunk of the prompt at the head
// of the queue and makes a token for each running stream, so that long prompts
// make the streams beside them pause. Memory is not modelled: caches forget
// nothing but at a crash.
package simulator
