package loader

import (
	"encoding/json"
	"slices"
	"sync"
	"time"
)

// LatencyPercentiles holds percentiles and the maximum of a duration over the complete
// answers of a class.
type LatencyPercentiles struct {
	P50 time.Duration
	P95 time.Duration
	P99 time.Duration
	Max time.Duration
}

// MarshalJSON encodes the durations in milliseconds.
func (l LatencyPercentiles) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		P50 float64 `json:"p50Ms"`
		P95 float64 `json:"p95Ms"`
		P99 float64 `json:"p99Ms"`
		Max float64 `json:"maxMs"`
	}{milliseconds(l.P50), milliseconds(l.P95), milliseconds(l.P99), milliseconds(l.Max)})
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// ClassSummary holds the counts and latencies of the requests of one class, as their
// callers saw them.
type ClassSummary struct {
	ClassName string `json:"class"`
	Sent      int    `json:"sent"`
	// Complete counts answers that arrived complete.
	Complete int `json:"whole"`
	// WithinTargets counts complete answers within every target. For the target
	// TokenGap it takes the 95th percentile of the answer's times between tokens;
	// WithinTargetsByMean takes their mean.
	WithinTargets       int `json:"within"`
	WithinTargetsByMean int `json:"withinMean"`
	// RefusedByKind counts error answers that say that the request did not run, by error kind.
	RefusedByKind map[string]int `json:"refused"`
	// PartialByKind counts answers that ended with an error after a part of them, and
	// UnknownByKind error answers after which the request may have run, by error kind.
	PartialByKind map[string]int `json:"partial"`
	UnknownByKind map[string]int `json:"unknown"`
	// BrokenConnections counts connections that broke or timed out before the end of the answer.
	BrokenConnections int `json:"broken"`
	// Truncated counts streams that ended without an error but incomplete, and Garbled those
	// with a wrong, skipped or repeated token. Both must be zero.
	Truncated int `json:"truncated"`
	Garbled   int `json:"garbled"`
	// Abandoned counts streams that the caller closed on purpose.
	Abandoned int `json:"abandoned"`
	// Resends counts how often bookings were sent again, and SkippedRouters how often a
	// router was skipped because no connection could be opened.
	Resends        int `json:"resends"`
	SkippedRouters int `json:"moved"`
	// CompleteAnswerTokens counts the tokens of complete answers, and GoodputTokens
	// those of answers within every target.
	CompleteAnswerTokens int `json:"tokens"`
	GoodputTokens        int `json:"goodput"`
	// ReceivedTokens counts all tokens that reached a caller.
	ReceivedTokens int `json:"received"`
	// FirstToken, P95TokenGap, MeanTokenGap and CompletionTime are of the complete
	// answers: the time to the first token, the 95th percentile and the mean of an answer's
	// times between tokens, and the time to its end.
	FirstToken     LatencyPercentiles `json:"firstToken"`
	P95TokenGap    LatencyPercentiles `json:"gap"`
	MeanTokenGap   LatencyPercentiles `json:"perToken"`
	CompletionTime LatencyPercentiles `json:"duration"`
	// LongestWait is the longest time to a first token or, without one, to the end of the
	// request.
	LongestWait time.Duration `json:"longestWaitNs"`
}

// TargetAttainment returns the fraction of the requests that were answered within every
// target. Abandoned ones don't count; without any other, it is 1.
func (s ClassSummary) TargetAttainment() float64 {
	notAbandoned := s.Sent - s.Abandoned
	if notAbandoned == 0 {
		return 1
	}

	return float64(s.WithinTargets) / float64(notAbandoned)
}

// Report holds the results of a run, as its callers saw them.
type Report struct {
	// Elapsed is the time from the start of the run to the end of the last request.
	Elapsed time.Duration `json:"elapsedNs"`
	// LongestSendDelay is the longest delay of a sending after its scheduled time. If it
	// is long, the loader was short of processor time and the run is no valid measurement.
	LongestSendDelay time.Duration  `json:"lateNs"`
	Classes          []ClassSummary `json:"classes"`
	// BookingKeysRun, BookingKeysNotRun and BookingKeysInDoubt are the idempotency keys of the
	// bookings that ended with success, with an answer that they did not run, and in doubt.
	BookingKeysRun     []string `json:"-"`
	BookingKeysNotRun  []string `json:"-"`
	BookingKeysInDoubt []string `json:"-"`
}

// ClassSummary returns the summary of the class of a name, or false if there is none.
func (r Report) ClassSummary(name string) (ClassSummary, bool) {
	for _, summary := range r.Classes {
		if summary.ClassName == name {
			return summary, true
		}
	}

	return ClassSummary{}, false
}

// CompleteAnswerTokens returns the number of tokens in the complete answers of all classes.
func (r Report) CompleteAnswerTokens() int {
	tokens := 0
	for _, summary := range r.Classes {
		tokens += summary.CompleteAnswerTokens
	}

	return tokens
}

// classSamples holds the durations of a class's complete answers.
type classSamples struct {
	firstResponseWaits []time.Duration
	p95TokenGaps       []time.Duration
	meanTokenGaps      []time.Duration
	completionTimes    []time.Duration
}

// resultCollector sums up the outcomes of a run's requests. It is safe for concurrent use.
type resultCollector struct {
	mu               sync.Mutex
	mix              RequestMix
	endedCount       int
	longestSendDelay time.Duration
	summaries        []ClassSummary
	samples          []classSamples
	bookingKeys      map[result][]string
}

