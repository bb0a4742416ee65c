// Package chronicler keeps the record of the versions of endpoints' software on the platform,
// as pkg/historian decides. Instances read it to find out at which version a stream began that
// none of them remembers.
package chronicler

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/storer"
	"github.com/oleanderpick/oleanderpick/pkg/historian"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// Store is the part of the platform's object API that the chronicler uses.
type Store interface {
	Get(ctx context.Context, kind, name string) (storer.Object, error)
	Put(ctx context.Context, kind, name string, spec json.RawMessage, condition storer.Condition) (storer.Object, error)
}

// Lister reads which versions the registry has.
type Lister interface {
	// ListVersions returns the versions of all registered endpoints by service, and the epoch of
	// the store in which they were read.
	ListVersions(ctx context.Context) (versions map[string][]string, epoch uint64, err error)
}

// Settings are the place of the record and the limits of a Chronicler.
type Settings struct {
	// Kind is the kind of the record's object.
	Kind string
	// FirstStart is true if the whole system starts for the first time.
	FirstStart bool
	// LongestStream returns how long a stream can last, with all requests that take it up; 0 if
	// that is not known.
	LongestStream func() time.Duration
}

const (
	// objectName is the name of the record's object.
	objectName = "versions"
	// firstStartSpread is the time over which instances that all start for the first time
	// spread their reads, so that few of them write the first record.
	firstStartSpread = 300 * time.Millisecond
	// updateTimeout limits the wait for an update of the record, and holdTimeout the time for
	// which endpoints are left out while it cannot be written.
	updateTimeout = 500 * time.Millisecond
	holdTimeout   = 3 * time.Second
	// maxWrites is how often an update is tried while others write the record too.
	maxWrites = 4
)

// spec is the JSON of the record.
type spec struct {
	Epoch    uint64              `json:"epoch"`
	Versions map[string][]string `json:"versions"`
}

// Chronicler reads and writes the record for one instance. It is safe for concurrent use.
type Chronicler struct {
	settings Settings
	store    Store
	lister   Lister
	logger   hclog.Logger

	mu        sync.Mutex
	historian *historian.Historian
	written   storer.Object // as read or written last; Version 0 if there is none
	updating  chan struct{} // closed when the update ends; nil if there is none
	heldSince time.Time     // when endpoints began to be left out; zero if none are

	records  *sharedRead[storer.Object]
	listings *sharedRead[listing]
}

// listing is what the registry has: its versions by service, and the epoch of the store.
type listing struct {
	versions map[string][]string
	epoch    uint64
}

// New returns a chronicler that knows no record.
func New(settings Settings, store Store, logger hclog.Logger) *Chronicler {
	c := &Chronicler{settings: settings, store: store, logger: logger, historian: historian.New(settings.FirstStart)}
	c.records = newSharedRead(func(ctx context.Context) (storer.Object, error) { return c.store.Get(ctx, settings.Kind, objectName) })
	c.listings = newSharedRead(func(ctx context.Context) (listing, error) {
		versions, epoch, err := c.lister.ListVersions(ctx)

		return listing{versions, epoch}, err
	})

	return c
}

// SetLister sets what reads the registry for OnlyVersion. Call SetLister before OnlyVersion.
func (c *Chronicler) SetLister(lister Lister) {
	c.lister = lister
}

// Admit returns the listed endpoints at which streams may begin, since their versions are
// recorded, and those that are in use: another instance has found their versions recorded. It
// updates the record if that is due, and waits for the update if endpoints would be left out.
//
// If the record cannot be written for holdTimeout, all endpoints are returned: callers are served
// although a stream may not be known later.
func (c *Chronicler) Admit(ctx context.Context, epoch uint64, endpoints []registrar.Endpoint, isInUse func(registrar.Endpoint) bool) []registrar.Endpoint {
	c.mu.Lock()
	now := time.Now()
	c.historian.ApplyListing(now, epoch, versionsByService(endpoints))
	updated := c.startUpdate(now)
	c.mu.Unlock()
	admitted := c.usable(endpoints, isInUse)
	if updated != nil && len(admitted) < len(endpoints) {
		c.await(ctx, updated)
		admitted = c.usable(endpoints, isInUse)
	}
	if len(admitted) < len(endpoints) && c.hasHeldTooLong(now) {
		c.logger.Warn("Endpoints are used before the record has their versions.", "endpoints", len(endpoints)-len(admitted),
			"listed versions", versionsByService(endpoints), "epoch", epoch)

		return endpoints
	}

	return admitted
}

// versionsByService returns the versions of endpoints.
func versionsByService(endpoints []registrar.Endpoint) map[string][]string {
	versions := map[string][]string{}
	for _, endpoint := range endpoints {
		versions[endpoint.Service] = append(versions[endpoint.Service], endpoint.Version)
	}

	return versions
}

// usable returns the endpoints whose versions are recorded or that are in use, and keeps since
// when others are left out.
func (c *Chronicler) usable(endpoints []registrar.Endpoint, isInUse func(registrar.Endpoint) bool) []registrar.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	usable := make([]registrar.Endpoint, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if c.historian.IsRecorded(endpoint.Service, endpoint.Version) || isInUse(endpoint) {
			usable = append(usable, endpoint)
		}
	}
	switch {
	case len(usable) == len(endpoints):
		c.heldSince = time.Time{}
	case c.heldSince.IsZero():
		c.heldSince = time.Now()
	}

	return usable
}

