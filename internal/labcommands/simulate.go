package labcommands

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/oleanderpick/oleanderpick/internal/common/flagger"
	"github.com/oleanderpick/oleanderpick/internal/lab/simulator"
)

const (
	simulatedInstances = 7
	simulatedEngines   = 9
	simulatedRounds    = 5
)

// simulate declares the flags of simulate.
func (c *Commands) simulate(set *flag.FlagSet) func(context.Context) error {
	scenario := set.String("scenario", allScenarios, "what happens: "+strings.Join(simulatedNames(), ", ")+" or all")
	instances := set.Int("instances", simulatedInstances, "routers")
	engines := set.Int("engines", simulatedEngines, "engines")
	rounds := set.Int("rounds", simulatedRounds, "rounds, each with a seed of its own")
	seed := set.Uint64("seed", 1, "seed of the first round")

	return func(context.Context) error {
		switch {
		case *instances < 1:
			return flagger.InvalidValueError("instances", *instances, "at least 1")
		case *engines < 2:
			return flagger.InvalidValueError("engines", *engines, "at least 2")
		case *rounds < 1:
			return flagger.InvalidValueError("rounds", *rounds, "at least 1")
		}
		played := 0
		for _, s := range simulator.Scenarios() {
			if *scenario != allScenarios && *scenario != s.Name {
				continue
			}
			played++
			fmt.Fprintf(c.output, "%s\n", s.Name)
			for _, way := range simulator.Policies() {
				sum := simulator.Outcome{}
				for round := range *rounds {
					sum = sum.Plus(simulator.Run(s, way, *instances, *engines, *seed+uint64(round)))
				}
				fmt.Fprintf(c.output, "  %-14s %s\n", way.Name, sum)
			}
		}
		if played == 0 {
			return flagger.InvalidValueError("scenario", *scenario, strings.Join(simulatedNames(), ", ")+" or all")
		}

		return nil
	}
}

func simulatedNames() []string {
	scenarios := simulator.Scenarios()
	names := make([]string, 0, len(scenarios))
	for _, s := range scenarios {
		names = append(names, s.Name)
	}

	return names
}
