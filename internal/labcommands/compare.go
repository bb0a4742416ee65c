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
	allScenarios                = "all"
	defaultCompareRounds        = 5
	defaultCompareDuration      = 10 * time.Second
	defaultCompareOverload      = 1.5
	defaultCompareReserveFactor = 8
	defaultCompareInstances     = 3
)

// compareFlags holds the values of the command-line flags of `compare`.
type compareFlags struct {
	settings     comparer.Settings
	scenarioName string
	faultJSON    string
	policyList   string
	plotPath     string
	asJSON       bool
}

// compare declares the flags of the command `compare`, which sends the same arrivals
// to several policies and checks the results against bounds.
func (c *Commands) compare(flagSet *flag.FlagSet) func(context.Context) error {
	flags := &compareFlags{settings: comparer.Settings{Progress: c.errorOutput}}
	settings := &flags.settings
	flagSet.StringVar(&flags.scenarioName, "scenario", "steady", "what happens: "+strings.Join(compareScenarioNames(), ", ")+" or all")
	flagSet.Uint64Var(&settings.Seed, "seed", 1, "seed of the first round's requests")
	flagSet.IntVar(&settings.RoundCount, "rounds", defaultCompareRounds, "rounds of each policy")
	flagSet.DurationVar(&settings.Duration, "duration", defaultCompareDuration, "how long requests arrive in a round")
	flagSet.Float64Var(&settings.Overload, "overload", defaultCompareOverload, "demand over the engines' capacity")
	flagSet.Float64Var(&settings.ReserveFactor, "reserve", defaultCompareReserveFactor, "tokens reserved over those used")
	flagSet.IntVar(&settings.Instances, "instances", defaultCompareInstances, "routers")
	flagSet.DurationVar(&settings.ReportLag, "lag", 0, "age of a load report")
	flagSet.StringVar(&flags.faultJSON, "fault", "", "fault switches of one engine as `JSON`")
	flagSet.StringVar(&flags.policyList, "policies", strings.Join(comparer.DefaultPolicies(), ","),
		"policies by name; also nolag (ours, reports not late) and one (ours, one instance)")
	flagSet.StringVar(&flags.plotPath, "plot", "", "`FILE` for a plot: .png or .svg; with all scenarios one for each")
	flagSet.BoolVar(&flags.asJSON, "json", false, "print the report as JSON")
	logLevel := flagSet.String("log-level", "off", "the routers' logs: off, error, warn, info, debug")

	return func(ctx context.Context) error {
		settings.Logger = c.newLogger(*logLevel)
		scenarios, err := flags.completeSettings()
		if err != nil {
			return err
		}

		return c.runComparisons(ctx, flags, scenarios)
	}
}

// compareScenarioNames returns the values that the flag -scenario of `compare`
// accepts, apart from "all".
func compareScenarioNames() []string {
	scenarios := comparer.Scenarios()
	names := make([]string, 0, len(scenarios))
	for _, scenario := range scenarios {
		names = append(names, scenario.Name)
	}

	return names
}

// completeSettings validates the flags, sets the fault and the policies in the
// settings, and returns the scenarios to run.
func (f *compareFlags) completeSettings() ([]comparer.Scenario, error) {
	settings := &f.settings
	switch {
	case settings.RoundCount < 1:
		return nil, flagger.InvalidValueError("rounds", settings.RoundCount, "at least 1")
	case settings.Duration <= 0:
		return nil, flagger.InvalidValueError("duration", settings.Duration, "more than 0")
	case settings.Overload <= 0:
		return nil, flagger.InvalidValueError("overload", settings.Overload, "more than 0")
	case settings.ReserveFactor <= 0:
		return nil, flagger.InvalidValueError("reserve", settings.ReserveFactor, "more than 0")
	case settings.Instances < 1:
		return nil, flagger.InvalidValueError("instances", settings.Instances, "at least 1")
	}
	if extension := filepath.Ext(f.plotPath); f.plotPath != "" && extension != ".png" && extension != ".svg" {
		return nil, flagger.InvalidValueError("plot", f.plotPath, "a file name that ends in .png or .svg")
	}
	if f.faultJSON != "" {
		faults, err := switcher.Decode(emulator.Faults{}, []byte(f.faultJSON))
		if err != nil {
			return nil, flagger.InvalidValueError("fault", f.faultJSON, "a JSON object of fault switches: "+err.Error())
		}
		settings.EngineFaults = &faults
	}
	settings.Policies = strings.Split(f.policyList, ",")
	if err := settings.CheckPolicies(); err != nil {
		return nil, flagger.InvalidValueError("policies", f.policyList, strings.Join(comparer.AllPolicies(), ", "))
	}
	if f.scenarioName == allScenarios {
		return comparer.Scenarios(), nil
	}
	scenario, err := comparer.ScenarioByName(f.scenarioName)
	if err != nil {
		return nil, flagger.InvalidValueError("scenario", f.scenarioName, strings.Join(compareScenarioNames(), ", ")+" or all")
	}

	return []comparer.Scenario{scenario}, nil
}

// runComparisons runs the scenarios one after another and prints and plots the report
// of each. It returns errRunFailed if a measured bound is not met.
func (c *Commands) runComparisons(ctx context.Context, flags *compareFlags, scenarios []comparer.Scenario) error {
	expectedDuration := time.Duration(len(scenarios)) * flags.settings.ExpectedDuration()
	fmt.Fprintf(c.errorOutput, "%d scenarios, %d rounds of %d policies: about %s\n",
		len(scenarios), flags.settings.RoundCount, len(flags.settings.Policies), expectedDuration.Round(time.Second))
	allBoundsMet := true
	for _, scenario := range scenarios {
		settings := flags.settings
		settings.Scenario = scenario
		report, err := comparer.Run(ctx, settings)
		if err != nil {
			return err
		}
		if err := c.printReport(flags.asJSON, report, report.Print); err != nil {
			return err
		}
		if flags.plotPath != "" {
			if err := report.Plot(scenarioPlotPath(flags.plotPath, scenario.Name, len(scenarios))); err != nil {
				return err
			}
		}
		allBoundsMet = allBoundsMet && report.MeetsBounds()
	}
	if !allBoundsMet {
		return errRunFailed
	}

	return nil
}

// scenarioPlotPath returns the path of a scenario's plot: path itself, or with several
// scenarios path with the scenario's name before the extension.
func scenarioPlotPath(path, scenario string, scenarioCount int) string {
	if scenarioCount == 1 {
		return path
	}
	extension := filepath.Ext(path)

	return strings.TrimSuffix(path, extension) + "-" + scenario + extension
}
