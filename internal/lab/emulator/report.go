package emulator

import (
	"math"
	"time"
)

const (
	// reportEvery is the least time between two kept load reports.
	reportEvery = 10 * time.Millisecond
	// maxReports bounds the kept load reports.
	maxReports = 512
	// rateWindow is the time constant of the reported token rate.
	rateWindow = time.Second
)

// report is a load report.
type report struct {
	Time     time.Time `json:"time"`
	Running  int       `json:"running"`
	Waiting  int       `json:"waiting"`
	Tokens   int       `json:"tokens"`
	Capacity int       `json:"capacity"`
	Slots    int       `json:"slots"`
	Rate     float64   `json:"rate"`
	Draining bool      `json:"draining"`
}

// reports keeps the load reports that are still to be published.
type reports struct {
	kept   []report
	rate   float64
	rateAt time.Time
}

// made notes tokens made, for the rate.
func (r *reports) made(tokens int, now time.Time) {
	r.rate = r.rateNow(now) + float64(tokens)/rateWindow.Seconds()
	r.rateAt = now
}

func (r *reports) rateNow(now time.Time) float64 {
	return r.rate * math.Exp(-now.Sub(r.rateAt).Seconds()/rateWindow.Seconds())
}

// keep keeps a report; the time between kept reports grows with the lag, so
// that they reach far enough back.
func (r *reports) keep(added report, lag time.Duration) {
	every := max(reportEvery, lag/(maxReports/2))
	if last := len(r.kept) - 1; last >= 0 && added.Time.Sub(r.kept[last].Time) < every {
		return
	}
	r.kept = append(r.kept, added)
	if len(r.kept) > maxReports {
		r.kept = append([]report{}, r.kept[maxReports/4:]...)
	}
}

// at returns the newest report not younger than a time.
func (r *reports) at(horizon time.Time) (report, bool) {
	for i := len(r.kept) - 1; i >= 0; i-- {
		if !r.kept[i].Time.After(horizon) {
			return r.kept[i], true
		}
	}

	return report{}, false
}

// load returns the load as it is now.
func (e *Emulator) load(now time.Time) report {
	return report{
		Time:     now,
		Running:  len(e.running),
		Waiting:  len(e.waiting.streams),
		Tokens:   e.used,
		Capacity: e.settings.KVTokens,
		Slots:    e.settings.Slots,
		Rate:     math.Round(e.reports.rateNow(now)),
		Draining: e.orders.draining(),
	}
}

func (e *Emulator) reportLag() time.Duration {
	if e.faults.ReportLag > 0 {
		return e.faults.ReportLag
	}

	return e.settings.ReportLag
}

// keepReport keeps the load for later publication.
func (e *Emulator) keepReport(now time.Time) {
	if e.faults.StaleReports {
		return
	}
	e.reports.keep(e.load(now), e.reportLag())
}

// published returns the report that a caller is shown now.
func (e *Emulator) published(now time.Time) report {
	lag := e.reportLag()
	if lag == 0 && !e.faults.StaleReports {
		return e.load(now)
	}
	e.keepReport(now)
	if seen, ok := e.reports.at(now.Add(-lag)); ok {
		return seen
	}

	// Nothing is old enough: the engine was idle then.
	idle := report{Time: now.Add(-lag), Capacity: e.settings.KVTokens, Slots: e.settings.Slots}

	return idle
}
