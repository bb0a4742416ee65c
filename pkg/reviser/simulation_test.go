package reviser_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
	"github.com/oleanderpick/oleanderpick/pkg/reviser"
)

// storeSnapshot is the contents of the store after one write. Stale reads return an
// older snapshot.
type storeSnapshot struct {
	storeCounter uint64
	resources    map[declarer.Key]declarer.Resource
	statuses     map[declarer.Key]reviser.Status
	head         reviser.Head
	headVersion  uint64
}

// pendingCall is an action that a publisher returned and that has not been carried out.
type pendingCall struct {
	publisher int
	action    reviser.Action
	// abandoned is true if the publisher no longer waits for the result: the call was
	// reported as failed, or the instance restarted.
	abandoned bool
}

// simulation holds a store, two publishers and three appliers. The test decides when
// each call between them is carried out and whether it fails.
type simulation struct {
	t              *rapid.T
	now            time.Time
	snapshots      []storeSnapshot // The newest last.
	storedParts    map[string]reviser.Part
	storeDown      bool
	fence          uint64
	publishers     []*reviser.Publisher
	watchStates    [2]watchState
	pendingCalls   []pendingCall
	appliers       []*reviser.Applier
	pendingFetches []reviser.FetchPart
	// fetchingAppliers is the applier of each pending fetch.
	fetchingAppliers []int
	// appliedNumbers is the number that each applier has in force, 0 after a restart.
	appliedNumbers  []uint64
	headsByNumber   map[uint64]reviser.Head
	numberDecreases int
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, now: time.Unix(1000, 0), storedParts: make(map[string]reviser.Part), headsByNumber: make(map[uint64]reviser.Head)}
	sim.snapshots = []storeSnapshot{{storeCounter: 1}}
	sim.publishers = []*reviser.Publisher{reviser.NewPublisher(), reviser.NewPublisher()}
	for range 3 {
		sim.appliers = append(sim.appliers, reviser.New())
		sim.appliedNumbers = append(sim.appliedNumbers, 0)
	}
	return sim
}

func (sim *simulation) latestSnapshot() storeSnapshot { return sim.snapshots[len(sim.snapshots)-1] }

// commitSnapshot appends a snapshot of the store with one change.
func (sim *simulation) commitSnapshot(change func(*storeSnapshot)) {
	next := sim.latestSnapshot()
	next.storeCounter++
	next.resources = maps.Clone(next.resources)
	next.statuses = maps.Clone(next.statuses)
	if next.resources == nil {
		next.resources = make(map[declarer.Key]declarer.Resource)
		next.statuses = make(map[declarer.Key]reviser.Status)
	}
	change(&next)
	sim.snapshots = append(sim.snapshots, next)
}

// laggingSnapshot draws a snapshot of the store that is up to four writes old.
func (sim *simulation) laggingSnapshot() storeSnapshot {
	lag := rapid.SampledFrom([]int{0, 0, 0, 1, 2, 4}).Draw(sim.t, "lag")
	return sim.snapshots[max(0, len(sim.snapshots)-1-lag)]
}

// changeResource writes or deletes a random resource, which may be invalid.
func (sim *simulation) changeResource() {
	kind := rapid.SampledFrom([]string{declarer.KindServiceClass, declarer.KindWorkspace}).Draw(sim.t, "kind")
	key := declarer.Key{Kind: kind, Name: fmt.Sprintf("r%d", rapid.IntRange(0, 2).Draw(sim.t, "name"))}
	sim.commitSnapshot(func(snapshot *storeSnapshot) {
		if rapid.IntRange(0, 3).Draw(sim.t, "delete") == 0 {
			delete(snapshot.resources, key)
			delete(snapshot.statuses, key)
			return
		}
		spec := fmt.Sprintf(`{"tier":%d}`, rapid.IntRange(0, 5).Draw(sim.t, "tier"))
		if kind == declarer.KindWorkspace {
			spec = fmt.Sprintf(`{"classes":["r%d"],"parallel":%d}`, rapid.IntRange(0, 2).Draw(sim.t, "class"), snapshot.storeCounter)
		}
		snapshot.resources[key] = declarer.Resource{Kind: kind, Name: key.Name, Generation: snapshot.storeCounter, Spec: json.RawMessage(spec)}
	})
}

