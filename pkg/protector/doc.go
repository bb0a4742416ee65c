// Package protector decides which requests may go to brittle endpoints: those that fail if all
// instances together make them reject too many requests in a second.
//
// A request needs a permit if the endpoint may have no room for it: its slots are nearly taken, as
// far as is known, or about as many requests run there as when it last rejected one. The permits
// of an endpoint are lent by its home, one of the instances. While the home knows of room, it lends
// them freely, so that no two instances take the same place. Without room it lends them at half of
// the rate at which the endpoint may reject requests, as package throttler does for limits.
//
// For requests of higher tiers there is room up to a higher load than for those of lower ones.
//
// A Protector does no input or output and has no clock. It is not safe for concurrent use.
package protector
