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

type silent struct{}

func (silent) Add(string, int64) {}

// running is one instance's publisher.
type running struct {
	*publisher.Publisher
	cancel context.CancelFunc
}

func run(t *testing.T, store *memory, engines publisher.Engines, owner string) running {
	ctx, cancel := context.WithCancel(t.Context())
	var known reviser.Revision
	current := func() reviser.Revision {
		if head(store).Number != known.Number {
			known = opened(t, store)
		}
		return known
	}
	p := publisher.New(publisher.Settings{Owner: owner}, store, engines, current, silent{}, hclog.NewNullLogger())
	go func() { _ = p.Serve(ctx) }()
	return running{Publisher: p, cancel: cancel}
}

// kill ends an instance without a word.
func (r running) kill() {
	r.cancel()
	<-r.Done()
}

func declare(t *testing.T, m *memory, kind, name, spec string) {
	m.mu.Lock()
	lost, outage := m.lost, m.outage
	m.lost, m.outage = 0, false
	m.mu.Unlock()
	_, err := m.Put(t.Context(), kind, name, json.RawMessage(spec), publisher.Condition{})
	assert.NilError(t, err)
	m.fault(func(m *memory) { m.lost, m.outage = lost, outage })
}

func head(m *memory) reviser.Head {
	m.mu.Lock()
	defer m.mu.Unlock()
	var head reviser.Head
	_ = json.Unmarshal(m.objects[declarer.Key{Kind: publisher.KindHead, Name: publisher.HeadName}].Spec, &head)
	return head
}

// opened returns the revision that the head and its parts in the store stand
// for; the tests' instances have it in force at once.
func opened(t *testing.T, m *memory) reviser.Revision {
	head := head(m)
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

func set(t *testing.T, m *memory) declarer.Set { return opened(t, m).Resources() }

func status(m *memory, kind, name string) (accepted reviser.Status, raw string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	object := m.objects[declarer.Key{Kind: kind, Name: name}]
	_ = json.Unmarshal(publisher.Section(object.Status, publisher.SectionAcceptance), &accepted)
	return accepted, string(object.Status)
}

func TestPublishAndStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		declare(t, m, "ServiceClass", "chat", `{"tier":0}`)
		declare(t, m, "Workspace", "clinic", `{"classes":["chat"]}`)
		_, err := m.PutStatus(t.Context(), "ServiceClass", "chat", json.RawMessage(`{"attainment":0.99}`), publisher.Condition{})
		assert.NilError(t, err)
		a, b := run(t, m, nil, "a"), run(t, m, nil, "b")
		time.Sleep(2 * time.Second)
		assert.Equal(t, head(m).Number, uint64(1))
		accepted, raw := status(m, "ServiceClass", "chat")
		assert.Assert(t, accepted.Accepted && accepted.RevisionNumber == 1)
		assert.Equal(t, raw, `{"acceptance":{"accepted":true,"revision":1,"generation":1},"attainment":0.99}`, "what others wrote is kept")

		declare(t, m, "ServiceClass", "chat", `{"tier":9}`)
		declare(t, m, "Workspace", "hotel", `{"classes":["chat"]}`)
		time.Sleep(time.Second)
		assert.Equal(t, head(m).Number, uint64(2))
		assert.Equal(t, set(t, m).Classes["chat"].Tier, 0)
		assert.Equal(t, len(set(t, m).Workspaces), 2, "a bad object holds up no other")
		rejected, _ := status(m, "ServiceClass", "chat")
		assert.DeepEqual(t, rejected, reviser.Status{RevisionNumber: 2, Generation: 2, Field: "tier", Reason: "9 is not between 0 and 4"})

		m.fault(func(m *memory) { m.reads, m.writes = 0, 0 })
		time.Sleep(10 * time.Minute)
		reads, writes := 0, 0
		m.fault(func(m *memory) { reads, writes = m.reads, m.writes })
		t.Logf("calls in 600 s at rest on two instances: %d reads, %d writes", reads, writes)
		assert.Assert(t, reads <= 180 && writes <= 121, "%d reads, %d writes", reads, writes)
		a.kill()
		b.kill()
	})
}

// One instance after the other is killed or stopped: another takes over, under
// a higher fencing number, and goes on where it was.
func TestTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		var longest time.Duration
		instance := run(t, m, nil, "start-0")
		time.Sleep(time.Second) // It takes the lease before the next one starts.
		for n := range 8 {
			next := run(t, m, nil, fmt.Sprint("start-", n+1))
			time.Sleep(12 * time.Second)
			if n%2 == 0 {
				instance.kill()
			} else {
				instance.Release(t.Context())
				instance.kill()
			}
			declared, last := time.Now(), head(m)
			declare(t, m, "ServiceClass", fmt.Sprint("class-", n), `{}`)
			for head(m).Number == last.Number {
				time.Sleep(100 * time.Millisecond)
			}
			assert.Assert(t, head(m).Number == last.Number+1 && head(m).Fence > last.Fence)
			longest = max(longest, time.Since(declared))
			assert.Equal(t, len(set(t, m).Classes), n+1)
			instance = next
		}
		limit := leaser.DefaultDuration + 2*time.Second
		assert.Assert(t, longest <= limit, "%s", longest)
		t.Logf("longest time from a write to its revision over 8 takeovers: %s", longest)
		instance.kill()
	})
}

