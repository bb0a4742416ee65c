package publisher

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
	"github.com/oleanderpick/oleanderpick/pkg/reviser"
)

const (
	// relistPause is the time before a failed listing or watch is repeated.
	relistPause = time.Second
	// listTimeout is the longest that a page of a listing is waited for.
	listTimeout = 10 * time.Second
	// watchTimeout is the longest that a watch is waited for, longer than the
	// store's own limit: beyond it the connection has gone silent.
	watchTimeout = 45 * time.Second
	// refusedPause is the time before resources that were too old to use are
	// listed anew.
	refusedPause = 2 * time.Second
	// batchPause is how long further changes are waited for, so that a number
	// of writes makes one revision.
	batchPause = 100 * time.Millisecond
)

// collector keeps a copy of the operators' resources for one lease.
type collector struct {
	store  Store
	notify func()

	mu    sync.Mutex
	kinds map[string]*shelf
	// given says that a listing was given, the first of which reached low.
	given bool
	low   uint64
}

// shelf is the objects of one kind.
type shelf struct {
	objects   map[string]Object
	low, high uint64
	listed    bool
}

func newCollector(store Store, notify func()) *collector {
	c := &collector{store: store, notify: notify, kinds: make(map[string]*shelf)}
	for _, kind := range declarer.Kinds() {
		c.kinds[kind] = &shelf{objects: make(map[string]Object)}
	}
	return c
}

// run keeps all kinds up to date until ctx ends.
func (c *collector) run(ctx context.Context) {
	for _, kind := range declarer.Kinds() {
		go c.follow(ctx, kind)
	}
}

// follow lists a kind, then watches it, and begins anew after an error.
func (c *collector) follow(ctx context.Context, kind string) {
	for ctx.Err() == nil {
		revision, err := c.list(ctx, kind)
		for err == nil && ctx.Err() == nil {
			revision, err = c.watch(ctx, kind, revision)
		}
		rest(ctx, relistPause)
	}
}

func (c *collector) list(ctx context.Context, kind string) (uint64, error) {
	fresh := &shelf{objects: make(map[string]Object), listed: true}
	for after, more := "", true; more; {
		page, err := c.page(ctx, kind, after)
		if err != nil {
			return 0, err
		}
		if after == "" {
			fresh.low = page.StoreCounter
		}
		fresh.low, fresh.high = min(fresh.low, page.StoreCounter), max(fresh.high, page.StoreCounter)
		for _, object := range page.Items {
			fresh.objects[object.Name] = object
			after = object.Name
		}
		more = page.HasMore && len(page.Items) > 0
	}
	c.replace(kind, fresh)
	return fresh.low, nil
}

func (c *collector) page(ctx context.Context, kind, after string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return c.store.List(ctx, kind, after)
}

// replace takes a listing, unless it is older than what is known.
func (c *collector) replace(kind string, fresh *shelf) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fresh.low >= c.kinds[kind].high {
		c.kinds[kind] = fresh
	}
	c.notify()
}

func (c *collector) watch(ctx context.Context, kind string, revision uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	changes, changed, err := c.store.WatchKind(ctx, kind, revision)
	if err != nil || !changed {
		return revision, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	shelf := c.kinds[kind]
	for _, object := range changes.Items {
		if object.Version >= shelf.objects[object.Name].Version {
			shelf.objects[object.Name] = object
		}
	}
	for _, name := range changes.DeletedNames {
		delete(shelf.objects, name)
	}
	shelf.high = max(shelf.high, changes.StoreCounter)
	c.notify()
	return max(revision, changes.StoreCounter), nil
}

// listing returns all resources, once every kind is known.
func (c *collector) listing() (reviser.Listing, map[declarer.Key]Object, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listing := reviser.Listing{Statuses: make(map[declarer.Key]reviser.Status), ContinuesPrevious: c.given}
	objects := make(map[declarer.Key]Object)
	for _, kind := range declarer.Kinds() {
		shelf := c.kinds[kind]
		if !shelf.listed {
			return reviser.Listing{}, nil, false
		}
		listing.HighestCounter = max(listing.HighestCounter, shelf.high)
		for _, name := range slices.Sorted(maps.Keys(shelf.objects)) {
			object := shelf.objects[name]
			key := declarer.Key{Kind: kind, Name: name}
			objects[key] = object
			listing.Resources = append(listing.Resources, declarer.Resource{Kind: kind, Name: name, Generation: object.Generation, Spec: object.Spec})
			if status, found := acceptance(object); found {
				listing.Statuses[key] = status
			}
		}
	}
	if !c.given {
		c.low = c.lowest()
	}
	c.given, listing.LowestCounter = true, c.low
	return listing, objects, true
}

// lowest is the counter that every kind is known to have reached.
func (c *collector) lowest() uint64 {
	lowest := uint64(math.MaxUint64)
	for _, shelf := range c.kinds {
		lowest = min(lowest, shelf.low)
	}
	return lowest
}

func rest(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
