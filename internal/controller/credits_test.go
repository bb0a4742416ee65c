package controller

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/granter"
	"github.com/oleanderpick/oleanderpick/pkg/scheduler"
)

// TestDemandIsOfWholeRequests: a borrower without a floor is granted what it
// says that it needs, so that each endpoint must be asked for enough to start a
// request.
func TestDemandIsOfWholeRequests(t *testing.T) {
	names := []string{"a", "b", "c"}
	tests := []struct {
		name    string
		waiting scheduler.Demand
		want    granter.Credit
	}{
		{"none", scheduler.Demand{}, granter.Credit{}},
		{"one", scheduler.Demand{Requests: 1, Tokens: 241}, granter.Credit{Slots: 1, Tokens: 241}},
		{"two", scheduler.Demand{Requests: 2, Tokens: 301}, granter.Credit{Slots: 1, Tokens: 151}},
		{"many", scheduler.Demand{Requests: 7, Tokens: 700}, granter.Credit{Slots: 3, Tokens: 300}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			waiting := map[string]*[granter.Tiers]granter.Credit{}
			for _, name := range names {
				waiting[name] = &[granter.Tiers]granter.Credit{}
			}
			addDemand(waiting, names, [scheduler.TierCount]scheduler.Demand{2: test.waiting})
			for _, name := range names {
				assert.Equal(t, waiting[name][2], test.want)
			}
		})
	}
}
