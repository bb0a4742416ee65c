package quarantiner

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Verdict says whether a request may run.
type Verdict int

// The verdicts on a request.
const (
	// Allowed means that the request may run.
	Allowed Verdict = iota
	// Suspect means that the request may run once more, but alone on its endpoint.
	Suspect
	// Quarantined means that the request may not run.
	Quarantined
)

// Quarantiner stores which fingerprints were running when endpoints crashed, and decides
// which requests may not run.
type Quarantiner struct {
	settings Settings
	entries  map[uint64]*Entry // by fingerprint
}

// New returns a Quarantiner without entries.
func New(settings Settings) *Quarantiner {
	return &Quarantiner{settings: settings, entries: map[uint64]*Entry{}}
}

// RecordCrash records a crash of the named endpoint, and the fingerprints of this
// instance's requests that were running there. Other instances may record the same crash.
func (q *Quarantiner) RecordCrash(now time.Time, endpoint string, fingerprints []uint64) {
	endpointHash := fnv.New64a()
	_, _ = endpointHash.Write([]byte(endpoint))
	q.attributeCrash(now, Crash{EndpointID: endpointHash.Sum64(), At: now}, fingerprints)
}

// RecordLocalCrash records a crash of an endpoint that no other instance uses, and the
// fingerprints that were running there. Calls at different times count as different
// crashes, since the time stands in for the endpoint's ID.
func (q *Quarantiner) RecordLocalCrash(now time.Time, fingerprints []uint64) {
	q.attributeCrash(now, Crash{EndpointID: uint64(now.UnixNano()), At: now}, fingerprints)
}

// attributeCrash adds the crash to the entry of each fingerprint that was running, and
// marks the one that must have caused it, if that is certain.
func (q *Quarantiner) attributeCrash(now time.Time, crash Crash, fingerprints []uint64) {
	running := slices.Compact(slices.Sorted(slices.Values(fingerprints)))
	suspectCount := 0
	for _, fingerprint := range running {
		if e := q.unexpiredEntry(now, fingerprint); e != nil && len(e.Crashes) > 0 {
			suspectCount++
		}
	}
	for _, fingerprint := range running {
		e := q.getOrAddEntry(now, fingerprint)
		wasSuspect := len(e.Crashes) > 0
		e.addCrash(crash)
		// A crash is attributed to the only suspect that was running, or to a request
		// that was running alone.
		e.SoleCause = len(running) == 1 || (wasSuspect && suspectCount == 1)
	}
}

// RecordCompletion records that a fingerprint ran to completion, which clears it. It must not
// be called for a canceled request.
func (q *Quarantiner) RecordCompletion(now time.Time, fingerprint uint64) {
	if e, ok := q.entries[fingerprint]; ok {
		e.clearUpTo(now)
	}
}

// Decide decides whether a request that is about to run may do so. A suspect may run
// once: until it ends or Settings.TrialTimeout has passed, its copies are quarantined.
func (q *Quarantiner) Decide(now time.Time, fingerprint uint64) Verdict {
	e := q.unexpiredEntry(now, fingerprint)
	switch {
	case e == nil || len(e.Crashes) == 0:
		return Allowed
	case now.Before(e.quarantineEnd(q.settings)):
		if e.SoleCause {
			e.LastRefusedAt = laterOf(e.LastRefusedAt, now)
		}

		return Quarantined
	case e.isOnTrial(now, q.settings):
		return Quarantined
	default:
		e.LastTrialAt = now
		return Suspect
	}
}

// IsQuarantined reports whether a fingerprint is in quarantine. Unlike Decide, it allows any
// number of copies of a suspect to run at once. It is meant for callers that can't run a
// request alone.
func (q *Quarantiner) IsQuarantined(now time.Time, fingerprint uint64) bool {
	e := q.unexpiredEntry(now, fingerprint)

	return e != nil && now.Before(e.quarantineEnd(q.settings))
}

// IsEmpty reports whether there are no entries. Entries of cleared fingerprints count
// until they expire.
func (q *Quarantiner) IsEmpty() bool {
	return len(q.entries) == 0
}

