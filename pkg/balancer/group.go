package balancer

import (
	"slices"
	"strings"
	"time"
)

// group holds the endpoints that are compared with each other: those with the same
// service and models.
type group struct {
	endpoints        []*trackedEndpoint
	slots            int     // sum over its endpoints
	localRequests    int     // this instance's requests in flight at its endpoints
	unloadedInterval float64 // median seconds between tokens without load

	prefillSecondsPerToken float64 // learned from first-token delays

	reportCount    int     // endpoints with a load report
	remoteRequests float64 // other instances' requests, summed over the load reports
	remoteTokens   float64 // tokens of these requests

	ejectedCount    int
	sortedIntervals []float64 // observed unloaded token intervals in seconds, sorted
}

// defaultUnloadedInterval is the assumed time between tokens, in seconds, of an endpoint
// without load until one was observed.
const defaultUnloadedInterval = 0.02

// addReport adds the endpoint's load report to the group's sums.
func (g *group) addReport(e *trackedEndpoint) {
	g.reportCount++
	g.remoteRequests += e.remoteRequests
	g.remoteTokens += e.remoteTokens
}

// removeReport subtracts the endpoint's load report from the group's sums.
func (g *group) removeReport(e *trackedEndpoint) {
	g.reportCount--
	g.remoteRequests -= e.remoteRequests
	g.remoteTokens -= e.remoteTokens
}

// slotUtilisation returns the share of the group's slots in use, by local requests and
// by those that load reports attribute to other instances.
func (g *group) slotUtilisation() float64 {
	return (float64(g.localRequests) + g.remoteRequests) / float64(max(1, g.slots))
}

// observeIntervals computes the unloaded token interval of each endpoint with evidence,
// and their median. An endpoint whose streams all stalled counts with the time of its
// silence.
func (g *group) observeIntervals(now time.Time) {
	g.sortedIntervals = g.sortedIntervals[:0]
	for _, e := range g.endpoints {
		if unloadedInterval, hasEvidence := e.observedInterval(now); hasEvidence {
			g.sortedIntervals = append(g.sortedIntervals, unloadedInterval)
		}
	}
	slices.Sort(g.sortedIntervals)
	if len(g.sortedIntervals) > 0 {
		g.unloadedInterval = g.sortedIntervals[len(g.sortedIntervals)/2]
	}
}

// medianOfOthers returns the median of the group's observed intervals without the given
// one. It reports false with fewer than two others, unless the group has only two
// endpoints.
func (g *group) medianOfOthers(excluded float64) (float64, bool) {
	otherCount := len(g.sortedIntervals) - 1
	if otherCount < 1 || otherCount < min(2, len(g.endpoints)-1) {
		return 0, false
	}
	medianIndex := otherCount / 2
	if position, _ := slices.BinarySearch(g.sortedIntervals, excluded); position <= medianIndex {
		medianIndex++
	}
	return g.sortedIntervals[medianIndex], true
}

// observedInterval returns the seconds between tokens that the endpoint would have
// without load, or the seconds of silence if all its streams have stalled. It reports
// false when there is not enough evidence.
func (e *trackedEndpoint) observedInterval(now time.Time) (float64, bool) {
	silentSeconds := 0.0
	if e.decodingRequests > 0 {
		silentSeconds = now.Sub(e.lastTokenAt).Seconds()
	}
	if silentSeconds > stallTimeout.Seconds() {
		return silentSeconds, true
	}
	e.meter.decay(now)
	if !e.meter.hasEvidence() {
		return 0, false
	}
	return e.meter.unloadedSeconds / e.meter.tokens, true
}

type groupKey struct{ service, models string }

func groupKeyOf(endpoint Endpoint) groupKey {
	models := slices.Sorted(slices.Values(endpoint.Models))
	return groupKey{endpoint.Service, strings.Join(models, "\x00")}
}

// rebuildGroupsAndPools builds the groups and pools from the configured endpoints. A new
// group takes over the learned speeds of its endpoints' previous group.
func (b *Balancer) rebuildGroupsAndPools() {
	groups := map[groupKey]*group{}
	b.groups = b.groups[:0]
	b.pools = map[poolKey]*pool{}
	for _, e := range b.configured {
		key := groupKeyOf(e.Endpoint)
		g := groups[key]
		if g == nil {
			g = &group{unloadedInterval: defaultUnloadedInterval, prefillSecondsPerToken: defaultPrefillSecondsPerToken}
			groups[key] = g
			b.groups = append(b.groups, g)
		}
		g.addEndpoint(e)
		b.addToPools(e)
	}
}

// addEndpoint adds an endpoint to the group, with its load, its report and its ejection.
func (g *group) addEndpoint(e *trackedEndpoint) {
	if e.group != nil {
		g.unloadedInterval, g.prefillSecondsPerToken = e.group.unloadedInterval, e.group.prefillSecondsPerToken
	}
	e.group = g
	g.endpoints = append(g.endpoints, e)
	g.slots += e.Slots
	g.localRequests += e.localRequests
	if !e.lastReportAt.IsZero() {
		g.addReport(e)
	}
	if e.breaker.status == Ejected {
		g.ejectedCount++
	}
}
