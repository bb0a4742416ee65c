package comparer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/controller"
	"github.com/oleanderpick/oleanderpick/pkg/balancer"
)

func endpoint(name, place string) balancer.Endpoint {
	return balancer.Endpoint{Name: name, Service: "pool", DataCentre: place, Models: []string{"general"}, Slots: 4}
}

func TestPickers(t *testing.T) {
	now := time.Unix(0, 0)
	endpoints := []balancer.Endpoint{endpoint("a", "north"), endpoint("b", "south"), endpoint("c", "north")}
	loaded := func(p controller.Picker) {
		p.RecordLoad(now, "a", balancer.LoadReport{Running: 3})
		p.RecordLoad(now, "b", balancer.LoadReport{Running: 1, Waiting: 1})
		p.RecordLoad(now, "c", balancer.LoadReport{Running: 2})
	}
	for _, test := range []struct {
		name   string
		picker controller.Picker
		before func(controller.Picker)
		ask    balancer.Request
		full   string
		want   string // The endpoints of four picks; capitals are remote, - is none.
	}{
		{name: "turns", picker: newRoundRobin("north", nil), want: "aBca"},
		{name: "turns whatever the load", picker: newRoundRobin("north", nil), before: loaded, want: "aBca"},
		{name: "turns pass over the full", picker: newRoundRobin("north", nil), full: "b", want: "acac"},
		{name: "turns avoid the tried", picker: newRoundRobin("south", nil), ask: balancer.Request{TriedEndpoints: []string{"a", "b"}}, want: "CCCC"},
		{name: "tried ones if no other has room", picker: newRoundRobin("south", nil),
			ask: balancer.Request{TriedEndpoints: []string{"a", "b", "c"}}, full: "ac", want: "bbbb"},
		{name: "none has room", picker: newRoundRobin("north", nil), full: "abc", want: "----"},
		{name: "no such model", picker: newRoundRobin("north", nil), ask: balancer.Request{Model: "other"}, want: "----"},
		{name: "leaving", picker: newRoundRobin("north", nil), before: func(p controller.Picker) { p.SetLeaving(now, "a") }, want: "BcBc"},
		{name: "equal loads take turns", picker: newLeastLoaded("north", nil), want: "aBca"},
		{name: "least reported, ties in turn", picker: newLeastLoaded("north", nil), before: loaded, want: "BcBc"},
		{name: "least reported is full", picker: newLeastLoaded("north", nil), before: loaded, full: "bc", want: "aaaa"},
		{name: "least reported was tried", picker: newLeastLoaded("north", nil), before: loaded,
			ask: balancer.Request{TriedEndpoints: []string{"b", "c"}}, want: "aaaa"},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.picker.Configure(now, endpoints)
			if test.before != nil {
				test.before(test.picker)
			}
			test.ask.Service = "pool"
			if test.ask.Model == "" {
				test.ask.Model = "general"
			}
			assert.Equal(t, picks(test.picker, now, test.ask, test.full), test.want)
		})
	}
}

func picks(picker controller.Picker, now time.Time, ask balancer.Request, full string) string {
	got := ""
	for range 4 {
		choice, ok := picker.Pick(now, ask, func(name string, _, _ int) bool {
			for _, one := range full {
				if string(one) == name {
					return false
				}
			}

			return true
		})
		switch {
		case !ok:
			got += "-"
		case choice.CrossDataCentre:
			got += string(choice.Endpoint[0] - 'a' + 'A')
		default:
			got += choice.Endpoint
		}
	}

	return got
}

func TestEveryPolicyHasAPicker(t *testing.T) {
	settings := Settings{Policies: AllPolicies(), Lag: time.Second, Instances: 7}
	assert.NilError(t, settings.CheckPolicies())
	for _, test := range []struct {
		name                string
		limit, first, known bool
		lag                 time.Duration
		instances           int
	}{
		{Naive, true, true, false, time.Second, 7},
		{LeastLoaded, true, true, false, time.Second, 7},
		{Ours, false, false, false, time.Second, 7},
		{Known, false, false, true, time.Second, 7},
		{NoLag, false, false, false, 0, 7},
		{One, false, false, false, time.Second, 1},
	} {
		chosen, err := variantOf(test.name, settings, func(string) {})
		assert.NilError(t, err)
		policy := chosen.options.Policy
		got := []any{policy.ReserveTokenLimit, policy.FirstComeFirstServed, policy.UseKnownLengths, chosen.options.AcceptKnownLengths, chosen.lag, chosen.instances}
		assert.DeepEqual(t, got, []any{test.limit, test.first, test.known, test.known, test.lag, test.instances})
	}
	settings.Policies = []string{"best"}
	assert.ErrorContains(t, settings.CheckPolicies(), `no policy "best"`)
}
