package publisher

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
	"github.com/oleanderpick/oleanderpick/pkg/leaser"
	"github.com/oleanderpick/oleanderpick/pkg/orderer"
	"github.com/oleanderpick/oleanderpick/pkg/reviser"
)

const (
	tickInterval = 250 * time.Millisecond
	// callTimeout is the longest that a call to the store is waited for.
	callTimeout = 5 * time.Second
	eventBuffer = 256
	// sweepInterval is the time between clean-ups of parts out of use.
	sweepInterval = 2 * time.Hour
)

// Settings are the parameters of a Publisher.
type Settings struct {
	// Owner is this process; unique for each start.
	Owner string
	// Lease holds the durations of the lease; zero values are defaults.
	Lease leaser.Settings
	// Orders holds the rates and times of orders; zero values are defaults.
	Orders orderer.Settings
}

// Counter counts events by name.
type Counter interface {
	Add(name string, delta int64)
}

// Publisher publishes the configuration while this instance holds the lease.
type Publisher struct {
	store   Store
	counter Counter
	logger  hclog.Logger
	// current returns the revision that this instance has in force.
	current func() reviser.Revision

	events chan func(now time.Time)
	done   chan struct{}

	// The rest belongs to the goroutine of Serve.
	leaser  *leaser.Leaser
	machine *reviser.Publisher
	orders  *orders
	term    *term
	stop    chan chan struct{}
}

// term is the time for which the lease is held under one fencing number.
type term struct {
	fence     uint64
	ctx       context.Context //nolint:containedctx // It ends with the term, not with a call.
	cancel    context.CancelFunc
	collector *collector
	recollect func()
	objects   map[declarer.Key]Object
	swept     time.Time
	// ordered is the number of the revision that orders are planned for.
	ordered uint64
	// progress is the latest of each change.
	progress map[declarer.Key]orderer.Progress
}

// New returns a publisher; Serve makes it begin.
func New(settings Settings, store Store, engines Engines, current func() reviser.Revision, counter Counter, logger hclog.Logger) *Publisher {
	settings.Lease.Name, settings.Lease.HolderID = LeaseName, settings.Owner
	settings.Lease = settings.Lease.WithDefaults()
	settings.Orders.LeaseDuration = settings.Lease.Duration
	return &Publisher{
		orders:  newOrders(settings.Orders, engines),
		store:   store,
		counter: counter,
		logger:  logger,
		current: current,
		events:  make(chan func(time.Time), eventBuffer),
		done:    make(chan struct{}),
		leaser:  leaser.New(settings.Lease),
		machine: reviser.NewPublisher(),
		stop:    make(chan chan struct{}),
	}
}

// String returns the name that the supervisor logs.
func (p *Publisher) String() string { return "publisher" }

// Done is closed when Serve has ended.
func (p *Publisher) Done() <-chan struct{} { return p.done }

// Serve takes part in the lease until ctx ends.
func (p *Publisher) Serve(ctx context.Context) error {
	defer close(p.done)
	defer func() { p.end() }()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-p.events:
			event(time.Now())
		case released := <-p.stop:
			p.release(ctx, released)
		case <-ticker.C:
		}
		p.tick(ctx, time.Now())
	}
}

// Release gives the lease up, if it is held, and takes it no more. It returns
// when the store has been told or ctx ends.
func (p *Publisher) Release(ctx context.Context) {
	released := make(chan struct{})
	select {
	case p.stop <- released:
	case <-p.done:
		return
	case <-ctx.Done():
		return
	}
	select {
	case <-released:
	case <-p.done:
	case <-ctx.Done():
	}
}

func (p *Publisher) release(ctx context.Context, released chan struct{}) {
	actions := p.leaser.Release(time.Now())
	p.end()
	go func() {
		defer close(released)
		for _, action := range actions {
			if write, is := action.(leaser.Write); is {
				_, _ = p.writeLease(ctx, write) // Else it runs out by itself.
			}
		}
	}()
}

// tick lets both state machines do what is due.
func (p *Publisher) tick(ctx context.Context, now time.Time) {
	p.lease(ctx, p.leaser.Tick(now))
	fence, until, held := p.leaser.Held(now)
	if !held || p.term != nil && p.term.fence != fence {
		p.end()
	}
	if !held {
		return
	}
	if p.term == nil {
		p.begin(ctx, now, fence)
	}
	p.machine.OnRevisionApplied(p.current())
	p.act(p.machine.Tick(now))
	p.order(now, until)
	if now.Sub(p.term.swept) >= sweepInterval {
		p.term.swept = now
		p.sweep(p.term)
	}
}

// begin starts a term.
func (p *Publisher) begin(ctx context.Context, now time.Time, fence uint64) {
	p.logger.Info("Lease taken.", "fence", fence)
	p.counter.Add("lease.taken", 1)
	p.term = &term{fence: fence, swept: now, progress: make(map[declarer.Key]orderer.Progress)}
	p.term.ctx, p.term.cancel = context.WithCancel(ctx)
	p.collect(p.term)
	p.machine.OnRevisionApplied(p.current())
	p.act(p.machine.OnLeaseAcquired(now, fence))
	p.orders.machine.OnLeaseAcquired(now, fence, p.leaser.Payload())
}

// end stops all that was begun under the term.
func (p *Publisher) end() {
	if p.term == nil {
		return
	}
	p.logger.Info("Lease ended.", "fence", p.term.fence)
	p.counter.Add("lease.ended", 1)
	p.term.cancel()
	p.term = nil
	p.machine.OnLeaseLost()
	p.orders.machine.OnLeaseLost()
	p.leaser.SetPayload(nil)
}

// collect lists and watches the resources anew.
func (p *Publisher) collect(t *term) {
	if t.recollect != nil {
		t.recollect()
	}
	ctx, cancel := context.WithCancel(t.ctx)
	t.recollect = cancel
	changed := make(chan struct{}, 1)
	collector := newCollector(p.store, func() {
		select {
		case changed <- struct{}{}:
		default: // One is waiting already.
		}
	})
	t.collector = collector
	collector.run(ctx)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
			rest(ctx, batchPause)
			p.send(t, func(now time.Time) { p.listed(now, t, collector) })
		}
	}()
}

// listed gives the resources to the machine, and lists them anew if they are
// too old to use.
func (p *Publisher) listed(now time.Time, t *term, from *collector) {
	if t.collector != from {
		return
	}
	listing, objects, complete := from.listing()
	if !complete {
		return
	}
	t.objects = objects
	p.act(p.machine.OnListing(now, listing))
}

// send has the owner goroutine run an event, unless the term has ended.
func (p *Publisher) send(t *term, event func(now time.Time)) {
	select {
	case p.events <- func(now time.Time) {
		if p.term == t {
			event(now)
		}
	}:
	case <-p.done:
	}
}
