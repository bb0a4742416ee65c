// Package watcher reads the configuration and the endpoints' registry from the
// platform, again and again.
//
// It reads instead of waiting for changes: a linearizable read confirms what is
// known, finds a silent connection by its timeout, needs no history, and costs
// the platform the same whatever changes. docs/design/platform.md has the
// figures.
package watcher

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/storer"
	"github.com/oleanderpick/oleanderpick/pkg/matcher"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// Store is the part of the platform's object API that is read.
type Store interface {
	Get(ctx context.Context, kind, name string) (storer.Object, error)
	List(ctx context.Context, kind, after string, limit int) (storer.Page, error)
}

// Reader names and reads the platform's objects.
type Reader interface {
	Configuration() (kind, name string)
	Endpoints() string
	ReadConfiguration(object storer.Object) (matcher.Configuration, error)
	ReadEndpoint(object storer.Object) (registrar.Endpoint, error)
}

// Control takes in what was read.
type Control interface {
	// Confirmed takes a configuration that was read by a call sent at the
	// given boot time.
	Confirmed(sent time.Duration, configuration *matcher.Matcher)
	Listed(endpoints []registrar.Endpoint)
}

// Settings are a watcher's intervals.
type Settings struct {
	// Configuration and Endpoints are the times between two reads.
	Configuration, Endpoints time.Duration
	// Retry is the time after which a failed read is repeated.
	Retry time.Duration
}

// DefaultSettings fit bounds of two seconds for a change: a read, its timeout on
// a silent connection and the next read stay below them.
func DefaultSettings() Settings {
	return Settings{
		Configuration: 700 * time.Millisecond,
		Endpoints:     600 * time.Millisecond,
		Retry:         150 * time.Millisecond,
	}
}

// Watcher reads.
type Watcher struct {
	settings Settings
	store    Store
	reader   Reader
	control  Control
	boot     func() time.Duration
	logger   hclog.Logger
	done     chan struct{}

	known *matcher.Matcher
	seen  uint64 // the store's version of known
}

// New returns a watcher; boot is a clock that counts suspended time.
func New(settings Settings, store Store, reader Reader, control Control, boot func() time.Duration, logger hclog.Logger) *Watcher {
	return &Watcher{
		settings: settings, store: store, reader: reader, control: control, boot: boot, logger: logger,
		done: make(chan struct{}),
	}
}

// String returns the name that the supervisor logs.
func (w *Watcher) String() string {
	return "watcher"
}

// Done is closed when the watcher has ended.
func (w *Watcher) Done() <-chan struct{} {
	return w.done
}

// Serve reads until ctx ends.
func (w *Watcher) Serve(ctx context.Context) error {
	defer close(w.done)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.repeat(ctx, "endpoints", w.settings.Endpoints, w.endpoints)
	}()
	w.repeat(ctx, "configuration", w.settings.Configuration, w.configuration)
	<-ended

	return ctx.Err()
}

// repeat reads at each interval, sooner after a failure, and logs when the
// platform is lost and regained.
func (w *Watcher) repeat(ctx context.Context, what string, interval time.Duration, read func(context.Context) error) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	failed := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		err := read(ctx)
		switch {
		case err == nil && failed > 0:
			w.logger.Info("Platform is regained.", "reading", what, "failed reads", failed)
		case err != nil && failed == 0 && ctx.Err() == nil:
			w.logger.Warn("Platform is lost.", "reading", what, "error", err)
		}
		if err == nil {
			failed = 0
			timer.Reset(interval)

			continue
		}
		failed++
		timer.Reset(w.settings.Retry)
	}
}

// configuration reads the configuration and confirms it.
func (w *Watcher) configuration(ctx context.Context) error {
	kind, name := w.reader.Configuration()
	sent := w.boot()
	object, err := w.store.Get(ctx, kind, name)
	if err != nil {
		return err
	}
	if w.known == nil || object.Version != w.seen {
		read, err := w.reader.ReadConfiguration(object)
		if err != nil {
			return err
		}
		w.known, w.seen = matcher.New(read), object.Version
	}
	w.control.Confirmed(sent, w.known)

	return nil
}

// endpoints reads the whole registry.
func (w *Watcher) endpoints(ctx context.Context) error {
	var endpoints []registrar.Endpoint
	for after, more := "", true; more; {
		page, err := w.store.List(ctx, w.reader.Endpoints(), after, 0)
		if err != nil {
			return err
		}
		for _, item := range page.Items {
			endpoint, err := w.reader.ReadEndpoint(item)
			if err != nil {
				w.logger.Debug("Registration is not used.", "error", err)

				continue
			}
			endpoints = append(endpoints, endpoint)
		}
		more = page.More && len(page.Items) > 0
		if more {
			after = page.Items[len(page.Items)-1].Name
		}
	}
	w.control.Listed(endpoints)

	return nil
}
