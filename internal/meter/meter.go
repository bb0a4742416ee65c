// Package meter keeps the metrics of an instance: counters of errors by kind and of
// retry decisions by reason, counters and latency histograms by service class, and
// named counters, gauges and histograms of the other packages. It serves them over
// HTTP and summarises the classes for reports.
package meter

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

// Parameters of the exponentially decaying sample behind each histogram.
const (
	// reservoirSize is the number of values that a sample keeps.
	reservoirSize = 1028
	// reservoirAlpha is the decay factor; a larger one favours recent values more.
	reservoirAlpha = 0.015
)

// Meter holds the metrics of one instance. It is safe for concurrent use.
type Meter struct {
	registry metrics.Registry
	// errorCounters holds the counter of each error kind.
	errorCounters map[answerer.Kind]metrics.Counter
}

// New returns a Meter with a counter for each error kind.
func New() *Meter {
	m := &Meter{
		registry:      metrics.NewRegistry(),
		errorCounters: map[answerer.Kind]metrics.Counter{},
	}
	for _, kind := range answerer.Kinds() {
		m.errorCounters[kind] = metrics.GetOrRegisterCounter(answerer.Lookup(kind).Counter, m.registry)
	}

	return m
}

// CountError counts a request that ended in an error of the given kind instead of a
// complete answer.
func (m *Meter) CountError(kind answerer.Kind) {
	m.errorCounters[kind].Inc(1)
}

// CountRetryDecision counts a retry decision under its reason.
func (m *Meter) CountRetryDecision(reason string) {
	m.Add("retries."+reason, 1)
}

// Add adds count to the named counter, which it creates if there is none.
func (m *Meter) Add(name string, count int64) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(count)
}

// SetGauge sets the named gauge, which it creates if there is none.
func (m *Meter) SetGauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(value)
}

// RecordDuration adds a duration, in milliseconds, to the histogram with the given name
// and the suffix "-ms".
func (m *Meter) RecordDuration(name string, duration time.Duration) {
	m.histogram(name + "-ms").Update(duration.Milliseconds())
}

// CounterValue returns the value of the named counter, or 0 if there is none.
func (m *Meter) CounterValue(name string) int64 {
	counter, ok := m.registry.Get(name).(metrics.Counter)
	if !ok {
		return 0
	}

	return counter.Count()
}

// Answer holds what is counted of one complete answer.
type Answer struct {
	// Class is the name of the request's service class.
	Class string
	// TimeToFirstToken is the time from the request to the first token,
	// TotalDuration that to the last token.
	TimeToFirstToken, TotalDuration time.Duration
	// TokenCount is the number of tokens in the answer.
	TokenCount int
	// WithinTarget is true if the answer met the targets of its class.
	WithinTarget bool
}

// CountAnswer counts a complete answer in the metrics of its class.
func (m *Meter) CountAnswer(answer Answer) {
	prefix := "classes." + answer.Class + "."
	m.Add(prefix+"served", 1)
	m.Add(prefix+"tokens", int64(answer.TokenCount))
	if answer.WithinTarget {
		m.Add(prefix+"within", 1)
		m.Add(prefix+"goodput", int64(answer.TokenCount))
	}
	m.histogram(prefix + "first-token-ms").Update(answer.TimeToFirstToken.Milliseconds())
	m.histogram(prefix + "whole-ms").Update(answer.TotalDuration.Milliseconds())
}

// histogram returns the named histogram, which it creates if there is none.
func (m *Meter) histogram(name string) metrics.Histogram {
	return m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	}).(metrics.Histogram)
}
