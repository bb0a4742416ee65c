package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// Crash is a crash of one endpoint at one time.
type Crash struct {
	// EndpointID identifies the endpoint in the same way on all instances.
	EndpointID uint64
	// At is when the crash happened, by this instance's clock.
	At time.Time
}

// sameCrashWindow is the time within which reported crashes of one endpoint count as a
// single crash. Several instances may see the same crash, each at a different time, and
// no endpoint is back up within this time.
const sameCrashWindow = 2 * time.Second

// isSame reports whether c and other are reports of the same crash.
func (c Crash) isSame(other Crash) bool {
	return c.EndpointID == other.EndpointID && c.At.Sub(other.At).Abs() < sameCrashWindow
}

// Entry is what is known about a fingerprint. Instances send entries to each other.
type Entry struct {
	// Fingerprint identifies the request.
	Fingerprint uint64
	// Crashes are the latest crashes of endpoints that ran the request, oldest first.
	Crashes []Crash
	// SoleCause is true if no other request can have caused the latest crash.
	SoleCause bool
	// LastTrialAt is when the request was last allowed to run alone as a suspect.
	LastTrialAt time.Time
	// LastRefusedAt is when the request was last refused in a quarantine for a crash that no
	// other request can have caused.
	LastRefusedAt time.Time
	// LastClearedAt is when the request last ran to completion.
	LastClearedAt time.Time
}

// compare orders crashes by time, and crashes at the same time by endpoint.
func (c Crash) compare(other Crash) int {
	return cmp.Or(c.At.Compare(other.At), cmp.Compare(c.EndpointID, other.EndpointID))
}

// minCrashesToQuarantine is the number of crashes after which a fingerprint is
// quarantined. No more crashes than this are stored.
const minCrashesToQuarantine = 2

// latestCrashAt returns the time of the latest crash, or the zero time if there is none.
func (e *Entry) latestCrashAt() time.Time {
	if len(e.Crashes) == 0 {
		return time.Time{}
	}

	return e.Crashes[len(e.Crashes)-1].At
}

// latestEventAt returns the time of the latest crash, trial, refusal or completion.
func (e *Entry) latestEventAt() time.Time {
	return laterOf(laterOf(e.latestCrashAt(), e.LastTrialAt), laterOf(e.LastRefusedAt, e.LastClearedAt))
}

// addCrash adds a crash, unless it is known already or isn't later than the last
// completion. It keeps only the latest crashes.
func (e *Entry) addCrash(crash Crash) {
	if !crash.At.After(e.LastClearedAt) || slices.ContainsFunc(e.Crashes, crash.isSame) {
		return
	}
	index, _ := slices.BinarySearchFunc(e.Crashes, crash, Crash.compare)
	e.Crashes = slices.Insert(e.Crashes, index, crash)
	if len(e.Crashes) > minCrashesToQuarantine {
		e.Crashes = e.Crashes[len(e.Crashes)-minCrashesToQuarantine:]
	}
}

// clearUpTo removes the crashes up to and including a time, when the request ran to
// completion.
func (e *Entry) clearUpTo(at time.Time) {
	e.LastClearedAt = laterOf(e.LastClearedAt, at)
	e.Crashes = slices.DeleteFunc(e.Crashes, func(crash Crash) bool { return !crash.At.After(e.LastClearedAt) })
	if len(e.Crashes) == 0 {
		e.SoleCause = false
	}
}

// merge adds what another instance knows about the same fingerprint.
func (e *Entry) merge(other Entry) {
	e.clearUpTo(other.LastClearedAt)
	for _, crash := range other.Crashes {
		e.addCrash(crash)
	}
	if len(e.Crashes) > 0 && len(other.Crashes) > 0 && e.Crashes[len(e.Crashes)-1].isSame(other.Crashes[len(other.Crashes)-1]) {
		e.SoleCause = other.SoleCause
	}
	e.LastTrialAt = laterOf(e.LastTrialAt, other.LastTrialAt)
	e.LastRefusedAt = laterOf(e.LastRefusedAt, other.LastRefusedAt)
}

// quarantineEnd returns when the quarantine ends, or the zero time if there is none.
func (e *Entry) quarantineEnd(settings Settings) time.Time {
	if len(e.Crashes) < minCrashesToQuarantine {
		return time.Time{}
	}
	lastCrashAt := e.latestCrashAt()
	if !e.SoleCause {
		return lastCrashAt.Add(settings.AmbiguousQuarantineDuration)
	}
	end := laterOf(lastCrashAt, e.LastRefusedAt).Add(settings.QuarantineDuration)
	if maxEnd := lastCrashAt.Add(settings.MaxQuarantineDuration); end.After(maxEnd) {
		return maxEnd
	}

	return end
}

// isOnTrial reports whether a copy of the request was allowed to run alone since the
// latest crash, and the trial hasn't timed out.
func (e *Entry) isOnTrial(now time.Time, settings Settings) bool {
	return !e.LastTrialAt.Before(e.latestCrashAt()) && now.Before(e.LastTrialAt.Add(settings.TrialTimeout))
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}

	return a
}
