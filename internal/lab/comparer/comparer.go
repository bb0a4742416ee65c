// Package comparer gives the same arrivals to several policies, in rounds one
// after another on deployments of their own: real routers and stand-in engines
// on loopback. It reports each policy's figures, the ratios between policies
// with their spread over the rounds, and the bounds that they are held to.
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
	// Seed of the first round's arrivals; each round has its own.
	Seed       uint64
	RoundCount int
	// Duration is how long a round's requests arrive.
	Duration time.Duration
	// Overload is the demand over the engines' capacity, Reserve what callers
	// reserve over the mean length.
	Overload, ReserveFactor float64
	// Instances is the count of routers.
	Instances int
	// ReportLag is the age of a load report.
	ReportLag time.Duration
	// EngineFaults are the switches of one engine, set for the whole round.
	EngineFaults *emulator.Faults
	// Policies are names.
	Policies []string
	// Progress takes a line for each policy's round.
	Progress io.Writer
	Logger   hclog.Logger
}

const (
	// warmup is how long requests arrive that are not counted: the routers
	// find each other and see the first lengths of answers.
	warmup         = 2 * time.Second
	warmupOverload = 0.7
	// overhead is the time of a round besides its arrivals and its backlog.
	overhead = warmup + 3*time.Second
)

// ExpectedDuration returns about how long the comparison takes.
func (s Settings) ExpectedDuration() time.Duration {
	expected := time.Duration(0)
	for _, name := range s.Policies {
		overload := s.Overload
		if name == Naive || name == LeastLoaded {
			overload *= 1 + s.ReserveFactor/8 // Reserved memory halves the batch.
		}
		backlog := time.Duration(max(0, overload-1) * float64(s.Duration))
		expected += overhead + s.Duration + min(backlog, lowestDeadline)
	}

	return time.Duration(s.RoundCount) * expected
}

// Capacity returns the engines' capacity for the scenario's requests.
func (s Settings) Capacity() Capacity {
	count := float64(engines)
	for _, speed := range s.Scenario.uneven {
		count += speed - 1
	}

	return CapacityOf(engineSettings(0, 0), count, s.mix())
}

// Run runs every round of every policy.
func Run(ctx context.Context, settings Settings) (Report, error) {
	if settings.ReportLag == 0 {
		settings.ReportLag = settings.Scenario.lag
	}
	report := Report{
		Scenario: settings.Scenario.Name, Seed: settings.Seed, Overload: settings.Overload, Reserve: settings.ReserveFactor,
		Instances: settings.Instances, Lag: settings.ReportLag, Duration: settings.Duration, Capacity: settings.Capacity(),
	}
	for _, name := range settings.Policies {
		report.Policies = append(report.Policies, Policy{Name: name})
	}
	for round := range settings.RoundCount {
		for turn := range settings.Policies {
			place := (round + turn) % len(settings.Policies) // No policy always comes first.
			measured, err := run(ctx, settings, settings.Policies[place], settings.Seed+uint64(round))
			if err != nil {
				return Report{}, err
			}
			if ctx.Err() != nil {
				return Report{}, ctx.Err()
			}
			report.Policies[place].Rounds = append(report.Policies[place].Rounds, measured)
			fmt.Fprintf(settings.Progress, "round %d of %d, %s: goodput %.0f tokens/s, top tier %.1f%%, loader late %s\n",
				round+1, settings.RoundCount, settings.Policies[place], measured.Goodput, 100*measured.Top(), measured.Callers.Late.Round(time.Millisecond))
		}
	}

	return report.finish(), nil
}
