package loader

import (
	"encoding/json"
	"slices"
	"sync"
	"time"
)

// Latency is the spread of a time over a class's answers.
type Latency struct {
	P50 time.Duration
	P95 time.Duration
	P99 time.Duration
	Max time.Duration
}

// MarshalJSON writes the times in milliseconds.
func (l Latency) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		P50 float64 `json:"p50Ms"`
		P95 float64 `json:"p95Ms"`
		P99 float64 `json:"p99Ms"`
		Max float64 `json:"maxMs"`
	}{millis(l.P50), millis(l.P95), millis(l.P99), millis(l.Max)})
}

func millis(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// ClassSummary is what the callers of one class saw.
type ClassSummary struct {
	ClassName string `json:"class"`
	Sent      int    `json:"sent"`
	// Complete counts complete answers.
	Complete int `json:"whole"`
	// WithinTargets counts those within every target, judged by the 95th percentile
	// of the answer's times between tokens; WithinMean judges by their mean.
	WithinTargets       int `json:"within"`
	WithinTargetsByMean int `json:"withinMean"`
	// RefusedByKind counts answers that say that the request did not run, by kind.
	RefusedByKind map[string]int `json:"refused"`
	// PartialByKind and Unknown count answers that say so, by kind.
	PartialByKind map[string]int `json:"partial"`
	UnknownByKind map[string]int `json:"unknown"`
	// BrokenConnections counts connections that broke or timed out.
	BrokenConnections int `json:"broken"`
	// Truncated counts streams that ended early as if they were complete,
	// and Garbled those with a wrong, missing or repeated token. Both must
	// be zero.
	Truncated int `json:"truncated"`
	Garbled   int `json:"garbled"`
	// Abandoned counts streams that the caller left on purpose.
	Abandoned int `json:"abandoned"`
	// Resends counts bookings sent again, and Moved tries at an address
	// where there was no router.
	Resends int `json:"resends"`
	Moved   int `json:"moved"`
	// CompleteAnswerTokens counts those of whole answers, and Goodput those of answers
	// within target.
	CompleteAnswerTokens int `json:"tokens"`
	GoodputTokens        int `json:"goodput"`
	// ReceivedTokens counts every token that reached a caller.
	ReceivedTokens int `json:"received"`
	// FirstToken, Gap, PerToken and Duration are of the whole answers: the
	// wait for the first token, the 95th percentile and the mean of each
	// answer's times between tokens, and the time to its end.
	FirstToken     Latency `json:"firstToken"`
	Gap            Latency `json:"gap"`
	PerToken       Latency `json:"perToken"`
	CompletionTime Latency `json:"duration"`
	// LongestWait is the longest wait for a first token or a refusal.
	LongestWait time.Duration `json:"longestWaitNs"`
}

// TargetAttainment returns the share of the requests sent that were answered within
// target, of those whose caller stayed.
func (s ClassSummary) TargetAttainment() float64 {
	stayed := s.Sent - s.Abandoned
	if stayed == 0 {
		return 1
	}

	return float64(s.WithinTargets) / float64(stayed)
}

// Report is what the callers of a run saw.
type Report struct {
	// Elapsed is from the first sending to the last answer.
	Elapsed time.Duration `json:"elapsedNs"`
	// LongestSendDelay is the longest that a request was sent after its time. When it is
	// long, the loader was short of processor time and the run is no
	// measurement.
	LongestSendDelay time.Duration  `json:"lateNs"`
	Classes          []ClassSummary `json:"classes"`
	// BookingKeysRun, NotRun and Uncertain are the keys of the bookings that were
	// answered as run, refused as not run, and left open.
	BookingKeysRun     []string `json:"-"`
	BookingKeysNotRun  []string `json:"-"`
	BookingKeysInDoubt []string `json:"-"`
}

// ClassSummary returns the summary of a class.
func (r Report) ClassSummary(name string) (ClassSummary, bool) {
	for _, summary := range r.Classes {
		if summary.ClassName == name {
			return summary, true
		}
	}

	return ClassSummary{}, false
}

// CompleteAnswerTokens returns the tokens of all whole answers.
func (r Report) CompleteAnswerTokens() int {
	tokens := 0
	for _, summary := range r.Classes {
		tokens += summary.CompleteAnswerTokens
	}

	return tokens
}

// samples are the times of a class's answers.
type samples struct {
	first    []time.Duration
	gap      []time.Duration
	perToken []time.Duration
	duration []time.Duration
}

// ledger collects the outcomes of a run. It is safe for concurrent use.
type ledger struct {
	mu        sync.Mutex
	mix       RequestMix
	ended     int
	late      time.Duration
	summaries []ClassSummary
	samples   []samples
	keys      map[result][]string
}

func newLedger(mix RequestMix) *ledger {
	l := &ledger{mix: mix, samples: make([]samples, len(mix.Classes)), keys: map[result][]string{}}
	for _, class := range mix.Classes {
		l.summaries = append(l.summaries, ClassSummary{
			ClassName: class.Name, RefusedByKind: map[string]int{}, PartialByKind: map[string]int{}, UnknownByKind: map[string]int{},
		})
	}

	return l
}

// add notes an outcome and returns how many there are.
func (l *ledger) add(o outcome) int {
	l.mu.Lock()
	defer l.mu.Unlock()

	summary := &l.summaries[o.arrival.Class]
	summary.Sent++
	summary.Resends += o.resends
	summary.Moved += o.moved
	summary.ReceivedTokens += o.tokens
	summary.LongestWait = max(summary.LongestWait, o.wait())
	l.late = max(l.late, o.sent.Sub(o.due))
	summary.count(o)
	if o.result == whole {
		l.samples[o.arrival.Class].add(o)
		summary.judge(o, l.mix.Classes[o.arrival.Class].Targets)
	}
	if o.arrival.Key != "" {
		l.keys[o.result] = append(l.keys[o.result], o.arrival.Key)
	}
	l.ended++

	return l.ended
}

// wait returns how long the caller waited for a first token or a refusal.
func (o outcome) wait() time.Duration {
	if !o.first.IsZero() {
		return o.first.Sub(o.due)
	}

	return o.ended.Sub(o.due)
}

// perToken returns the mean time between tokens.
func (o outcome) perToken() time.Duration {
	if o.tokens < 2 {
		return 0
	}

	return o.last.Sub(o.first) / time.Duration(o.tokens-1)
}

// gap returns the 95th percentile of the times between tokens.
func (o outcome) gap() time.Duration {
	sorted := slices.Sorted(slices.Values(o.gaps))

	return percentile(sorted, 95)
}

func (s *ClassSummary) count(o outcome) {
	switch o.result {
	case whole:
		s.Complete++
		s.CompleteAnswerTokens += o.tokens
	case refused:
		s.RefusedByKind[o.kind]++
	case partial:
		s.PartialByKind[o.kind]++
	case unknown:
		s.UnknownByKind[o.kind]++
	case broken:
		s.BrokenConnections++
	case truncated:
		s.Truncated++
	case garbled:
		s.Garbled++
	case abandoned:
		s.Abandoned++
	}
}

// judge holds a whole answer against its class's targets.
func (s *ClassSummary) judge(o outcome, targets LatencyTargets) {
	if over(o.wait(), targets.FirstToken) || over(o.ended.Sub(o.due), targets.Completion) {
		return
	}
	if !over(o.perToken(), targets.TokenGap) {
		s.WithinTargetsByMean++
	}
	if !over(o.gap(), targets.TokenGap) {
		s.WithinTargets++
		s.GoodputTokens += o.tokens
	}
}

func over(took, target time.Duration) bool {
	return target > 0 && took > target
}

func (s *samples) add(o outcome) {
	s.first = append(s.first, o.wait())
	s.gap = append(s.gap, o.gap())
	s.perToken = append(s.perToken, o.perToken())
	s.duration = append(s.duration, o.ended.Sub(o.due))
}

func (l *ledger) report(elapsed time.Duration) Report {
	l.mu.Lock()
	defer l.mu.Unlock()

	for i := range l.summaries {
		l.summaries[i].FirstToken = latencyOf(l.samples[i].first)
		l.summaries[i].Gap = latencyOf(l.samples[i].gap)
		l.summaries[i].PerToken = latencyOf(l.samples[i].perToken)
		l.summaries[i].CompletionTime = latencyOf(l.samples[i].duration)
	}

	return Report{
		Elapsed:            elapsed,
		LongestSendDelay:   l.late,
		Classes:            l.summaries,
		BookingKeysRun:     l.keys[whole],
		BookingKeysNotRun:  l.keys[refused],
		BookingKeysInDoubt: append(l.keys[unknown], l.keys[broken]...),
	}
}

func latencyOf(taken []time.Duration) Latency {
	sorted := slices.Sorted(slices.Values(taken))

	return Latency{
		P50: percentile(sorted, 50),
		P95: percentile(sorted, 95),
		P99: percentile(sorted, 99),
		Max: percentile(sorted, 100),
	}
}

// percentile returns the smallest value that percent of the sorted ones do
// not exceed.
func percentile(sorted []time.Duration, percent int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}

	return sorted[max(0, (len(sorted)*percent+99)/100-1)]
}
