// Package historian decides at which software versions of a service a stream may have begun,
// for an instance that has not seen the stream: all instances may have restarted since.
//
// A record of versions lasts longer than the instances. A version is recorded before a stream
// begins at one of its endpoints, and stays recorded until it has been absent from the registry
// for longer than a stream can last. So if the record has one version of a service, a stream of
// that service began there. The record holds no times, since the clocks of instances differ.
//
// When a configuration lowers the limit of how long a stream can last, the record gets the limit
// before it, since streams that began under that one go on.
//
// A record may lack versions: those of streams before the first record, and those that were lost
// when the platform came back from an older copy. Then it has an entry that says so, which
// disappears like a version that is absent.
//
// A Historian is not safe for concurrent use.
package historian

import (
	"maps"
	"math"
	"slices"
	"time"
)

// anyService and anyVersion are the entry of a record that may lack versions. An endpoint whose
// version is not stated has the version anyVersion too. The other entries of anyService are
// earlier limits of how long a stream can last, as texts of durations.
const anyService, anyVersion = "", ""

// Record says at which versions streams may have begun that have not ended.
type Record struct {
	// Epoch is the epoch of the platform's store for which the record is complete.
	Epoch uint64
	// Versions are the sorted versions by service.
	Versions map[string][]string
}

// OnlyVersion returns the version at which a stream of the service began, if the record has just
// one and is complete for the given epoch of the store.
func (r Record) OnlyVersion(epoch uint64, service string) (string, bool) {
	versions := r.Versions[service]
	if r.Epoch != epoch || r.has(anyService, anyVersion) || len(versions) != 1 || versions[0] == anyVersion {
		return "", false
	}

	return versions[0], true
}

// Unreadable returns the record of which nothing is known.
func Unreadable() Record {
	return Record{Epoch: math.MaxUint64}
}

// has reports whether a version of a service is recorded.
func (r Record) has(service, version string) bool {
	return slices.Contains(r.Versions[service], version)
}

// with returns the record with a version of a service added.
func (r Record) with(service, version string) Record {
	if r.has(service, version) {
		return r
	}
	versions := maps.Clone(r.Versions)
	if versions == nil {
		versions = map[string][]string{}
	}
	versions[service] = append(slices.Clone(versions[service]), version)
	slices.Sort(versions[service])
	r.Versions = versions

	return r
}

// without returns the record without the versions of a service that are to be removed.
func (r Record) without(isRemoved func(service, version string) bool) Record {
	versions := map[string][]string{}
	for service, recorded := range r.Versions {
		kept := slices.DeleteFunc(slices.Clone(recorded), func(version string) bool { return isRemoved(service, version) })
		if len(kept) > 0 {
			versions[service] = kept
		}
	}
	r.Versions = versions

	return r
}

// isEqual reports whether two records say the same.
func (r Record) isEqual(other Record) bool {
	return r.Epoch == other.Epoch && maps.EqualFunc(r.Versions, other.Versions, slices.Equal[[]string])
}

// maxListingGap is the time between two listings of the registry after which what was known
// before does not count: versions may have come and gone unseen. A version that is listed for
// less than that may go unseen all the same.
const maxListingGap = 6 * time.Second

// serviceVersion is a version of a service.
type serviceVersion struct {
	service, version string
}

// Historian keeps one instance's view of the registry and of the record.
type Historian struct {
	isFirstStart bool
	record       Record
	hasRecord    bool // the record was read in this epoch, after the last gap
	isUsable     bool // the record was read after the last gap
	isMissing    bool // the record was read and does not exist
	epoch        uint64
	listed       map[serviceVersion]bool      // by the last listing
	lastListedAt map[serviceVersion]time.Time // of recorded versions, or when they were first looked for
	listedAt     time.Time                    // of the last listing
	limit        time.Duration                // in force when it was last known
	earlierLimit time.Duration                // the highest before it that is not in the record yet; 0 if none
}

// New returns a historian that knows nothing. isFirstStart is true if the whole system starts
// for the first time: there were no streams before the first record.
func New(isFirstStart bool) *Historian {
	return &Historian{isFirstStart: isFirstStart, listed: map[serviceVersion]bool{}, lastListedAt: map[serviceVersion]time.Time{}}
}

