// Package announcer registers a relaying instance in the platform's object API and
// finds its peers there, in case the seeds of the settings are out of date.
//
// An entry only holds an address at which there may be an instance; whether the
// instance is live shows in its messages. The entry of an instance that has stopped
// remains until an instance of the same name replaces it.
package announcer

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/storer"
)

// Store is the part of the platform's object API that the announcer uses.
type Store interface {
	Put(ctx context.Context, kind, name string, spec json.RawMessage, condition storer.Condition) (storer.Object, error)
	List(ctx context.Context, kind, after string, limit int) (storer.Page, error)
}

// Fleet is what the announcer knows of the other instances from their messages.
type Fleet interface {
	// Addresses returns the addresses of the peers that live.
	Addresses() []string
	// Rank returns the number of live instances that come before this one.
	Rank() int
}

// Settings holds the entry of this instance and the intervals of an Announcer.
type Settings struct {
	// Kind is the kind of the instances' entries. Name and Address are those of this
	// instance.
	Kind, Name, Address string
	// RetryDelay is the time after which a failed call is repeated.
	RetryDelay time.Duration
	// FirstListDelay is the time after the registration from which an instance without live peers
	// lists the instances.
	FirstListDelay time.Duration
	// ListInterval is the time between two listings of the instances.
	ListInterval time.Duration
}

// Default values of the settings. They are long, because instances mostly find each
// other through the seeds and through gossip.
const (
	DefaultRetryDelay     = 3 * time.Second
	DefaultFirstListDelay = 500 * time.Millisecond
	DefaultListInterval   = 30 * time.Second
)

// listerCount is the number of instances that list the others in each interval while they have live
// peers, which learn from them. Each further listerCount instances list in every second, third and
// so on, so that each finds out in the end whether its own registration was lost.
const listerCount = 2

// entry is the spec of the object that registers an instance.
type entry struct {
	Address string `json:"address"`
}

// Announcer registers this instance and lists the others.
type Announcer struct {
	settings     Settings
	store        Store
	fleet        Fleet
	addAddresses func(addresses []string)
	logger       hclog.Logger
	done         chan struct{}
	isListed     bool // whether the last listing contained this instance
}

// New returns an Announcer that passes the addresses of the listed peers to
// addAddresses. Serve runs it.
func New(settings Settings, store Store, fleet Fleet, addAddresses func(addresses []string), logger hclog.Logger) *Announcer {
	return &Announcer{settings: settings, store: store, fleet: fleet, addAddresses: addAddresses, logger: logger, done: make(chan struct{})}
}

// String returns the name under which the supervisor logs this service.
func (a *Announcer) String() string {
	return "announcer"
}

// Done returns a channel that is closed when Serve has ended.
func (a *Announcer) Done() <-chan struct{} {
	return a.done
}

// Serve registers this instance and then lists the others until ctx ends, at longer intervals the
// more instances come before it, unless it has no live peers. If a listing lacks this instance, because the store came
// back from an older copy, it registers again.
func (a *Announcer) Serve(ctx context.Context) error {
	defer close(a.done)
	a.retryUntilSuccess(ctx, "register", a.register)
	sleep(ctx, a.settings.FirstListDelay)
	if len(a.fleet.Addresses()) == 0 {
		a.retryUntilSuccess(ctx, "list", a.listInstances)
	}
	sleep(ctx, a.settings.RetryDelay) // Until then the rank is not known for sure.
	for skipped := 0; ctx.Err() == nil; skipped++ {
		if len(a.fleet.Addresses()) == 0 || a.fleet.Rank()/listerCount <= skipped {
			a.update(ctx)
			skipped = -1
		}
		sleep(ctx, a.settings.ListInterval)
	}

	return ctx.Err()
}

// update lists the instances, and registers this one again if the listing lacks it.
func (a *Announcer) update(ctx context.Context) {
	a.retryUntilSuccess(ctx, "list", a.listInstances)
	if a.isListed || ctx.Err() != nil {
		return
	}
	sleep(ctx, a.reregistrationDelay())
	a.logger.Warn("The registration of this instance was lost and is written again.", "instance", a.settings.Name)
	a.retryUntilSuccess(ctx, "register", a.register)
}

// reregistrationDelay returns a part of the retry delay that differs between instances, so
// that not all of them write at once.
func (a *Announcer) reregistrationDelay() time.Duration {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(a.settings.Name))

	return a.settings.RetryDelay * time.Duration(hash.Sum32()>>16) / (1 << 16)
}

// retryUntilSuccess repeats a call until it succeeds or ctx ends. It logs the first
// failure only.
func (a *Announcer) retryUntilSuccess(ctx context.Context, callName string, call func(context.Context) error) {
	for failures := 0; ctx.Err() == nil; failures++ {
		err := call(ctx)
		if err == nil {
			return
		}
		if failures == 0 {
			a.logger.Info("Cannot reach the registry of instances; the call is repeated.", "call", callName, "error", err)
		}
		sleep(ctx, a.settings.RetryDelay)
	}
}

// sleep returns after a duration, or earlier when ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// register writes this instance's entry. It replaces one that an earlier start wrote
// with another address.
func (a *Announcer) register(ctx context.Context) error {
	spec, err := json.Marshal(entry{Address: a.settings.Address})
	if err != nil {
		return err
	}
	_, err = a.store.Put(ctx, a.settings.Kind, a.settings.Name, spec, storer.IfNotExists())
	var conflict *storer.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	if string(conflict.Current.Spec) == string(spec) {
		return nil
	}
	_, err = a.store.Put(ctx, a.settings.Kind, a.settings.Name, spec, storer.IfVersion(conflict.Current.Version))

	return err
}

// listInstances reads all entries and passes the other instances' addresses to
// addAddresses. It skips entries that cannot be decoded.
func (a *Announcer) listInstances(ctx context.Context) error {
	var addresses []string
	isListed := false
	for after, more := "", true; more; {
		page, err := a.store.List(ctx, a.settings.Kind, after, 0)
		if err != nil {
			return err
		}
		for _, item := range page.Items {
			var decoded entry
			if err := json.Unmarshal(item.Spec, &decoded); err != nil {
				a.logger.Warn("An instance's entry cannot be read.", "instance", item.Name, "error", err)

				continue
			}
			if item.Name == a.settings.Name {
				isListed = true
			} else {
				addresses = append(addresses, decoded.Address)
			}
		}
		more, after = page.HasMore, page.LastName
	}
	a.isListed = isListed
	a.addAddresses(addresses)

	return nil
}
