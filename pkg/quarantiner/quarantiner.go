package quarantiner

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// Verdict is what may be done with a request.
type Verdict int

// The verdicts.
const (
	// Clear is a request that may run.
	Clear Verdict = iota
	// Suspect is a request that may run once more, alone.
	Suspect
	// Quarantined is a request that may not run.
	Quarantined
)

// Quarantiner decides which requests may not run.
type Quarantiner struct {
	settings Settings
	entries  map[uint64]*Entry
}

// New returns a Quarantiner.
func New(settings Settings) *Quarantiner {
	return &Quarantiner{settings: settings, entries: map[uint64]*Entry{}}
}

// RecordCrash reports the fingerprints of this instance that ran on the named
// endpoint when it crashed. Other instances may report the same crash.
func (q *Quarantiner) RecordCrash(now time.Time, endpoint string, fingerprints []uint64) {
	name := fnv.New64a()
	_, _ = name.Write([]byte(endpoint))
	q.crashed(now, Crash{EndpointID: name.Sum64(), At: now}, fingerprints)
}

// RecordLocalCrash reports the fingerprints that ran on an endpoint that crashed and
// that no other instance uses.
func (q *Quarantiner) RecordLocalCrash(now time.Time, fingerprints []uint64) {
	q.crashed(now, Crash{EndpointID: uint64(now.UnixNano()), At: now}, fingerprints)
}

func (q *Quarantiner) crashed(now time.Time, crash Crash, fingerprints []uint64) {
	present := slices.Compact(slices.Sorted(slices.Values(fingerprints)))
	suspects := 0
	for _, fingerprint := range present {
		if e := q.live(now, fingerprint); e != nil && len(e.Crashes) > 0 {
			suspects++
		}
	}
	for _, fingerprint := range present {
		e := q.entry(now, fingerprint)
		suspect := len(e.Crashes) > 0
		e.crash(crash)
		// A crash is laid to the one suspect that was there, or to the one
		// request that ran alone.
		e.SoleCause = len(present) == 1 || (suspect && suspects == 1)
	}
}

// RecordCompletion reports that a fingerprint ran through to its end, which clears
// it. Canceled runs do not count.
func (q *Quarantiner) RecordCompletion(now time.Time, fingerprint uint64) {
	if e, ok := q.entries[fingerprint]; ok {
		e.clear(now)
	}
}

// Decide returns what may be done with a request that is about to run. A
// suspect is let run once: until it ends or Settings.Trial is over, its
// copies are quarantined.
func (q *Quarantiner) Decide(now time.Time, fingerprint uint64) Verdict {
	e := q.live(now, fingerprint)
	switch {
	case e == nil || len(e.Crashes) == 0:
		return Clear
	case now.Before(e.until(q.settings)):
		if e.SoleCause {
			e.LastRefusedAt = later(e.LastRefusedAt, now)
		}

		return Quarantined
	case e.tried(now, q.settings):
		return Quarantined
	default:
		e.LastTrialAt = now
		return Suspect
	}
}

// IsQuarantined reports whether a fingerprint is in quarantine. Unlike Verdict it lets
// suspects run, any number at once: it is for callers that cannot run a request
// alone.
func (q *Quarantiner) IsQuarantined(now time.Time, fingerprint uint64) bool {
	e := q.live(now, fingerprint)

	return e != nil && now.Before(e.until(q.settings))
}

// IsEmpty reports whether nothing is suspected.
func (q *Quarantiner) IsEmpty() bool {
	return len(q.entries) == 0
}

// IsOnTrial reports whether a suspect runs alone at present, so that its copies
// had better wait for how that ends.
func (q *Quarantiner) IsOnTrial(now time.Time, fingerprint uint64) bool {
	e := q.live(now, fingerprint)

	return e != nil && len(e.Crashes) > 0 && !now.Before(e.until(q.settings)) && e.tried(now, q.settings)
}

// EntriesToShare returns the entries to pass to other instances, the latest first.
func (q *Quarantiner) EntriesToShare(now time.Time) []Entry {
	shared := make([]Entry, 0, len(q.entries))
	for fingerprint := range q.entries {
		if e := q.live(now, fingerprint); e != nil {
			copied := *e
			copied.Crashes = slices.Clone(e.Crashes)
			shared = append(shared, copied)
		}
	}
	slices.SortFunc(shared, func(a, b Entry) int {
		return cmp.Or(b.touched().Compare(a.touched()), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})

	return shared[:min(len(shared), q.settings.Shared)]
}

// Merge takes the entries of another instance. Entries from a clock that is
// far ahead are ignored.
func (q *Quarantiner) Merge(now time.Time, entries []Entry) {
	for _, other := range entries {
		ahead := other.touched().Sub(now) > q.settings.Trial
		if ahead || q.expired(now, &other) {
			continue
		}
		other.Crashes = slices.SortedFunc(slices.Values(other.Crashes), Crash.compare)
		q.entry(now, other.Fingerprint).merge(other)
	}
}

// live returns the entry of a fingerprint, if there is one. It removes one
// that has expired.
func (q *Quarantiner) live(now time.Time, fingerprint uint64) *Entry {
	e, ok := q.entries[fingerprint]
	if !ok {
		return nil
	}
	if q.expired(now, e) {
		delete(q.entries, fingerprint)
		return nil
	}

	return e
}

func (q *Quarantiner) expired(now time.Time, e *Entry) bool {
	kept := max(q.settings.SuspicionTTL, q.settings.Quarantine, q.settings.Doubt)
	return !now.Before(e.touched().Add(kept))
}

// entry returns the entry of a fingerprint, a new one if there is none.
func (q *Quarantiner) entry(now time.Time, fingerprint uint64) *Entry {
	if e := q.live(now, fingerprint); e != nil {
		return e
	}
	if len(q.entries) >= q.settings.Entries {
		q.evict(now)
	}
	e := &Entry{Fingerprint: fingerprint}
	q.entries[fingerprint] = e

	return e
}

// evict removes the entry that matters least: one out of quarantine, and
// among those the one with the oldest event.
func (q *Quarantiner) evict(now time.Time) {
	var least *Entry
	for _, e := range q.entries {
		if least == nil || q.compare(now, e, least) < 0 {
			least = e
		}
	}
	if least != nil {
		delete(q.entries, least.Fingerprint)
	}
}

func (q *Quarantiner) compare(now time.Time, a, b *Entry) int {
	rank := func(e *Entry) int {
		if now.Before(e.until(q.settings)) {
			return 1
		}

		return 0
	}

	return cmp.Or(
		cmp.Compare(rank(a), rank(b)),
		a.touched().Compare(b.touched()),
		cmp.Compare(a.Fingerprint, b.Fingerprint),
	)
}