// ApplyListing replaces the versions that the registry lists, by service. The listing is of
// the given epoch of the store.
func (h *Historian) ApplyListing(now time.Time, epoch uint64, versions map[string][]string) {
	if epoch != h.epoch && !h.listedAt.IsZero() {
		h.isFirstStart = false // The record may have been lost.
	}
	isAfterGap := now.Sub(h.listedAt) > maxListingGap
	if epoch != h.epoch || isAfterGap {
		h.hasRecord, h.isMissing = false, false
		h.isUsable = h.isUsable && !isAfterGap
		clear(h.lastListedAt)
	}
	h.epoch, h.listedAt = epoch, now
	clear(h.listed)
	for service, listed := range versions {
		for _, version := range listed {
			h.listed[serviceVersion{service, version}] = true
		}
	}
	h.noteListed(now)
}

// noteListed updates the times at which recorded versions were listed last.
func (h *Historian) noteListed(now time.Time) {
	for service, versions := range h.record.Versions {
		for _, version := range versions {
			key := serviceVersion{service, version}
			if _, known := h.lastListedAt[key]; h.listed[key] || !known {
				h.lastListedAt[key] = now
			}
		}
	}
}

// ApplyRecord replaces the record by the one that was read from the platform or written there.
func (h *Historian) ApplyRecord(now time.Time, record Record) {
	h.record, h.hasRecord, h.isUsable, h.isMissing, h.isFirstStart = record, true, true, false, false
	if record.longestRecorded() >= h.earlierLimit {
		h.earlierLimit = 0
	}
	maps.DeleteFunc(h.lastListedAt, func(key serviceVersion, _ time.Time) bool { return !record.has(key.service, key.version) })
	h.noteListed(now)
}

// ApplyMissing records that the platform has no record.
func (h *Historian) ApplyMissing() {
	h.record, h.hasRecord, h.isUsable, h.isMissing = Record{}, true, true, true
}

// Forget records that it is not known what the platform has.
func (h *Historian) Forget() {
	h.hasRecord, h.isMissing = false, false
}

// IsRecorded reports whether streams may begin at a version of a service: the record has it. A
// record of an earlier epoch of the store will do: it is not complete for this epoch, and the next
// one will say so for longer than such a stream lasts.
func (h *Historian) IsRecorded(service, version string) bool {
	return h.isUsable && h.record.has(service, version)
}

// HasRecord reports whether the record was read, and need not be read before it is written.
func (h *Historian) HasRecord() bool {
	return h.hasRecord
}

// IsMissing reports whether the platform had no record when it was read.
func (h *Historian) IsMissing() bool {
	return h.isMissing
}

// longestRecorded returns the longest time that a stream can last by the limits in the record.
func (r Record) longestRecorded() time.Duration {
	longest := time.Duration(0)
	for _, text := range r.Versions[anyService] {
		if limit, err := time.ParseDuration(text); err == nil { // anyVersion is not a limit.
			longest = max(longest, limit)
		}
	}

	return longest
}

// NextRecord returns the record to write, after HasRecord, and whether it differs from that on
// the platform. longestStream is the limit in force of how long a stream can last; 0 if it is not
// known. Versions and earlier limits that were absent for longer than a stream can last, by any limit,
// are left out.
func (h *Historian) NextRecord(now time.Time, longestStream time.Duration) (Record, bool) {
	if longestStream > 0 && longestStream < h.limit {
		h.earlierLimit = max(h.earlierLimit, h.limit)
	}
	if longestStream > 0 {
		h.limit = longestStream
	}
	longest := max(longestStream, h.earlierLimit, h.record.longestRecorded())
	next := h.record.without(func(service, version string) bool {
		key := serviceVersion{service, version}

		return longestStream > 0 && !h.listed[key] && now.Sub(h.lastListedAt[key]) > longest+maxListingGap
	})
	if h.earlierLimit > 0 {
		next = next.with(anyService, h.earlierLimit.String())
	}
	isIncomplete := h.record.Epoch != h.epoch
	if h.isMissing {
		isIncomplete = !h.isFirstStart
	}
	next.Epoch = h.epoch
	for key := range h.listed {
		next = next.with(key.service, key.version)
	}
	if isIncomplete {
		next = next.with(anyService, anyVersion)
	}

	return next, h.isMissing || !next.isEqual(h.record)
}
