package isolator_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against draws of TestPoisonBlockStopsWhileSoundRequestsRun that were found by other
// seeds, some with more blocks and mass deaths than it draws.
func TestFoundDrawsKeepBothRules(t *testing.T) {
	for n, s := range []scenario{
		{seed: 7823276726927300739, poisonRates: []float64{10, 10}, maxRuns: 1, silent: 1, singleDeaths: 5, massDeaths: 2, restarts: 2, lateNames: 1},
		{seed: 10876719805326227988, poisonRates: []float64{10, 0.3}, maxRuns: 2, oneSees: 1, silent: 1, newsLoss: 0.1, massDeaths: 2, fleetRestarts: 1},
		{seed: 14320997293114993165, poisonRates: []float64{10}, maxRuns: 2, silent: 1, singleDeaths: 5, massDeaths: 1, restarts: 1, cuts: 2, fleetRestarts: 1, sparse: 40 * time.Minute},
		{seed: 2918272426598096099, poisonRates: []float64{1, 1, 10}, maxRuns: 2, oneSees: 1, silent: 1, newsLoss: 0.5, singleDeaths: 5, massDeaths: 3, cuts: 2, lateNames: 2, fleetRestarts: 1},
		{seed: 11230951193498856332, poisonRates: []float64{10, 10, 3}, maxRuns: 1, oneSees: 0.3, silent: 1, newsLoss: 0.1, singleDeaths: 5, massDeaths: 4, cuts: 2, lateNames: 1, fleetRestarts: 1, sparse: 40 * time.Minute},
	} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			s.instanceCount, s.endpointCount, s.soundRate = 7, 12, 60
			f := newFleet(s, newIsolating)
			f.play()
			for p := range f.crashes {
				assert.Check(t, f.arrivalsAfterFifthCrash(p) <= 3, "%d requests with block %d after its fifth crash", f.arrivalsAfterFifthCrash(p), p)
			}
			begun, block := f.leastBegun()
			assert.Check(t, begun >= 0.5, "%.2f of the sound requests with block %d", begun, block)
		})
	}
}