// recordCalls adds the publisher's actions to the pending calls.
func (sim *simulation) recordCalls(publisher int, actions []reviser.Action) {
	for _, action := range actions {
		if _, refused := action.(reviser.ReportRefusal); !refused {
			sim.pendingCalls = append(sim.pendingCalls, pendingCall{publisher: publisher, action: action})
		}
	}
}

// watchState is the state of a publisher's watches under a lease: the snapshot of each
// kind that it has seen last.
type watchState struct {
	lowestCounter   uint64
	snapshotIndexes map[string]int
	hasListing      bool
}

// deliverListing passes a listing to a publisher. The first one under a lease may be
// stale; in those that follow, each kind may lag by itself but never becomes older. A
// relist starts again with a listing that does not continue the previous one.
func (sim *simulation) deliverListing(publisher int, relist, faults bool) {
	state := &sim.watchStates[publisher]
	continues := state.hasListing && !relist
	if !continues {
		*state = watchState{snapshotIndexes: make(map[string]int), hasListing: true}
	}
	listing := reviser.Listing{ContinuesPrevious: continues, Statuses: make(map[declarer.Key]reviser.Status)}
	for _, kind := range []string{declarer.KindServiceClass, declarer.KindWorkspace} {
		newest := len(sim.snapshots) - 1
		oldest := state.snapshotIndexes[kind]
		if !continues {
			oldest = max(0, newest-4)
		}
		state.snapshotIndexes[kind] = newest
		if faults {
			state.snapshotIndexes[kind] = rapid.IntRange(oldest, newest).Draw(sim.t, "at")
		}
		snapshot := sim.snapshots[state.snapshotIndexes[kind]]
		if !continues && (state.lowestCounter == 0 || snapshot.storeCounter < state.lowestCounter) {
			state.lowestCounter = snapshot.storeCounter
		}
		listing.HighestCounter = max(listing.HighestCounter, snapshot.storeCounter)
		for _, key := range slices.SortedFunc(maps.Keys(snapshot.resources), declarer.Key.Compare) {
			if key.Kind == kind {
				listing.Resources = append(listing.Resources, snapshot.resources[key])
			}
		}
		maps.Copy(listing.Statuses, snapshot.statuses)
	}
	listing.LowestCounter = state.lowestCounter
	sim.recordCalls(publisher, sim.publishers[publisher].OnListing(sim.now, listing))
}

func (sim *simulation) acquireLease(publisher int) {
	sim.fence++
	sim.watchStates[publisher] = watchState{}
	sim.recordCalls(publisher, sim.publishers[publisher].OnLeaseAcquired(sim.now, sim.fence))
}

// assembleHead builds the revision that a snapshot's head names, or returns false if
// its parts are not in the store.
func (sim *simulation) assembleHead(snapshot storeSnapshot) (reviser.StoredHead, bool) {
	if snapshot.headVersion == 0 {
		return reviser.StoredHead{}, true
	}
	var parts []reviser.Part
	for _, hash := range snapshot.head.PartHashes {
		parts = append(parts, sim.storedParts[hash])
	}
	revision, err := reviser.Assemble(reviser.Revision{}, snapshot.head, parts)
	return reviser.StoredHead{Version: snapshot.headVersion, Head: snapshot.head, Revision: revision}, err == nil
}

// performCall carries out a call and returns a function that reports the result to its
// publisher.
func (sim *simulation) performCall(call pendingCall) func(*reviser.Publisher) []reviser.Action {
	switch action := call.action.(type) {
	case reviser.LoadHead:
		stored, found := sim.assembleHead(sim.laggingSnapshot())
		return func(p *reviser.Publisher) []reviser.Action {
			if !found {
				p.OnHeadLoadFailed(sim.now)
				return nil
			}
			return p.OnHeadLoaded(sim.now, stored)
		}
	case reviser.WritePart:
		sim.storedParts[action.Part.Hash] = action.Part
		return func(p *reviser.Publisher) []reviser.Action { return p.OnPartWritten(sim.now, action.Part.Hash) }
	case reviser.WriteHead:
		return sim.performHeadWrite(action)
	case reviser.WriteStatus:
		if _, found := sim.latestSnapshot().resources[action.Key]; !found {
			return func(p *reviser.Publisher) []reviser.Action {
				p.OnStatusWriteFailed(sim.now, action.Key, true)
				return nil
			}
		}
		sim.commitSnapshot(func(snapshot *storeSnapshot) { snapshot.statuses[action.Key] = action.Status })
		return func(p *reviser.Publisher) []reviser.Action {
			return p.OnStatusWritten(sim.now, action.Key, action.Status)
		}
	}
	sim.t.Fatalf("unexpected %T", call.action)
	return nil
}