func newResultCollector(mix RequestMix) *resultCollector {
	c := &resultCollector{mix: mix, samples: make([]classSamples, len(mix.Classes)), bookingKeys: map[result][]string{}}
	for _, class := range mix.Classes {
		c.summaries = append(c.summaries, ClassSummary{
			ClassName: class.Name, RefusedByKind: map[string]int{}, PartialByKind: map[string]int{}, UnknownByKind: map[string]int{},
		})
	}

	return c
}

// add records the outcome of a request and returns how many it has recorded.
func (c *resultCollector) add(o requestOutcome) int {
	c.mu.Lock()
	defer c.mu.Unlock()

	summary := &c.summaries[o.arrival.ClassIndex]
	summary.Sent++
	summary.Resends += o.resends
	summary.SkippedRouters += o.skippedRouters
	summary.ReceivedTokens += o.tokenCount
	summary.LongestWait = max(summary.LongestWait, o.firstResponseWait())
	c.longestSendDelay = max(c.longestSendDelay, o.sentAt.Sub(o.dueAt))
	summary.countResult(o)
	if o.result == resultComplete {
		c.samples[o.arrival.ClassIndex].add(o)
		summary.checkTargets(o, c.mix.Classes[o.arrival.ClassIndex].Targets)
	}
	if o.arrival.IdempotencyKey != "" {
		c.bookingKeys[o.result] = append(c.bookingKeys[o.result], o.arrival.IdempotencyKey)
	}
	c.endedCount++

	return c.endedCount
}

// firstResponseWait returns the time from the request's scheduled sending to the first
// token or, without one, to its end.
func (o requestOutcome) firstResponseWait() time.Duration {
	if !o.firstTokenAt.IsZero() {
		return o.firstTokenAt.Sub(o.dueAt)
	}

	return o.endedAt.Sub(o.dueAt)
}

// meanTokenGap returns the mean time between the tokens of an answer.
func (o requestOutcome) meanTokenGap() time.Duration {
	if o.tokenCount < 2 {
		return 0
	}

	return o.lastTokenAt.Sub(o.firstTokenAt) / time.Duration(o.tokenCount-1)
}

// p95TokenGap returns the 95th percentile of the times between the tokens of an answer.
func (o requestOutcome) p95TokenGap() time.Duration {
	sorted := slices.Sorted(slices.Values(o.tokenGaps))

	return percentile(sorted, 95)
}

// countResult counts an outcome by its result.
func (s *ClassSummary) countResult(o requestOutcome) {
	switch o.result {
	case resultComplete:
		s.Complete++
		s.CompleteAnswerTokens += o.tokenCount
	case resultRefused:
		s.RefusedByKind[o.errorKind]++
	case resultPartial:
		s.PartialByKind[o.errorKind]++
	case resultUnknown:
		s.UnknownByKind[o.errorKind]++
	case resultBroken:
		s.BrokenConnections++
	case resultTruncated:
		s.Truncated++
	case resultGarbled:
		s.Garbled++
	case resultAbandoned:
		s.Abandoned++
	}
}

// checkTargets counts a complete answer if it is within its class's latency targets.
func (s *ClassSummary) checkTargets(o requestOutcome, targets LatencyTargets) {
	if exceedsTarget(o.firstResponseWait(), targets.FirstToken) || exceedsTarget(o.endedAt.Sub(o.dueAt), targets.Completion) {
		return
	}
	if !exceedsTarget(o.meanTokenGap(), targets.TokenGap) {
		s.WithinTargetsByMean++
	}
	if !exceedsTarget(o.p95TokenGap(), targets.TokenGap) {
		s.WithinTargets++
		s.GoodputTokens += o.tokenCount
	}
}

// exceedsTarget reports whether a duration is over a target; zero is no target.
func exceedsTarget(duration, target time.Duration) bool {
	return target > 0 && duration > target
}

func (s *classSamples) add(o requestOutcome) {
	s.firstResponseWaits = append(s.firstResponseWaits, o.firstResponseWait())
	s.p95TokenGaps = append(s.p95TokenGaps, o.p95TokenGap())
	s.meanTokenGaps = append(s.meanTokenGaps, o.meanTokenGap())
	s.completionTimes = append(s.completionTimes, o.endedAt.Sub(o.dueAt))
}

func (c *resultCollector) report(elapsed time.Duration) Report {
	c.mu.Lock()
	defer c.mu.Unlock()

	for i := range c.summaries {
		c.summaries[i].FirstToken = percentilesOf(c.samples[i].firstResponseWaits)
		c.summaries[i].P95TokenGap = percentilesOf(c.samples[i].p95TokenGaps)
		c.summaries[i].MeanTokenGap = percentilesOf(c.samples[i].meanTokenGaps)
		c.summaries[i].CompletionTime = percentilesOf(c.samples[i].completionTimes)
	}

	return Report{
		Elapsed:            elapsed,
		LongestSendDelay:   c.longestSendDelay,
		Classes:            c.summaries,
		BookingKeysRun:     c.bookingKeys[resultComplete],
		BookingKeysNotRun:  c.bookingKeys[resultRefused],
		BookingKeysInDoubt: append(c.bookingKeys[resultUnknown], c.bookingKeys[resultBroken]...),
	}
}

func percentilesOf(durations []time.Duration) LatencyPercentiles {
	sorted := slices.Sorted(slices.Values(durations))

	return LatencyPercentiles{
		P50: percentile(sorted, 50),
		P95: percentile(sorted, 95),
		P99: percentile(sorted, 99),
		Max: percentile(sorted, 100),
	}
}

// percentile returns the smallest of the sorted values that at least the given percentage
// of them don't exceed, or 0 if there are none.
func percentile(sorted []time.Duration, percent int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}

	return sorted[max(0, (len(sorted)*percent+99)/100-1)]
}
