package usagecounter

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// changeIntervals is the number of sending intervals in which a changed count is sent, in halves:
// two or three times, so that a lost message costs nothing.
const changeIntervals = 5

// Counter counts the requests that endpoints began to run for one instance.
type Counter struct {
	settings Settings
	windows  map[uint64]map[string]count
}

// count is the number of a workspace's requests in a window, and the true time of the last one.
type count struct {
	requests  uint64
	changedAt time.Duration
}

// NewCounter returns a counter without counts.
func NewCounter(settings Settings) *Counter {
	return &Counter{settings: settings, windows: map[uint64]map[string]count{}}
}

// Count counts a request that began at a true time.
func (c *Counter) Count(trueNow, beganAt time.Duration, workspace string) {
	window := c.settings.WindowAt(beganAt)
	if c.windows[window] == nil {
		c.windows[window] = map[string]count{}
	}
	c.windows[window][workspace] = count{c.windows[window][workspace].requests + 1, trueNow}
}

// Changes returns the counts to send: those that changed within the last messages, which are an
// interval apart, and the whole of windows that are over but not closed yet. If everything is set,
// it returns all that is kept, for a recipient that has just begun to collect. The current window is
// always the last one, also without counts: it tells the recipient that those before are whole.
func (c *Counter) Changes(trueNow, interval time.Duration, everything bool) (changes []WindowCounts) {
	current := c.settings.WindowAt(trueNow)
	for window, workspaces := range c.windows {
		if window < c.settings.oldest(trueNow) {
			delete(c.windows, window)

			continue
		}
		isWhole := everything || (window < current && trueNow-c.settings.End(window) <= maxLateness*c.settings.Delay/latenessUnit)
		counts := map[string]uint64{}
		for workspace, counted := range workspaces {
			if isWhole || 2*(trueNow-counted.changedAt) < changeIntervals*interval {
				counts[workspace] = counted.requests
			}
		}
		if len(counts) > 0 || window == current {
			changes = append(changes, WindowCounts{window, counts})
		}
	}
	if c.windows[current] == nil {
		changes = append(changes, WindowCounts{Window: current})
	}
	slices.SortFunc(changes, func(a, b WindowCounts) int { return cmp.Compare(a.Window, b.Window) })

	return changes
}

// Sender is one start of an instance that counts.
type Sender struct {
	Name        string
	Incarnation uint64
}

// Collector adds the counts of all instances.
type Collector struct {
	settings Settings
	windows  map[uint64]map[Sender]map[string]uint64
	newest   map[string]uint64 // the newest window of an instance's messages, by its name
}

// NewCollector returns a collector without counts.
func NewCollector(settings Settings) *Collector {
	return &Collector{settings: settings, windows: map[uint64]map[Sender]map[string]uint64{}, newest: map[string]uint64{}}
}

// Receive records counts of a sender. The largest count of a workspace is kept. Windows that are
// over for long, or that have not begun, are ignored.
func (c *Collector) Receive(trueNow time.Duration, sender Sender, windows []WindowCounts) {
	for window := range c.windows {
		if window < c.settings.oldest(trueNow) {
			delete(c.windows, window)
		}
	}
	for _, received := range windows {
		if received.Window < c.settings.oldest(trueNow) || received.Window > c.settings.WindowAt(trueNow)+1 {
			continue
		}
		c.newest[sender.Name] = max(c.newest[sender.Name], received.Window)
		if c.windows[received.Window] == nil {
			c.windows[received.Window] = map[Sender]map[string]uint64{}
		}
		bySender := c.windows[received.Window]
		if bySender[sender] == nil {
			bySender[sender] = make(map[string]uint64, len(received.Counts))
		}
		for workspace, requests := range received.Counts {
			bySender[sender][workspace] = max(bySender[sender][workspace], requests)
		}
	}
}

// Total is what is known of a window: the requests by workspace, and whose they are.
type Total struct {
	WindowCounts

	// Senders are hashes of the senders, in ascending order.
	Senders []uint32 `json:"senders,omitempty"`
}

// Total returns the requests of all senders in a window.
func (c *Collector) Total(window uint64) Total {
	total := Total{WindowCounts: WindowCounts{window, map[string]uint64{}}}
	for sender, counts := range c.windows[window] {
		total.Senders = append(total.Senders, sender.hash())
		for workspace, requests := range counts {
			total.Counts[workspace] += requests
		}
	}
	slices.Sort(total.Senders)

	return total
}

// hash returns a hash of the sender. Two senders with one hash only make a total of lost counts
// smaller.
func (s Sender) hash() uint32 {
	hash := fnv.New32a()
	_, _ = fmt.Fprint(hash, s.Incarnation, s.Name)

	return hash.Sum32()
}

// add returns the total with an earlier one, which may be lost otherwise. Cumulative counts of the
// same senders are in both: then, for each workspace, the larger is at most the truth.
func (t Total) add(earlier Total) Total {
	isShared := func(sender uint32) bool { return slices.Contains(earlier.Senders, sender) }
	isDisjoint := !slices.ContainsFunc(t.Senders, isShared)
	merged := Total{WindowCounts: WindowCounts{t.Window, maps.Clone(t.Counts)}}
	for workspace, requests := range earlier.Counts {
		if isDisjoint {
			merged.Counts[workspace] += requests
		} else {
			merged.Counts[workspace] = max(merged.Counts[workspace], requests)
		}
	}
	merged.Senders = slices.Compact(slices.Sorted(slices.Values(append(slices.Clone(t.Senders), earlier.Senders...))))

	return merged
}

// Missing returns which of the named instances have not sent their whole counts of a window.
func (c *Collector) Missing(window uint64, names []string) (missing []string) {
	for _, name := range names {
		if c.newest[name] <= window {
			missing = append(missing, name)
		}
	}

	return missing
}
