// Package meter counts what a router does: a counter for each refusal and
// retry reason, and histograms and counts by class.
package meter

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// Meter owns one router's metrics. It is safe for concurrent use.
type Meter struct {
	registry metrics.Registry
	refusals map[answerer.Kind]metrics.Counter
}

// New returns a meter with a counter for each error kind.
func New() *Meter {
	m := &Meter{
		registry: metrics.NewRegistry(),
		refusals: map[answerer.Kind]metrics.Counter{},
	}
	for _, kind := range answerer.Kinds() {
		m.refusals[kind] = metrics.GetOrRegisterCounter(answerer.Lookup(kind).Counter, m.registry)
	}

	return m
}

// CountError counts an answer that was not a complete one.
func (m *Meter) CountError(kind answerer.Kind) {
	m.refusals[kind].Inc(1)
}

// CountRetryDecision counts a retry decision by its reason.
func (m *Meter) CountRetryDecision(reason string) {
	m.Add("retries."+reason, 1)
}

// Add adds to the counter of that name.
func (m *Meter) Add(name string, count int64) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(count)
}

// SetGauge sets the gauge of that name.
func (m *Meter) SetGauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(value)
}

// RecordDuration counts a duration in the histogram of that name.
func (m *Meter) RecordDuration(name string, took time.Duration) {
	m.histogram(name + "-ms").Update(took.Milliseconds())
}

// CounterValue returns the counter's value; 0 when there is none of that name.
func (m *Meter) CounterValue(name string) int64 {
	counter, ok := m.registry.Get(name).(metrics.Counter)
	if !ok {
		return 0
	}

	return counter.Count()
}

// Answer is a complete answer as the meter counts it.
type Answer struct {
	// Class is the request's service class.
	Class string
	// TimeToFirstToken is the time to the first token, Whole to the last.
	TimeToFirstToken, TotalDuration time.Duration
	// TokenCount is the answer's length.
	TokenCount int
	// WithinTarget is true when the class's targets were met.
	WithinTarget bool
}

// CountAnswer counts a complete answer.
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

func (m *Meter) histogram(name string) metrics.Histogram {
	return m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	}).(metrics.Histogram)
}
