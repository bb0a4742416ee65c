package controller

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/estimator"
	"github.com/oleanderpick/oleanderpick/pkg/granter"
	"github.com/oleanderpick/oleanderpick/pkg/limiter"
	"github.com/oleanderpick/oleanderpick/pkg/quarantiner"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
	"github.com/oleanderpick/oleanderpick/pkg/scheduler"
	"github.com/oleanderpick/oleanderpick/pkg/tracker"
)

const (
	// TickInterval bounds how late a deadline or a floor is noticed.
	TickInterval = 20 * time.Millisecond
	// eventBuffer is the number of events that may wait for the control
	// goroutine; beyond it senders wait.
	eventBuffer = 1024
	// batchLimit is the most events between two dispatches.
	batchLimit = 64
)

// Settings are what a Controller is built from.
type Settings struct {
	// Self is this instance as its peers know it.
	Self tracker.Instance
	// MaxWaiting is the most requests that wait.
	MaxWaiting int
	// ExchangeInterval is the time between two wants to a home.
	ExchangeInterval time.Duration
	// Policy changes the decisions for an experiment.
	Policy Policy
	// Seed makes the decisions repeatable.
	Seed uint64
	// Clock replaces the machine's clock in an experiment; nil: the machine's.
	Clock *Clock
}

// Controller owns the control state. Its exported methods are safe for
// concurrent use: they send events to the one control goroutine.
type Controller struct {
	settings Settings
	logger   hclog.Logger
	meter    *meter.Meter
	events   chan func(now time.Time)
	alarms   chan struct{}
	done     chan struct{}

	// The rest belongs to the control goroutine.
	entries     map[uint64]*entry
	last        uint64
	classes     map[string]Class
	endpoints   map[string]Endpoint
	lanes       map[string][]string
	leaving     map[string]bool
	down        map[string]bool
	members     []string
	reports     map[string]EndpointLoadReport
	tracker     *tracker.Tracker
	version     uint64
	limiter     *limiter.Limiter
	scheduler   *scheduler.Scheduler
	estimator   *estimator.Estimator
	picker      Picker
	home        *granter.Home
	borrower    *granter.Borrower
	retrier     *retrier.Retrier
	quarantiner *quarantiner.Quarantiner
	stopping    bool
	halted      atomic.Bool
	ready       atomic.Bool
	urgent      bool
	held        []*entry
}

// New returns a controller with an empty configuration. Serve runs it.
func New(settings Settings, logger hclog.Logger, counters *meter.Meter) *Controller {
	random := rand.New(rand.NewPCG(settings.Seed, 1))
	credit := granter.Settings{RequestInterval: settings.ExchangeInterval}
	c := &Controller{
		settings:    settings,
		logger:      logger,
		meter:       counters,
		events:      make(chan func(time.Time), eventBuffer),
		alarms:      make(chan struct{}, 1),
		done:        make(chan struct{}),
		entries:     map[uint64]*entry{},
		leaving:     map[string]bool{},
		down:        map[string]bool{},
		members:     []string{settings.Self.Name},
		reports:     map[string]EndpointLoadReport{},
		tracker:     tracker.New(tracker.Settings{}, settings.Self),
		limiter:     limiter.New(),
		scheduler:   scheduler.New(scheduler.Settings{MaxWaiting: settings.MaxWaiting}),
		estimator:   estimator.New(estimator.DefaultSettings()),
		home:        granter.NewHome(credit),
		borrower:    granter.NewBorrower(credit, settings.Self.Name),
		retrier:     retrier.New(retrier.DefaultSettings(), random),
		quarantiner: quarantiner.New(quarantiner.DefaultSettings()),
	}
	c.picker = settings.Policy.picker(settings.Self.DataCentre, random)

	return c
}

// Serve runs the control goroutine until ctx ends.
func (c *Controller) Serve(ctx context.Context) error {
	ticks, stop := c.settings.Clock.ticks()
	defer stop()
	for {
		select {
		case <-ctx.Done():
			close(c.done)

			return ctx.Err()
		case event := <-c.events:
			now := c.settings.Clock.now()
			event(now)
			c.drain(now)
			c.dispatch(now)
		case now := <-ticks:
			c.tick(now)
		}
	}
}

// String returns the name that the supervisor logs.
func (c *Controller) String() string {
	return "controller"
}

// Done is closed when the controller has stopped.
func (c *Controller) Done() <-chan struct{} {
	return c.done
}

// drain takes the events that already wait, so that one dispatch serves all.
func (c *Controller) drain(now time.Time) {
	for range batchLimit {
		select {
		case event := <-c.events:
			event(now)
		default:
			return
		}
	}
}

func (c *Controller) tick(now time.Time) {
	for _, refusal := range c.scheduler.Expire(now) {
		c.refuse(refusal)
	}
	c.tracker.Tick(now)
	c.limiter.Sweep(now)
	c.join(now)
	c.askSelf(now)
	c.notice(now)
	c.release(now)
	c.dispatch(now)
	c.meter.Set("waiting", int64(c.scheduler.Waiting()))
	c.meter.Set("running", int64(len(c.entries)-c.scheduler.Waiting()))
}

func (c *Controller) send(event func(now time.Time)) {
	select {
	case c.events <- event:
	case <-c.done:
	}
}

// query runs a function on the control goroutine and waits for it; when the
// controller has stopped it does not run.
func (c *Controller) query(event func(now time.Time)) {
	ready := make(chan struct{})
	c.send(func(now time.Time) {
		event(now)
		close(ready)
	})
	select {
	case <-ready:
	case <-c.done:
	}
}

// Admit queues a request and waits until it has a placement or is refused.
// When ctx ends first the request leaves the queue.
func (c *Controller) Admit(ctx context.Context, request Request) (*Ticket, error) {
	e := &entry{request: request, answers: make(chan answer, 1)}
	c.send(func(now time.Time) {
		c.enqueue(now, e)
	})

	placement, err := c.await(ctx, e)
	if err != nil {
		return nil, err
	}

	return &Ticket{control: c, entry: e, placement: placement}, nil
}

func (c *Controller) await(ctx context.Context, e *entry) (Placement, error) {
	select {
	case a := <-e.answers:
		return a.placement, a.err
	case <-c.done:
		return Placement{}, errStopped()
	case <-ctx.Done():
	}
	c.send(func(now time.Time) {
		c.abandon(now, e)
	})

	return Placement{}, answerer.New(answerer.KindCanceled, "The caller left while the request waited.")
}