// IsOnTrial reports whether a copy of a suspect is allowed to run alone at present, so that
// other copies should wait for its end.
func (q *Quarantiner) IsOnTrial(now time.Time, fingerprint uint64) bool {
	e := q.unexpiredEntry(now, fingerprint)

	return e != nil && len(e.Crashes) > 0 && !now.Before(e.quarantineEnd(q.settings)) && e.isOnTrial(now, q.settings)
}

// EntriesToShare returns the entries to send to other instances, with the most recent events
// first, and at most Settings.MaxSharedEntries.
func (q *Quarantiner) EntriesToShare(now time.Time) []Entry {
	return q.RecentEntries(now, math.MaxInt64)
}

// RecentEntries returns those of the entries to share whose latest event has at most the given
// age.
func (q *Quarantiner) RecentEntries(now time.Time, maxAge time.Duration) []Entry {
	var recent []*Entry
	for fingerprint := range q.entries {
		if e := q.unexpiredEntry(now, fingerprint); e != nil && now.Sub(e.latestEventAt()) <= maxAge {
			recent = append(recent, e)
		}
	}
	slices.SortFunc(recent, func(a, b *Entry) int {
		return cmp.Or(b.latestEventAt().Compare(a.latestEventAt()), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	shared := make([]Entry, 0, min(len(recent), q.settings.MaxSharedEntries))
	for _, e := range recent[:cap(shared)] {
		entry := *e
		entry.Crashes = slices.Clone(e.Crashes)
		shared = append(shared, entry)
	}

	return shared
}

// Merge adds the entries of another instance. It ignores entries whose events lie more
// than Settings.TrialTimeout in the future.
func (q *Quarantiner) Merge(now time.Time, entries []Entry) {
	for _, other := range entries {
		isFromFuture := other.latestEventAt().Sub(now) > q.settings.TrialTimeout
		if isFromFuture || q.isExpired(now, &other) {
			continue
		}
		other.Crashes = slices.SortedFunc(slices.Values(other.Crashes), Crash.compare)
		q.getOrAddEntry(now, other.Fingerprint).merge(other)
	}
}

// unexpiredEntry returns the entry of a fingerprint, or nil if there is none. It removes
// an entry that has expired.
func (q *Quarantiner) unexpiredEntry(now time.Time, fingerprint uint64) *Entry {
	e, ok := q.entries[fingerprint]
	if !ok {
		return nil
	}
	if q.isExpired(now, e) {
		delete(q.entries, fingerprint)
		return nil
	}

	return e
}

// isExpired reports whether the latest event of an entry is older than the longest of the
// suspicion and quarantine durations.
func (q *Quarantiner) isExpired(now time.Time, e *Entry) bool {
	ttl := max(q.settings.SuspicionTTL, q.settings.QuarantineDuration, q.settings.AmbiguousQuarantineDuration)
	return !now.Before(e.latestEventAt().Add(ttl))
}

// getOrAddEntry returns the entry of a fingerprint, and adds one if there is none. It
// evicts another entry if there are Settings.MaxEntries already.
func (q *Quarantiner) getOrAddEntry(now time.Time, fingerprint uint64) *Entry {
	if e := q.unexpiredEntry(now, fingerprint); e != nil {
		return e
	}
	if len(q.entries) >= q.settings.MaxEntries {
		q.evictEntry(now)
	}
	e := &Entry{Fingerprint: fingerprint}
	q.entries[fingerprint] = e

	return e
}

// evictEntry removes the least important entry: the one with the oldest event among those
// not in quarantine, or among all if all are in quarantine.
func (q *Quarantiner) evictEntry(now time.Time) {
	var evicted *Entry
	for _, e := range q.entries {
		if evicted == nil || q.compareImportance(now, e, evicted) < 0 {
			evicted = e
		}
	}
	if evicted != nil {
		delete(q.entries, evicted.Fingerprint)
	}
}

// compareImportance orders entries from least to most important to keep.
func (q *Quarantiner) compareImportance(now time.Time, a, b *Entry) int {
	rank := func(e *Entry) int {
		if now.Before(e.quarantineEnd(q.settings)) {
			return 1
		}

		return 0
	}

	return cmp.Or(
		cmp.Compare(rank(a), rank(b)),
		a.latestEventAt().Compare(b.latestEventAt()),
		cmp.Compare(a.Fingerprint, b.Fingerprint),
	)
}
