// Package freshener decides whether an instance's copy of the configuration is recent
// enough to accept API keys by it, and when the instance should read again.
//
// A revoked key must stop working everywhere within a stated time, even on instances
// that cannot reach the platform. So a copy is leased: it is valid for the stated
// time, less a margin, from the moment at which the read that confirmed it was sent.
// A peer may pass its lease on together with the lease's age.
//
// Other data has a limit of age too, beyond which it is used only if the platform cannot be read.
//
// Times are readings of a clock that also runs while the machine is suspended. A
// Lease is not safe for concurrent use.
package freshener

import "time"

// Lease is the right to use a copy of the configuration for a limited time.
type Lease struct {
	lifetime    time.Duration
	confirmedAt time.Duration // clock reading when the last confirming read was sent
	isConfirmed bool          // false until the first confirmation
}

// New returns a lease that has not been confirmed yet. Each confirmation makes it
// valid for lifetime.
func New(lifetime time.Duration) *Lease {
	return &Lease{lifetime: lifetime}
}

// SetLifetime changes how long a confirmation is valid, including the last one.
func (l *Lease) SetLifetime(lifetime time.Duration) {
	l.lifetime = lifetime
}

// Confirm records that a read that was sent at sentAt confirmed the copy. A read that
// was sent earlier than the last confirming one changes nothing.
func (l *Lease) Confirm(sentAt time.Duration) {
	if !l.isConfirmed || sentAt > l.confirmedAt {
		l.confirmedAt, l.isConfirmed = sentAt, true
	}
}

// Age returns the time since the last confirming read was sent; false if there is
// none.
func (l *Lease) Age(now time.Duration) (time.Duration, bool) {
	return now - l.confirmedAt, l.isConfirmed
}

// IsFresh reports whether the lease is valid, so that keys may be accepted. It is not
// valid if the clock went back, because the age is then unknown.
func (l *Lease) IsFresh(now time.Duration) bool {
	age, confirmed := l.Age(now)

	return confirmed && age >= 0 && age < l.lifetime
}
