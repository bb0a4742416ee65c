package gossiper

import (
	"math"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/gossiper/gossipwire"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/sharer"
)

const (
	// claimInterval is the time between two messages with claims, of some 500 bytes. The peers
	// that get them change with the rounds, and shares can be computed from some peers' claims: both
	// demand and service are then sums over the same peers.
	claimInterval = 250 * time.Millisecond
	// maxReceivedClaims limits the claims that are read from a message, and maxClaimedRate the tokens per
	// second of one.
	maxReceivedClaims = 256
	maxClaimedRate    = 1e9
)

// addClaims adds this instance's claims, or its data centre's to a summary, to a message if it is
// time for that.
func (g *Gossiper) addClaims(now time.Time, message *gossipwire.Message) {
	if !g.dispatcher.SharesCapacity() {
		return
	}
	g.mu.Lock()
	isDue := now.Sub(g.claimsSentAt) >= claimInterval
	g.mu.Unlock()
	if !isDue {
		return
	}
	message.Claims = encodeClaims(g.dispatcher.Claims(message.GetSummary()))
	if len(message.GetClaims()) > 0 {
		g.mu.Lock()
		g.claimsSentAt = now
		g.mu.Unlock()
		g.meter.Add("sharing.claims-sent", int64(len(message.GetClaims())))
	}
}

// encodeClaims returns the wire form of claims.
func encodeClaims(claims []sharer.Claim) []*gossipwire.Claim {
	encoded := make([]*gossipwire.Claim, 0, len(claims))
	for _, claim := range claims {
		encoded = append(encoded, &gossipwire.Claim{
			Service: claim.Service, Tier: uint32(max(0, claim.Tier)), Workspace: claim.Workspace, Wanted: float32(claim.Wanted), Served: float32(claim.Served),
		})
	}

	return encoded
}

// decodeClaims returns claims from their wire form. Those with impossible figures are left out.
func decodeClaims(encoded []*gossipwire.Claim) []sharer.Claim {
	var claims []sharer.Claim
	for _, claim := range encoded[:min(len(encoded), maxReceivedClaims)] {
		wanted, served := float64(claim.GetWanted()), float64(claim.GetServed())
		if isRate(wanted) && isRate(served) && claim.GetTier() < placer.TierCount {
			claims = append(claims, sharer.Claim{Service: claim.GetService(), Tier: int(claim.GetTier()), Workspace: claim.GetWorkspace(), Wanted: wanted, Served: served})
		}
	}

	return claims
}

// isRate reports whether a figure of a claim is possible.
func isRate(value float64) bool {
	return !math.IsNaN(value) && value >= 0 && value <= maxClaimedRate
}
