// Package sharer decides which requests for engines are admitted while callers compete for too
// little capacity, and when a refused one should come back.
//
// Load pattern: one workspace at several times its usual rate, callers that retry at once or leave
// before they are answered, bursts of long prompts, and engines that are lost in the middle, seen by
// many instances that learn of each other's requests late. Engines queue what they cannot run, so
// that without admission control every request of a burst is answered late.
//
// Requests of a service and a tier form a lane. A request is admitted while places are free. It is
// refused if its first token is expected too late. In between, while a queue stands at the engines,
// each workspace gets its weighted max-min fair share of the lane's capacity: the rate at which all
// instances send work to the engines now, raised while the queue is short and lowered while it is
// long, less what higher tiers want. An instance spends the part of a workspace's share that
// corresponds to its part of the workspace's demand. Instances tell each other demand and service
// by claims, and only while a lane is short.
//
// A Sharer has no clock; callers pass the time. It is not safe for concurrent use.
package sharer