// performHeadWrite carries out a conditional write of the head.
func (sim *simulation) performHeadWrite(action reviser.WriteHead) func(*reviser.Publisher) []reviser.Action {
	before := sim.latestSnapshot()
	if before.headVersion != action.ExpectedVersion {
		return func(p *reviser.Publisher) []reviser.Action { return p.OnHeadWriteConflict(sim.now) }
	}
	assert.Assert(sim.t, action.Head.Number > before.head.Number, "the head's number did not increase")
	sim.commitSnapshot(func(s *storeSnapshot) { s.head, s.headVersion = action.Head, s.storeCounter })
	sim.checkHead(before, sim.latestSnapshot())
	version := sim.latestSnapshot().headVersion
	return func(p *reviser.Publisher) []reviser.Action {
		return p.OnHeadWritten(sim.now, action.Head.Number, version)
	}
}

// checkHead compares a new head with the one before: all its parts must be in the
// store, and no resource may have an older generation.
func (sim *simulation) checkHead(before, after storeSnapshot) {
	sim.headsByNumber[after.head.Number] = after.head
	nextHead, complete := sim.assembleHead(after)
	assert.Assert(sim.t, complete, "a head names parts that are not in the store")
	previousHead, _ := sim.assembleHead(before)
	oldGenerations := generationsInForce(previousHead.Revision)
	for key, generation := range generationsInForce(nextHead.Revision) {
		assert.Assert(sim.t, generation >= oldGenerations[key], "%s went from generation %d back to %d", key, oldGenerations[key], generation)
	}
}

// generationsInForce returns the generation of each resource in a revision.
func generationsInForce(revision reviser.Revision) map[declarer.Key]uint64 {
	generations := make(map[declarer.Key]uint64)
	for _, part := range revision.Parts {
		var resources []declarer.Resource
		_ = json.Unmarshal(part.Contents, &resources)
		for _, resource := range resources {
			generations[resource.Key()] = resource.Generation
		}
	}
	return generations
}

// failCall reports to the publisher that its call failed or is in doubt.
func (sim *simulation) failCall(call pendingCall) {
	p := sim.publishers[call.publisher]
	switch action := call.action.(type) {
	case reviser.LoadHead:
		p.OnHeadLoadFailed(sim.now)
	case reviser.WritePart:
		p.OnPartWriteFailed(sim.now, action.Part.Hash)
	case reviser.WriteHead:
		sim.recordCalls(call.publisher, p.OnHeadWriteFailed(sim.now))
	case reviser.WriteStatus:
		p.OnStatusWriteFailed(sim.now, action.Key, false)
	}
}

// resolveCall draws a pending call and its outcome. Without faults it succeeds.
func (sim *simulation) resolveCall(faults bool) {
	if len(sim.pendingCalls) == 0 {
		return
	}
	index := rapid.IntRange(0, len(sim.pendingCalls)-1).Draw(sim.t, "call")
	call := sim.pendingCalls[index]
	sim.pendingCalls = slices.Delete(sim.pendingCalls, index, index+1)
	outcome := "done"
	if faults {
		outcome = rapid.SampledFrom([]string{"done", "done", "done", "lost request", "lost answer", "late"}).Draw(sim.t, "fate")
	}
	switch {
	case call.abandoned && outcome == "lost request":
	case call.abandoned:
		sim.performCall(call)
	case sim.storeDown || outcome == "lost request":
		sim.failCall(call)
	case outcome == "lost answer":
		sim.performCall(call)
		sim.failCall(call)
	case outcome == "late": // Reported as failed, takes effect at some later time.
		sim.failCall(call)
		sim.pendingCalls = append(sim.pendingCalls, pendingCall{publisher: call.publisher, action: call.action, abandoned: true})
	default:
		report := sim.performCall(call)
		sim.recordCalls(call.publisher, report(sim.publishers[call.publisher]))
	}
}
