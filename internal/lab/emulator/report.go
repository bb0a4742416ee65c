package emulator

import (
	"math"
	"time"
)

const (
	// minReportInterval is the minimum time between two recorded load reports.
	minReportInterval = 10 * time.Millisecond
	// maxReports is the maximum number of recorded load reports.
	maxReports = 512
	// rateTimeConstant is the time constant with which the reported token rate
	// decays.
	rateTimeConstant = time.Second
)

// loadReport is an engine's load at one time, as GET /v1/load returns it. UsedTokens
// and CapacityTokens are of the KV memory.
type loadReport struct {
	Time            time.Time `json:"time"`
	Running         int       `json:"running"`
	Waiting         int       `json:"waiting"`
	UsedTokens      int       `json:"tokens"`
	CapacityTokens  int       `json:"capacity"`
	Slots           int       `json:"slots"`
	TokensPerSecond float64   `json:"rate"`
	Draining        bool      `json:"draining"`
}

// reportHistory keeps the load reports that are still to be published, oldest
// first, and an exponentially decaying token rate.
type reportHistory struct {
	reports     []loadReport
	tokenRate   float64
	tokenRateAt time.Time
}

// recordTokens adds generated tokens to the token rate.
func (r *reportHistory) recordTokens(tokens int, now time.Time) {
	r.tokenRate = r.currentTokenRate(now) + float64(tokens)/rateTimeConstant.Seconds()
	r.tokenRateAt = now
}

// currentTokenRate returns the token rate decayed to the given time, in tokens per
// second.
func (r *reportHistory) currentTokenRate(now time.Time) float64 {
	return r.tokenRate * math.Exp(-now.Sub(r.tokenRateAt).Seconds()/rateTimeConstant.Seconds())
}

// add appends a report unless the previous one is too recent. The interval between
// reports grows with the lag, so that maxReports of them reach back that far.
func (r *reportHistory) add(added loadReport, lag time.Duration) {
	interval := max(minReportInterval, lag/(maxReports/2))
	if last := len(r.reports) - 1; last >= 0 && added.Time.Sub(r.reports[last].Time) < interval {
		return
	}
	r.reports = append(r.reports, added)
	if len(r.reports) > maxReports {
		r.reports = append([]loadReport{}, r.reports[maxReports/4:]...)
	}
}

// newestAsOf returns the newest report that is not later than the given time.
func (r *reportHistory) newestAsOf(latest time.Time) (loadReport, bool) {
	for i := len(r.reports) - 1; i >= 0; i-- {
		if !r.reports[i].Time.After(latest) {
			return r.reports[i], true
		}
	}

	return loadReport{}, false
}

// currentLoad returns the engine's load at this moment.
func (e *Emulator) currentLoad(now time.Time) loadReport {
	return loadReport{
		Time:            now,
		Running:         len(e.running),
		Waiting:         len(e.waitQueue.streams),
		UsedTokens:      e.usedTokens,
		CapacityTokens:  e.settings.KVTokens,
		Slots:           e.settings.Slots,
		TokensPerSecond: math.Round(e.reportHistory.currentTokenRate(now)),
		Draining:        e.assignmentState.isDraining(),
	}
}

// reportLag returns the age at which load reports are published.
func (e *Emulator) reportLag() time.Duration {
	if e.faults.ReportLag > 0 {
		return e.faults.ReportLag
	}

	return e.settings.ReportLag
}

// recordReport records the current load for later publication.
func (e *Emulator) recordReport(now time.Time) {
	if e.faults.StaleReports {
		return
	}
	e.reportHistory.add(e.currentLoad(now), e.reportLag())
}

// publishedReport returns the load report to publish now, which is reportLag old.
func (e *Emulator) publishedReport(now time.Time) loadReport {
	lag := e.reportLag()
	if lag == 0 && !e.faults.StaleReports {
		return e.currentLoad(now)
	}
	e.recordReport(now)
	if delayed, ok := e.reportHistory.newestAsOf(now.Add(-lag)); ok {
		return delayed
	}

	// No report is old enough, so the engine was idle at that time.
	idle := loadReport{Time: now.Add(-lag), CapacityTokens: e.settings.KVTokens, Slots: e.settings.Slots}

	return idle
}
