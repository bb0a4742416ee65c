package usagecounter

import (
	"encoding/json"
	"slices"
	"time"
)

const (
	// maxOpenCounts is the number of counts of open windows that are stored. With more, only the
	// instances that collect keep them: the object would be written with hundreds of kilobytes a
	// second to guard against the loss of both.
	maxOpenCounts = 2000
	// maxClosedCounts is the number of counts of closed windows that are stored, at up to 80 bytes
	// each. No further window is closed until reports are accepted.
	maxClosedCounts = 10000
	// lostMargin is how much later than now a window must be closed that is reported although what
	// was stored is lost: an earlier holder's clock may be ahead.
	lostMargin = time.Second
)

// record is what a ledger stores.
type record struct {
	// Next is the first window that is not closed.
	Next uint64 `json:"next"`
	// Closed are the windows whose counts are final and whose reports are not known to be accepted.
	Closed []WindowCounts `json:"closed,omitempty"`
	// Open are totals of windows that are not closed, and Earlier those that earlier holders stored,
	// the oldest first.
	Open    []Total `json:"open,omitempty"`
	Earlier []Total `json:"earlier,omitempty"`
}

// Ledger decides which counts of a window are reported, and when, for the instance that reports.
// It begins anew with each term of that instance.
type Ledger struct {
	settings Settings
	record   record
	// recorded is the first window whose counts are not known to be stored.
	recorded uint64
}

// NewLedger returns a ledger for a term that begins. stored is what the last holder stored. If it
// is not complete, what earlier holders stored may be lost; then the ledger leaves out each window
// that one of them may have reported. first is the first window of which all requests were counted
// if no earlier holder can have reported any, or 0.
func NewLedger(settings Settings, trueNow time.Duration, stored []byte, isComplete bool, first uint64) *Ledger {
	l := &Ledger{settings: settings}
	if err := json.Unmarshal(stored, &l.record); err != nil {
		l.record, isComplete = record{}, false
	}
	l.recorded = l.record.Next
	l.record.Earlier, l.record.Open = append(l.record.Earlier, l.record.Open...), nil
	if !isComplete {
		if first == 0 {
			first = settings.WindowAt(trueNow + lostMargin - minLateness*settings.Delay/latenessUnit)
		}
		l.record.Next = max(l.record.Next, first)
	}

	return l
}

// Close closes the windows whose time has come. total returns what was collected of a window, and missing
// the instances that have not sent all of theirs. Close returns the windows that it closed. Their
// counts are final, but may be reported only when they are stored.
func (l *Ledger) Close(trueNow time.Duration, total func(window uint64) Total, missing func(window uint64) []string) (closed []WindowCounts) {
	l.record.Next = max(l.record.Next, l.settings.oldest(trueNow))
	for {
		window := l.record.Next
		late := (trueNow - l.settings.End(window)) * latenessUnit
		if late < minLateness*l.settings.Delay || l.closedCounts() > maxClosedCounts {
			break
		}
		if late < maxLateness*l.settings.Delay && len(missing(window)) > 0 {
			break
		}
		final := l.merge(total(window)).WindowCounts
		l.record.Closed = append(l.record.Closed, final)
		l.record.Next++
		closed = append(closed, final)
	}
	l.updateOpen(trueNow, total)

	return closed
}

// closedCounts returns the number of counts in closed windows.
func (l *Ledger) closedCounts() (number int) {
	for _, closed := range l.record.Closed {
		number += len(closed.Counts)
	}

	return number
}

// merge returns a total with what earlier holders stored of its window.
func (l *Ledger) merge(merged Total) Total {
	for _, earlier := range slices.Backward(l.record.Earlier) {
		if earlier.Window == merged.Window {
			merged = merged.add(earlier)
		}
	}

	return merged
}

// updateOpen brings the totals of the windows that are not closed up to date.
func (l *Ledger) updateOpen(trueNow time.Duration, total func(window uint64) Total) {
	l.record.Open = nil
	l.record.Earlier = slices.DeleteFunc(l.record.Earlier, func(t Total) bool { return t.Window < l.record.Next })
	number := 0
	for _, earlier := range l.record.Earlier {
		number += len(earlier.Counts)
	}
	for window := l.record.Next; window <= l.settings.WindowAt(trueNow); window++ {
		open := total(window)
		if number += len(open.Counts); number > maxOpenCounts {
			break
		}
		l.record.Open = append(l.record.Open, open)
	}
}

// Payload returns what to store, and the first window that is not closed in it.
func (l *Ledger) Payload() (payload []byte, next uint64, err error) {
	payload, err = json.Marshal(l.record)

	return payload, l.record.Next, err
}

// Stored records that a payload is stored whose first window that is not closed is next.
func (l *Ledger) Stored(next uint64) {
	l.recorded = max(l.recorded, next)
}

// Due returns the oldest window that may be reported.
func (l *Ledger) Due() (report WindowCounts, ok bool) {
	if len(l.record.Closed) == 0 || l.record.Closed[0].Window >= l.recorded {
		return WindowCounts{}, false
	}

	return l.record.Closed[0], true
}

// Accepted records that the report of a window was accepted, or is given up.
func (l *Ledger) Accepted(window uint64) {
	for i, closed := range l.record.Closed {
		if closed.Window == window {
			l.record.Closed = append(l.record.Closed[:i:i], l.record.Closed[i+1:]...)

			return
		}
	}
}

// IsUseless reports whether a window is so old that its report is given up.
func (l *Ledger) IsUseless(trueNow time.Duration, window uint64) bool {
	return window < l.settings.oldest(trueNow)
}

// Oldest returns the true time since which the oldest window that is not reported is over.
func (l *Ledger) Oldest() time.Duration {
	if len(l.record.Closed) > 0 {
		return l.settings.End(l.record.Closed[0].Window)
	}

	return l.settings.End(l.record.Next)
}
