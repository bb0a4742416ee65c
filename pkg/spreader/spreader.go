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
// In a larger fleet an instance contacts a peer of another data centre only now and then. So
// messages also say which instances the sender knows to live, and each instance contacts one peer
// of its data centre in every round, along a tree.
package spreader

import "time"

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
	// maxSummaryAge is the age of the summary of another data centre's loads from which an
	// instance asks for a new one.
	maxSummaryAge = 500 * time.Millisecond
	// remoteRoundInterval sets the rounds of a divided fleet in which instances contact peers of
	// other data centres: every n-th.
	remoteRoundInterval = 2
	// treeWidth is the number of instances that an instance passes data on to, in the tree of a
	// data centre.
	treeWidth = 4
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
		peers, contacts = remoteRoundInterval*(f.Peers-f.LocalPeers), contacts-localContacts
	}

	return max(1, peers/max(1, 2*contacts))
}

// IsLocalRound reports whether instances contact only peers of their data centres, and their
// parents, in the n-th round.
func (f Fleet) IsLocalRound(n int) bool {
	return f.IsDivided() && n%remoteRoundInterval != 0
}

// CarriesLoads reports whether messages to a peer and its replies carry loads, given the age of
// what the instance knows of the loads in the peer's data centre. Instances that share engines
// always tell their loads. A summary of a data centre is large, so it is sent on request.
func (f Fleet) CarriesLoads(isLocal bool, summaryAge time.Duration) bool {
	return f.SharesEngines(isLocal) || summaryAge >= maxSummaryAge
}

// Parent returns the index of the member that a member of a data centre contacts in each round,
// both in the order of the members' names, so that what the first one knows reaches all within
// few rounds. The first one has none.
func Parent(index int) (parent int, ok bool) {
	return (index - 1) / treeWidth, index > 0
}

// SharesEngines reports whether the instance and a peer place requests on the same engines
// in the first place. Such a peer gets changes of the load at once, and messages with
// demands.
func (f Fleet) SharesEngines(isLocal bool) bool {
	return isLocal || !f.IsDivided()
}
