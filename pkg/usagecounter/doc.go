// Package usagecounter counts the requests of workspaces by windows of true time, for bills that one
// instance reports for all.
//
// The load pattern is that of 24 to 48,000 workspaces whose requests reach any of the instances,
// which are killed, stopped and replaced at any time. Each instance counts what began for it
// (Counter) and sends the counts to the instances that collect them (Collector). Counts only grow,
// so that a message may be lost, repeated or late. The instance that reports keeps a Ledger: a
// window is closed once, its counts are stored before they are reported, and a report is repeated
// with the same counts until it is accepted.
//
// True time is that of most instances' clocks (Clock). Times since boot and true times are
// durations; a true time counts from the start of 1970. No type here is safe for concurrent use.
package usagecounter

import "time"

// WindowCounts are the requests in a window by workspace.
type WindowCounts struct {
	Window uint64            `json:"window"`
	Counts map[string]uint64 `json:"counts"`
}

// sum returns the number of all requests.
func sum(counts map[string]uint64) (total uint64) {
	for _, count := range counts {
		total += count
	}

	return total
}

// Sum returns the number of all requests in the window.
func (w WindowCounts) Sum() uint64 { return sum(w.Counts) }

// Settings are the times of windows and reports.
type Settings struct {
	// Window is the length of a window. Window K begins K times Window after the start of 1970.
	Window time.Duration
	// Delay is the time after the end of a window at which its report is due.
	Delay time.Duration
}

const (
	// A window is closed when minLateness/latenessUnit of the delay have passed since its end and
	// all instances have sent their counts, or when maxLateness/latenessUnit have passed. Counts
	// arrive a second after the end, or two if a message is lost, and later from an instance that
	// was cut off. What remains of the delay is for a write, a call, or a holder that takes over.
	minLateness, maxLateness, latenessUnit = 3, 6, 10
	// retainedDelays is for how many delays after its end a window is kept while its report cannot
	// be made.
	retainedDelays = 12
)

// WindowAt returns the window of a true time.
func (s Settings) WindowAt(trueTime time.Duration) uint64 {
	return uint64(max(0, trueTime) / s.Window)
}

// End returns the true time at which a window ends.
func (s Settings) End(window uint64) time.Duration {
	return time.Duration(window+1) * s.Window //nolint:gosec // Windows come from times.
}

// oldest returns the oldest window that is kept at a true time.
func (s Settings) oldest(trueNow time.Duration) uint64 {
	return s.WindowAt(trueNow - retainedDelays*s.Delay)
}
