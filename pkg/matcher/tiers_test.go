package matcher_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/matcher"
)

func drawTieredConfiguration(t *rapid.T) matcher.Configuration {
	configuration := matcher.Configuration{Services: []matcher.Service{{Name: "llm", Engine: &matcher.EngineSettings{}}, {Name: "api"}}}
	for i, tier := range rapid.SliceOfN(rapid.IntRange(0, 6), 1, 6).Draw(t, "route tiers") {
		service := rapid.SampledFrom([]string{"llm", "api"}).Draw(t, "service")
		configuration.Routes = append(configuration.Routes, matcher.Route{Name: fmt.Sprint(i), Tier: tier, ServiceWeights: []matcher.ServiceWeight{{Service: service, Weight: 1}}})
	}
	for i, tier := range rapid.SliceOfN(rapid.IntRange(-1, 6), 0, 8).Draw(t, "workspace tiers") {
		configuration.Workspaces = append(configuration.Workspaces, matcher.Workspace{Name: fmt.Sprint(i), Tier: max(0, tier), HasTier: tier >= 0})
	}

	return configuration
}

// Guards against a less urgent request getting a higher tier at an engine than a more
// urgent one, and against tiers shared although there are enough.
func TestEngineTierKeepsOrderOfWorkspacesThenRoutes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		configuration := drawTieredConfiguration(t)
		tierCount := rapid.IntRange(1, 12).Draw(t, "tier count")
		m := matcher.New(configuration)
		type position struct{ workspace, route int }
		tiers := map[position]int{}
		for _, route := range configuration.Routes {
			if route.ServiceWeights[0].Service != "llm" {
				continue
			}
			for _, workspace := range append(configuration.Workspaces, matcher.Workspace{}) {
				p := position{route.Tier, route.Tier}
				if workspace.HasTier {
					p.workspace = workspace.Tier
				}
				tiers[p] = m.EngineTier(route, workspace, tierCount)
			}
		}
		for a, tierA := range tiers {
			assert.Assert(t, tierA >= 0 && tierA < tierCount)
			for b, tierB := range tiers {
				if a.workspace < b.workspace || (a.workspace == b.workspace && a.route < b.route) {
					assert.Assert(t, tierA <= tierB, "%v has tier %d, %v has %d", a, tierA, b, tierB)
					assert.Assert(t, len(tiers) > tierCount || tierA < tierB, "%v and %v share tier %d", a, b, tierA)
				}
			}
		}
	})
}
