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

var errDown = errors.New("store unavailable")

// memory is a store in memory with faults.
type memory struct {
	mu      sync.Mutex
	counter uint64
	objects map[declarer.Key]publisher.Object
	gone    map[declarer.Key]uint64
	changed chan struct{}
	outage  bool
	random  *rand.Rand
	// lost is the share of writes that take effect though the answer is lost.
	lost float64
	// silent watches never answer; lag is how far listings say they are behind.
	silent bool
	lag    uint64
	reads  int
	writes int
}

func newMemory() *memory {
	return &memory{
		objects: make(map[declarer.Key]publisher.Object), gone: make(map[declarer.Key]uint64),
		changed: make(chan struct{}), random: rand.New(rand.NewPCG(20261203, 0)),
	}
}

// enter counts a call and fails it in an outage or when its time is over.
func (m *memory) enter(ctx context.Context, count *int) error {
	*count++
	if m.outage {
		return errDown
	}
	return ctx.Err()
}

func (m *memory) Get(ctx context.Context, kind, name string) (publisher.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.enter(ctx, &m.reads); err != nil {
		return publisher.Object{}, err
	}
	object, found := m.objects[declarer.Key{Kind: kind, Name: name}]
	if !found {
		return publisher.Object{}, publisher.ErrNotFound
	}
	return object, nil
}

func (m *memory) List(ctx context.Context, kind, after string) (publisher.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.enter(ctx, &m.reads); err != nil {
		return publisher.Page{}, err
	}
	page := publisher.Page{StoreCounter: m.counter - min(m.lag, m.counter)}
	for _, key := range slices.SortedFunc(maps.Keys(m.objects), declarer.Key.Compare) {
		if key.Kind != kind || key.Name <= after {
			continue
		}
		if len(page.Items) == 2 {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, m.objects[key])
	}
	return page, nil
}

func (m *memory) write(ctx context.Context, kind, name string, condition publisher.Condition, change func(*publisher.Object)) (publisher.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.enter(ctx, &m.writes); err != nil {
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
	m.signal()
	if m.random.Float64() < m.lost {
		return publisher.Object{}, publisher.ErrWriteInDoubt
	}
	return object, nil
}

func (m *memory) signal() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memory) Put(ctx context.Context, kind, name string, spec json.RawMessage, condition publisher.Condition) (publisher.Object, error) {
	return m.write(ctx, kind, name, condition, func(o *publisher.Object) {
		o.Spec = spec
		o.Generation++
	})
}

func (m *memory) PutStatus(ctx context.Context, kind, name string, status json.RawMessage, condition publisher.Condition) (publisher.Object, error) {
	return m.write(ctx, kind, name, condition, func(o *publisher.Object) { o.Status = status })
}

func (m *memory) Delete(_ context.Context, kind, name string, _ publisher.Condition) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := declarer.Key{Kind: kind, Name: name}
	m.counter++
	delete(m.objects, key)
	m.gone[key] = m.counter
	m.signal()
	return nil
}

func (m *memory) WatchKind(ctx context.Context, kind string, revision uint64) (publisher.Changes, bool, error) {
	end := time.NewTimer(30 * time.Second)
	defer end.Stop()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	if m.silent {
		m.mu.Unlock()
		<-ctx.Done()
		m.mu.Lock()
		return publisher.Changes{}, false, ctx.Err()
	}
	for {
		if m.outage {
			return publisher.Changes{}, false, errDown
		}
		if changes := m.since(kind, revision); len(changes.Items)+len(changes.DeletedNames) > 0 {
			return changes, true, nil
		}
		changed := m.changed
		m.mu.Unlock()
		over := false
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-ctx.Done():
			over = true
		}
		m.mu.Lock()
		if over {
			return publisher.Changes{}, false, ctx.Err()
		}
	}
}

func (m *memory) since(kind string, revision uint64) publisher.Changes {
	changes := publisher.Changes{StoreCounter: m.counter}
	for key, object := range m.objects {
		if key.Kind == kind && object.Version > revision {
			changes.Items = append(changes.Items, object)
		}
	}
	for key, version := range m.gone {
		if _, back := m.objects[key]; key.Kind == kind && version > revision && !back {
			changes.DeletedNames = append(changes.DeletedNames, key.Name)
		}
	}
	return changes
}

func (m *memory) fault(change func(*memory)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m)
	m.signal()
}
