package exchanger

import (
	"slices"

	"github.com/oleanderpick/oleanderpick/pkg/tracker"
)

const (
	// toldAsked is the most sightings told of instances that the peer doubts.
	toldAsked = 32
	// toldLeaving is the most told of instances that leave.
	toldLeaving = 8
	// toldFresh is the most told of others: enough for news to spread, since
	// each exchange carries the freshest.
	toldFresh = 2
)

// told returns the part of a view that a message carries. A peer needs to hear
// of those that it doubts and of those that leave; the rest of the view would
// grow with the fleet and tell mostly what the peer knows.
func told(view []tracker.LivenessReport, doubted []string) []tracker.LivenessReport {
	asked, leaving, fresh := 0, 0, 0
	var kept []tracker.LivenessReport
	for _, sighting := range view {
		count, limit := &fresh, toldFresh
		switch {
		case slices.Contains(doubted, sighting.Name):
			count, limit = &asked, toldAsked
		case sighting.Leaving:
			count, limit = &leaving, toldLeaving
		}
		if *count < limit {
			*count++
			kept = append(kept, sighting)
		}
	}

	return kept
}
