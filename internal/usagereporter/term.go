package usagereporter

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/cloudcaller"
	"github.com/oleanderpick/oleanderpick/internal/dutyholder"
	"github.com/oleanderpick/oleanderpick/pkg/usagecounter"
)

// retryDelay is the time between a report that failed and its repetition. A call that is refused
// because of the rate of calls is repeated as soon.
const retryDelay = 500 * time.Millisecond

// termReports is the state of the reports of one term.
type termReports struct {
	fence  uint64 // 0 without a term
	ledger *usagecounter.Ledger
	// stores are the payloads that are not known to be stored.
	stores      []pendingStore
	nextStoreAt time.Duration
	isUrgent    bool // a window was closed since the last payload
	nextCallAt  time.Duration
	result      chan reportResult // of the call in flight; nil if there is none
}

// pendingStore is a payload that waits to be stored; next is its first window that is not closed.
type pendingStore struct {
	stored <-chan struct{}
	next   uint64
}

// reportResult is how the report of a window ended.
type reportResult struct {
	report usagecounter.WindowCounts
	err    error
}

// storeInterval is the time between two payloads. About one payload is stored with each renewal of
// the lease.
const storeInterval = 500 * time.Millisecond

// report closes windows, stores them and reports them while this instance holds the duty.
func (r *Reporter) report(ctx context.Context) {
	term, held := r.holder.Term()
	if !held {
		r.counters.SetGauge("usage.oldest-unreported-ms", 0)

		return
	}
	if r.reports.fence != term.Fence && !r.beginTerm(term) {
		return
	}
	now := r.clocks.SinceBoot()
	if r.collectorSince != 0 && now-r.collectorSince >= joinTime {
		r.closeWindows(term)
	}
	r.storePayload(now, term)
	r.finishReport(now, term)
	r.startReport(ctx, now, term)
	r.mu.Lock()
	r.counters.SetGauge("usage.oldest-unreported-ms", max(0, r.trueTime()-r.reports.ledger.Oldest()).Milliseconds())
	r.mu.Unlock()
}

// beginTerm begins the reports of a term with what the last holder stored. It returns false if the
// term has just ended.
func (r *Reporter) beginTerm(term dutyholder.Term) bool {
	payload, isComplete := r.holder.Payload()
	if current, ok := r.holder.Term(); !ok || current.Fence != term.Fence {
		return false
	}
	r.mu.Lock()
	now := r.trueTime()
	r.mu.Unlock()
	first := uint64(0)
	if r.settings.FirstStart && now-r.startedAt < firstStartTime {
		first = r.settings.WindowAt(r.startedAt)
	}
	r.reports = termReports{fence: term.Fence, ledger: usagecounter.NewLedger(r.settings.Settings, now, payload, isComplete, first)}
	r.logger.Info("Reports usage.", "token", term.Fence, "record is complete", isComplete, "record bytes", len(payload))

	return true
}

// closeWindows closes the windows whose time has come.
func (r *Reporter) closeWindows(term dutyholder.Term) {
	expected := r.expected()
	r.mu.Lock()
	defer r.mu.Unlock()
	missing := func(window uint64) []string { return r.collector.Missing(window, expected) }
	for _, closed := range r.reports.ledger.Close(r.trueTime(), r.collector.Total, missing) {
		r.logger.Info("Window closed.", "window", closed.Window, "requests", closed.Sum(), "workspaces", len(closed.Counts),
			"instances heard", len(r.collector.Total(closed.Window).Senders), "missing", missing(closed.Window), "token", term.Fence)
		r.reports.nextStoreAt, r.reports.isUrgent = 0, true
	}
}

// storePayload stores the ledger with the lease, and records which payloads are stored.
func (r *Reporter) storePayload(now time.Duration, term dutyholder.Term) {
	r.recordStored()
	if now < r.reports.nextStoreAt {
		return
	}
	payload, next, err := r.reports.ledger.Payload()
	if err != nil {
		r.logger.Error("Cannot encode the counts.", "error", err)

		return
	}
	r.reports.nextStoreAt = now + storeInterval
	r.reports.stores = append(r.reports.stores, pendingStore{r.holder.SetPayload(term.Fence, payload, r.reports.isUrgent), next})
	r.reports.isUrgent = false
}

// recordStored records the newest payload that is stored. An earlier one may never be known to be: the lease ran
// out and was renewed under the same token by a write whose answer came late.
func (r *Reporter) recordStored() {
	for i, store := range slices.Backward(r.reports.stores) {
		select {
		case <-store.stored:
			r.reports.ledger.Stored(store.next)
			r.reports.stores = r.reports.stores[i+1:]

			return
		default:
		}
	}
}

// startReport starts the call that reports the oldest window that may be reported.
func (r *Reporter) startReport(ctx context.Context, now time.Duration, term dutyholder.Term) {
	report, isDue := r.reports.ledger.Due()
	if !isDue || r.reports.result != nil || now < r.reports.nextCallAt {
		return
	}
	result := make(chan reportResult, 1)
	r.reports.result = result
	go func() { result <- reportResult{report, r.caller.ReportUsage(ctx, term, report.Window, report.Counts)} }()
}

// finishReport records how the call in flight ended.
func (r *Reporter) finishReport(now time.Duration, term dutyholder.Term) {
	var result reportResult
	select {
	case result = <-r.reports.result:
	default:
		return
	}
	r.reports.result = nil
	r.mu.Lock()
	trueNow := r.trueTime()
	r.mu.Unlock()
	window := result.report.Window
	late := (trueNow - r.settings.End(window)).Milliseconds()
	switch {
	case result.err == nil:
		r.logger.Info("Usage reported.", "window", window, "requests", result.report.Sum(), "workspaces", len(result.report.Counts), "token", term.Fence, "after its end ms", late)
		r.counters.Add("usage.reports", 1)
		r.reports.ledger.Accepted(window)

		return
	case errors.Is(result.err, cloudcaller.ErrFenceRefused):
		r.holder.Refused(term.Fence)
	case r.reports.ledger.IsUseless(trueNow, window):
		r.reports.ledger.Accepted(window)
		r.counters.Add("usage.given-up", 1)
	}
	r.logger.Warn("Usage was not reported.", "window", window, "token", term.Fence, "after its end ms", late, "error", result.err)
	r.counters.Add("usage.failed", 1)
	r.reports.nextCallAt = now + retryDelay
}
