package relayer

import (
	"math"
	"strconv"
	"strings"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/sharer"
)

// minCountedFraction is the part of a tier's capacity that a workspace must want to be counted by name, so that
// few are.
const minCountedFraction = 0.05

// metricName returns a workspace's name as a part of a metric's.
func metricName(workspace string) string {
	return strings.Map(func(c rune) rune {
		if c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' {
			return c
		}

		return '_'
	}, workspace)
}

// logSharing logs and counts a decision about a request for capacity that may be short.
func (r *relayedRequest) logSharing(placement dispatcher.Placement) {
	decision := placement.Sharing
	if decision == nil {
		return
	}
	tier := "tier-" + strconv.Itoa(r.placementRequest.Tier)
	if decision.Admitted {
		r.relayer.meter.Add("sharing.admitted."+tier, 1)
		if decision.IsReturned {
			r.relayer.meter.Add("sharing.returned."+tier, 1)
		}

		return
	}
	r.relayer.meter.Add("sharing.refused."+tier+"."+string(decision.Reason), 1)
	if decision.Reason == sharer.OverShare && decision.Wanted > minCountedFraction*decision.Capacity {
		r.relayer.meter.Add("sharing.over-share."+metricName(r.forwarding.Workspace), 1)
	}
	share := int64(-1) // no limit
	if !math.IsInf(decision.Share, 0) {
		share = int64(decision.Share)
	}
	capacity := int64(-1) // not known yet
	if !math.IsInf(decision.Capacity, 0) {
		capacity = int64(decision.Capacity)
	}
	r.relayer.logger.Info("No room.", "request", r.metadata.ID, "workspace", r.forwarding.Workspace, "service", r.placementRequest.Service,
		"tier", r.placementRequest.Tier, "reason", string(decision.Reason), "returned", decision.IsReturned, "expected ms", decision.Expected.Milliseconds(),
		"target ms", r.placementRequest.TargetTimeToFirstToken.Milliseconds(), "retry after ms", decision.RetryAfter.Milliseconds(),
		"wanted", int64(decision.Wanted), "served", int64(decision.Served), "share", share, "capacity", capacity,
		"peers", decision.Peers, "claims ms", decision.ClaimsAge.Milliseconds())
}
