package publisher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/commander"
	"github.com/oleanderpick/oleanderpick/internal/publisher"
	"github.com/oleanderpick/oleanderpick/pkg/declarer"
	"github.com/oleanderpick/oleanderpick/pkg/leaser"
	"github.com/oleanderpick/oleanderpick/pkg/orderer"
	"github.com/oleanderpick/oleanderpick/pkg/reviser"
)

// discardCounter is a counter that counts nothing.
type discardCounter struct{}

func (discardCounter) Add(string, int64) {}

// testInstance is the running publisher of one instance.
type testInstance struct {
	*publisher.Publisher
	cancel context.CancelFunc
}

// startInstance starts a publisher whose instance has the stored revision in force at
// once.
func startInstance(t *testing.T, store *memoryStore, engines publisher.EngineClient, holderID string) testInstance {
	ctx, cancel := context.WithCancel(t.Context())
	var known reviser.Revision
	currentRevision := func() reviser.Revision {
		if headOf(store).Number != known.Number {
			known = revisionOf(t, store)
		}
		return known
	}
	p := publisher.New(publisher.Settings{HolderID: holderID}, store, engines, currentRevision, discardCounter{}, hclog.NewNullLogger())
	go func() { _ = p.Serve(ctx) }()
	return testInstance{Publisher: p, cancel: cancel}
}

// kill stops the publisher without a release of the lease.
func (i testInstance) kill() {
	i.cancel()
	<-i.Done()
}

// putSpec writes an object as an operator, unaffected by the store's faults.
func putSpec(t *testing.T, m *memoryStore, kind, name, spec string) {
	m.mu.Lock()
	lostAnswerFraction, outage := m.lostAnswerFraction, m.outage
	m.lostAnswerFraction, m.outage = 0, false
	m.mu.Unlock()
	_, err := m.Put(t.Context(), kind, name, json.RawMessage(spec), publisher.Condition{})
	assert.NilError(t, err)
	m.update(func(m *memoryStore) { m.lostAnswerFraction, m.outage = lostAnswerFraction, outage })
}

// headOf returns the head in the store, the zero value if there is none.
func headOf(m *memoryStore) reviser.Head {
	m.mu.Lock()
	defer m.mu.Unlock()
	var head reviser.Head
	_ = json.Unmarshal(m.objects[declarer.Key{Kind: publisher.KindHead, Name: publisher.HeadName}].Spec, &head)
	return head
}

// revisionOf returns the revision that the head in the store names, built from the
// stored parts.
func revisionOf(t *testing.T, m *memoryStore) reviser.Revision {
	head := headOf(m)
	if head.Number == 0 {
		return reviser.Revision{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	parts := make([]reviser.Part, 0, len(head.PartHashes))
	for _, hash := range head.PartHashes {
		var part reviser.Part
		assert.NilError(t, json.Unmarshal(m.objects[declarer.Key{Kind: publisher.KindPart, Name: hash}].Spec, &part))
		parts = append(parts, part)
	}
	revision, err := reviser.Assemble(reviser.Revision{}, head, parts)
	assert.NilError(t, err)
	return revision
}

func resourcesOf(t *testing.T, m *memoryStore) declarer.Set { return revisionOf(t, m).Resources() }

// statusOf returns the acceptance in an object's stored status, and the status as
// a whole.
func statusOf(m *memoryStore, kind, name string) (acceptance reviser.Status, raw string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	object := m.objects[declarer.Key{Kind: kind, Name: name}]
	_ = json.Unmarshal(publisher.StatusSection(object.Status, publisher.AcceptanceSection), &acceptance)
	return acceptance, string(object.Status)
}

func TestValidResourcesArePublishedAndEachGetsAStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		putSpec(t, m, "ServiceClass", "chat", `{"tier":0}`)
		putSpec(t, m, "Workspace", "clinic", `{"classes":["chat"]}`)
		_, err := m.PutStatus(t.Context(), "ServiceClass", "chat", json.RawMessage(`{"attainment":0.99}`), publisher.Condition{})
		assert.NilError(t, err)
		a, b := startInstance(t, m, nil, "a"), startInstance(t, m, nil, "b")
		time.Sleep(2 * time.Second)
		assert.Equal(t, headOf(m).Number, uint64(1))
		accepted, raw := statusOf(m, "ServiceClass", "chat")
		assert.Assert(t, accepted.Accepted && accepted.RevisionNumber == 1)
		assert.Equal(t, raw, `{"acceptance":{"accepted":true,"revision":1,"generation":1},"attainment":0.99}`, "the sections of other writers are kept")

		putSpec(t, m, "ServiceClass", "chat", `{"tier":9}`)
		putSpec(t, m, "Workspace", "hotel", `{"classes":["chat"]}`)
		time.Sleep(time.Second)
		assert.Equal(t, headOf(m).Number, uint64(2))
		assert.Equal(t, resourcesOf(t, m).Classes["chat"].Tier, 0)
		assert.Equal(t, len(resourcesOf(t, m).Workspaces), 2, "an invalid resource does not block the others")
		rejected, _ := statusOf(m, "ServiceClass", "chat")
		assert.DeepEqual(t, rejected, reviser.Status{RevisionNumber: 2, Generation: 2, Field: "tier", Reason: "9 is not between 0 and 4"})

		m.update(func(m *memoryStore) { m.reads, m.writes = 0, 0 })
		time.Sleep(10 * time.Minute)
		reads, writes := 0, 0
		m.update(func(m *memoryStore) { reads, writes = m.reads, m.writes })
		t.Logf("calls of two instances in 600 s without changes: %d reads, %d writes", reads, writes)
		assert.Assert(t, reads <= 180 && writes <= 121, "%d reads, %d writes", reads, writes)
		a.kill()
		b.kill()
	})
}

