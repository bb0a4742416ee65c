// Package reloader takes in settings that change while a process runs, whether
// or not somebody says that they did.
package reloader

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
)

// DefaultInterval is how often settings are read again; a change of them has no
// bound in time but that of an operator who waits for it.
const DefaultInterval = 2 * time.Second

// Reloader reads settings of type T again and again. It is a service of a
// supervisor tree.
type Reloader[T comparable] struct {
	interval time.Duration
	read     func() (T, error)
	apply    func(T)
	logger   hclog.Logger
	prompts  chan struct{}
	done     chan struct{}

	current T
	failed  bool // the last read
}

// New returns a reloader. It reads every interval and when prompted, and applies
// what differs from the settings in force.
func New[T comparable](interval time.Duration, current T, read func() (T, error), apply func(T), logger hclog.Logger) *Reloader[T] {
	return &Reloader[T]{
		interval: interval, current: current, read: read, apply: apply, logger: logger,
		prompts: make(chan struct{}, 1), done: make(chan struct{}),
	}
}

// String returns the name that the supervisor logs.
func (r *Reloader[T]) String() string {
	return "reloader"
}

// Done is closed when the reloader has ended.
func (r *Reloader[T]) Done() <-chan struct{} {
	return r.done
}

// RequestReload has the settings read now. It does not wait.
func (r *Reloader[T]) RequestReload() {
	select {
	case r.prompts <- struct{}{}:
	default: // A read is due already.
	}
}

// Serve reads until ctx ends.
func (r *Reloader[T]) Serve(ctx context.Context) error {
	defer close(r.done)
	ticker := time.NewTicker(r.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-r.prompts:
			r.logger.Info("Settings are read again on request.")
		}
		r.reload()
	}
}

// reload applies the settings if they differ. Settings that cannot be read leave
// those in force.
func (r *Reloader[T]) reload() {
	settings, err := r.read()
	if err != nil {
		if !r.failed {
			r.logger.Error("Settings are not reloaded.", "error", err)
		}
		r.failed = true

		return
	}
	r.failed = false
	if settings == r.current {
		return
	}
	r.current = settings
	r.apply(settings)
}
