package dispatcher

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/quarantiner"
)

const (
	// crashEcho is the time within which a broken answer and a refused
	// connection are one crash.
	crashEcho = 2 * time.Second
	// breakagesMost bounds the broken answers remembered for an endpoint.
	breakagesMost = 64
	// suspectsTold bounds the suspects in one message to another instance.
	suspectsTold = 32
)

// breakage is an answer that broke off. Whether its endpoint crashed shows when
// it refuses connections: answers are lost for other reasons too.
type breakage struct {
	fingerprint uint64
	at          time.Time
}

// RecordBrokenAnswer records that the answer to a request broke off.
func (d *Dispatcher) RecordBrokenAnswer(placement Placement, fingerprint uint64) {
	d.do(func() {
		known := d.broken[placement.EndpointID]
		if len(known) >= breakagesMost {
			known = known[1:]
		}
		d.broken[placement.EndpointID] = append(known, breakage{fingerprint: fingerprint, at: d.clock.Now()})
	})
}

// RecordConnectionRefused records that an endpoint refuses connections: whatever just broke off
// there may have crashed it.
func (d *Dispatcher) RecordConnectionRefused(placement Placement) {
	d.do(func() {
		now := d.clock.Now()
		var present []uint64
		for _, b := range d.broken[placement.EndpointID] {
			if now.Sub(b.at) < crashEcho {
				present = append(present, b.fingerprint)
			}
		}
		delete(d.broken, placement.EndpointID)
		if len(present) == 0 {
			return
		}
		d.poison.RecordCrash(now, placement.EndpointID, present)
		d.suspects.Store(true)
		d.logger.Warn("Endpoint crashed.", "endpoint", placement.EndpointID, "requests there", len(present))
	})
}

// HasSuspects reports whether any request is suspected of crashing endpoints.
func (d *Dispatcher) HasSuspects() bool {
	return d.suspects.Load()
}

// IsQuarantined reports whether a request crashed endpoints and must not run now.
func (d *Dispatcher) IsQuarantined(fingerprint uint64) (held bool) {
	d.do(func() { held = d.poison.IsQuarantined(d.clock.Now(), fingerprint) })

	return held
}

// RecordCompletion records that a request ran through, which clears it.
func (d *Dispatcher) RecordCompletion(fingerprint uint64) {
	d.do(func() { d.poison.RecordCompletion(d.clock.Now(), fingerprint) })
}

// suspected returns the suspects to tell other instances.
func (d *Dispatcher) suspected(now time.Time) []quarantiner.Entry {
	entries := d.poison.EntriesToShare(now)
	d.suspects.Store(!d.poison.IsEmpty())

	return entries[:min(len(entries), suspectsTold)]
}

// suspect takes in another instance's suspects.
func (d *Dispatcher) suspect(now time.Time, entries []quarantiner.Entry) {
	if len(entries) == 0 {
		return
	}
	d.poison.Merge(now, entries)
	d.suspects.Store(!d.poison.IsEmpty())
}