// Instances are killed or release the lease, one after the other. Each time another
// one acquires the lease with a higher fencing token and publishes the next change in
// the next revision.
func TestAnotherInstanceTakesOverAfterKillOrRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		var longestDelay time.Duration
		instance := startInstance(t, m, nil, "start-0")
		time.Sleep(time.Second) // It acquires the lease before the next instance starts.
		for n := range 8 {
			next := startInstance(t, m, nil, fmt.Sprint("start-", n+1))
			time.Sleep(12 * time.Second)
			if n%2 == 0 {
				instance.kill()
			} else {
				instance.Release(t.Context())
				instance.kill()
			}
			writtenAt, last := time.Now(), headOf(m)
			putSpec(t, m, "ServiceClass", fmt.Sprint("class-", n), `{}`)
			for headOf(m).Number == last.Number {
				time.Sleep(100 * time.Millisecond)
			}
			assert.Assert(t, headOf(m).Number == last.Number+1 && headOf(m).Fence > last.Fence)
			longestDelay = max(longestDelay, time.Since(writtenAt))
			assert.Equal(t, len(resourcesOf(t, m).Classes), n+1)
			instance = next
		}
		maxDelay := leaser.DefaultDuration + 2*time.Second
		assert.Assert(t, longestDelay <= maxDelay, "%s", longestDelay)
		t.Logf("longest time from a write to its revision over 8 takeovers: %s", longestDelay)
		instance.kill()
	})
}

// A third of all writes take effect but lose their answers; then the store is
// unavailable for an hour. Each change must still be published, and revision numbers
// must not go back.
func TestPublishingSurvivesLostAnswersAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		m.lostAnswerFraction = 0.33
		a, b := startInstance(t, m, nil, "a"), startInstance(t, m, nil, "b")
		for n := range 40 {
			putSpec(t, m, "ServiceClass", fmt.Sprint("class-", n%7), fmt.Sprintf(`{"tier":%d}`, n%5))
			before := headOf(m).Number
			time.Sleep(20 * time.Second)
			after := headOf(m).Number
			assert.Assert(t, after >= before)
			assert.Equal(t, resourcesOf(t, m).Classes[fmt.Sprint("class-", n%7)].Tier, n%5)
		}
		before := headOf(m)
		m.update(func(m *memoryStore) { m.outage = true })
		time.Sleep(time.Hour)
		assert.DeepEqual(t, headOf(m), before)
		m.update(func(m *memoryStore) { m.outage = false })
		putSpec(t, m, "ServiceClass", "last", `{"tier":1}`)
		time.Sleep(30 * time.Second)
		assert.Equal(t, resourcesOf(t, m).Classes["last"].Tier, 1)
		assert.Assert(t, headOf(m).Fence > before.Fence)
		accepted, _ := statusOf(m, "ServiceClass", "last")
		assert.Assert(t, accepted.Accepted)
		a.kill()
		b.kill()
	})
}

// partCountOf returns the number of parts in the store.
func partCountOf(m *memoryStore) (count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key := range m.objects {
		if key.Kind == publisher.KindPart {
			count++
		}
	}
	return count
}

// Each revision has another part. Parts that none of the last KeptRevisions revisions
// uses are deleted.
func TestUnusedPartsAreDeletedFromStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		a := startInstance(t, m, nil, "a")
		for n := range 12 {
			putSpec(t, m, "ServiceClass", "chat", fmt.Sprintf(`{"tier":1,"floor":"%ds"}`, n+1))
			time.Sleep(2 * time.Second)
		}
		assert.Equal(t, partCountOf(m), 12)
		time.Sleep(2 * time.Hour)
		assert.Equal(t, partCountOf(m), reviser.KeptRevisions)
		assert.Equal(t, resourcesOf(t, m).Classes["chat"].GuaranteedWait.AsDuration(), 12*time.Second)
		a.kill()
	})
}

