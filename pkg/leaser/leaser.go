package leaser

import (
	"cmp"
	"encoding/json"
	"time"
)

// Defaults for the zero values of Settings.
const (
	DefaultDuration      = 15 * time.Second
	DefaultRenewInterval = 5 * time.Second
	DefaultPollInterval  = 10 * time.Second
)

const (
	// DriftMarginDivisor sets how early a holder stops acting: the duration divided
	// by it before the lease ends, because clocks run at different rates.
	DriftMarginDivisor = 10
	// MaxPendingWrites is the number of writes without a known result that a Leaser
	// remembers. The oldest are dropped.
	MaxPendingWrites = 8
	// RetryDelay is the time until the store is called again after a failure.
	RetryDelay = time.Second
	// CallTimeout is the time after which a call to the store counts as lost.
	CallTimeout = 3 * time.Second
)

// Settings configures a Leaser. Zero durations stand for the defaults.
type Settings struct {
	// Name is the name of the lease object in the store.
	Name string
	// HolderID identifies this process and differs at each start of it.
	HolderID string
	// Duration is how long the lease is valid after each write.
	Duration time.Duration
	// RenewInterval is the time between the writes by which the holder renews the
	// lease.
	RenewInterval time.Duration
	// PollInterval is the time between the reads of an instance that does not hold
	// the lease.
	PollInterval time.Duration
	// RetryDelay and CallTimeout replace the constants of the same names.
	RetryDelay, CallTimeout time.Duration
	// FenceFromVersion makes the fencing token of a term the version of the write that acquired the
	// lease, with the store's epoch in the upper bits. The store gives each version out once, so no
	// two terms have the same token, even if the object was deleted or a write was executed late.
	FenceFromVersion bool
	// HolderName is the name of the instance, which is the same at each start of it. With a name, an
	// instance does not acquire a lease again in which others acted within the duration since it did.
	HolderName string
	// WaitIfAbsent delays the first acquisition for the duration if there is no object. It may have
	// been deleted while another instance holds the lease.
	WaitIfAbsent bool
}

// WithDefaults returns the settings with zero durations replaced by the defaults.
func (s Settings) WithDefaults() Settings {
	if s.Duration == 0 {
		s.Duration = DefaultDuration
	}
	if s.RenewInterval == 0 {
		s.RenewInterval = DefaultRenewInterval
	}
	if s.PollInterval == 0 {
		s.PollInterval = DefaultPollInterval
	}
	s.RetryDelay = cmp.Or(s.RetryDelay, RetryDelay)
	s.CallTimeout = cmp.Or(s.CallTimeout, CallTimeout)
	return s
}

// Leaser is the state machine by which one instance acquires, renews and releases
// a lease.
type Leaser struct {
	settings Settings

	// latest is the newest version of the lease object that was read or written,
	// latestSeenAt when it was first seen, by the local clock.
	latest       StoredLease
	latestSeenAt time.Time
	// absentSince is when the object was first found missing; zero if it was seen.
	absentSince time.Time

	// confirmedWriteSentAt is when the last confirmed write of this instance was
	// sent; expiresAt is when the lease that it gave ends, less the drift margin.
	confirmedWriteSentAt time.Time
	expiresAt            time.Time
	fence                uint64 // Token of the lease last held, 0 before the first.
	// reportedFence is the highest fencing token that peers, endpoints or
	// earlier versions of the lease object reported.
	reportedFence uint64

	writeSequence   uint64
	pendingWrites   []pendingWrite
	callInFlight    bool            // A call to the store has no result yet.
	nextCallAt      time.Time       // Time of the next call or, with callInFlight, at which that call counts as lost.
	payloadOverride json.RawMessage // Payload of the following writes; nil keeps the stored one.
	payloadNumber   uint64          // Calls of SetPayload so far.
	released        bool
}

// pendingWrite is a write of this instance that may have taken effect: its result
// is outstanding or in doubt.
type pendingWrite struct {
	sequence uint64
	sentAt   time.Time
	fence    uint64
	// isAcquisition is true if the write does not renew a lease that is held.
	isAcquisition bool
}

// New returns a Leaser that does not hold the lease. The first call of Tick starts
// it.
func New(settings Settings) *Leaser {
	return &Leaser{settings: settings.WithDefaults()}
}

// Held returns the fencing token and the expiry of the lease, and whether this
// instance holds it at time now. Callers check it right before each operation that
// needs the lease.
func (l *Leaser) Held(now time.Time) (fence uint64, expiresAt time.Time, ok bool) {
	if l.fence == 0 || !now.Before(l.expiresAt) {
		return 0, time.Time{}, false
	}
	return l.fence, l.expiresAt, true
}

