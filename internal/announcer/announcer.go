// Package announcer registers a relaying instance in the platform's object API
// and finds the others there, for when the seeds of the settings are stale.
//
// An entry is only an address to ask: whether an instance lives shows by its
// messages. Entries of instances that ended remain; they are replaced when one of
// the same name starts.
package announcer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/storer"
)

// Store is the part of the object API that is used.
type Store interface {
	Put(ctx context.Context, kind, name string, spec json.RawMessage, condition storer.Condition) (storer.Object, error)
	List(ctx context.Context, kind, after string, limit int) (storer.Page, error)
}

// Settings are an announcer's.
type Settings struct {
	// Kind is that of the entries, Name and Address are the instance's own.
	Kind, Name, Address string
	// Retry is the time after which a failed call is repeated.
	Retry time.Duration
	// Interval is the time between two listings.
	Interval time.Duration
}

// Defaults of the settings: the seeds and the messages of others do most.
const (
	DefaultRetry    = 3 * time.Second
	DefaultInterval = 30 * time.Second
)

// entry is the spec of an instance's object.
type entry struct {
	Address string `json:"address"`
}

// Announcer registers and finds instances.
type Announcer struct {
	settings Settings
	store    Store
	meet     func(addresses []string)
	logger   hclog.Logger
	done     chan struct{}
}

// New returns an announcer; meet takes the addresses that it finds.
func New(settings Settings, store Store, meet func(addresses []string), logger hclog.Logger) *Announcer {
	return &Announcer{settings: settings, store: store, meet: meet, logger: logger, done: make(chan struct{})}
}

// String returns the name that the supervisor logs.
func (a *Announcer) String() string {
	return "announcer"
}

// Done is closed when the announcer has ended.
func (a *Announcer) Done() <-chan struct{} {
	return a.done
}

// Serve registers the instance and lists the others until ctx ends.
func (a *Announcer) Serve(ctx context.Context) error {
	defer close(a.done)
	a.insist(ctx, "register", a.register)
	for ctx.Err() == nil {
		a.insist(ctx, "list", a.list)
		pause(ctx, a.settings.Interval)
	}

	return ctx.Err()
}

// insist repeats a call until it succeeds.
func (a *Announcer) insist(ctx context.Context, what string, call func(context.Context) error) {
	for failed := 0; ctx.Err() == nil; failed++ {
		err := call(ctx)
		if err == nil {
			return
		}
		if failed == 0 {
			a.logger.Info("Registry of instances is not reached.", "call", what, "error", err)
		}
		pause(ctx, a.settings.Retry)
	}
}

func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// register writes the own entry, over that of an earlier start.
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

// list finds the other entries.
func (a *Announcer) list(ctx context.Context) error {
	var addresses []string
	for after, more := "", true; more; {
		page, err := a.store.List(ctx, a.settings.Kind, after, 0)
		if err != nil {
			return err
		}
		for _, item := range page.Items {
			var found entry
			if err := json.Unmarshal(item.Spec, &found); err != nil {
				a.logger.Warn("An instance's entry cannot be read.", "instance", item.Name, "error", err)

				continue
			}
			if item.Name != a.settings.Name {
				addresses = append(addresses, found.Address)
			}
		}
		more = page.HasMore && len(page.Items) > 0
		if more {
			after = page.Items[len(page.Items)-1].Name
		}
	}
	a.meet(addresses)

	return nil
}
