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
	// tickInterval is the time between checks for actions that are due.
	tickInterval = 250 * time.Millisecond
	// callTimeout is the maximum duration of a call to the store or to an engine.
	callTimeout     = 5 * time.Second
	eventBufferSize = 256
	// unusedPartsInterval is the time between deletions of unused parts.
	unusedPartsInterval = 2 * time.Hour
)

// Settings are the parameters of a Publisher.
type Settings struct {
	// HolderID identifies this process as a holder of the lease. It must be unique to
	// each start of a process.
	HolderID string
	// Lease holds the durations of the lease. Zero fields take their defaults.
	Lease leaser.Settings
	// Orders holds the rate limits and times of orders to engines. Zero fields take
	// their defaults.
	Orders orderer.Settings
}

// Counter counts events by name.
type Counter interface {
	// Add adds delta to the count of a name.
	Add(name string, delta int64)
}

// Publisher publishes the configuration while this instance holds the lease.
type Publisher struct {
	store   Store
	counter Counter
	logger  hclog.Logger
	// currentRevision returns the revision that this instance has in force.
	currentRevision func() reviser.Revision

	// events carries the functions that the goroutine of Serve is to run.
	events chan func(now time.Time)
	done   chan struct{}

	// The fields below, except releaseRequests, are used by the goroutine of Serve
	// only.
	leaser  *leaser.Leaser
	reviser *reviser.Publisher
	orders  *engineOrders
	// term is the current term, nil while the lease is not held.
	term *leaseTerm
	// releaseRequests carries the calls of Release. Each channel is closed once the
	// lease was released.
	releaseRequests chan chan struct{}
}

// leaseTerm holds what belongs to one term: the time for which this instance holds
// the lease under one fencing token.
type leaseTerm struct {
	fence         uint64
	ctx           context.Context //nolint:containedctx // It ends with the term, not with a call.
	cancel        context.CancelFunc
	collector     *collector
	stopCollector func()
	// objects are the operators' resources of the last listing, nil before the first.
	objects              map[declarer.Key]Object
	lastUnusedPartsCheck time.Time
	// plannedRevision is the number of the revision with which the orderer was last
	// configured.
	plannedRevision uint64
	// latestProgress is the last reported progress of each planned change.
	latestProgress map[declarer.Key]orderer.Progress
}

// New returns a publisher, which starts to work when Serve is called. The function
// currentRevision returns the revision that this instance has in force.
func New(settings Settings, store Store, engines EngineClient, currentRevision func() reviser.Revision, counter Counter, logger hclog.Logger) *Publisher {
	settings.Lease.Name, settings.Lease.HolderID = LeaseName, settings.HolderID
	settings.Lease = settings.Lease.WithDefaults()
	settings.Orders.LeaseDuration = settings.Lease.Duration
	return &Publisher{
		orders:          newEngineOrders(settings.Orders, engines),
		store:           store,
		counter:         counter,
		logger:          logger,
		currentRevision: currentRevision,
		events:          make(chan func(time.Time), eventBufferSize),
		done:            make(chan struct{}),
		leaser:          leaser.New(settings.Lease),
		reviser:         reviser.NewPublisher(),
		releaseRequests: make(chan chan struct{}),
	}
}

// String returns the name under which the supervisor logs the publisher.
func (p *Publisher) String() string { return "publisher" }

// Done is closed when Serve has ended.
func (p *Publisher) Done() <-chan struct{} { return p.done }

// Serve competes for the lease and publishes while it holds it, until ctx ends. It
// returns the error of ctx.
func (p *Publisher) Serve(ctx context.Context) error {
	defer close(p.done)
	defer func() { p.endTerm() }()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-p.events:
			event(time.Now())
		case released := <-p.releaseRequests:
			p.startRelease(ctx, released)
		case <-ticker.C:
		}
		p.tick(ctx, time.Now())
	}
}

