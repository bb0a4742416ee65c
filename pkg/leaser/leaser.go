package leaser

import (
	"encoding/json"
	"time"
)

// Defaults of the settings.
const (
	DefaultDuration = 15 * time.Second
	DefaultRenew    = 5 * time.Second
	DefaultPoll     = 10 * time.Second
)

const (
	// MarginParts says how early a holder stops: one part of that many of the
	// duration, as clocks run at different rates.
	MarginParts = 10
	// MaximumTries is the number of writes of unknown outcome remembered.
	MaximumTries = 8
	// RetryPause is the time between tries while the store fails.
	RetryPause = time.Second
	// CallTimeout is the time after which a call counts as lost.
	CallTimeout = 3 * time.Second
)

// Settings are the parameters of a Leaser.
type Settings struct {
	// Name is the name of the lease object.
	Name string
	// HolderID is this process; unique for each start.
	HolderID string
	// Duration is how long the lease lasts after each write.
	Duration time.Duration
	// Renew is the time between the holder's writes.
	Renew time.Duration
	// Poll is the time between the others' reads.
	Poll time.Duration
}

// WithDefaults returns the settings with zero values replaced.
func (s Settings) WithDefaults() Settings {
	if s.Duration == 0 {
		s.Duration = DefaultDuration
	}
	if s.Renew == 0 {
		s.Renew = DefaultRenew
	}
	if s.Poll == 0 {
		s.Poll = DefaultPoll
	}
	return s
}

// Leaser is one instance's part in a lease.
type Leaser struct {
	settings Settings

	// seen is the newest form of the object, since when by our own clock.
	seen      StoredLease
	seenSince time.Time

	// sent is when the write was sent that gave us the lease, until its end.
	sent  time.Time
	until time.Time
	fence uint64
	// floor is the highest fencing number told by others.
	floor uint64

	turn    uint64
	tries   []try
	waiting bool // A call is in hand.
	due     time.Time
	payload json.RawMessage
	stopped bool
}

// try is a write that may have taken effect.
type try struct {
	turn  uint64
	sent  time.Time
	fence uint64
}

// New returns a leaser that holds nothing; Tick makes it begin.
func New(settings Settings) *Leaser {
	return &Leaser{settings: settings.WithDefaults()}
}

// Held returns the fencing number and the end of the lease, and whether it is
// held at that time. Check it right before each act.
func (l *Leaser) Held(now time.Time) (fence uint64, until time.Time, ok bool) {
	if l.fence == 0 || !now.Before(l.until) {
		return 0, time.Time{}, false
	}
	return l.fence, l.until, true
}

// Payload returns what the lease object carries for its holder.
func (l *Leaser) Payload() json.RawMessage { return l.seen.Lease.Payload }

// Highest returns the highest fencing number known.
func (l *Leaser) Highest() uint64 { return max(l.fence, l.floor, l.seen.Lease.Fence) }

// RecordFence takes note of a fencing number told by a peer, an endpoint or a head.
// One above our own means that we were superseded, or that the lease object
// was deleted: nothing is held any more, and the next number is higher still.
func (l *Leaser) RecordFence(fence uint64) {
	l.floor = max(l.floor, fence)
	if l.fence > 0 && fence > l.fence {
		l.until, l.due = time.Time{}, time.Time{}
	}
}

// SetPayload sets what the next write carries. Flush writes it at once.
func (l *Leaser) SetPayload(payload json.RawMessage) { l.payload = payload }

// Flush renews the lease at once, so that the payload is in the store early.
func (l *Leaser) Flush(now time.Time) []Action {
	l.due = now
	return l.Tick(now)
}

// Tick begins what is due: a renewal, a try to take the lease, or a read.
func (l *Leaser) Tick(now time.Time) []Action {
	if l.stopped || now.Before(l.due) {
		return nil
	}
	if l.waiting {
		l.waiting = false // The call was never answered.
		return l.read(now)
	}
	if _, _, held := l.Held(now); held && l.settled() {
		return l.write(now, l.fence)
	}
	return l.read(now)
}

// settled reports whether the object in the store is our own last write.
func (l *Leaser) settled() bool {
	return len(l.tries) == 0 && l.seen.Lease.Owner == l.settings.HolderID
}

func (l *Leaser) read(now time.Time) []Action {
	l.waiting = true
	l.due = now.Add(CallTimeout)
	return []Action{Read{Name: l.settings.Name}}
}

func (l *Leaser) write(now time.Time, fence uint64) []Action {
	l.turn++
	l.tries = append(l.tries, try{turn: l.turn, sent: now, fence: fence})
	l.tries = l.tries[max(0, len(l.tries)-MaximumTries):]
	l.waiting = true
	l.due = now.Add(CallTimeout)
	lease := Lease{
		Owner: l.settings.HolderID, Fence: fence, Turn: l.turn,
		Duration: l.settings.Duration, Payload: l.carried(),
	}
	return []Action{Write{Name: l.settings.Name, Lease: lease, Version: l.seen.Version}}
}

func (l *Leaser) carried() json.RawMessage {
	if l.payload != nil {
		return l.payload
	}
	return l.seen.Lease.Payload
}
