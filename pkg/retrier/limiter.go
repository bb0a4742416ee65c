package retrier

import "time"

// RepeatLimiterSettings limit the repeats that all instances make together.
type RepeatLimiterSettings struct {
	// Window is the length of the sliding window in which first attempts and
	// repeats are counted.
	Window time.Duration
	// RepeatRatio is the number of repeats allowed for each first attempt.
	RepeatRatio float64
	// Burst is the number of further repeats allowed in a window. All
	// instances share it.
	Burst float64
}

const (
	// windowSlots is the number of slots into which a window is divided; the
	// window slides by one slot at a time.
	windowSlots = 20
	// usableFraction is the fraction of the limit that is used. The rest is a
	// margin: instances count the same requests at slightly different times.
	usableFraction = 0.8
)

// RepeatLimiter limits the repeats of each service in a sliding window of time. Each
// instance may use its share of the burst. The counts take bounded memory
// because the names of the services come from the configuration.
type RepeatLimiter struct {
	settings        RepeatLimiterSettings
	startedAt       time.Time
	instanceCount   int
	countsByService map[string]*slotCounts
}

// slotCounts holds the first attempts and repeats of a service in each slot of
// the window, as ring buffers. currentSlot is the number of the newest slot,
// counted from the limiter's start; its index is the number modulo windowSlots.
type slotCounts struct {
	currentSlot   int64
	firstAttempts [windowSlots]float64
	repeats       [windowSlots]float64
}

// NewRepeatLimiter returns a limiter with no attempts recorded. It may use the whole burst
// until SetInstanceCount says that instances share it.
func NewRepeatLimiter(settings RepeatLimiterSettings) *RepeatLimiter {
	return &RepeatLimiter{settings: settings, instanceCount: 1, countsByService: map[string]*slotCounts{}}
}

// Configure replaces the settings. If the length of the window changes, the
// repeats counted so far are counted as made now, so that the change never
// allows more of them; first attempts are counted anew.
func (l *RepeatLimiter) Configure(now time.Time, settings RepeatLimiterSettings) {
	resized := settings.Window != l.settings.Window
	l.settings = settings
	if !resized {
		return
	}
	for service, old := range l.countsByService {
		delete(l.countsByService, service)
		repeats := 0.0
		for _, slotRepeats := range old.repeats {
			repeats += slotRepeats
		}
		counts := l.currentCounts(now, service)
		counts.repeats[counts.currentSlot%windowSlots] = repeats
	}
}

// SetInstanceCount sets the number of instances that share the burst.
func (l *RepeatLimiter) SetInstanceCount(instances int) {
	l.instanceCount = max(1, instances)
}

// RecordFirstAttempt records the first attempt of a request at a service.
func (l *RepeatLimiter) RecordFirstAttempt(now time.Time, service string) {
	counts := l.currentCounts(now, service)
	counts.firstAttempts[counts.currentSlot%windowSlots]++
}

// TakeRepeat reports whether a request at a service may be repeated now. If so, it
// counts the repeat.
func (l *RepeatLimiter) TakeRepeat(now time.Time, service string) bool {
	counts := l.currentCounts(now, service)
	firstAttempts, repeats := 0.0, 0.0
	for i := range windowSlots {
		firstAttempts += counts.firstAttempts[i]
		repeats += counts.repeats[i]
	}
	maxRepeats := usableFraction * (l.settings.RepeatRatio*firstAttempts + l.settings.Burst/float64(l.instanceCount))
	if repeats+1 > maxRepeats {
		return false
	}
	counts.repeats[counts.currentSlot%windowSlots]++

	return true
}

// currentCounts returns the counts of a service with the window moved to now:
// slots older than the window are set to 0 and used again.
func (l *RepeatLimiter) currentCounts(now time.Time, service string) *slotCounts {
	counts := l.countsByService[service]
	if counts == nil {
		counts = &slotCounts{}
		l.countsByService[service] = counts
	}
	// Slots are counted from a start time, because the difference of two times
	// uses the monotonic clock and ignores changes of the wall clock.
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	slot := int64(now.Sub(l.startedAt)) / max(1, int64(l.settings.Window)/windowSlots)
	for i := max(counts.currentSlot+1, slot-windowSlots+1); i <= slot; i++ {
		counts.firstAttempts[i%windowSlots], counts.repeats[i%windowSlots] = 0, 0
	}
	counts.currentSlot = max(counts.currentSlot, slot)

	return counts
}
