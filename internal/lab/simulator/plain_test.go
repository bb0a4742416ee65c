package simulator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/lab/simulator"
)

// Guards against calls of a plain service with few slots that wait at a slow endpoint while others are
// free, and against statements that make them later than before where all endpoints are alike.
func TestPlainCallsAvoidSlowEndpoints(t *testing.T) {
	passing := simulator.Speed{SlowFraction: 0.15, Slowness: 2.5, SlowTime: 600 * time.Millisecond, States: simulator.TruePace}
	slow := simulator.Speed{SlowDataCentreSpeed: 0.55, States: simulator.TransientPace}
	for _, test := range []struct {
		name  string
		speed simulator.Speed
		rate  float64
	}{{"even", simulator.Speed{States: simulator.TruePace}, 400}, {"passing", passing, 95}, {"passing, many calls", passing, 500}, {"slow, not stated", slow, 500}} {
		late, mean := map[string]int{}, map[string]time.Duration{}
		calls := 0
		for _, policy := range []simulator.Policy{simulator.RouterPlacer(), simulator.RouterBeforePace(), simulator.RoundRobin()} {
			outcome := simulator.RunPlain(test.speed, policy, test.rate, seed)
			t.Logf("%s, %s: %s", test.name, policy.Name, outcome)
			late[policy.Name], mean[policy.Name], calls = outcome.Late, outcome.MeanTime, outcome.Calls
		}
		assert.Check(t, late["ours"] <= late["ours before"]+calls/200)
		assert.Check(t, mean["ours"] <= mean["ours before"]+mean["ours before"]/50)
	}
}
