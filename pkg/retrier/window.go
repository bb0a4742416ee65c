package retrier

import "time"

// RepeatLimiterSettings are the bounds on repeats that all instances keep together.
type RepeatLimiterSettings struct {
	// Window is the time over which first tries and repeats are counted.
	Window time.Duration
	// RepeatRatio is the repeats allowed for each first try.
	RepeatRatio float64
	// Burst is the repeats allowed beside, over all instances.
	Burst float64
}

const (
	// windowSteps is the parts in which a window moves on.
	windowSteps = 20
	// windowMargin is the share of the bound that is used: instances count
	// the same requests at slightly different times.
	windowMargin = 0.8
)

// RepeatLimiter bounds the repeats of each service in every span of a given length.
// Each instance spends its part of the burst. The service names come from the
// configuration, which bounds the state.
type RepeatLimiter struct {
	settings  RepeatLimiterSettings
	begun     time.Time
	instances int
	services  map[string]*counts
}

// counts is a ring of steps.
type counts struct {
	step    int64
	first   [windowSteps]float64
	repeats [windowSteps]float64
}

// NewRepeatLimiter returns a window in which nothing was sent yet.
func NewRepeatLimiter(settings RepeatLimiterSettings) *RepeatLimiter {
	return &RepeatLimiter{settings: settings, instances: 1, services: map[string]*counts{}}
}

// Configure takes new bounds. Repeats of the window before count in the new one
// as if they were made now, so that no change lets more of them pass.
func (w *RepeatLimiter) Configure(now time.Time, settings RepeatLimiterSettings) {
	resized := settings.Window != w.settings.Window
	w.settings = settings
	if !resized {
		return
	}
	for service, old := range w.services {
		delete(w.services, service)
		repeats := 0.0
		for _, made := range old.repeats {
			repeats += made
		}
		c := w.counts(now, service)
		c.repeats[c.step%windowSteps] = repeats
	}
}

// SetInstanceCount tells how many instances spend from the bound.
func (w *RepeatLimiter) SetInstanceCount(instances int) {
	w.instances = max(1, instances)
}

// RecordFirstAttempt counts a first try at a service.
func (w *RepeatLimiter) RecordFirstAttempt(now time.Time, service string) {
	c := w.counts(now, service)
	c.first[c.step%windowSteps]++
}

// TakeRepeat takes a repeat from the bound and reports whether there was one left.
func (w *RepeatLimiter) TakeRepeat(now time.Time, service string) bool {
	c := w.counts(now, service)
	first, repeats := 0.0, 0.0
	for i := range windowSteps {
		first += c.first[i]
		repeats += c.repeats[i]
	}
	allowed := windowMargin * (w.settings.RepeatRatio*first + w.settings.Burst/float64(w.instances))
	if repeats+1 > allowed {
		return false
	}
	c.repeats[c.step%windowSteps]++

	return true
}

// counts returns the ring of a service, moved on to the present.
func (w *RepeatLimiter) counts(now time.Time, service string) *counts {
	c := w.services[service]
	if c == nil {
		c = &counts{}
		w.services[service] = c
	}
	// The difference of two times leaves out jumps of the time of day.
	if w.begun.IsZero() {
		w.begun = now
	}
	step := int64(now.Sub(w.begun)) / max(1, int64(w.settings.Window)/windowSteps)
	for i := max(c.step+1, step-windowSteps+1); i <= step; i++ {
		c.first[i%windowSteps], c.repeats[i%windowSteps] = 0, 0
	}
	c.step = max(c.step, step)

	return c
}
