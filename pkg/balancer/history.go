package balancer

import "time"

const (
	// maxHistorySamples is the size of the ring buffer of samples.
	maxHistorySamples = 32
	// minHistoryInterval is the shortest time between two samples; changes within it
	// update the newest sample. The ring buffer therefore covers at least about three
	// seconds.
	minHistoryInterval = 100 * time.Millisecond
)

// requestHistory keeps how many local requests and tokens an endpoint had over the last
// seconds. With it, the local share is subtracted from a load report that arrives late.
type requestHistory struct {
	samples [maxHistorySamples]historySample
	count   int
	newest  int // index of the newest sample
}

// historySample is the number of local requests at an endpoint and of their tokens, from
// a time on.
type historySample struct {
	since    time.Time
	requests int
	tokens   int
}

// record stores the counts that hold from now on. Changes within minHistoryInterval of
// the newest sample overwrite it.
func (h *requestHistory) record(now time.Time, requests, tokens int) {
	if h.count > 0 && now.Sub(h.samples[h.newest].since) < minHistoryInterval {
		h.samples[h.newest].requests, h.samples[h.newest].tokens = requests, tokens
		return
	}
	if h.count > 0 {
		h.newest = (h.newest + 1) % maxHistorySamples
	}
	h.count = min(h.count+1, maxHistorySamples)
	h.samples[h.newest] = historySample{since: now, requests: requests, tokens: tokens}
}

// at returns the counts that held at a past time. A time before the first sample gives
// zero counts, or the oldest sample if earlier ones were overwritten.
func (h *requestHistory) at(past time.Time) historySample {
	var found historySample
	for i := range h.count {
		found = h.samples[(h.newest-i+maxHistorySamples)%maxHistorySamples]
		if !found.since.After(past) {
			return found
		}
	}
	if h.count < maxHistorySamples {
		return historySample{since: past}
	}
	return found
}
