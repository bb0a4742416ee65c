// Package freshener decides whether what an instance knows of keys is still
// good enough to let requests pass.
//
// A key that was taken away must stop working everywhere within a stated time,
// on instances that cannot reach the platform as well. So knowledge is leased:
// it is good from the moment the read that confirmed it was sent, for the
// stated time less a margin. A peer may pass its lease on, with the age it has.
//
// Times are readings of a clock that counts while the machine is suspended.
// A Freshener is not safe for concurrent use.
package freshener

import "time"

// Lease is the lease on what is known.
type Lease struct {
	lifetime  time.Duration
	confirmed time.Duration
	known     bool
}

// New returns a freshener that knows nothing. Knowledge is good for lifetime.
func New(lifetime time.Duration) *Lease {
	return &Lease{lifetime: lifetime}
}

// SetLifetime changes how long knowledge is good.
func (f *Lease) SetLifetime(lifetime time.Duration) {
	f.lifetime = lifetime
}

// Confirm takes in that a read that was sent at the given time confirmed what
// is known. Older confirmations change nothing.
func (f *Lease) Confirm(sent time.Duration) {
	if !f.known || sent > f.confirmed {
		f.confirmed, f.known = sent, true
	}
}

// Age returns how old the last confirmation is; false when there is none.
func (f *Lease) Age(now time.Duration) (time.Duration, bool) {
	return now - f.confirmed, f.known
}

// IsFresh reports whether requests may pass. A clock that went back proves
// nothing, so that nothing passes.
func (f *Lease) IsFresh(now time.Duration) bool {
	age, known := f.Age(now)

	return known && age >= 0 && age < f.lifetime
}
