package controller

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/granter"
	"github.com/oleanderpick/oleanderpick/pkg/scheduler"
)

// TestDemandIsDividedIntoWholeRequests checks that each endpoint is asked for enough
// tokens to start at least one request. A borrower without a reserved share is granted
// only what it asks for, so with less no endpoint could start a request.
func TestDemandIsDividedIntoWholeRequests(t *testing.T) {
	names := []string{"a", "b", "c"}
	tests := []struct {
		name   string
		demand scheduler.Demand
		want   granter.Credit
	}{
		{"none", scheduler.Demand{}, granter.Credit{}},
		{"one", scheduler.Demand{Requests: 1, Tokens: 241}, granter.Credit{Slots: 1, Tokens: 241}},
		{"two", scheduler.Demand{Requests: 2, Tokens: 301}, granter.Credit{Slots: 1, Tokens: 151}},
		{"many", scheduler.Demand{Requests: 7, Tokens: 700}, granter.Credit{Slots: 3, Tokens: 300}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			demandByEndpoint := map[string]*[granter.TierCount]granter.Credit{}
			for _, name := range names {
				demandByEndpoint[name] = &[granter.TierCount]granter.Credit{}
			}
			addLaneDemand(demandByEndpoint, names, [scheduler.TierCount]scheduler.Demand{2: test.demand})
			for _, name := range names {
				assert.Equal(t, demandByEndpoint[name][2], test.want)
			}
		})
	}
}