// Release releases the lease if it is held, and does not acquire it again. It returns
// when the release was written to the store or failed, when Serve has ended, or when
// ctx ends.
func (p *Publisher) Release(ctx context.Context) {
	released := make(chan struct{})
	select {
	case p.releaseRequests <- released:
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

// startRelease ends the term and starts to write the release of the lease. It closes
// released when the write has ended.
func (p *Publisher) startRelease(ctx context.Context, released chan struct{}) {
	actions := p.leaser.Release(time.Now())
	p.endTerm()
	go func() {
		defer close(released)
		for _, action := range actions {
			if write, ok := action.(leaser.Write); ok {
				_, _ = p.writeLease(ctx, write) // If the write fails, the lease expires.
			}
		}
	}()
}

// tick makes the state machines do what is due, and starts or ends the term
// according to whether the lease is held.
func (p *Publisher) tick(ctx context.Context, now time.Time) {
	p.performLeaseActions(ctx, p.leaser.Tick(now))
	fence, leaseEnd, held := p.leaser.Held(now)
	if !held || p.term != nil && p.term.fence != fence {
		p.endTerm()
	}
	if !held {
		return
	}
	if p.term == nil {
		p.beginTerm(ctx, now, fence)
	}
	p.reviser.OnRevisionApplied(p.currentRevision())
	p.performReviserActions(p.reviser.Tick(now))
	p.planOrders(now, leaseEnd)
	if now.Sub(p.term.lastUnusedPartsCheck) >= unusedPartsInterval {
		p.term.lastUnusedPartsCheck = now
		p.deleteUnusedParts(p.term)
	}
}

// beginTerm starts a term under a fencing token.
func (p *Publisher) beginTerm(ctx context.Context, now time.Time, fence uint64) {
	p.logger.Info("Lease taken.", "fence", fence)
	p.counter.Add("lease.taken", 1)
	p.term = &leaseTerm{fence: fence, lastUnusedPartsCheck: now, latestProgress: make(map[declarer.Key]orderer.Progress)}
	p.term.ctx, p.term.cancel = context.WithCancel(ctx)
	p.restartCollector(p.term)
	p.reviser.OnRevisionApplied(p.currentRevision())
	p.performReviserActions(p.reviser.OnLeaseAcquired(now, fence))
	p.orders.orderer.OnLeaseAcquired(now, fence, p.leaser.Payload())
}

// endTerm cancels all calls of the term and stops the state machines that need the
// lease.
func (p *Publisher) endTerm() {
	if p.term == nil {
		return
	}
	p.logger.Info("Lease ended.", "fence", p.term.fence)
	p.counter.Add("lease.ended", 1)
	p.term.cancel()
	p.term = nil
	p.reviser.OnLeaseLost()
	p.orders.orderer.OnLeaseLost()
	p.leaser.SetPayload(nil)
}

// restartCollector replaces the term's collector by a new one, which lists all
// resources again and then watches them.
func (p *Publisher) restartCollector(t *leaseTerm) {
	if t.stopCollector != nil {
		t.stopCollector()
	}
	ctx, cancel := context.WithCancel(t.ctx)
	t.stopCollector = cancel
	changed := make(chan struct{}, 1)
	collector := newCollector(p.store, func() {
		select {
		case changed <- struct{}{}:
		default: // A change is pending already.
		}
	})
	t.collector = collector
	collector.start(ctx)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
			sleep(ctx, batchWindow)
			p.enqueueForTerm(t, func(now time.Time) { p.handleListing(now, t, collector) })
		}
	}()
}

// handleListing passes the resources that a collector holds to the reviser. It does
// nothing if the collector was replaced or has not listed every kind yet.
func (p *Publisher) handleListing(now time.Time, t *leaseTerm, source *collector) {
	if t.collector != source {
		return
	}
	listing, objects, complete := source.currentListing()
	if !complete {
		return
	}
	t.objects = objects
	p.performReviserActions(p.reviser.OnListing(now, listing))
}

// enqueueForTerm makes the goroutine of Serve run the event, unless the term has
// ended by then.
func (p *Publisher) enqueueForTerm(t *leaseTerm, event func(now time.Time)) {
	select {
	case p.events <- func(now time.Time) {
		if p.term == t {
			event(now)
		}
	}:
	case <-p.done:
	}
}
