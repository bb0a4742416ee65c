package labcommands

import (
	"context"
	"flag"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/common/flagger"
	"github.com/oleanderpick/oleanderpick/internal/lab/comparer"
	"github.com/oleanderpick/oleanderpick/internal/lab/emulator"
	"github.com/oleanderpick/oleanderpick/internal/lab/switcher"
)

const (
	allScenarios     = "all"
	compareRounds    = 5
	compareDuration  = 10 * time.Second
	compareOverload  = 1.5
	compareReserve   = 8
	compareInstances = 3
)

// comparison are the flags of compare.
type comparison struct {
	settings comparer.Settings
	scenario string
	fault    string
	policies string
	plot     string
	asJSON   bool
}

func (c *Commands) compare(set *flag.FlagSet) func(context.Context) error {
	chosen := &comparison{settings: comparer.Settings{Progress: c.errors}}
	s := &chosen.settings
	set.StringVar(&chosen.scenario, "scenario", "steady", "what happens: "+strings.Join(scenarioNames(), ", ")+" or all")
	set.Uint64Var(&s.Seed, "seed", 1, "seed of the first round's requests")
	set.IntVar(&s.RoundCount, "rounds", compareRounds, "rounds of each policy")
	set.DurationVar(&s.Duration, "duration", compareDuration, "how long requests arrive in a round")
	set.Float64Var(&s.Overload, "overload", compareOverload, "demand over the engines' capacity")
	set.Float64Var(&s.ReserveFactor, "reserve", compareReserve, "tokens reserved over those used")
	set.IntVar(&s.Instances, "instances", compareInstances, "routers")
	set.DurationVar(&s.ReportLag, "lag", 0, "age of a load report")
	set.StringVar(&chosen.fault, "fault", "", "fault switches of one engine as `JSON`")
	set.StringVar(&chosen.policies, "policies", strings.Join(comparer.DefaultPolicies(), ","),
		"policies by name; also nolag (ours, reports not late) and one (ours, one instance)")
	set.StringVar(&chosen.plot, "plot", "", "`FILE` for a plot: .png or .svg; with all scenarios one for each")
	set.BoolVar(&chosen.asJSON, "json", false, "print the report as JSON")
	level := set.String("log-level", "off", "the routers' logs: off, error, warn, info, debug")

	return func(ctx context.Context) error {
		s.Logger = c.logger(*level)
		scenarios, err := chosen.complete()
		if err != nil {
			return err
		}

		return c.compareAll(ctx, chosen, scenarios)
	}
}

func scenarioNames() []string {
	scenarios := comparer.Scenarios()
	names := make([]string, 0, len(scenarios))
	for _, scenario := range scenarios {
		names = append(names, scenario.Name)
	}

	return names
}

// complete checks the flags and returns the scenarios to run.
func (c *comparison) complete() ([]comparer.Scenario, error) {
	s := &c.settings
	switch {
	case s.RoundCount < 1:
		return nil, flagger.InvalidValueError("rounds", s.RoundCount, "at least 1")
	case s.Duration <= 0:
		return nil, flagger.InvalidValueError("duration", s.Duration, "more than 0")
	case s.Overload <= 0:
		return nil, flagger.InvalidValueError("overload", s.Overload, "more than 0")
	case s.ReserveFactor <= 0:
		return nil, flagger.InvalidValueError("reserve", s.ReserveFactor, "more than 0")
	case s.Instances < 1:
		return nil, flagger.InvalidValueError("instances", s.Instances, "at least 1")
	}
	if end := filepath.Ext(c.plot); c.plot != "" && end != ".png" && end != ".svg" {
		return nil, flagger.InvalidValueError("plot", c.plot, "a file name that ends in .png or .svg")
	}
	if c.fault != "" {
		faults, err := switcher.Decode(emulator.Faults{}, []byte(c.fault))
		if err != nil {
			return nil, flagger.InvalidValueError("fault", c.fault, "a JSON object of fault switches: "+err.Error())
		}
		s.EngineFaults = &faults
	}
	s.Policies = strings.Split(c.policies, ",")
	if err := s.CheckPolicies(); err != nil {
		return nil, flagger.InvalidValueError("policies", c.policies, strings.Join(comparer.AllPolicies(), ", "))
	}
	if c.scenario == allScenarios {
		return comparer.Scenarios(), nil
	}
	scenario, err := comparer.ScenarioByName(c.scenario)
	if err != nil {
		return nil, flagger.InvalidValueError("scenario", c.scenario, strings.Join(scenarioNames(), ", ")+" or all")
	}

	return []comparer.Scenario{scenario}, nil
}

func (c *Commands) compareAll(ctx context.Context, chosen *comparison, scenarios []comparer.Scenario) error {
	expected := time.Duration(len(scenarios)) * chosen.settings.ExpectedDuration()
	fmt.Fprintf(c.errors, "%d scenarios, %d rounds of %d policies: about %s\n",
		len(scenarios), chosen.settings.RoundCount, len(chosen.settings.Policies), expected.Round(time.Second))
	met := true
	for _, scenario := range scenarios {
		settings := chosen.settings
		settings.Scenario = scenario
		report, err := comparer.Run(ctx, settings)
		if err != nil {
			return err
		}
		if err := c.print(chosen.asJSON, report, report.Print); err != nil {
			return err
		}
		if chosen.plot != "" {
			if err := report.Plot(plotFile(chosen.plot, scenario.Name, len(scenarios))); err != nil {
				return err
			}
		}
		met = met && report.MeetsBounds()
	}
	if !met {
		return errFailed
	}

	return nil
}

// plotFile names a scenario's own file when there are several.
func plotFile(file, scenario string, scenarios int) string {
	if scenarios == 1 {
		return file
	}
	end := filepath.Ext(file)

	return strings.TrimSuffix(file, end) + "-" + scenario + end
}
