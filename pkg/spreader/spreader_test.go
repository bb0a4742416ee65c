package spreader_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/spreader"
)

// Guards against an instance not hearing from the peers with which it shares engines, and
// against a fanout that grows with the fleet.
func TestInstancesHearFromPeersThatShareTheirEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := spreader.Fleet{Peers: rapid.IntRange(0, 1000).Draw(t, "peers")}
		fleet.LocalPeers = rapid.IntRange(0, fleet.Peers).Draw(t, "local peers")
		fanout := spreader.Fanout{Min: rapid.IntRange(1, 3).Draw(t, "min"), Max: rapid.IntRange(3, 8).Draw(t, "max")}
		count, localCount := fleet.PeersPerRound(fanout)
		assert.Assert(t, count >= fanout.Min && count <= fanout.Max && localCount <= count)
		assert.Assert(t, fleet.SharesEngines(true))
		assert.Equal(t, fleet.SharesEngines(false), !fleet.IsDivided())
		assert.Equal(t, localCount > 0, fleet.IsDivided(), "in a divided fleet, each round reaches local peers")
		if fleet.IsDivided() {
			assert.Assert(t, fleet.RoundsBetweenExchanges(fanout, true) <= max(1, fleet.LocalPeers), "a large fleet does not delay local exchanges")
		}
		for _, isLocal := range []bool{true, false} {
			assert.Assert(t, fleet.CarriesLoads(isLocal, time.Minute), "loads that are old are asked for")
			assert.Equal(t, fleet.CarriesLoads(isLocal, 0), fleet.SharesEngines(isLocal))
		}
	})
}

// Guards against a round that leaves out local peers, contacts one twice or too many.
func TestRoundContactsMostUrgentPeers(t *testing.T) {
	fanout := spreader.Fanout{Min: 2, Max: 4}
	isLocal := func(peer int) bool { return peer >= 40 } // The local peers are the least urgent ones.
	due := make([]int, 60)
	for i := range due {
		due[i] = i
	}
	assert.DeepEqual(t, spreader.SelectPeers(spreader.Fleet{Peers: 60, LocalPeers: 20}, fanout, due, isLocal), []int{40, 41, 0, 1})
	assert.DeepEqual(t, spreader.SelectPeers(spreader.Fleet{Peers: 60, LocalPeers: 20}, fanout, due[:41], isLocal), []int{40, 0, 1, 2})
	assert.DeepEqual(t, spreader.SelectPeers(spreader.Fleet{Peers: 60, LocalPeers: 20}, fanout, due[:1], isLocal), []int{0})
	assert.DeepEqual(t, spreader.SelectPeers(spreader.Fleet{Peers: 6}, fanout, due[:6], isLocal), []int{0, 1})
}

// Guards against changes of the size from which a fleet is divided.
func TestFleetOfThirteenIsUndivided(t *testing.T) {
	assert.Assert(t, !spreader.Fleet{Peers: 12}.IsDivided())
	assert.Assert(t, spreader.Fleet{Peers: 13}.IsDivided())
}

// Guards against data that takes long to reach all instances of a data centre.
func TestTreeReachesAllMembersInFewSteps(t *testing.T) {
	children := map[int]int{}
	for index := range 39 {
		steps := 0
		for at := index; at > 0; steps++ {
			parent, ok := spreader.Parent(at)
			assert.Assert(t, ok && parent < at)
			at = parent
		}
		assert.Assert(t, steps <= 3, "%d", index)
		if parent, ok := spreader.Parent(index); ok {
			children[parent]++
		}
	}
	for parent, count := range children {
		assert.Assert(t, count <= 4, "%d", parent)
	}
	_, ok := spreader.Parent(0)
	assert.Assert(t, !ok)
}
