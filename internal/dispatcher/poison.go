package dispatcher

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/quarantiner"
)

// maxSuspectsPerMessage is the number of suspects sent in one message to a peer.
const maxSuspectsPerMessage = 32

// HasSuspects reports whether any request is suspected of crashing endpoints. It takes
// no lock.
func (d *Dispatcher) HasSuspects() bool {
	return d.hasSuspects.Load()
}

// IsQuarantined reports whether a request is in quarantine because it may crash endpoints, so
// that it must not run now.
func (d *Dispatcher) IsQuarantined(fingerprint uint64) (quarantined bool) {
	d.withState(func() { quarantined = d.quarantine.IsQuarantined(d.clock.Now(), fingerprint) })

	return quarantined
}

// RecordCompletion records that a request ran to completion, so that it is no longer a
// suspect.
func (d *Dispatcher) RecordCompletion(fingerprint uint64) {
	d.withState(func() { d.quarantine.RecordCompletion(d.clock.Now(), fingerprint) })
}

// suspectsToShare returns the suspects to send to peers.
func (d *Dispatcher) suspectsToShare(now time.Time) []quarantiner.Entry {
	if d.quarantine.IsEmpty() {
		return nil
	}
	entries := d.quarantine.RecentEntries(now, crashNewsAge)
	entries = entries[:min(len(entries), maxSuspectsPerMessage)]
	if d.sharesOldNews() {
		entries = addOldNews(entries, d.quarantine.EntriesToShare(now), d.messageCount)
	}
	d.hasSuspects.Store(!d.quarantine.IsEmpty())

	return entries
}

// mergeSuspects adds a peer's suspects to the local ones.
func (d *Dispatcher) mergeSuspects(now time.Time, entries []quarantiner.Entry) {
	if len(entries) == 0 {
		return
	}
	d.quarantine.Merge(now, entries)
	d.hasSuspects.Store(!d.quarantine.IsEmpty())
}
