package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// Crash is one crash of an endpoint.
type Crash struct {
	// EndpointID tells where it was, on all instances.
	EndpointID uint64
	// At is when it happened by this instance's clock.
	At time.Time
}

// once is the time within which crashes of one name are one: several instances
// see an endpoint crash, each at its own time, and none comes back so soon.
const once = 2 * time.Second

func (c Crash) same(other Crash) bool {
	return c.EndpointID == other.EndpointID && c.At.Sub(other.At).Abs() < once
}

// Entry is what is known about a fingerprint, as instances pass it on.
type Entry struct {
	// Fingerprint identifies the request.
	Fingerprint uint64
	// Crashes are the latest crashes, oldest first.
	Crashes []Crash
	// SoleCause says that no other request can have caused the latest crash.
	SoleCause bool
	// LastTrialAt is when it was last let run as a suspect.
	LastTrialAt time.Time
	// LastRefusedAt is when it was last refused while sure.
	LastRefusedAt time.Time
	// LastClearedAt is when it last ran through.
	LastClearedAt time.Time
}

func (c Crash) compare(other Crash) int {
	return cmp.Or(c.At.Compare(other.At), cmp.Compare(c.EndpointID, other.EndpointID))
}

// enough is the number of crashes that put a fingerprint into quarantine.
const enough = 2

// latest returns the time of the latest crash; zero: none.
func (e *Entry) latest() time.Time {
	if len(e.Crashes) == 0 {
		return time.Time{}
	}

	return e.Crashes[len(e.Crashes)-1].At
}

// touched returns the time of the latest event.
func (e *Entry) touched() time.Time {
	return later(later(e.latest(), e.LastTrialAt), later(e.LastRefusedAt, e.LastClearedAt))
}

// crash adds a crash; the same one counts once. It keeps the latest ones.
func (e *Entry) crash(crash Crash) {
	if !crash.At.After(e.LastClearedAt) || slices.ContainsFunc(e.Crashes, crash.same) {
		return
	}
	k, _ := slices.BinarySearchFunc(e.Crashes, crash, Crash.compare)
	e.Crashes = slices.Insert(e.Crashes, k, crash)
	if len(e.Crashes) > enough {
		e.Crashes = e.Crashes[len(e.Crashes)-enough:]
	}
}

// clear forgets what happened up to a time.
func (e *Entry) clear(at time.Time) {
	e.LastClearedAt = later(e.LastClearedAt, at)
	e.Crashes = slices.DeleteFunc(e.Crashes, func(crash Crash) bool { return !crash.At.After(e.LastClearedAt) })
	if len(e.Crashes) == 0 {
		e.SoleCause = false
	}
}

// merge takes what another instance knows.
func (e *Entry) merge(other Entry) {
	e.clear(other.LastClearedAt)
	for _, crash := range other.Crashes {
		e.crash(crash)
	}
	if len(e.Crashes) > 0 && len(other.Crashes) > 0 && e.Crashes[len(e.Crashes)-1].same(other.Crashes[len(other.Crashes)-1]) {
		e.SoleCause = other.SoleCause
	}
	e.LastTrialAt = later(e.LastTrialAt, other.LastTrialAt)
	e.LastRefusedAt = later(e.LastRefusedAt, other.LastRefusedAt)
}

// until returns when the quarantine ends; zero: there is none.
func (e *Entry) until(settings Settings) time.Time {
	if len(e.Crashes) < enough {
		return time.Time{}
	}
	crash := e.latest()
	if !e.SoleCause {
		return crash.Add(settings.Doubt)
	}
	until := later(crash, e.LastRefusedAt).Add(settings.Quarantine)
	if longest := crash.Add(settings.Longest); until.After(longest) {
		return longest
	}

	return until
}

// tried says whether a copy runs alone at present.
func (e *Entry) tried(now time.Time, settings Settings) bool {
	return !e.LastTrialAt.Before(e.latest()) && now.Before(e.LastTrialAt.Add(settings.Trial))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}

	return a
}