// If a watch no longer answers, the resources are listed again. A listing that may be
// older than the revision in force is refused.
func TestSilentWatchIsRelistedAndStaleListingIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		putSpec(t, m, "ServiceClass", "chat", `{"tier":0}`)
		m.update(func(m *memoryStore) { m.silentWatches = true })
		a := startInstance(t, m, nil, "a")
		time.Sleep(2 * time.Second)
		putSpec(t, m, "ServiceClass", "chat", `{"tier":1}`)
		time.Sleep(50 * time.Second)
		assert.Equal(t, resourcesOf(t, m).Classes["chat"].Tier, 1)
		a.Release(t.Context())
		a.kill()

		m.update(func(m *memoryStore) { m.silentWatches, m.listingLag = false, 1000 })
		b := startInstance(t, m, nil, "b")
		putSpec(t, m, "ServiceClass", "chat", `{"tier":2}`)
		time.Sleep(20 * time.Second)
		assert.Equal(t, headOf(m).Number, uint64(2), "the listing may be older than the revision in force")
		m.update(func(m *memoryStore) { m.listingLag = 0 })
		time.Sleep(5 * time.Second)
		assert.Equal(t, resourcesOf(t, m).Classes["chat"].Tier, 2)
		b.kill()
	})
}

// fakeEngines simulates model engines that check fencing tokens.
type fakeEngines struct {
	mu      sync.Mutex
	engines map[string]*fakeEngine
	// modelLoads counts the loads that orders started.
	modelLoads int
}

// fakeEngine is one simulated engine.
type fakeEngine struct {
	state orderer.EngineState
	// loadedAt is the time at which the load of the current model ends.
	loadedAt time.Time
}

// engineAt returns the engine at an address. It adds one that runs the model "ink" if
// there is none.
func (f *fakeEngines) engineAt(address string) *fakeEngine {
	e, found := f.engines[address]
	if !found {
		e = &fakeEngine{state: orderer.EngineState{Model: "ink"}}
		f.engines[address] = e
	}
	e.state.Loading = time.Now().Before(e.loadedAt)
	return e
}

func (f *fakeEngines) ReadState(_ context.Context, address string) (orderer.EngineState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engineAt(address).state, nil
}

func (f *fakeEngines) SendOrder(ctx context.Context, order orderer.Order) (orderer.EngineState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engineAt(order.Address)
	if order.Fence < e.state.Fence {
		return e.state, &commander.RefusedError{State: e.state}
	}
	if e.state.Model != order.Model {
		f.modelLoads++
		e.loadedAt = time.Now().Add(30 * time.Second)
	}
	e.state.Fence, e.state.Model = order.Fence, order.Model
	return f.engineAt(order.Address).state, ctx.Err()
}

// A planned change loads a model on three engines, one at a time. The lease holder is
// killed on the way, and the next holder continues without loading a model twice.
func TestPlannedChangeContinuesUnderNextHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, f := newMemoryStore(), &fakeEngines{engines: make(map[string]*fakeEngine)}
		putSpec(t, m, "Service", "pool", `{"kind":"model","models":["ink","oak"]}`)
		for n := range 3 {
			putSpec(t, m, "Endpoint", fmt.Sprint("e", n), fmt.Sprintf(`{"service":"pool","address":"http://10.0.0.1:%d","dataCentre":"a","fenced":true}`, n+1))
		}
		putSpec(t, m, "PlannedChange", "c", `{"endpoints":["e0","e1","e2"],"model":"oak"}`)
		a := startInstance(t, m, f, "a")
		time.Sleep(time.Second)
		b := startInstance(t, m, f, "b")
		time.Sleep(50 * time.Second)
		progress := func() (stored orderer.Progress) {
			_, raw := statusOf(m, "PlannedChange", "c")
			_ = json.Unmarshal(publisher.StatusSection(json.RawMessage(raw), publisher.ProgressSection), &stored)
			return stored
		}
		assert.DeepEqual(t, progress(), orderer.Progress{Phase: orderer.PhaseRunning, DoneEndpoints: 1, TotalEndpoints: 3, CurrentEndpoints: []string{"e1"}})
		a.kill()
		time.Sleep(10 * time.Minute)
		assert.DeepEqual(t, progress(), orderer.Progress{Phase: orderer.PhaseDone, DoneEndpoints: 3, TotalEndpoints: 3})
		assert.Equal(t, f.modelLoads, 3)
		accepted, _ := statusOf(m, "PlannedChange", "c")
		assert.Assert(t, accepted.Accepted, "the status holds both sections")
		for address := range f.engines {
			state, _ := f.ReadState(t.Context(), address)
			assert.Equal(t, state, orderer.EngineState{Fence: state.Fence, Model: "oak"})
		}
		b.kill()
	})
}
