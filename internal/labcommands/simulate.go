package labcommands

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/oleanderpick/oleanderpick/internal/common/flagger"
	"github.com/oleanderpick/oleanderpick/internal/lab/simulator"
)

const defaultSimulatedRounds = 5

// simulate declares the flags of the command `simulate`, which runs scenarios against
// simulated engines in virtual time, once with each policy, and prints the outcomes.
func (c *Commands) simulate(flagSet *flag.FlagSet) func(context.Context) error {
	scenarioName := flagSet.String("scenario", allScenarios, "what happens: "+strings.Join(simulationScenarioNames(), ", ")+" or all")
	grown := flagSet.Bool("grown", false, "a grown fleet: many small routers before engines with few slots")
	instances := flagSet.Int("instances", 0, "routers; 0: as many as the fleet usually has")
	engines := flagSet.Int("engines", 0, "engines; 0: as many as the fleet usually has")
	rounds := flagSet.Int("rounds", defaultSimulatedRounds, "rounds, each with a seed of its own")
	seed := flagSet.Uint64("seed", 1, "seed of the first round")

	return func(context.Context) error {
		switch {
		case *instances < 0:
			return flagger.InvalidValueError("instances", *instances, "at least 1, or 0")
		case *engines < 0 || *engines == 1:
			return flagger.InvalidValueError("engines", *engines, "at least 2, or 0")
		case *rounds < 1:
			return flagger.InvalidValueError("rounds", *rounds, "at least 1")
		}
		size, scenarios := simulator.SmallSize(), simulator.Scenarios()
		if *grown {
			size, scenarios = simulator.GrownSize(), simulator.GrownScenarios()
		}
		size.Instances = cmp.Or(*instances, size.Instances)
		size.Engines = cmp.Or(*engines, size.Engines)
		scenarioCount := 0
		for _, scenario := range scenarios {
			if *scenarioName != allScenarios && *scenarioName != scenario.Name {
				continue
			}
			scenarioCount++
			fmt.Fprintf(c.output, "%s\n", scenario.Name)
			for _, policy := range simulator.Policies() {
				total := simulator.Outcome{}
				for round := range *rounds {
					total = total.Plus(simulator.Run(scenario, policy, size, *seed+uint64(round)))
				}
				fmt.Fprintf(c.output, "  %-14s %s\n", policy.Name, total)
			}
		}
		if scenarioCount == 0 {
			return flagger.InvalidValueError("scenario", *scenarioName, strings.Join(simulationScenarioNames(), ", ")+" or all")
		}

		return nil
	}
}

// simulationScenarioNames returns the values that the flag -scenario of `simulate`
// accepts, apart from "all".
func simulationScenarioNames() []string {
	scenarios := simulator.Scenarios()
	names := make([]string, 0, len(scenarios))
	for _, scenario := range scenarios {
		names = append(names, scenario.Name)
	}

	return names
}
