package publisher_test

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/publisher"
	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

var errUnavailable = errors.New("store unavailable")

// memoryStore is a store in memory that can simulate faults.
type memoryStore struct {
	mu sync.Mutex
	// counter is the write counter; the version of an object is its value at the
	// object's last write.
	counter uint64
	objects map[declarer.Key]publisher.Object
	// deletedAt holds the value of the write counter at each deletion.
	deletedAt map[declarer.Key]uint64
	// changed is closed, and replaced by a new channel, to wake the watches.
	changed chan struct{}
	// outage makes every call fail.
	outage bool
	random *rand.Rand
	// lostAnswerFraction is the fraction of writes that take effect but whose answers
	// are lost.
	lostAnswerFraction float64
	// silentWatches makes watches wait until their context ends.
	silentWatches bool
	// listingLag is subtracted from the write counter that listings state.
	listingLag uint64
	// reads and writes count the calls.
	reads  int
	writes int
}

// newMemoryStore returns an empty store without faults.
func newMemoryStore() *memoryStore {
	return &memoryStore{
		objects: make(map[declarer.Key]publisher.Object), deletedAt: make(map[declarer.Key]uint64),
		changed: make(chan struct{}), random: rand.New(rand.NewPCG(20261203, 0)),
	}
}

// beginCall counts a call. It returns an error during an outage or if ctx has ended.
func (m *memoryStore) beginCall(ctx context.Context, count *int) error {
	*count++
	if m.outage {
		return errUnavailable
	}
	return ctx.Err()
}

func (m *memoryStore) Get(ctx context.Context, kind, name string) (publisher.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall(ctx, &m.reads); err != nil {
		return publisher.Object{}, err
	}
	object, found := m.objects[declarer.Key{Kind: kind, Name: name}]
	if !found {
		return publisher.Object{}, publisher.ErrNotFound
	}
	return object, nil
}

func (m *memoryStore) List(ctx context.Context, kind, afterName string) (publisher.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall(ctx, &m.reads); err != nil {
		return publisher.Page{}, err
	}
	page := publisher.Page{StoreCounter: m.counter - min(m.listingLag, m.counter)}
	for _, key := range slices.SortedFunc(maps.Keys(m.objects), declarer.Key.Compare) {
		if key.Kind != kind || key.Name <= afterName {
			continue
		}
		if len(page.Items) == 2 {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, m.objects[key])
		page.LastName = key.Name
	}
	return page, nil
}

// write changes an object if the condition holds.
func (m *memoryStore) write(ctx context.Context, kind, name string, condition publisher.Condition, change func(*publisher.Object)) (publisher.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall(ctx, &m.writes); err != nil {
		return publisher.Object{}, err
	}
	key := declarer.Key{Kind: kind, Name: name}
	object, found := m.objects[key]
	if condition.MustNotExist && found || condition.ExpectedVersion > 0 && object.Version != condition.ExpectedVersion {
		return publisher.Object{}, &publisher.ConflictError{Current: object}
	}
	m.counter++
	object.Kind, object.Name, object.Version = kind, name, m.counter
	change(&object)
	m.objects[key] = object
	m.notifyWatchers()
	if m.random.Float64() < m.lostAnswerFraction {
		return publisher.Object{}, publisher.ErrWriteInDoubt
	}
	return object, nil
}

// notifyWatchers makes all waiting watches look for changes.
func (m *memoryStore) notifyWatchers() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memoryStore) Put(ctx context.Context, kind, name string, spec json.RawMessage, condition publisher.Condition) (publisher.Object, error) {
	return m.write(ctx, kind, name, condition, func(o *publisher.Object) {
		o.Spec = spec
		o.Generation++
	})
}

func (m *memoryStore) PutStatus(ctx context.Context, kind, name string, status json.RawMessage, condition publisher.Condition) (publisher.Object, error) {
	return m.write(ctx, kind, name, condition, func(o *publisher.Object) { o.Status = status })
}

func (m *memoryStore) Delete(_ context.Context, kind, name string, _ publisher.Condition) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := declarer.Key{Kind: kind, Name: name}
	m.counter++
	delete(m.objects, key)
	m.deletedAt[key] = m.counter
	m.notifyWatchers()
	return nil
}

func (m *memoryStore) WatchKind(ctx context.Context, kind string, afterCounter uint64) (publisher.Changes, bool, error) {
	timeout := time.NewTimer(30 * time.Second)
	defer timeout.Stop()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	if m.silentWatches {
		m.mu.Unlock()
		<-ctx.Done()
		m.mu.Lock()
		return publisher.Changes{}, false, ctx.Err()
	}
	for {
		if m.outage {
			return publisher.Changes{}, false, errUnavailable
		}
		if changes := m.changesSince(kind, afterCounter); len(changes.Items)+len(changes.DeletedNames) > 0 {
			return changes, true, nil
		}
		changed := m.changed
		m.mu.Unlock()
		ended := false
		select {
		case <-changed:
		case <-timeout.C:
			ended = true
		case <-ctx.Done():
			ended = true
		}
		m.mu.Lock()
		if ended {
			return publisher.Changes{}, false, ctx.Err()
		}
	}
}

// changesSince returns the writes and deletions of a kind after a counter value.
func (m *memoryStore) changesSince(kind string, afterCounter uint64) publisher.Changes {
	changes := publisher.Changes{StoreCounter: m.counter}
	for key, object := range m.objects {
		if key.Kind == kind && object.Version > afterCounter {
			changes.Items = append(changes.Items, object)
		}
	}
	for key, version := range m.deletedAt {
		if _, exists := m.objects[key]; key.Kind == kind && version > afterCounter && !exists {
			changes.DeletedNames = append(changes.DeletedNames, key.Name)
		}
	}
	return changes
}

// update changes the store's fields under its lock, for example to simulate a fault.
func (m *memoryStore) update(change func(*memoryStore)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m)
	m.notifyWatchers()
}