// hasHeldTooLong reports whether endpoints have been left out for too long.
func (c *Chronicler) hasHeldTooLong(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return !c.heldSince.IsZero() && now.Sub(c.heldSince) >= holdTimeout
}

// await waits for an update, for updateTimeout at the longest.
func (c *Chronicler) await(ctx context.Context, updated <-chan struct{}) {
	timer := time.NewTimer(updateTimeout)
	defer timer.Stop()
	select {
	case <-updated:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// startUpdate starts an update if one is due and none runs, and returns the channel that is
// closed when it ends; nil if none runs. The caller holds the mutex.
func (c *Chronicler) startUpdate(now time.Time) <-chan struct{} {
	if c.updating != nil {
		return c.updating
	}
	if c.historian.HasRecord() {
		if _, isChanged := c.historian.NextRecord(now, c.settings.LongestStream()); !isChanged {
			return nil
		}
	}
	updated := make(chan struct{})
	c.updating = updated
	go func() {
		// An update is short: calls of the store have a timeout.
		if err := c.update(context.Background()); err != nil {
			c.logger.Info("Cannot update the record of versions; the next listing tries again.", "error", err)
		}
		c.mu.Lock()
		c.updating = nil
		c.mu.Unlock()
		close(updated)
	}()

	return updated
}

// update reads the record if that is due, and writes it if it changes.
func (c *Chronicler) update(ctx context.Context) error {
	c.mu.Lock()
	hasRecord := c.historian.HasRecord()
	c.mu.Unlock()
	if !hasRecord {
		if c.settings.FirstStart {
			time.Sleep(rand.N(firstStartSpread)) //nolint:gosec // It only spreads load.
		}
		if err := c.apply(c.store.Get(ctx, c.settings.Kind, objectName)); err != nil {
			return err
		}
	}
	for range maxWrites {
		next, condition, isChanged := c.next()
		if !isChanged {
			return nil
		}
		body, err := json.Marshal(spec(next))
		if err != nil {
			return errors.Wrap(err, "encode the record")
		}
		written, err := c.store.Put(ctx, c.settings.Kind, objectName, body, condition)
		var conflict *storer.ConflictError
		if errors.As(err, &conflict) {
			written, err = c.store.Get(ctx, c.settings.Kind, objectName)
		} else if err == nil {
			written.Spec = body
			c.logger.Info("Recorded versions.", "epoch", next.Epoch, "versions", string(body))
		}
		if err := c.apply(written, err); err != nil {
			return err
		}
	}

	return errors.New("others write the record at the same time")
}

// next returns the record to write and the condition of the write.
func (c *Chronicler) next() (next historian.Record, condition storer.Condition, isChanged bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next, isChanged = c.historian.NextRecord(time.Now(), c.settings.LongestStream())
	if c.historian.IsMissing() {
		return next, storer.IfNotExists(), isChanged
	}

	return next, storer.IfVersion(c.written.Version), isChanged
}

// apply applies the result of a call that returns the record's object. After an error that leaves
// open what is stored, the record is read again by the next update.
func (c *Chronicler) apply(object storer.Object, err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(err, storer.ErrNotFound) {
		c.historian.ApplyMissing()

		return nil
	}
	if err != nil {
		c.historian.Forget()

		return errors.Wrap(err, "record of versions")
	}
	record, err := decode(object)
	if err != nil {
		c.logger.Warn("The record of versions cannot be decoded; it counts as incomplete.", "error", err)
	}
	c.written = object
	c.historian.ApplyRecord(time.Now(), record)

	return nil
}

// decode decodes the record. One that cannot be decoded is complete for no epoch.
func decode(object storer.Object) (historian.Record, error) {
	var decoded spec
	if err := json.Unmarshal(object.Spec, &decoded); err != nil {
		return historian.Unreadable(), errors.Wrap(err, "decode the record of versions")
	}

	return historian.Record(decoded), nil
}

// OnlyVersion reads the record, and the registry if the record has one version of a service, and returns the
// version at which streams of the service began that have not ended. It returns false if there may be several.
// The registry counts too, since instances use endpoints whose version cannot be recorded for a while. The reads
// are sent after the call of OnlyVersion; calls at the same time share them.
func (c *Chronicler) OnlyVersion(ctx context.Context, service string) (version string, ok bool, err error) {
	object, err := c.records.get(ctx)
	if err != nil {
		return "", false, err
	}
	record, err := decode(object)
	if err != nil {
		return "", false, err
	}
	version, ok = record.OnlyVersion(object.Epoch, service)
	if !ok {
		return "", false, nil
	}
	listed, err := c.listings.get(ctx)
	if err != nil {
		return "", false, err
	}
	isOther := func(listed string) bool { return listed != version }
	if listed.epoch != object.Epoch || slices.ContainsFunc(listed.versions[service], isOther) {
		return "", false, nil
	}

	return version, true, nil
}
