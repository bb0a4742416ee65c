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
	"github.com/oleanderpick/oleanderpick/pkg/isolator"
	"github.com/oleanderpick/oleanderpick/pkg/limiter"
	"github.com/oleanderpick/oleanderpick/pkg/quarantiner"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
	"github.com/oleanderpick/oleanderpick/pkg/scheduler"
	"github.com/oleanderpick/oleanderpick/pkg/tracker"
)

const (
	// TickInterval is the time between two ticks. An expired deadline or guaranteed
	// wait is noticed at most this late.
	TickInterval = 20 * time.Millisecond
	// eventBufferSize is the number of events that may wait for the control
	// goroutine. When it is reached, senders block.
	eventBufferSize = 1024
	// maxEventsPerDispatch is the most queued events that are handled together before
	// waiting requests are dispatched.
	maxEventsPerDispatch = 64
)

// Settings configure a Controller.
type Settings struct {
	// Self describes this instance as its peers see it.
	Self tracker.Instance
	// MaxWaiting is the maximum number of waiting requests.
	MaxWaiting int
	// ExchangeInterval is the time between two credit requests to the same home.
	ExchangeInterval time.Duration
	// Policy replaces some of the decisions in an experiment.
	Policy Policy
	// Seed seeds the random choices, so that a run can be repeated.
	Seed uint64
	// Clock replaces the system clock in an experiment; nil selects the system clock.
	Clock *Clock
}

// Controller admits requests and places them on endpoints. Its exported methods
// are safe for concurrent use: they send events to the one control goroutine.
type Controller struct {
	settings    Settings
	logger      hclog.Logger
	meter       *meter.Meter
	events      chan func(now time.Time)
	crashAlerts chan struct{}
	done        chan struct{}

	// Only the control goroutine uses the fields below, except for the two atomic ones.

	requests          map[uint64]*requestState // waiting, held and placed requests by ID
	lastID            uint64
	classes           map[string]Class
	endpoints         map[string]Endpoint
	endpointsByLane   map[string][]string
	leavingEndpoints  map[string]bool // marked by SetEndpointLeaving
	downEndpoints     map[string]bool // crashed, and nothing was received from them since
	liveMembers       []string
	loadReports       map[string]EndpointLoadReport // latest report by endpoint
	tracker           *tracker.Tracker
	memberListVersion uint64 // version of the tracker's members that was last applied
	limiter           *limiter.Limiter
	scheduler         *scheduler.Scheduler
	estimator         *estimator.Estimator
	picker            Picker
	home              *granter.Home
	borrower          *granter.Borrower
	retrier           *retrier.Retrier
	quarantiner       *quarantiner.Quarantiner
	isolator          *isolator.Isolator
	stopping          bool
	stopRequested     atomic.Bool // equals stopping, for other goroutines
	ready             atomic.Bool
	// lacksCapacity is true after a request could not be placed. Credit requests are then
	// sent to all homes with the next exchange.
	lacksCapacity bool
	// heldRequests are copies of a suspect request that wait for the end of its trial.
	heldRequests []*requestState
}

// New returns a controller with an empty configuration. Call Serve to run it.
func New(settings Settings, logger hclog.Logger, counters *meter.Meter) *Controller {
	random := rand.New(rand.NewPCG(settings.Seed, 1))
	granterSettings := granter.Settings{RequestInterval: settings.ExchangeInterval}
	c := &Controller{
		settings:         settings,
		logger:           logger,
		meter:            counters,
		events:           make(chan func(time.Time), eventBufferSize),
		crashAlerts:      make(chan struct{}, 1),
		done:             make(chan struct{}),
		requests:         map[uint64]*requestState{},
		leavingEndpoints: map[string]bool{},
		downEndpoints:    map[string]bool{},
		liveMembers:      []string{settings.Self.Name},
		loadReports:      map[string]EndpointLoadReport{},
		tracker:          tracker.New(tracker.Settings{}, settings.Self),
		limiter:          limiter.New(),
		scheduler:        scheduler.New(scheduler.Settings{MaxWaiting: settings.MaxWaiting}),
		estimator:        estimator.New(estimator.DefaultSettings()),
		home:             granter.NewHome(granterSettings),
		borrower:         granter.NewBorrower(granterSettings, settings.Self.Name),
		retrier:          retrier.New(retrier.DefaultSettings(), random),
		quarantiner:      quarantiner.New(quarantiner.DefaultSettings()),
		isolator:         isolator.New(isolator.DefaultSettings(), settings.Self.Name),
	}
	c.picker = settings.Policy.buildPicker(settings.Self.DataCentre, random)

	return c
}

// Serve handles events and ticks until ctx ends, and returns the error of ctx. It is
// the control goroutine.
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
			c.handleQueuedEvents(now)
			c.dispatch(now)
		case now := <-ticks:
			c.tick(now)
		}
	}
}

// String returns the name under which the supervisor logs the controller.
func (c *Controller) String() string {
	return "controller"
}

// Done returns a channel that is closed when Serve has ended.
func (c *Controller) Done() <-chan struct{} {
	return c.done
}

// handleQueuedEvents handles the events that are already queued, so that one dispatch
// follows them all.
func (c *Controller) handleQueuedEvents(now time.Time) {
	for range maxEventsPerDispatch {
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
	c.applyMemberChanges(now)
	c.renewLocalCredits(now)
	c.updateReadiness(now)
	c.requeueHeldRequests(now)
	c.dispatch(now)
	c.meter.SetGauge("waiting", int64(c.scheduler.Waiting()))
	c.meter.SetGauge("running", int64(len(c.requests)-c.scheduler.Waiting()))
}

func (c *Controller) sendEvent(event func(now time.Time)) {
	select {
	case c.events <- event:
	case <-c.done:
	}
}

// runAndWait runs a function on the control goroutine and waits until it has returned.
// If the controller has stopped, the function does not run.
func (c *Controller) runAndWait(event func(now time.Time)) {
	returned := make(chan struct{})
	c.sendEvent(func(now time.Time) {
		event(now)
		close(returned)
	})
	select {
	case <-returned:
	case <-c.done:
	}
}

// Admit queues a request and waits until it is placed on an endpoint or refused. If
// ctx ends first, the request is removed from the queue and the error is of kind
// KindCanceled.
func (c *Controller) Admit(ctx context.Context, request Request) (*Ticket, error) {
	state := &requestState{request: request, results: make(chan placementResult, 1)}
	c.sendEvent(func(now time.Time) {
		c.addRequest(now, state)
	})

	placement, err := c.awaitPlacement(ctx, state)
	if err != nil {
		return nil, err
	}

	return &Ticket{controller: c, state: state, placement: placement}, nil
}

func (c *Controller) awaitPlacement(ctx context.Context, state *requestState) (Placement, error) {
	select {
	case result := <-state.results:
		return result.placement, result.err
	case <-c.done:
		return Placement{}, errControllerStopped()
	case <-ctx.Done():
	}
	c.sendEvent(func(now time.Time) {
		c.cancelRequest(now, state)
	})

	return Placement{}, answerer.New(answerer.KindCanceled, "The caller left while the request waited.")
}
