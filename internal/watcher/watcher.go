// Package watcher reads the configuration and the endpoints' registry from the
// platform when what is known of them gets old.
//
// It reads instead of waiting for changes: a linearizable read confirms what is
// known, finds a silent connection by its timeout, needs no history, and costs
// the platform the same whatever changes. Instances pass on what they read, so
// that few of them read at any time; docs/design/platform.md has the figures.
package watcher

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/storer"
	"github.com/oleanderpick/oleanderpick/pkg/freshener"
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
	ConfigurationKindAndName() (kind, name string)
	EndpointKind() string
	DecodeConfiguration(object storer.Object) (matcher.Configuration, error)
	DecodeEndpoint(object storer.Object) (registrar.Endpoint, error)
}

// Control takes in what was read and says how old it is. Times are readings of
// a clock that counts suspended time.
type Control interface {
	SinceBoot() time.Duration
	Rank() int
	// DataAges are negative where nothing is known.
	DataAges() (configuration, endpoints time.Duration)
	ApplyConfiguration(sent time.Duration, configuration *matcher.Matcher, source dispatcher.StoredConfiguration)
	ApplyListing(sent time.Duration, endpoints []registrar.Endpoint)
}

// DefaultPace fits bounds of two seconds for a change: the age at which anyone
// reads, a timeout and a further read stay below them.
func DefaultPace() freshener.ReadPolicy {
	return freshener.ReadPolicy{
		MinReadAge:       450 * time.Millisecond,
		MaxReadAge:       1100 * time.Millisecond,
		ReaderRetryDelay: 150 * time.Millisecond,
		OtherRetryDelay:  500 * time.Millisecond,
		ReaderCount:      2,
	}
}

// look is how often the watcher looks whether a read is due.
const look = 50 * time.Millisecond

// Watcher reads.
type Watcher struct {
	pace    freshener.ReadPolicy
	store   Store
	reader  Reader
	control Control
	logger  hclog.Logger
	done    chan struct{}

	known *matcher.Matcher
	seen  uint64 // the store's version of known
}

// New returns a watcher.
func New(pace freshener.ReadPolicy, store Store, reader Reader, control Control, logger hclog.Logger) *Watcher {
	return &Watcher{pace: pace, store: store, reader: reader, control: control, logger: logger, done: make(chan struct{})}
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
		w.repeat(ctx, "endpoints", w.endpoints, func() time.Duration {
			_, age := w.control.DataAges()

			return age
		})
	}()
	w.repeat(ctx, "configuration", w.configuration, func() time.Duration {
		age, _ := w.control.DataAges()

		return age
	})
	<-ended

	return ctx.Err()
}

// repeat reads whenever it is due, and logs when the platform is lost and
// regained.
func (w *Watcher) repeat(ctx context.Context, what string, read func(context.Context) error, age func() time.Duration) {
	ticker := time.NewTicker(look)
	defer ticker.Stop()
	standing := freshener.ReadState{}
	tried := w.control.SinceBoot()
	for ; ctx.Err() == nil; wait(ctx, ticker.C) {
		standing.Age = age()
		standing.HasData = standing.Age >= 0
		standing.Rank = w.control.Rank()
		standing.SinceLastRead = w.control.SinceBoot() - tried
		if !w.pace.IsReadDue(standing) {
			continue
		}
		tried = w.control.SinceBoot()
		err := read(ctx)
		switch {
		case err == nil && standing.ConsecutiveFailures > 0:
			w.logger.Info("Platform is regained.", "reading", what, "failed reads", standing.ConsecutiveFailures)
		case err != nil && standing.ConsecutiveFailures == 0 && ctx.Err() == nil:
			w.logger.Warn("Platform is lost.", "reading", what, "error", err)
		}
		standing.ConsecutiveFailures++
		if err == nil {
			standing.ConsecutiveFailures = 0
		}
	}
}

func wait(ctx context.Context, next <-chan time.Time) {
	select {
	case <-ctx.Done():
	case <-next:
	}
}

// configuration reads the configuration and confirms it.
func (w *Watcher) configuration(ctx context.Context) error {
	kind, name := w.reader.ConfigurationKindAndName()
	sent := w.control.SinceBoot()
	object, err := w.store.Get(ctx, kind, name)
	if err != nil {
		return err
	}
	if w.known == nil || object.Version != w.seen {
		read, err := w.reader.DecodeConfiguration(object)
		if err != nil {
			return err
		}
		w.known, w.seen = matcher.New(read), object.Version
	}
	w.control.ApplyConfiguration(sent, w.known, dispatcher.StoredConfiguration{Spec: object.Spec, Version: object.Version})

	return nil
}

// endpoints reads the whole registry.
func (w *Watcher) endpoints(ctx context.Context) error {
	var endpoints []registrar.Endpoint
	sent := w.control.SinceBoot()
	for after, more := "", true; more; {
		page, err := w.store.List(ctx, w.reader.EndpointKind(), after, 0)
		if err != nil {
			return err
		}
		for _, item := range page.Items {
			endpoint, err := w.reader.DecodeEndpoint(item)
			if err != nil {
				w.logger.Debug("Registration is not used.", "error", err)

				continue
			}
			endpoints = append(endpoints, endpoint)
		}
		more = page.HasMore && len(page.Items) > 0
		if more {
			after = page.Items[len(page.Items)-1].Name
		}
	}
	w.control.ApplyListing(sent, endpoints)

	return nil
}
