package comparer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/controller"
	"github.com/oleanderpick/oleanderpick/pkg/balancer"
)

func newEndpoint(name, dataCentre string) balancer.Endpoint {
	return balancer.Endpoint{Name: name, Service: "pool", DataCentre: dataCentre, Models: []string{"general"}, Slots: 4}
}

func TestBaselinePickersChooseEndpointsInExpectedOrder(t *testing.T) {
	now := time.Unix(0, 0)
	endpoints := []balancer.Endpoint{newEndpoint("a", "north"), newEndpoint("b", "south"), newEndpoint("c", "north")}
	recordLoads := func(p controller.Picker) {
		p.RecordLoad(now, "a", balancer.LoadReport{Running: 3})
		p.RecordLoad(now, "b", balancer.LoadReport{Running: 1, Waiting: 1})
		p.RecordLoad(now, "c", balancer.LoadReport{Running: 2})
	}
	for _, test := range []struct {
		name          string
		picker        controller.Picker
		prepare       func(controller.Picker)
		request       balancer.Request
		fullEndpoints string
		want          string // endpoints of four picks; capitals: in another data centre, -: none
	}{
		{name: "round robin", picker: newRoundRobin("north", nil), want: "aBca"},
		{name: "round robin ignores load", picker: newRoundRobin("north", nil), prepare: recordLoads, want: "aBca"},
		{name: "round robin skips full endpoints", picker: newRoundRobin("north", nil), fullEndpoints: "b", want: "acac"},
		{name: "round robin avoids tried endpoints", picker: newRoundRobin("south", nil), request: balancer.Request{TriedEndpoints: []string{"a", "b"}}, want: "CCCC"},
		{name: "tried endpoints if no other has capacity", picker: newRoundRobin("south", nil),
			request: balancer.Request{TriedEndpoints: []string{"a", "b", "c"}}, fullEndpoints: "ac", want: "bbbb"},
		{name: "no endpoint has capacity", picker: newRoundRobin("north", nil), fullEndpoints: "abc", want: "----"},
		{name: "no endpoint has the model", picker: newRoundRobin("north", nil), request: balancer.Request{Model: "other"}, want: "----"},
		{name: "leaving endpoint gets no requests", picker: newRoundRobin("north", nil), prepare: func(p controller.Picker) { p.SetLeaving(now, "a") }, want: "BcBc"},
		{name: "endpoints of equal load take turns", picker: newLeastLoaded("north", nil), want: "aBca"},
		{name: "least loaded, equal ones in turn", picker: newLeastLoaded("north", nil), prepare: recordLoads, want: "BcBc"},
		{name: "least loaded endpoints are full", picker: newLeastLoaded("north", nil), prepare: recordLoads, fullEndpoints: "bc", want: "aaaa"},
		{name: "least loaded endpoints were tried", picker: newLeastLoaded("north", nil), prepare: recordLoads,
			request: balancer.Request{TriedEndpoints: []string{"b", "c"}}, want: "aaaa"},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.picker.Configure(now, endpoints)
			if test.prepare != nil {
				test.prepare(test.picker)
			}
			test.request.Service = "pool"
			if test.request.Model == "" {
				test.request.Model = "general"
			}
			assert.Equal(t, pickFourTimes(test.picker, now, test.request, test.fullEndpoints), test.want)
		})
	}
}

// pickFourTimes returns the endpoints of four picks, as letters, when the given endpoints
// have no capacity.
func pickFourTimes(picker controller.Picker, now time.Time, request balancer.Request, fullEndpoints string) string {
	picked := ""
	for range 4 {
		choice, ok := picker.Pick(now, request, func(name string, _, _ int) bool {
			for _, letter := range fullEndpoints {
				if string(letter) == name {
					return false
				}
			}

			return true
		})
		switch {
		case !ok:
			picked += "-"
		case choice.CrossDataCentre:
			picked += string(choice.Endpoint[0] - 'a' + 'A')
		default:
			picked += choice.Endpoint
		}
	}

	return picked
}

func TestEveryPolicyHasItsVariant(t *testing.T) {
	settings := Settings{Policies: AllPolicies(), ReportLag: time.Second, Instances: 7}
	assert.NilError(t, settings.CheckPolicies())
	for _, test := range []struct {
		name                                   string
		reservesLimit, firstCome, knownLengths bool
		reportLag                              time.Duration
		instances                              int
	}{
		{RoundRobinPolicy, true, true, false, time.Second, 7},
		{LeastLoadedPolicy, true, true, false, time.Second, 7},
		{RouterPolicy, false, false, false, time.Second, 7},
		{KnownLengthsPolicy, false, false, true, time.Second, 7},
		{NoReportLagPolicy, false, false, false, 0, 7},
		{SingleInstancePolicy, false, false, false, time.Second, 1},
	} {
		variant, err := newVariant(test.name, settings, func(string) {})
		assert.NilError(t, err)
		policy := variant.options.Policy
		got := []any{policy.ReserveTokenLimit, policy.FirstComeFirstServed, policy.UseKnownLengths, variant.options.AcceptKnownLengths, variant.reportLag, variant.instances}
		assert.DeepEqual(t, got, []any{test.reservesLimit, test.firstCome, test.knownLengths, test.knownLengths, test.reportLag, test.instances})
	}
	settings.Policies = []string{"best"}
	assert.ErrorContains(t, settings.CheckPolicies(), `no policy "best"`)
}
