package relayer

import (
	"sync"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/drainer"
	"github.com/oleanderpick/oleanderpick/pkg/matcher"
)

// plannedStop is a planned stop that has begun.
type plannedStop struct {
	startedAt time.Time
	settings  drainer.Settings
}

// BeginStop makes the relayer refuse requests that may not end before a planned stop does, which began at a
// time.
func (r *Relayer) BeginStop(startedAt time.Time, settings drainer.Settings) {
	r.stop.Store(&plannedStop{startedAt: startedAt, settings: settings})
}

// checkStop returns an error if the instance stops and the request may not end before that.
func (r *relayedRequest) checkStop() *answerer.Error {
	stop := r.relayer.stop.Load()
	if stop == nil {
		return nil
	}
	request := drainer.Request{
		TimeLeft: time.Until(r.deadline), LongestOfRoute: r.relayer.durations.longest(r.route.Name), RunsOnce: r.route.Kind == matcher.NonIdempotent,
	}
	elapsed := time.Since(stop.startedAt)
	if stop.settings.MayRun(elapsed, request) {
		return nil
	}
	r.relayer.logger.Info("Request may outlast the stop.", "request", r.metadata.ID, "route", r.route.Name, "stopping ms", elapsed.Milliseconds(),
		"left ms", request.TimeLeft.Milliseconds(), "longest of route ms", request.LongestOfRoute.Milliseconds())

	return answerer.New(answerer.KindStopping, "The instance is stopping.").WithRetryAfter(reconnectRetryAfter)
}

// refuseIfStopping refuses a request that was taken before a planned stop and has not run yet, if it may outlast
// the stop.
func (r *relayedRequest) refuseIfStopping() bool {
	if r.mayHaveRun || r.answerStarted {
		return false
	}
	err := r.checkStop()
	if err != nil {
		r.refuse(err)
	}

	return err != nil
}

// recordUnfinished counts a request that ends without its answer among those by which a planned stop judges how
// long others take.
func (r *relayedRequest) recordUnfinished() {
	if !r.isServed {
		r.relayer.durations.recordUnfinished(r.route.Name, time.Since(r.receivedAt))
	}
}

// routeDurations is drainer.Durations for concurrent use.
type routeDurations struct {
	mu        sync.Mutex
	durations *drainer.Durations
}

func newRouteDurations() *routeDurations {
	return &routeDurations{durations: drainer.NewDurations()}
}

func (d *routeDurations) record(route string, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.durations.Record(route, duration)
}

func (d *routeDurations) recordUnfinished(route string, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.durations.RecordUnfinished(route, duration)
}

func (d *routeDurations) longest(route string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.durations.Longest(route)
}
