// Package spreader decides how instances spread what they know of their loads at
// endpoints: how many peers an instance contacts in a round, which messages carry
// loads, and which peers get a load update at once.
//
// A small fleet is undivided: each instance tells all others. A larger one is divided
// by data centre: an instance shares its loads with the peers of its own data centre,
// and places requests there first. Peers elsewhere get a summary of the data centre's
// loads. So each instance knows the loads that it decides by, and the number of messages
// that it spends on that does not grow with the fleet.
//
// The decisions depend only on the number of peers, so that all instances make the same
// ones.
package spreader

// Fleet is what an instance knows of its peers. The zero value is an instance without
// peers.
type Fleet struct {
	// Peers is the number of live peers. LocalPeers is the number of those in the
	// instance's own data centre.
	Peers, LocalPeers int
}

// Fanout limits the number of peers that an instance contacts in a round: Min in a small
// fleet and Max in the largest one.
type Fanout struct {
	Min, Max int
}

const (
	// maxUndividedPeers is the number of peers above which a fleet is divided.
	maxUndividedPeers = 12
	// fanoutDivisor sets the number of peers contacted in a round, between the two
	// limits: the number of known peers divided by it.
	fanoutDivisor = 6
	// summaryInterval sets which messages to other data centres of a divided fleet
	// carry a summary of the loads: every n-th.
	summaryInterval = 2
)

// IsDivided reports whether the fleet is divided by data centre.
func (f Fleet) IsDivided() bool {
	return f.Peers > maxUndividedPeers
}

// PeersPerRound returns the number of peers to contact in a round, and how many of them
// should be in the own data centre. That is zero if it makes no difference.
func (f Fleet) PeersPerRound(fanout Fanout) (peers, localPeers int) {
	peers = min(fanout.Max, max(fanout.Min, f.Peers/fanoutDivisor))
	if f.IsDivided() {
		localPeers = (peers + 1) / 2
	}

	return peers, localPeers
}

// SelectPeers returns the peers to contact in a round, of those that are due, which are
// ordered by urgency: as many as PeersPerRound says, if so many are due.
func SelectPeers[P any](fleet Fleet, fanout Fanout, due []P, isLocal func(P) bool) []P {
	count, localCount := fleet.PeersPerRound(fanout)
	selected := make([]P, 0, count)
	var others []P
	for _, peer := range due {
		if len(selected) < localCount && isLocal(peer) {
			selected = append(selected, peer)
		} else {
			others = append(others, peer)
		}
	}

	return append(selected, others[:min(count-len(selected), len(others))]...)
}

// RoundsBetweenExchanges returns the usual number of rounds between two exchanges with the
// same peer, if the peers contact each other equally often; at least 1.
func (f Fleet) RoundsBetweenExchanges(fanout Fanout, isLocal bool) int {
	peers := f.Peers
	contacts, localContacts := f.PeersPerRound(fanout)
	switch {
	case !f.IsDivided():
	case isLocal:
		peers, contacts = f.LocalPeers, localContacts
	default:
		peers, contacts = f.Peers-f.LocalPeers, contacts-localContacts
	}

	return max(1, peers/max(1, 2*contacts))
}

// CarriesLoads reports whether the n-th message to a peer, counted from 0, carries loads.
func (f Fleet) CarriesLoads(isLocal bool, n int) bool {
	return f.SharesEngines(isLocal) || n%summaryInterval == 0
}

// SharesEngines reports whether the instance and a peer place requests on the same engines
// in the first place. Such a peer gets changes of the load at once, and messages with
// demands.
func (f Fleet) SharesEngines(isLocal bool) bool {
	return isLocal || !f.IsDivided()
}
