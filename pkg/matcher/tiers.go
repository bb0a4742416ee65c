package matcher

import (
	"cmp"
	"maps"
	"slices"
)

// tierOrder is the position of a request in the order in which engines serve requests.
// The workspace's tier is compared first, then the route's.
type tierOrder struct {
	workspaceTier, routeTier int
}

// newTierOrder returns the position of a workspace's request on a route. A workspace
// without a tier of its own has the route's.
func newTierOrder(route Route, workspace Workspace) tierOrder {
	order := tierOrder{workspaceTier: route.Tier, routeTier: route.Tier}
	if workspace.HasTier {
		order.workspaceTier = workspace.Tier
	}

	return order
}

func (t tierOrder) compare(other tierOrder) int {
	return cmp.Or(cmp.Compare(t.workspaceTier, other.workspaceTier), cmp.Compare(t.routeTier, other.routeTier))
}

// engineTierOrders returns the different positions of a configuration's requests to
// engines, the most urgent first.
func engineTierOrders(configuration Configuration) []tierOrder {
	hasEngines := map[string]bool{}
	for _, service := range configuration.Services {
		hasEngines[service.Name] = service.Engine != nil
	}
	workspaceTiers := map[int]bool{}
	for _, workspace := range configuration.Workspaces {
		if workspace.HasTier {
			workspaceTiers[workspace.Tier] = true
		}
	}
	found := map[tierOrder]bool{}
	routeTiers := map[int]bool{}
	for _, route := range configuration.Routes {
		leadsToEngines := slices.ContainsFunc(route.ServiceWeights, func(weighted ServiceWeight) bool { return hasEngines[weighted.Service] })
		if !leadsToEngines || routeTiers[route.Tier] {
			continue
		}
		routeTiers[route.Tier] = true
		found[newTierOrder(route, Workspace{})] = true
		for tier := range workspaceTiers {
			found[tierOrder{workspaceTier: tier, routeTier: route.Tier}] = true
		}
	}

	return slices.SortedFunc(maps.Keys(found), tierOrder.compare)
}

// EngineTier returns the tier of a workspace's request on a route at an engine, from 0
// to tierCount-1; 0 is the highest. The workspace's tier precedes the route's, which
// orders the requests of workspaces with equal tiers. If the configuration has more
// than tierCount different positions, neighbouring ones share a tier.
func (m *Matcher) EngineTier(route Route, workspace Workspace, tierCount int) int {
	position, _ := slices.BinarySearchFunc(m.engineTierOrders, newTierOrder(route, workspace), tierOrder.compare)
	if len(m.engineTierOrders) <= tierCount {
		return min(position, tierCount-1)
	}

	return min(position*tierCount/len(m.engineTierOrders), tierCount-1)
}
