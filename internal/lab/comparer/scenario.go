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
	crashEvery   = 10 * time.Second
	crashTime    = time.Second
	slowFactor   = 5
	staleLag     = 2 * time.Second
	burstFactor  = 4
	longerFactor = 3
	// asksFactor and asksParts make one workspace ask some 200 times at once.
	asksFactor = 30
	asksParts  = 10
	// faultEngine and faultRouter are what a scenario's fault strikes.
	faultEngine = 1
	faultRouter = 1
)

// Scenario is what is done to a deployment and its callers.
type Scenario struct {
	Name string
	// mix changes the requests.
	mix func(mix loader.Mix, duration time.Duration) loader.Mix
	// uneven are engines' speeds.
	uneven map[int]float64
	lag    time.Duration
	// strike does what happens during the arrivals and returns when they end.
	strike func(ctx context.Context, deployment *deployer.Deployment, duration time.Duration)
}

// Scenarios returns every scenario.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady"},
		{Name: "burst", mix: burst},
		{Name: "long-outputs", mix: longOutputs},
		{Name: "parallel-asks", mix: parallelAsks},
		{Name: "uneven", uneven: map[int]float64{0: 0.5, 1: 0.5, 2: 2}},
		{Name: "slow", strike: slow},
		{Name: "crashing", strike: crashing},
		{Name: "stale", lag: staleLag},
		{Name: "far", strike: far},
		{Name: "router-gone", strike: routerGone},
	}
}

// ScenarioByName returns a scenario by its name.
func ScenarioByName(name string) (Scenario, error) {
	for _, scenario := range Scenarios() {
		if scenario.Name == name {
			return scenario, nil
		}
	}

	return Scenario{}, errors.Errorf("no scenario %q", name)
}

func burst(mix loader.Mix, duration time.Duration) loader.Mix {
	mix.Bursts = []loader.Burst{{Class: mix.Classes[0].Name, From: duration / 3, Until: 2 * duration / 3, Factor: burstFactor}}

	return mix
}

func longOutputs(mix loader.Mix, _ time.Duration) loader.Mix {
	mix.Classes = append([]loader.Class(nil), mix.Classes...)
	for i := range mix.Classes[2:] {
		mix.Classes[2+i].Median *= longerFactor
	}

	return mix
}

func parallelAsks(mix loader.Mix, duration time.Duration) loader.Mix {
	mix.Bursts = []loader.Burst{{
		Workspace: mix.Workspaces[0].Token,
		From:      duration / 3,
		Until:     duration/3 + duration/asksParts,
		Factor:    asksFactor,
	}}

	return mix
}

// wait reports whether the context held for the time.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func slowAfter(duration time.Duration) time.Duration { return duration / 3 }

func slow(ctx context.Context, deployment *deployer.Deployment, duration time.Duration) {
	if wait(ctx, slowAfter(duration)) {
		deployment.Engines[faultEngine].SetFaults(emulator.Faults{Slow: slowFactor})
	}
}

// crashing crashes an engine every ten seconds, first after five.
func crashing(ctx context.Context, deployment *deployer.Deployment, duration time.Duration) {
	for at := crashEvery / 2; at < duration; at += crashEvery {
		if !wait(ctx, min(at, crashEvery)) {
			return
		}
		deployment.Engines[faultEngine].SetFaults(emulator.Faults{Crash: crashTime})
	}
}

// far takes a data centre's routers and engines away.
func far(ctx context.Context, deployment *deployer.Deployment, duration time.Duration) {
	if !wait(ctx, duration/3) {
		return
	}
	places := len(deployment.Plan.DataCentres)
	for i := places - 1; i < len(deployment.Engines); i += places {
		deployment.Engines[i].SetFaults(emulator.Faults{Crash: time.Minute})
	}
	for i := places - 1; i < len(deployment.Routers); i += places {
		deployment.Routers[i].Kill()
	}
}

func routerGone(ctx context.Context, deployment *deployer.Deployment, duration time.Duration) {
	if wait(ctx, duration/2) && len(deployment.Routers) > 1 {
		deployment.Routers[faultRouter].Kill()
	}
}
