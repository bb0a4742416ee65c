package simulator_test

import (
	"testing"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/lab/simulator"
	"github.com/oleanderpick/oleanderpick/pkg/autoscaler"
)

func TestTrialScaling(t *testing.T) {
	for _, scenario := range simulator.ScaledScenarios() {
		for name, scaler := range map[string]simulator.Scaler{"fixed": nil, "ours": autoscaler.New(autoscaler.DefaultSettings()), "reactive": simulator.ReactiveScaler(), "oracle": simulator.OracleScaler(scenario)} {
			start := time.Now()
			t.Log(scenario.Name, name, simulator.RunScaled(scenario, scaler, 1), time.Since(start))
		}
	}
}
