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
	// relistDelay is the time after a failed listing or watch until the kind is
	// listed again.
	relistDelay = time.Second
	// listPageTimeout is the maximum duration of the call for one page of a listing.
	listPageTimeout = 10 * time.Second
	// watchTimeout is the maximum duration of a watch. The store ends a watch
	// earlier; if it does not, the connection no longer delivers anything.
	watchTimeout = 45 * time.Second
	// refusedListingDelay is the time after a listing was refused as too old, or as
	// empty though resources are in force, until the resources are listed again.
	refusedListingDelay = 2 * time.Second
	// batchWindow is the time after a change during which further changes are
	// collected, so that several writes lead to one revision.
	batchWindow = 100 * time.Millisecond
)

// collector keeps a copy of the operators' resources up to date while one lease
// term lasts. It lists each kind and then watches it.
type collector struct {
	store Store
	// onChange is called after each listing of a kind and each watched change, with mu
	// locked.
	onChange func()

	mu            sync.Mutex
	objectsByKind map[string]*kindObjects
	// hasReturnedListing is true after currentListing first returned a complete listing.
	// firstLowestCounter is the lowest counter of that listing.
	hasReturnedListing bool
	firstLowestCounter uint64
}

// kindObjects holds the known objects of one kind by name. The objects are at least
// as new as lowestCounter and at most as new as highestCounter, which are values
// of the store's write counter.
type kindObjects struct {
	objects                       map[string]Object
	lowestCounter, highestCounter uint64
	listed                        bool
}

// newCollector returns a collector without any objects, which start fills.
func newCollector(store Store, onChange func()) *collector {
	c := &collector{store: store, onChange: onChange, objectsByKind: make(map[string]*kindObjects)}
	for _, kind := range declarer.Kinds() {
		c.objectsByKind[kind] = &kindObjects{objects: make(map[string]Object)}
	}
	return c
}

// start starts one goroutine per kind that keeps it up to date until ctx ends.
func (c *collector) start(ctx context.Context) {
	for _, kind := range declarer.Kinds() {
		go c.followKind(ctx, kind)
	}
}

// followKind lists a kind and then watches it. After an error it lists the kind
// again.
func (c *collector) followKind(ctx context.Context, kind string) {
	for ctx.Err() == nil {
		counter, err := c.listKind(ctx, kind)
		for err == nil && ctx.Err() == nil {
			counter, err = c.watchKind(ctx, kind, counter)
		}
		sleep(ctx, relistDelay)
	}
}

// listKind reads all objects of a kind and returns the lowest store counter of the
// pages, from which a watch can continue.
func (c *collector) listKind(ctx context.Context, kind string) (uint64, error) {
	replacement := &kindObjects{objects: make(map[string]Object), listed: true}
	for afterName, more := "", true; more; {
		page, err := c.listPage(ctx, kind, afterName)
		if err != nil {
			return 0, err
		}
		if afterName == "" {
			replacement.lowestCounter = page.StoreCounter
		}
		replacement.lowestCounter, replacement.highestCounter = min(replacement.lowestCounter, page.StoreCounter), max(replacement.highestCounter, page.StoreCounter)
		for _, object := range page.Items {
			replacement.objects[object.Name] = object
		}
		more, afterName = page.HasMore, page.LastName
	}
	c.replaceKind(kind, replacement)
	return replacement.lowestCounter, nil
}

// listPage reads one page of the objects of a kind.
func (c *collector) listPage(ctx context.Context, kind, afterName string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, listPageTimeout)
	defer cancel()
	return c.store.List(ctx, kind, afterName)
}

// replaceKind replaces the objects of a kind by a listing, unless the listing may be
// older than the known objects.
func (c *collector) replaceKind(kind string, replacement *kindObjects) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if replacement.lowestCounter >= c.objectsByKind[kind].highestCounter {
		c.objectsByKind[kind] = replacement
	}
	c.onChange()
}

// watchKind waits for changes of a kind after the given store counter, applies them
// and returns the counter from which the next watch continues.
func (c *collector) watchKind(ctx context.Context, kind string, counter uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	changes, changed, err := c.store.WatchKind(ctx, kind, counter)
	if err != nil || !changed {
		return counter, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.objectsByKind[kind]
	for _, object := range changes.Items {
		if object.Version >= known.objects[object.Name].Version {
			known.objects[object.Name] = object
		}
	}
	for _, name := range changes.DeletedNames {
		delete(known.objects, name)
	}
	known.highestCounter = max(known.highestCounter, changes.StoreCounter)
	c.onChange()
	return max(counter, changes.StoreCounter), nil
}

// currentListing returns the copy of all resources, both as a listing for the
// reviser and as objects by key. It returns false until every kind was listed.
func (c *collector) currentListing() (reviser.Listing, map[declarer.Key]Object, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listing := reviser.Listing{Statuses: make(map[declarer.Key]reviser.Status), ContinuesPrevious: c.hasReturnedListing}
	objects := make(map[declarer.Key]Object)
	for _, kind := range declarer.Kinds() {
		known := c.objectsByKind[kind]
		if !known.listed {
			return reviser.Listing{}, nil, false
		}
		listing.HighestCounter = max(listing.HighestCounter, known.highestCounter)
		for _, name := range slices.Sorted(maps.Keys(known.objects)) {
			object := known.objects[name]
			key := declarer.Key{Kind: kind, Name: name}
			objects[key] = object
			listing.Resources = append(listing.Resources, declarer.Resource{Kind: kind, Name: name, Generation: object.Generation, Spec: object.Spec})
			if status, found := decodeAcceptance(object); found {
				listing.Statuses[key] = status
			}
		}
	}
	if !c.hasReturnedListing {
		c.firstLowestCounter = c.lowestCounter()
	}
	c.hasReturnedListing, listing.LowestCounter = true, c.firstLowestCounter
	return listing, objects, true
}

// lowestCounter returns the store counter at which or after which every kind was
// read.
func (c *collector) lowestCounter() uint64 {
	lowest := uint64(math.MaxUint64)
	for _, known := range c.objectsByKind {
		lowest = min(lowest, known.lowestCounter)
	}
	return lowest
}

// sleep waits for the duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
