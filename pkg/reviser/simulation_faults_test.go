package reviser_test

import (
	"flag"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
	"github.com/oleanderpick/oleanderpick/pkg/reviser"
)

func init() { _ = flag.Set("rapid.seed", "20261203") }

// performApplierActions carries out an instance's actions and checks that the number of
// the revision in force increases and that its parts are those of the stored head.
func (sim *simulation) performApplierActions(instance int, actions []reviser.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case reviser.FetchPart:
			sim.pendingFetches = append(sim.pendingFetches, action)
			sim.fetchingAppliers = append(sim.fetchingAppliers, instance)
		case reviser.ApplyRevision:
			number := action.Revision.Number
			if number <= sim.appliedNumbers[instance] {
				sim.numberDecreases++
			}
			assert.Assert(sim.t, number > sim.appliedNumbers[instance], "instance %d went from revision %d back to %d", instance, sim.appliedNumbers[instance], number)
			assert.DeepEqual(sim.t, action.Revision.PartHashes(), append([]string{}, sim.headsByNumber[number].PartHashes...))
			sim.appliedNumbers[instance] = number
		}
	}
}

// resolveFetch answers the oldest pending fetch. With faults the part may be corrupt or
// the answer lost.
func (sim *simulation) resolveFetch(faults bool) {
	if len(sim.pendingFetches) == 0 {
		return
	}
	fetch, instance := sim.pendingFetches[0], sim.fetchingAppliers[0]
	sim.pendingFetches, sim.fetchingAppliers = sim.pendingFetches[1:], sim.fetchingAppliers[1:]
	part, found := sim.storedParts[fetch.Hash]
	if fetch.Source != reviser.SourceStore {
		part, found = sim.appliers[int(fetch.Source[0]-'0')].Part(fetch.Hash)
	}
	outcome := "good"
	if faults {
		outcome = rapid.SampledFrom([]string{"good", "good", "bad", "lost"}).Draw(sim.t, "part")
	}
	switch {
	case !found || outcome == "lost" || sim.storeDown && fetch.Source == reviser.SourceStore:
		sim.appliers[instance].OnPartFetchFailed(sim.now, fetch.Hash)
	case outcome == "bad":
		corrupt := reviser.Part{Hash: part.Hash, Contents: append(slices.Clone(part.Contents), ' ')}
		sim.performApplierActions(instance, sim.appliers[instance].OnPartFetched(sim.now, corrupt))
	default:
		sim.performApplierActions(instance, sim.appliers[instance].OnPartFetched(sim.now, part))
	}
}

// deliverHeadFromStore passes the head of a snapshot to an instance.
func (sim *simulation) deliverHeadFromStore(instance int, snapshot storeSnapshot) {
	if !sim.storeDown && snapshot.headVersion > 0 {
		sim.performApplierActions(instance, sim.appliers[instance].ReceiveHead(sim.now, snapshot.head, reviser.SourceStore))
	}
}

// deliverHeadFromPeer passes the head in force on one instance to another.
func (sim *simulation) deliverHeadFromPeer(to, from int) {
	if head := sim.appliers[from].Head(); head.Number > 0 {
		sim.performApplierActions(to, sim.appliers[to].ReceiveHead(sim.now, head, string(rune('0'+from))))
	}
}

// advanceTime moves the clock and calls Tick on all state machines.
func (sim *simulation) advanceTime(elapsed time.Duration) {
	sim.now = sim.now.Add(elapsed)
	for i, publisher := range sim.publishers {
		publisher.OnRevisionApplied(sim.appliers[i].Revision())
		sim.recordCalls(i, publisher.Tick(sim.now))
	}
	for i, applier := range sim.appliers {
		sim.performApplierActions(i, applier.Tick(sim.now))
	}
}

