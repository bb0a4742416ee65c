// Package comparer compares scheduling policies on the same arrivals. Each policy runs
// each round on a deployment of its own, of real routers and emulated engines on
// loopback, one after another. The report has the metrics of each policy, the ratios
// between policies with their spread over the rounds, and whether they are in bounds.
package comparer

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/lab/emulator"
)

// Settings of a comparison.
type Settings struct {
	Scenario Scenario
	// Seed is the seed of the first round's arrivals. Each later round adds 1.
	Seed       uint64
	RoundCount int
	// Duration is how long requests arrive in a round.
	Duration time.Duration
	// Overload is the ratio of demand to the engines' capacity, ReserveFactor that of
	// the tokens that callers reserve to the mean length of an answer.
	Overload, ReserveFactor float64
	// Instances is the number of routers.
	Instances int
	// ReportLag is the age of a load report when a router gets it. Zero takes the scenario's.
	ReportLag time.Duration
	// EngineFaults holds the faults that one engine has for the whole round; nil: none.
	EngineFaults *emulator.Faults
	// Policies are the names of the policies to compare.
	Policies []string
	// Progress receives a line for each finished round of a policy.
	Progress io.Writer
	Logger   hclog.Logger
}

const (
	// warmupDuration is how long requests that are not counted arrive first, so that
	// the routers find each other and learn the lengths of answers.
	warmupDuration = 2 * time.Second
	warmupOverload = 0.7 // ratio of demand to capacity in the warm-up
	// roundOverhead is the time that a round takes beside its arrivals and backlog.
	roundOverhead = warmupDuration + 3*time.Second
)

// ExpectedDuration returns an estimate of how long the comparison takes.
func (s Settings) ExpectedDuration() time.Duration {
	expected := time.Duration(0)
	for _, name := range s.Policies {
		overload := s.Overload
		if name == RoundRobinPolicy || name == LeastLoadedPolicy {
			overload *= 1 + s.ReserveFactor/8 // reserving 8 times the mean halves the batch
		}
		backlog := time.Duration(max(0, overload-1) * float64(s.Duration))
		expected += roundOverhead + s.Duration + min(backlog, longestDeadline)
	}

	return time.Duration(s.RoundCount) * expected
}

// Capacity returns the engines' capacity for the scenario's requests, at its engine speeds.
func (s Settings) Capacity() Capacity {
	fullSpeedEngines := float64(engineCount)
	for _, speed := range s.Scenario.engineSpeeds {
		fullSpeedEngines += speed - 1
	}

	return EstimateCapacity(engineSettings(0, 0), fullSpeedEngines, s.requestMix())
}

// Run runs every round of every policy and returns the report. It fails when a deployment
// cannot be started or the context ends.
func Run(ctx context.Context, settings Settings) (Report, error) {
	if settings.ReportLag == 0 {
		settings.ReportLag = settings.Scenario.reportLag
	}
	report := Report{
		Scenario: settings.Scenario.Name, Seed: settings.Seed, Overload: settings.Overload, ReserveFactor: settings.ReserveFactor,
		Instances: settings.Instances, ReportLag: settings.ReportLag, Duration: settings.Duration, Capacity: settings.Capacity(),
	}
	for _, name := range settings.Policies {
		report.Policies = append(report.Policies, PolicyResult{Name: name})
	}
	for round := range settings.RoundCount {
		for offset := range settings.Policies {
			index := (round + offset) % len(settings.Policies) // no policy is always the first of a round
			result, err := runRound(ctx, settings, settings.Policies[index], settings.Seed+uint64(round))
			if err != nil {
				return Report{}, err
			}
			if ctx.Err() != nil {
				return Report{}, ctx.Err()
			}
			report.Policies[index].Rounds = append(report.Policies[index].Rounds, result)
			fmt.Fprintf(settings.Progress, "round %d of %d, %s: goodput %.0f tokens/s, top tier %.1f%%, loader late %s\n",
				round+1, settings.RoundCount, settings.Policies[index], result.Goodput, 100*result.TopTierWithinTarget(), result.CallerReport.LongestSendDelay.Round(time.Millisecond))
		}
	}

	return report.withStatistics(), nil
}