// Payload returns the payload of the newest known version of the lease object.
func (l *Leaser) Payload() json.RawMessage { return l.latest.Lease.Payload }

// IsPayloadLost reports whether what earlier holders stored may be lost.
func (l *Leaser) IsPayloadLost() bool { return l.latest.Lease.PayloadLost }

// ConfirmedAt returns when the last confirmed write of the lease was sent.
func (l *Leaser) ConfirmedAt() time.Time { return l.confirmedWriteSentAt }

// HighestFence returns the highest fencing token known to this instance.
func (l *Leaser) HighestFence() uint64 { return max(l.fence, l.reportedFence, l.latest.Lease.Fence) }

// RecordFence records a fencing token reported by a peer, an endpoint or a stored head.
// A token above that of this instance means that another holder took over or that
// the lease object was deleted: the lease is no longer held, and the next token
// used here will be higher than the reported one.
func (l *Leaser) RecordFence(fence uint64) {
	l.reportedFence = max(l.reportedFence, fence)
	if l.fence > 0 && fence > l.fence {
		l.expiresAt, l.nextCallAt = time.Time{}, time.Time{}
	}
}

// SetPayload sets the payload of the following writes; nil keeps the stored one. It is
// discarded when the lease has been lost and is acquired again. Flush starts such a
// write at once. SetPayload returns the number of the call, which writes of the payload state.
func (l *Leaser) SetPayload(payload json.RawMessage) (number uint64) {
	l.payloadOverride = payload
	l.payloadNumber++
	return l.payloadNumber
}

// Flush starts the next call to the store without waiting for the renewal interval,
// so that a new payload is stored early.
func (l *Leaser) Flush(now time.Time) []Action {
	l.nextCallAt = now
	return l.Tick(now)
}

// Hasten makes the next call to the store due at once, unless one is in flight.
func (l *Leaser) Hasten(now time.Time) {
	if !l.callInFlight {
		l.nextCallAt = now
	}
}

// Tick returns the call to the store that is due, if any: a write that renews the
// lease, or a read, after which the lease may be acquired.
func (l *Leaser) Tick(now time.Time) []Action {
	if l.released || now.Before(l.nextCallAt) {
		return nil
	}
	if l.callInFlight {
		l.callInFlight = false // The call counts as lost.
		return l.startRead(now)
	}
	if _, _, held := l.Held(now); held && l.isLastWriteConfirmed() {
		return l.startWrite(now, l.renewedLease(), false)
	}
	return l.startRead(now)
}

// isLastWriteConfirmed reports whether the newest known version of the lease object
// is the last write of this instance.
func (l *Leaser) isLastWriteConfirmed() bool {
	return len(l.pendingWrites) == 0 && l.latest.Lease.HolderID == l.settings.HolderID
}

// startRead returns a read of the lease object and records that it is in flight.
func (l *Leaser) startRead(now time.Time) []Action {
	l.callInFlight = true
	l.nextCallAt = now.Add(l.settings.CallTimeout)
	return []Action{Read{Name: l.settings.Name}}
}

// startWrite returns a write of the lease and records it as pending.
func (l *Leaser) startWrite(now time.Time, lease Lease, isAcquisition bool) []Action {
	l.writeSequence++
	lease.WriteSequence, lease.Duration, lease.Epoch = l.writeSequence, l.settings.Duration, l.latest.Epoch
	l.pendingWrites = append(l.pendingWrites, pendingWrite{sequence: l.writeSequence, sentAt: now, fence: lease.Fence, isAcquisition: isAcquisition})
	l.pendingWrites = l.pendingWrites[max(0, len(l.pendingWrites)-MaxPendingWrites):]
	l.callInFlight = true
	l.nextCallAt = now.Add(l.settings.CallTimeout)
	write := Write{Name: l.settings.Name, Lease: lease, Version: l.latest.Version}
	if l.payloadOverride != nil {
		write.PayloadNumber = l.payloadNumber
	}
	return []Action{write}
}

// renewedLease returns the lease that the holder writes to renew it.
func (l *Leaser) renewedLease() Lease {
	return Lease{
		HolderID: l.settings.HolderID, Fence: l.fence, Payload: l.payloadToWrite(),
		PayloadLost: l.latest.Lease.PayloadLost && l.payloadOverride == nil,
		HolderName:  l.settings.HolderName, RecentNames: l.latest.Lease.RecentNames,
	}
}

// payloadToWrite returns the payload that was set, or else the stored one.
func (l *Leaser) payloadToWrite() json.RawMessage {
	if l.payloadOverride != nil {
		return l.payloadOverride
	}
	return l.latest.Lease.Payload
}