// performRandomEvent draws one event and carries it out. When the lease changes hands,
// the old holder is not informed and goes on writing, like a process that was paused
// until after its lease ended.
func (sim *simulation) performRandomEvent() {
	publisher := rapid.IntRange(0, 1).Draw(sim.t, "publisher")
	instance := rapid.IntRange(0, 2).Draw(sim.t, "instance")
	switch rapid.SampledFrom([]string{
		"operate", "operate", "list", "list", "answer", "answer", "answer", "answer", "answer", "answer", "answer",
		"answer", "fetch", "fetch", "fetch", "watch", "watch", "gossip", "tick", "tick", "lead", "stop", "restart", "outage", "crash",
	}).Draw(sim.t, "event") {
	case "operate":
		sim.changeResource()
	case "list":
		sim.deliverListing(publisher, rapid.IntRange(0, 3).Draw(sim.t, "anew") == 0, true)
	case "answer":
		sim.resolveCall(true)
	case "fetch":
		sim.resolveFetch(true)
	case "watch":
		sim.deliverHeadFromStore(instance, sim.laggingSnapshot())
	case "gossip":
		sim.deliverHeadFromPeer(instance, (instance+1)%3)
	case "tick":
		sim.advanceTime(time.Duration(rapid.IntRange(0, 8000).Draw(sim.t, "ms")) * time.Millisecond)
	case "lead":
		sim.acquireLease(publisher)
	case "stop":
		sim.publishers[publisher].OnLeaseLost()
	case "restart":
		sim.appliers[instance], sim.appliedNumbers[instance] = reviser.New(), 0
	case "crash":
		sim.restartAllInstances()
	case "outage":
		sim.storeDown = !sim.storeDown
	}
}

// restartAllInstances restarts all instances at once. Calls that they had made may still
// take effect.
func (sim *simulation) restartAllInstances() {
	for i := range sim.publishers {
		sim.publishers[i] = reviser.NewPublisher()
	}
	for i := range sim.appliers {
		sim.appliers[i], sim.appliedNumbers[i] = reviser.New(), 0
	}
	for i := range sim.pendingCalls {
		sim.pendingCalls[i].abandoned = true
	}
	sim.pendingFetches, sim.fetchingAppliers = nil, nil
}

// runWithoutFaults ends all faults and runs with one lease holder until the last
// changes have taken effect.
func (sim *simulation) runWithoutFaults() {
	sim.storeDown = false
	sim.publishers[1].OnLeaseLost()
	sim.changeResource()
	for len(sim.pendingCalls) > 0 {
		sim.resolveCall(false)
	}
	sim.acquireLease(0)
	for range 12 {
		sim.deliverListing(0, false, false)
		for range 200 {
			sim.resolveCall(false)
			sim.resolveFetch(false)
		}
		for i := range sim.appliers {
			sim.deliverHeadFromStore(i, sim.latestSnapshot())
		}
		sim.advanceTime(reviser.AnswerTimeout)
	}
}

// In random sequences of faults no instance applies a lower number and no resource
// returns to an older generation. When the faults end, the declared resources are in
// force on every instance and their statuses are written.
func TestRevisionNumbersNeverDecreaseUnderFaults(t *testing.T) {
	sequences, numberSum, decreases := 0, uint64(0), 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.acquireLease(0)
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			sim.performRandomEvent()
		}
		sim.runWithoutFaults()
		snapshot := sim.latestSnapshot()
		for i, applier := range sim.appliers {
			assert.Equal(t, applier.RevisionNumber(), snapshot.head.Number, "instance %d", i)
			numberSum += applier.RevisionNumber()
		}
		sim.checkStatuses(snapshot)
		sequences++
		decreases += sim.numberDecreases
	})
	t.Logf("%d sequences, sum of the revision numbers at their ends %d, decreases of a number: %d", sequences, numberSum, decreases)
}

// checkStatuses checks that every resource has a status of its latest generation that
// agrees with the revision in force.
func (sim *simulation) checkStatuses(snapshot storeSnapshot) {
	revision := sim.appliers[0].Revision()
	generations := generationsInForce(revision)
	resources := make([]declarer.Resource, 0, len(snapshot.resources))
	for key, resource := range snapshot.resources {
		status, found := snapshot.statuses[key]
		assert.Assert(sim.t, found && status.Generation == resource.Generation, "%s has no status of its latest generation", key)
		assert.Equal(sim.t, status.Accepted, generations[key] == resource.Generation, "%s", key)
		assert.Assert(sim.t, status.Accepted || status.Reason != "", "%s", key)
		resources = append(resources, resource)
	}
	if len(resources) > 0 { // An empty listing is refused.
		recompiled, _ := reviser.Compile(revision, resources)
		assert.Equal(sim.t, recompiled.Number, revision.Number, "the declared resources are not all in force")
	}
}
