package dispatcher

import (
	"context"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/freshener"
)

// maxDataWait is how long a request waits for the read in progress when the data is too old.
const maxDataWait = 500 * time.Millisecond

// dataState is what a dispatcher knows of the age of one kind of data.
type dataState struct {
	limit    freshener.AgeLimit
	failedAt time.Duration // when the last read that failed was sent, since boot
	hasFail  bool
}

// allows reports whether data that was confirmed by a read sent at a time may be used.
func (s dataState) allows(now, readAt time.Duration) bool {
	return s.limit.Allows(now-readAt, s.hasFail && s.failedAt > readAt)
}

// RecordFailedListing records that a read of the endpoints, sent at the given time since boot,
// failed.
func (d *Dispatcher) RecordFailedListing(sentAt time.Duration) {
	d.withState(func() {
		d.registry.RecordFailedRead(d.timeOf(sentAt))
		d.endpointsState.failedAt, d.endpointsState.hasFail = sentAt, true
		d.signalData()
	})
}

// RecordFailedConfiguration records that a read of the configuration, sent at the given time since
// boot, failed.
func (d *Dispatcher) RecordFailedConfiguration(sentAt time.Duration) {
	d.withState(func() {
		d.configurationState.failedAt, d.configurationState.hasFail = sentAt, true
		d.signalData()
	})
}

// timeOf returns the time of a reading of the clock that counts from boot.
func (d *Dispatcher) timeOf(sinceBoot time.Duration) time.Time {
	return d.clock.Now().Add(sinceBoot - d.clock.SinceBoot())
}

// signalData wakes those who wait for a read of the platform to end. The caller holds the lock.
func (d *Dispatcher) signalData() {
	close(d.dataRead)
	d.dataRead = make(chan struct{})
}

// isRegistryCurrent reports whether endpoints may be chosen by the registry as it is known. The
// caller holds the lock.
func (d *Dispatcher) isRegistryCurrent() bool {
	return !d.registry.HasListing() || d.endpointsState.allows(d.clock.SinceBoot(), d.registryReadAt())
}

// registryReadAt returns when the read was sent that last told which endpoints leave, since boot. Its
// new endpoints may wait for the record of versions. The caller holds the lock.
func (d *Dispatcher) registryReadAt() time.Duration {
	return max(d.listingReadAt, d.departuresReadAt)
}

// AwaitConfiguration waits for a read of the configuration if the one that is known is too old, for
// maxDataWait at the longest. It reports whether requests may be handled by it.
func (d *Dispatcher) AwaitConfiguration(ctx context.Context) bool {
	return d.awaitData(ctx, func() bool {
		now := d.clock.SinceBoot()
		age, isConfirmed := d.lease.Age(now)

		return !isConfirmed || d.configurationState.allows(now, now-age)
	})
}

// IsConfigurationYoung reports whether the configuration was confirmed so recently that a change of
// it would be known, or need not be in force yet.
func (d *Dispatcher) IsConfigurationYoung() (isYoung bool) {
	d.withState(func() {
		age, isConfirmed := d.lease.Age(d.clock.SinceBoot())
		isYoung = isConfirmed && d.configurationState.limit.Allows(age, false)
	})

	return isYoung
}

// awaitData waits until data is current by a function that is called with the lock, for maxDataWait at
// the longest, and reports whether it is.
func (d *Dispatcher) awaitData(ctx context.Context, isCurrent func() bool) bool {
	var timeout <-chan time.Time
	for {
		current, read := false, (<-chan struct{})(nil)
		d.withState(func() { current, read = isCurrent(), d.dataRead })
		if current || read == nil { // Without a channel, Serve has ended.
			return current
		}
		if timeout == nil {
			timer := time.NewTimer(maxDataWait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-read:
		case <-timeout:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// MaySend reports whether a request may still go to the endpoint of its placement: the endpoint
// has not left, by a registry that is young enough.
func (d *Dispatcher) MaySend(placement Placement) (isRegistered, isCurrent bool) {
	d.withState(func() {
		isRegistered = d.registry.TakesRequests(placement.EndpointID, placement.StartedUnixMs)
		isCurrent = d.isRegistryCurrent()
	})

	return isRegistered, isCurrent
}
