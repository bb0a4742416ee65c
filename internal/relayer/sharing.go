package relayer

import (
	"math"
	"strconv"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
)

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
	if decision.Wanted > decision.Share {
		// Only workspaces that take more than their share are counted by name, and there are few of these.
		r.relayer.meter.Add("sharing.over-share."+r.forwarding.Workspace, 1)
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