// A third of all writes take effect though their answers are lost, then the
// store is down for an hour.
func TestLostAnswersAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		m.lost = 0.33
		a, b := run(t, m, nil, "a"), run(t, m, nil, "b")
		for n := range 40 {
			declare(t, m, "ServiceClass", fmt.Sprint("class-", n%7), fmt.Sprintf(`{"tier":%d}`, n%5))
			before := head(m).Number
			time.Sleep(20 * time.Second)
			after := head(m).Number
			assert.Assert(t, after >= before)
			assert.Equal(t, set(t, m).Classes[fmt.Sprint("class-", n%7)].Tier, n%5)
		}
		before := head(m)
		m.fault(func(m *memory) { m.outage = true })
		time.Sleep(time.Hour)
		assert.DeepEqual(t, head(m), before)
		m.fault(func(m *memory) { m.outage = false })
		declare(t, m, "ServiceClass", "last", `{"tier":1}`)
		time.Sleep(30 * time.Second)
		assert.Equal(t, set(t, m).Classes["last"].Tier, 1)
		assert.Assert(t, head(m).Fence > before.Fence)
		accepted, _ := status(m, "ServiceClass", "last")
		assert.Assert(t, accepted.Accepted)
		a.kill()
		b.kill()
	})
}

func parts(m *memory) (count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key := range m.objects {
		if key.Kind == publisher.KindPart {
			count++
		}
	}
	return count
}

// Parts that no recent revision uses do not stay.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		a := run(t, m, nil, "a")
		for n := range 12 {
			declare(t, m, "ServiceClass", "chat", fmt.Sprintf(`{"tier":1,"floor":"%ds"}`, n+1))
			time.Sleep(2 * time.Second)
		}
		assert.Equal(t, parts(m), 12)
		time.Sleep(2 * time.Hour)
		assert.Equal(t, parts(m), reviser.KeptRevisions)
		assert.Equal(t, set(t, m).Classes["chat"].GuaranteedWait.AsDuration(), 12*time.Second)
		a.kill()
	})
}

// Watches go silent for good: the resources are listed again. A listing that is
// behind the revision in force is not used.
func TestSilentWatchesAndStaleListings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		declare(t, m, "ServiceClass", "chat", `{"tier":0}`)
		m.fault(func(m *memory) { m.silent = true })
		a := run(t, m, nil, "a")
		time.Sleep(2 * time.Second)
		declare(t, m, "ServiceClass", "chat", `{"tier":1}`)
		time.Sleep(50 * time.Second)
		assert.Equal(t, set(t, m).Classes["chat"].Tier, 1)
		a.Release(t.Context())
		a.kill()

		m.fault(func(m *memory) { m.silent, m.lag = false, 1000 })
		b := run(t, m, nil, "b")
		declare(t, m, "ServiceClass", "chat", `{"tier":2}`)
		time.Sleep(20 * time.Second)
		assert.Equal(t, head(m).Number, uint64(2), "the listing may be older than what is in force")
		m.fault(func(m *memory) { m.lag = 0 })
		time.Sleep(5 * time.Second)
		assert.Equal(t, set(t, m).Classes["chat"].Tier, 2)
		b.kill()
	})
}

// fleet is model engines that check fencing numbers.
type fleet struct {
	mu      sync.Mutex
	engines map[string]*engine
	loads   int
}

type engine struct {
	state orderer.EngineState
	ready time.Time
}

// get returns an engine, one that runs its first model if it is new.
func (f *fleet) get(address string) *engine {
	e, found := f.engines[address]
	if !found {
		e = &engine{state: orderer.EngineState{Model: "ink"}}
		f.engines[address] = e
	}
	e.state.Loading = time.Now().Before(e.ready)
	return e
}

func (f *fleet) State(_ context.Context, address string) (orderer.EngineState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.get(address).state, nil
}

func (f *fleet) Order(ctx context.Context, order orderer.Order) (orderer.EngineState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.get(order.Address)
	if order.Fence < e.state.Fence {
		return e.state, &commander.RefusedError{State: e.state}
	}
	if e.state.Model != order.Model {
		f.loads++
		e.ready = time.Now().Add(30 * time.Second)
	}
	e.state.Fence, e.state.Model = order.Fence, order.Model
	return f.get(order.Address).state, ctx.Err()
}

// A change of three engines, one at a time; the holder is killed on the way and
// the next one goes on where it was.
func TestPlannedChangeAcrossHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, f := newMemory(), &fleet{engines: make(map[string]*engine)}
		declare(t, m, "Service", "pool", `{"kind":"model","models":["ink","oak"]}`)
		for n := range 3 {
			declare(t, m, "Endpoint", fmt.Sprint("e", n), fmt.Sprintf(`{"service":"pool","address":"http://10.0.0.1:%d","dataCentre":"a","fenced":true}`, n+1))
		}
		declare(t, m, "PlannedChange", "c", `{"endpoints":["e0","e1","e2"],"model":"oak"}`)
		a := run(t, m, f, "a")
		time.Sleep(time.Second)
		b := run(t, m, f, "b")
		time.Sleep(50 * time.Second)
		progress := func() (found orderer.Progress) {
			_, raw := status(m, "PlannedChange", "c")
			_ = json.Unmarshal(publisher.Section(json.RawMessage(raw), publisher.SectionProgress), &found)
			return found
		}
		assert.DeepEqual(t, progress(), orderer.Progress{Phase: orderer.PhaseRunning, DoneEndpoints: 1, TotalEndpoints: 3, CurrentEndpoints: []string{"e1"}})
		a.kill()
		time.Sleep(10 * time.Minute)
		assert.DeepEqual(t, progress(), orderer.Progress{Phase: orderer.PhaseDone, DoneEndpoints: 3, TotalEndpoints: 3})
		assert.Equal(t, f.loads, 3)
		accepted, _ := status(m, "PlannedChange", "c")
		assert.Assert(t, accepted.Accepted, "both sections stand in the status")
		for address := range f.engines {
			state, _ := f.State(t.Context(), address)
			assert.Equal(t, state, orderer.EngineState{Fence: state.Fence, Model: "oak"})
		}
		b.kill()
	})
}
