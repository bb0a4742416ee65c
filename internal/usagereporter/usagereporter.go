// Package usagereporter counts the requests of workspaces at one instance, sends the counts to the
// instances that collect them, and reports the totals to the cloud API while this instance holds the
// duty to do so. pkg/usagecounter decides what is counted, closed and reported.
package usagereporter

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/dutyholder"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/pkg/usagecounter"
)

// Holder holds the duty to report usage.
type Holder interface {
	Term() (dutyholder.Term, bool)
	Refused(fence uint64)
	Payload() (payload json.RawMessage, isComplete bool)
	SetPayload(fence uint64, payload json.RawMessage, isUrgent bool) (stored <-chan struct{})
}

// Caller makes the calls of the cloud API.
type Caller interface {
	ReportUsage(ctx context.Context, term dutyholder.Term, window uint64, counts map[string]uint64) error
}

// Sender sends counts to peers.
type Sender interface {
	SendUsage(ctx context.Context, instance string, windows []usagecounter.WindowCounts) bool
}

// Settings are a reporter's identity and times.
type Settings struct {
	usagecounter.Settings

	// Instance is this instance's name, and Incarnation differs at each start of it.
	Instance    string
	Incarnation uint64
	// FirstStart is true if the whole system starts for the first time.
	FirstStart bool
}

// Clocks are the machine's clocks.
type Clocks struct {
	// SinceBoot also counts suspended time. TimeOfDay counts from the start of 1970.
	SinceBoot, TimeOfDay func() time.Duration
}

const (
	// tickInterval is how often a reporter looks what is due.
	tickInterval = 200 * time.Millisecond
	// sendInterval is the time between two messages with counts to an instance that collects them. A
	// kill loses the counts since the last one: at most a 200th of a window of 5 s in a fleet of 40
	// instances. In a smaller fleet, where an instance has a larger share, it is smallInterval.
	sendInterval  = time.Second
	smallInterval = 500 * time.Millisecond
	smallFleet    = 40
	// joinTime is the time after it began to collect in which an instance gets the counts of all
	// others. It closes no window within it.
	joinTime = 2500 * time.Millisecond
	// firstStartTime is the time after the first start of the whole system within which a missing
	// record means that there was none.
	firstStartTime = 30 * time.Second
)

// Reporter counts and reports for one instance. It is safe for concurrent use.
type Reporter struct {
	settings Settings
	clocks   Clocks
	members  func() []string
	holder   Holder
	caller   Caller
	sender   Sender
	counters *meter.Meter
	logger   hclog.Logger
	done     chan struct{}

	mu        sync.Mutex
	clock     *usagecounter.Clock
	counter   *usagecounter.Counter
	collector *usagecounter.Collector

	// The following are used by Serve only.
	startedAt      time.Duration            // true time
	recipients     map[string]time.Duration // since when each collects, since boot
	memberAt       map[string]time.Duration // when each instance was last a member, since boot
	collectorSince time.Duration            // since when this instance collects; 0 if it does not
	nextSendAt     time.Duration
	reports        termReports
}

// New returns a reporter. Serve runs it. members returns the names of the live instances.
func New(settings Settings, clocks Clocks, members func() []string, holder Holder, caller Caller, sender Sender, counters *meter.Meter, logger hclog.Logger) *Reporter {
	return &Reporter{
		settings: settings, clocks: clocks, members: members, holder: holder, caller: caller, sender: sender, counters: counters, logger: logger,
		done: make(chan struct{}), clock: usagecounter.NewClock(), counter: usagecounter.NewCounter(settings.Settings),
		collector: usagecounter.NewCollector(settings.Settings), recipients: map[string]time.Duration{},
		memberAt: map[string]time.Duration{},
	}
}

// String returns the name that the supervisor logs.
func (r *Reporter) String() string {
	return "usage reporter"
}

// Done returns a channel that is closed when Serve has ended.
func (r *Reporter) Done() <-chan struct{} {
	return r.done
}

// TimeOfDay returns this machine's time of day since the start of 1970.
func (r *Reporter) TimeOfDay() time.Duration {
	return r.clocks.TimeOfDay()
}

// ReceiveTimeOfDay records the time of day that a peer stated.
func (r *Reporter) ReceiveTimeOfDay(peer string, timeOfDay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock.Receive(r.clocks.SinceBoot(), peer, timeOfDay)
}

// ReceiveUsage records a peer's counts.
func (r *Reporter) ReceiveUsage(sender usagecounter.Sender, windows []usagecounter.WindowCounts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.collector.Receive(r.trueTime(), sender, windows)
}

// CountRun counts a request of a workspace that an endpoint began to run at a time.
func (r *Reporter) CountRun(workspace string, beganAt time.Time) {
	age := max(0, time.Since(beganAt))
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.trueTime()
	r.counter.Count(now, now-age, workspace)
}

// trueTime returns the true time. The caller holds the mutex.
func (r *Reporter) trueTime() time.Duration {
	return r.clock.TrueTime(r.clocks.SinceBoot(), r.clocks.TimeOfDay())
}

// Serve sends counts and reports until ctx ends.
func (r *Reporter) Serve(ctx context.Context) error {
	defer close(r.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	r.mu.Lock()
	r.startedAt = r.trueTime()
	r.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			r.updateRecipients()
			if now := r.clocks.SinceBoot(); now >= r.nextSendAt {
				r.nextSendAt = now + r.sendInterval()
				go r.Send(ctx)
			}
			r.report(ctx)
		}
	}
}

// sendInterval returns the time between two messages to an instance that collects counts.
func (r *Reporter) sendInterval() time.Duration {
	if len(r.members()) <= smallFleet {
		return smallInterval
	}

	return sendInterval
}

// updateRecipients finds out which instances collect counts.
func (r *Reporter) updateRecipients() {
	now := r.clocks.SinceBoot()
	members := r.members()
	candidates := dutyholder.Reserve(dutyholder.UsageReport, members)
	for _, name := range members {
		r.memberAt[name] = now
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.recipients {
		if !slices.Contains(candidates, name) {
			delete(r.recipients, name)
		}
	}
	for _, name := range candidates {
		if _, ok := r.recipients[name]; !ok {
			r.recipients[name] = now
		}
	}
	r.collectorSince = r.recipients[r.settings.Instance]
}

// expected returns the names of the instances whose counts of a window may still come. One that is
// cut off is no member meanwhile, and sends its counts when it is back.
func (r *Reporter) expected() (names []string) {
	now := r.clocks.SinceBoot()
	for name, at := range r.memberAt {
		if now-at > r.settings.Window+r.settings.Delay {
			delete(r.memberAt, name)

			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)

	return names
}

// Send sends the counts that have changed to the instances that collect them.
func (r *Reporter) Send(ctx context.Context) {
	interval := r.sendInterval()
	r.mu.Lock()
	now, sinceBoot := r.trueTime(), r.clocks.SinceBoot()
	own := usagecounter.Sender{Name: r.settings.Instance, Incarnation: r.settings.Incarnation}
	r.collector.Receive(now, own, r.counter.Changes(now, 0, true))
	changes := map[string][]usagecounter.WindowCounts{}
	for name, since := range r.recipients {
		if name != r.settings.Instance {
			changes[name] = r.counter.Changes(now, interval, sinceBoot-since < joinTime)
		}
	}
	r.mu.Unlock()
	var sent sync.WaitGroup
	for name, windows := range changes {
		sent.Go(func() {
			if !r.sender.SendUsage(ctx, name, windows) {
				r.counters.Add("usage.unsent", 1)
			}
		})
	}
	sent.Wait()
}
