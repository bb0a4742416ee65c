// Package dispatcher owns the control state of a relay: one goroutine feeds the
// decisions of pkg/, and the traffic goroutines ask it.
package dispatcher

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/pkg/freshener"
	"github.com/oleanderpick/oleanderpick/pkg/matcher"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/quarantiner"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

// Settings are a dispatcher's limits.
type Settings struct {
	// Name and DataCentre are this instance's.
	Name       string
	DataCentre string
	// KeyLeaseDuration is how long a confirmed configuration lets keys pass.
	KeyLeaseDuration time.Duration
	// ReregistrationWindow is how long lapsed endpoints may take to register again after
	// an outage of the platform.
	ReregistrationWindow time.Duration
	// RepeatLimits is the bound on repeats.
	RepeatLimits retrier.RepeatLimiterSettings
}

const (
	// tick is how often the control goroutine looks for what time has ended.
	tick = 100 * time.Millisecond
	// outage is the silence of the platform after which registrations may
	// have lapsed: endpoints renew them every second or so, thrice in vain.
	outage = 1500 * time.Millisecond
	// backlog is the questions that wait for the control goroutine.
	backlog = 256
)

// Clock tells the time. Boot goes on while the machine is suspended.
type Clock struct {
	Now       func() time.Time
	SinceBoot func() time.Duration
}

// Dispatcher owns the control state.
type Dispatcher struct {
	clock  Clock
	logger hclog.Logger
	events chan func()
	done   chan struct{}
	// started is closed when configuration and endpoints are known.
	started chan struct{}

	current   atomic.Pointer[matcher.Matcher]
	instances atomic.Int64
	fresh     atomic.Pointer[freshener.Lease] // a copy of lease, for traffic

	// The rest belongs to the control goroutine.
	lease    *freshener.Lease
	registry *registrar.Registrar
	placer   *placer.Placer
	retries  *retrier.RepeatLimiter
	poison   *quarantiner.Quarantiner
	broken   map[string][]breakage // by endpoint
	suspects atomic.Bool           // something is suspected
	next     uint64
	rank     int
	source   StoredConfiguration
	read     []registrar.Endpoint
	digest   uint64
	listedAt time.Duration // boot time
	notify   func(endpoint string, load placer.Load)
}

// New returns a dispatcher that knows nothing yet. Serve runs it.
func New(settings Settings, clock Clock, logger hclog.Logger) *Dispatcher {
	return &Dispatcher{
		clock:    clock,
		logger:   logger,
		events:   make(chan func(), backlog),
		done:     make(chan struct{}),
		started:  make(chan struct{}),
		lease:    freshener.New(settings.KeyLeaseDuration),
		registry: registrar.New(registrar.Settings{ReregistrationWindow: settings.ReregistrationWindow, MinOutage: outage}),
		placer:   placer.New(placer.Settings{InstanceName: settings.Name, DataCentre: settings.DataCentre}),
		retries:  retrier.NewRepeatLimiter(settings.RepeatLimits),
		poison:   quarantiner.New(quarantiner.DefaultSettings()),
		broken:   map[string][]breakage{},
		notify:   func(string, placer.Load) {},
	}
}

// Configure takes new limits. The name and the data centre stay.
func (d *Dispatcher) Configure(settings Settings) {
	d.do(func() {
		d.lease.SetLifetime(settings.KeyLeaseDuration)
		d.share()
		d.registry.Configure(registrar.Settings{ReregistrationWindow: settings.ReregistrationWindow, MinOutage: outage})
		d.retries.Configure(d.clock.Now(), settings.RepeatLimits)
	})
}

// Notify has what this instance has at an engine told to others whenever a
// prompt comes to it or was read there. The function must not wait. Call it
// before Serve.
func (d *Dispatcher) Notify(notify func(endpoint string, load placer.Load)) {
	d.notify = notify
}

// String returns the name that the supervisor logs.
func (d *Dispatcher) String() string {
	return "dispatcher"
}

// Done is closed when the control goroutine has ended.
func (d *Dispatcher) Done() <-chan struct{} {
	return d.done
}

// Initialized is closed when a configuration and the endpoints are known.
func (d *Dispatcher) Initialized() <-chan struct{} {
	return d.started
}

// begin closes started once there is enough to serve by.
func (d *Dispatcher) begin() {
	if d.current.Load() == nil || !d.registry.HasListing() {
		return
	}
	select {
	case <-d.started:
	default:
		close(d.started)
	}
}

// Serve runs the control goroutine until ctx ends.
func (d *Dispatcher) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	defer close(d.done)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-d.events:
			event()
		case <-ticker.C:
			if d.registry.RemoveExpired(d.clock.Now()) {
				d.place()
			}
		}
	}
}

// do runs an event on the control goroutine and waits for it. When that has
// ended, nothing runs.
func (d *Dispatcher) do(event func()) {
	ran := make(chan struct{})
	select {
	case d.events <- func() { event(); close(ran) }:
	case <-d.done:
		return
	}
	select {
	case <-ran:
	case <-d.done:
	}
}

// Matcher returns the configuration in force; nil: none yet.
func (d *Dispatcher) Matcher() *matcher.Matcher {
	return d.current.Load()
}

// IsConfigurationFresh reports whether keys may pass.
func (d *Dispatcher) IsConfigurationFresh() bool {
	lease := d.fresh.Load()

	return lease != nil && lease.IsFresh(d.clock.SinceBoot())
}

// IsReady reports whether the instance can serve.
func (d *Dispatcher) IsReady() bool {
	listed := false
	d.do(func() { listed = d.registry.HasListing() })

	return listed && d.Matcher() != nil && d.IsConfigurationFresh()
}
