package isolator

import (
	"cmp"
	"slices"
	"time"
)

// Crash is a crash of an endpoint at which a request with a certain block was running.
type Crash struct {
	// EndpointID identifies the endpoint in the same way on all instances.
	EndpointID uint64
	// At is when the crash happened, by this instance's clock.
	At time.Time
	// HasBegun reports whether the answers to all requests there with the block had begun.
	HasBegun bool
}

const (
	// sameCrashWindow is the time within which reported crashes of one endpoint count as a
	// single crash. Instances see the same crash at different times, and no endpoint is
	// back up within this time.
	sameCrashWindow = 2 * time.Second
	// eventWindow is the time within which crashes of several endpoints count as one event.
	eventWindow = 250 * time.Millisecond
	// maxCrashes is the number of crashes kept for a block, the latest ones.
	maxCrashes = 32
	// maxCompanions is the number of companions kept for a block.
	maxCompanions = 64
)

// isSame reports whether c and other are reports of the same crash.
func (c Crash) isSame(other Crash) bool {
	return c.EndpointID == other.EndpointID && c.At.Sub(other.At).Abs() < sameCrashWindow
}

// compare orders crashes by time, and crashes at the same time by endpoint.
func (c Crash) compare(other Crash) int {
	return cmp.Or(c.At.Compare(other.At), cmp.Compare(c.EndpointID, other.EndpointID))
}

// Record is what is known about a block. Instances send records to each other.
type Record struct {
	// Block identifies the prompt block.
	Block uint64
	// Crashes are the crashes since the last completion, oldest first.
	Crashes []Crash
	// Companions are the IDs, in ascending order, of the blocks that accompanied the block
	// in all requests that ran at Crashes.
	Companions []uint64
	// LastCompletedAt is when a request with the block last ran to completion; zero if none
	// is known.
	LastCompletedAt time.Time
	// LastRefusedAt is when a request with the block was last refused.
	LastRefusedAt time.Time
	// LastTrialAt is when a request with the block was last allowed as a trial.
	LastTrialAt time.Time
	// Trials is the number of trials, FailedTrials that of those after which an endpoint
	// crashed.
	Trials, FailedTrials int

	// addedAt is when this instance added the record.
	addedAt time.Time
}

// clone returns a copy that shares no memory with r.
func (r *Record) clone() Record {
	copied := *r
	copied.Crashes = slices.Clone(r.Crashes)
	copied.Companions = slices.Clone(r.Companions)

	return copied
}

// latestCrashAt returns the time of the latest crash; zero if there is none.
func (r *Record) latestCrashAt() time.Time {
	if len(r.Crashes) == 0 {
		return time.Time{}
	}

	return r.Crashes[len(r.Crashes)-1].At
}

// hasBegun reports whether an answer to a request with the block had begun at one of the
// crashes, so that the block probably did not cause it.
func (r *Record) hasBegun() bool {
	return slices.ContainsFunc(r.Crashes, func(crash Crash) bool { return crash.HasBegun })
}

// latestNewsAt returns the time of the latest event, or that at which the record was added. A
// record that was added for news of old crashes may hold a completion that is news to others.
func (r *Record) latestNewsAt() time.Time {
	return laterOf(r.latestEventAt(), r.addedAt)
}

// latestEventAt returns the time of the latest crash, completion, refusal or trial.
func (r *Record) latestEventAt() time.Time {
	latest := r.latestCrashAt()
	for _, at := range []time.Time{r.LastCompletedAt, r.LastRefusedAt, r.LastTrialAt} {
		latest = laterOf(latest, at)
	}

	return latest
}

// addCrash adds a crash at which the block ran with the companions, unless it isn't later
// than the last completion, and reports whether that changed the record. A second report
// of a crash is merged with the first.
func (r *Record) addCrash(crash Crash, companions []uint64) (changed bool) {
	if !crash.At.After(r.LastCompletedAt) {
		return false
	}
	if len(r.Crashes) == 0 {
		r.Companions = companions
	} else if common := intersect(r.Companions, companions); len(common) < len(r.Companions) {
		r.Companions, changed = common, true
	}
	if i := slices.IndexFunc(r.Crashes, crash.isSame); i >= 0 {
		return r.mergeCrash(i, crash) || changed
	}
	if !r.LastTrialAt.IsZero() && crash.At.After(r.LastTrialAt) && !r.latestCrashAt().After(r.LastTrialAt) {
		r.FailedTrials++
	}
	index, _ := slices.BinarySearchFunc(r.Crashes, crash, Crash.compare)
	r.Crashes = slices.Insert(r.Crashes, index, crash)
	if len(r.Crashes) > maxCrashes {
		r.Crashes = slices.Delete(r.Crashes, 0, len(r.Crashes)-maxCrashes)
	}

	return true
}

// mergeCrash merges a second report of the crash at an index, and reports whether that
// changed the record. The earlier time is closer to the crash.
func (r *Record) mergeCrash(index int, crash Crash) (changed bool) {
	known := &r.Crashes[index]
	if known.HasBegun && !crash.HasBegun {
		known.HasBegun, changed = false, true
	}
	if crash.At.Before(known.At) {
		known.At, changed = crash.At, true
		slices.SortFunc(r.Crashes, Crash.compare)
	}

	return changed
}

// clearUpTo removes the crashes up to and including a time, when a request with the block
// ran to completion.
func (r *Record) clearUpTo(at time.Time) {
	if !at.After(r.LastCompletedAt) {
		return
	}
	r.LastCompletedAt = at
	r.Crashes = slices.DeleteFunc(r.Crashes, func(crash Crash) bool { return !crash.At.After(at) })
	r.Trials, r.FailedTrials = 0, 0
	if len(r.Crashes) == 0 {
		r.Companions = nil
	}
}

// merge adds what another instance knows about the same block, and reports whether that
// changed what may follow from the record.
func (r *Record) merge(other Record) (changed bool) {
	if other.LastCompletedAt.After(r.LastCompletedAt) {
		changed = r.LastCompletedAt.IsZero() || len(r.Crashes) > 0
		r.clearUpTo(other.LastCompletedAt)
	}
	for _, crash := range other.Crashes {
		changed = r.addCrash(crash, other.Companions) || changed
	}
	if other.LastTrialAt.After(r.LastCompletedAt) {
		r.Trials = max(r.Trials, other.Trials)
		r.FailedTrials = max(r.FailedTrials, other.FailedTrials)
	}
	r.LastRefusedAt = laterOf(r.LastRefusedAt, other.LastRefusedAt)
	r.LastTrialAt = laterOf(r.LastTrialAt, other.LastTrialAt)

	return changed
}

// intersect returns the IDs that are in both sorted lists.
func intersect(a, b []uint64) []uint64 {
	var common []uint64
	for _, id := range a {
		if _, found := slices.BinarySearch(b, id); found {
			common = append(common, id)
		}
	}

	return common
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}

	return a
}
