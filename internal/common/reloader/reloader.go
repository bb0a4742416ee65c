// Package reloader applies settings that change while a process runs. It reads them
// periodically, so that a change takes effect without a signal, and on request.
package reloader

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
)

// DefaultInterval is the default time between two reads of the settings. No requirement
// limits how soon a change must take effect; it only has to be short for an operator
// who waits for it.
const DefaultInterval = 2 * time.Second

// Reloader reads settings of type T periodically and applies them if they changed. It
// runs as a service of a supervisor tree.
type Reloader[T comparable] struct {
	interval time.Duration
	read     func() (T, error)
	apply    func(T)
	logger   hclog.Logger
	requests chan struct{}
	done     chan struct{}

	current        T // the settings in force
	lastReadFailed bool
}

// New returns a Reloader. Serve calls read at every interval and at each request, and
// calls apply if the settings differ from those in force, which are current at first.
func New[T comparable](interval time.Duration, current T, read func() (T, error), apply func(T), logger hclog.Logger) *Reloader[T] {
	return &Reloader[T]{
		interval: interval, current: current, read: read, apply: apply, logger: logger,
		requests: make(chan struct{}, 1), done: make(chan struct{}),
	}
}

// String returns the name that the supervisor logs.
func (r *Reloader[T]) String() string {
	return "reloader"
}

// Done returns a channel that is closed when Serve has returned.
func (r *Reloader[T]) Done() <-chan struct{} {
	return r.done
}

// RequestReload requests that the settings are read at once. It does not wait for the read.
func (r *Reloader[T]) RequestReload() {
	select {
	case r.requests <- struct{}{}:
	default: // Another request is waiting already.
	}
}

// Serve reads the settings until ctx ends and returns its error.
func (r *Reloader[T]) Serve(ctx context.Context) error {
	defer close(r.done)
	ticker := time.NewTicker(r.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-r.requests:
			r.logger.Info("Settings are read again on request.")
		}
		r.reload()
	}
}

// reload reads the settings and applies them if they changed. If the read fails, the
// settings in force stay; only the first of several failures in a row is logged.
func (r *Reloader[T]) reload() {
	settings, err := r.read()
	if err != nil {
		if !r.lastReadFailed {
			r.logger.Error("Settings are not reloaded.", "error", err)
		}
		r.lastReadFailed = true

		return
	}
	r.lastReadFailed = false
	if settings == r.current {
		return
	}
	r.current = settings
	r.apply(settings)
}
