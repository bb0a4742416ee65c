// Package tracker decides which instances are live, leaving or suspect and which
// have gone. It combines the platform's list of instances, which may be out of
// date, with the exchanges between instances.
//
// A Tracker takes in the list, successful and missed exchanges with peers, the
// peers' reports about other members, and the time by this instance's clock. It
// returns the members and a version that grows when they change. Reports hold
// ages, not times, so that the clocks of instances need not agree.
//
// A member never becomes suspect because of a single missed exchange. Nor does it
// because of missed exchanges with this instance alone, while a peer reports a
// recent exchange with it: then only the network path between the two is broken.
// A member that is no longer on the list stays while exchanges with it succeed.
// An empty list, or a store that does not answer, changes nothing. This instance
// is always a member, so that a data centre or region that is cut off keeps serving.
//
// At most MaxMembers other instances are kept; further ones are ignored. A
// Tracker is not safe for concurrent use.
package tracker
