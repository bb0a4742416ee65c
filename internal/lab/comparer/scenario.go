package comparer

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/lab/deployer"
	"github.com/oleanderpick/oleanderpick/internal/lab/emulator"
	"github.com/oleanderpick/oleanderpick/internal/lab/loader"
)

const (
	crashInterval    = 10 * time.Second // time between two crashes of an engine
	crashDowntime    = time.Second
	slowdownFactor   = 5               // multiplies the step time of the slow engine
	staleReportLag   = 2 * time.Second // age of load reports in the scenario "stale"
	burstFactor      = 4               // multiplies the arrivals of the first class
	longOutputFactor = 3               // multiplies the median answer length
	// parallelBurstFactor multiplies the arrivals of one workspace during
	// 1/parallelBurstDivisor of the round, about 200 requests at once.
	parallelBurstFactor  = 30
	parallelBurstDivisor = 10
	// faultyEngine and faultyRouter are the indexes of those that a fault affects.
	faultyEngine = 1
	faultyRouter = 1
)

// Scenario describes the requests, engines and faults of a comparison.
type Scenario struct {
	Name string
	// changeMix returns the changed mix for a round of the given duration; nil: no change.
	changeMix func(mix loader.RequestMix, duration time.Duration) loader.RequestMix
	// engineSpeeds are relative speeds by engine index. The others have speed 1.
	engineSpeeds map[int]float64
	// reportLag is the age of a load report when a router gets it.
	reportLag time.Duration
	// injectFaults causes the faults while requests arrive. It returns early when the
	// context ends; nil: no faults.
	injectFaults func(ctx context.Context, deployment *deployer.Deployment, duration time.Duration)
}

// Scenarios returns every scenario.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady"},
		{Name: "burst", changeMix: burstMix},
		{Name: "long-outputs", changeMix: longOutputsMix},
		{Name: "parallel-asks", changeMix: parallelRequestsMix},
		{Name: "uneven", engineSpeeds: map[int]float64{0: 0.5, 1: 0.5, 2: 2}},
		{Name: "slow", injectFaults: slowDownEngine},
		{Name: "crashing", injectFaults: crashRepeatedly},
		{Name: "stale", reportLag: staleReportLag},
		{Name: "far", injectFaults: loseDataCentre},
		{Name: "router-gone", injectFaults: killRouter},
	}
}

// ScenarioByName returns a scenario by its name, or an error if there is none.
func ScenarioByName(name string) (Scenario, error) {
	for _, scenario := range Scenarios() {
		if scenario.Name == name {
			return scenario, nil
		}
	}

	return Scenario{}, errors.Errorf("no scenario %q", name)
}

// burstMix multiplies the arrivals of the first class in the middle third of a round.
func burstMix(mix loader.RequestMix, duration time.Duration) loader.RequestMix {
	mix.Bursts = []loader.Burst{{ClassName: mix.Classes[0].Name, StartOffset: duration / 3, EndOffset: 2 * duration / 3, RateFactor: burstFactor}}

	return mix
}

// longOutputsMix lengthens the answers of all classes but the first two.
func longOutputsMix(mix loader.RequestMix, _ time.Duration) loader.RequestMix {
	mix.Classes = append([]loader.Class(nil), mix.Classes...)
	for i := range mix.Classes[2:] {
		mix.Classes[2+i].MedianAnswerTokens *= longOutputFactor
	}

	return mix
}

// parallelRequestsMix makes one workspace send many requests at once, a third into the
// round.
func parallelRequestsMix(mix loader.RequestMix, duration time.Duration) loader.RequestMix {
	mix.Bursts = []loader.Burst{{
		WorkspaceAPIKey: mix.Workspaces[0].APIKey,
		StartOffset:     duration / 3,
		EndOffset:       duration/3 + duration/parallelBurstDivisor,
		RateFactor:      parallelBurstFactor,
	}}

	return mix
}

// sleep waits for a duration and returns false if the context ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// slowdownStart returns when the slow engine becomes slow, from the start of a round.
func slowdownStart(duration time.Duration) time.Duration { return duration / 3 }

// slowDownEngine makes one engine slow for the rest of the round.
func slowDownEngine(ctx context.Context, deployment *deployer.Deployment, duration time.Duration) {
	if sleep(ctx, slowdownStart(duration)) {
		deployment.Engines[faultyEngine].SetFaults(emulator.Faults{Slow: slowdownFactor})
	}
}

// crashRepeatedly crashes one engine every ten seconds, the first time after five.
func crashRepeatedly(ctx context.Context, deployment *deployer.Deployment, duration time.Duration) {
	for at := crashInterval / 2; at < duration; at += crashInterval {
		if !sleep(ctx, min(at, crashInterval)) {
			return
		}
		deployment.Engines[faultyEngine].SetFaults(emulator.Faults{Crash: crashDowntime})
	}
}

// loseDataCentre crashes the engines and kills the routers of the last data centre, a
// third into the round.
func loseDataCentre(ctx context.Context, deployment *deployer.Deployment, duration time.Duration) {
	if !sleep(ctx, duration/3) {
		return
	}
	dataCentres := len(deployment.Plan.DataCentres)
	for i := dataCentres - 1; i < len(deployment.Engines); i += dataCentres {
		deployment.Engines[i].SetFaults(emulator.Faults{Crash: time.Minute})
	}
	for i := dataCentres - 1; i < len(deployment.Routers); i += dataCentres {
		deployment.Routers[i].Kill()
	}
}

// killRouter kills one router halfway through the round, if there are several.
func killRouter(ctx context.Context, deployment *deployer.Deployment, duration time.Duration) {
	if sleep(ctx, duration/2) && len(deployment.Routers) > 1 {
		deployment.Routers[faultyRouter].Kill()
	}
}
