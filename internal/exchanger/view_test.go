package exchanger

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/tracker"
)

func TestToldKeepsTheDoubtedAndTheLeavingAndAFewOthers(t *testing.T) {
	view := make([]tracker.LivenessReport, 0, tracker.MaxLivenessReports)
	var doubted []string
	for i := range 64 {
		name := fmt.Sprintf("router-%02d", i)
		view = append(view, tracker.LivenessReport{Name: name, Age: time.Second, Leaving: i%4 == 1})
		if i >= 20 && i < 60 {
			doubted = append(doubted, name)
		}
	}

	kept := map[string]int{}
	for _, sighting := range told(view, doubted) {
		switch {
		case sighting.Name >= "router-20" && sighting.Name < "router-60":
			kept["doubted"]++
		case sighting.Leaving:
			kept["leaving"]++
		default:
			kept["fresh"]++
		}
	}
	assert.DeepEqual(t, kept, map[string]int{"doubted": toldAsked, "leaving": 6, "fresh": toldFresh})
	assert.Equal(t, len(told(view[:3], nil)), 3)
}
