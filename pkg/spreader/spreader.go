// Package spreader decides how instances spread what they know of their loads at
// endpoints: how many peers an instance contacts in a round, which messages carry
// loads, and which peers get a load update at once.
//
// The decisions depend only on the size of the fleet, so that all instances make the
// same ones. An instance spends about as much on them in a large fleet as in a small
// one.
package spreader

// Fanout limits the number of peers that an instance contacts in a round: Min in a small
// fleet and Max in the largest one.
type Fanout struct {
	Min, Max int
}

const (
	// fanoutDivisor sets the number of peers contacted in a round, between the two
	// limits: the number of known peers divided by it.
	fanoutDivisor = 6
	// loadIntervalDivisor sets which messages to a peer carry loads: every n-th, n
	// being the number of known peers divided by it, but at least 1. In a larger
	// fleet each instance causes a smaller part of an endpoint's load, and sends its
	// loads less often in proportion to keep the bytes sent constant.
	loadIntervalDivisor = 12
	// maxUpdatePeers is the number of live peers above which no load updates are sent.
	// In a larger fleet each instance causes a smaller part of an engine's load, while
	// the cost of updates for each instance grows with the number of instances.
	maxUpdatePeers = 12
)

// PeersPerRound returns the number of peers to contact in a round, of so many known ones.
func (f Fanout) PeersPerRound(peerCount int) int {
	return min(f.Max, max(f.Min, peerCount/fanoutDivisor))
}

// CarriesLoads reports whether the n-th message to a peer, counted from 0, carries loads.
func CarriesLoads(peerCount, n int) bool {
	return n%max(1, peerCount/loadIntervalDivisor) == 0
}

// SendsUpdates reports whether changes of the load are sent to the peers at once.
func SendsUpdates(peerCount int) bool {
	return peerCount <= maxUpdatePeers
}
