package usagecounter

import (
	"cmp"
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

// Totals returns the requests of all senders in a window by workspace, and the number of senders.
func (c *Collector) Totals(window uint64) (totals map[string]uint64, senders int) {
	totals = map[string]uint64{}
	for _, counts := range c.windows[window] {
		for workspace, requests := range counts {
			totals[workspace] += requests
		}
	}

	return totals, len(c.windows[window])
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
