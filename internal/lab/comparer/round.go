package comparer

import (
	"context"
	"sync"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/lab/demonstrator"
	"github.com/oleanderpick/oleanderpick/internal/lab/deployer"
	"github.com/oleanderpick/oleanderpick/internal/lab/loader"
	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

const (
	workspaceCount = 6
	// slowEngineGracePeriod is how long traffic may take to move away from an engine
	// that became slow.
	slowEngineGracePeriod = 2 * time.Second
	// guaranteedWaitDivisor gives a class's guaranteed wait as a part of its deadline.
	guaranteedWaitDivisor = 2
)

// RoundResult is what was measured in one round of one policy, without the warm-up.
type RoundResult struct {
	Seed uint64 `json:"seed"`
	// CallerReport is the loader's report of the answers that callers received.
	CallerReport loader.Report `json:"callers"`
	// Goodput is the tokens of answers within target, per second of arrivals.
	Goodput float64 `json:"goodput"`
	// GeneratedTokens counts tokens that engines generated, ReceivedTokens those that
	// reached callers.
	GeneratedTokens int `json:"made"`
	ReceivedTokens  int `json:"received"`
	// The engines count sequences preempted for others, tokens computed again after a
	// preemption, and tokens generated for sequences that a crash ended.
	Preemptions      int `json:"preempted"`
	RecomputedTokens int `json:"recomputed"`
	LostTokens       int `json:"lost"`
	// RemotePlacements counts those of all Placements that chose an engine in another
	// data centre than the router's.
	RemotePlacements int64 `json:"remote"`
	Placements       int64 `json:"placements"`
	// EjectedEndpoints are the names of the endpoints that a router's balancer ejected.
	EjectedEndpoints []string `json:"ejected"`
	// SlowEngineRatio is the number of requests that the slow engine accepted, from two
	// seconds after it became slow to the end of the arrivals, relative to the mean of
	// the other engines. It is negative if it was not measured.
	SlowEngineRatio float64 `json:"slowShare"`
	// Valid is false if the loader sent requests too late for the round to count as a
	// measurement.
	Valid bool `json:"valid"`
}

// TopTierWithinTarget returns the fraction of the top tier's requests that were answered
// within target.
func (r RoundResult) TopTierWithinTarget() float64 {
	return r.CallerReport.Classes[0].TargetAttainment()
}

// WastedFraction returns the fraction of generated tokens that reached no caller.
func (r RoundResult) WastedFraction() float64 {
	if r.GeneratedTokens == 0 {
		return 0
	}

	return max(0, 1-float64(r.ReceivedTokens)/float64(r.GeneratedTokens))
}

// unfinishedFraction returns the fraction of generated tokens that belong to no whole
// answer.
func (r RoundResult) unfinishedFraction() float64 {
	if r.GeneratedTokens == 0 {
		return 0
	}

	return max(0, 1-float64(r.CallerReport.CompleteAnswerTokens())/float64(r.GeneratedTokens))
}

// requestMix returns the mix of requests that the scenario sends, from all workspaces.
func (s Settings) requestMix() loader.RequestMix {
	mix := Mix(s.ReserveFactor)
	mix.Workspaces = nil
	for _, name := range workspaceNames() {
		mix.Workspaces = append(mix.Workspaces, loader.Workspace{APIKey: deployer.BearerToken(name), Weight: 1})
	}
	if s.Scenario.changeMix != nil {
		mix = s.Scenario.changeMix(mix, s.Duration)
	}

	return mix
}

func workspaceNames() []string {
	names := make([]string, workspaceCount)
	for i := range names {
		names[i] = "workspace-" + string(rune('a'+i))
	}

	return names
}

// serviceClasses returns the service classes of a mix, with guaranteed waits shorter than
// the deadlines.
func serviceClasses(mix loader.RequestMix) []declarer.ServiceClass {
	classes := demonstrator.Classes(mix)
	for i := range classes {
		classes[i].GuaranteedWait /= guaranteedWaitDivisor
	}

	return classes
}

// runRound runs one round of one policy on a deployment of its own.
func runRound(ctx context.Context, settings Settings, policy string, seed uint64) (RoundResult, error) {
	ejections := &ejectionLog{endpoints: map[string]bool{}}
	variant, err := newVariant(policy, settings, ejections.record)
	if err != nil {
		return RoundResult{}, err
	}
	mix := settings.requestMix()
	deployment, err := deployer.New(deployer.Plan{
		DataCentres:        []string{"north", "south"},
		EngineCount:        engineCount,
		RouterCount:        variant.instances,
		EngineSettings:     engineSettings(variant.reportLag, seed),
		EngineSpeedFactors: settings.Scenario.engineSpeeds,
		ServiceClasses:     serviceClasses(mix),
		Workspaces:         workspaceNames(),
		RouterOptions:      variant.options,
	}, settings.Logger)
	if err != nil {
		return RoundResult{}, err
	}
	defer deployment.Close()

	r := roundRunner{settings: settings, deployment: deployment, knownLengths: variant.options.AcceptKnownLengths, mix: mix}
	if settings.EngineFaults != nil {
		deployment.Engines[faultyEngine].SetFaults(*settings.EngineFaults)
	}

	return r.run(ctx, seed, ejections)
}

// roundRunner sends a round's requests to a deployment and measures the results.
type roundRunner struct {
	settings     Settings
	deployment   *deployer.Deployment
	knownLengths bool
	mix          loader.RequestMix
}

// run sends the warm-up's requests, then the round's, while the scenario's faults occur.
func (r roundRunner) run(ctx context.Context, seed uint64, ejections *ejectionLog) (RoundResult, error) {
	warmupMix := r.mix
	warmupMix.Bursts = nil
	capacity := r.settings.Capacity().RequestsPerSecond
	if _, err := r.sendRequests(ctx, warmupMix.WithArrivalRate(warmupOverload*capacity), ^seed, warmupDuration); err != nil {
		return RoundResult{}, err
	}
	ejections.clear()
	before := r.readCounters()
	stop := r.startFaults(ctx)
	slowEngineRatio := r.measureSlowEngine()
	callerReport, err := r.sendRequests(ctx, r.mix.WithArrivalRate(r.settings.Overload*capacity), seed, r.settings.Duration)
	stop()
	if err != nil {
		return RoundResult{}, err
	}

	return r.newRoundResult(seed, callerReport, before, slowEngineRatio(), ejections), nil
}

// sendRequests sends the arrivals of a mix and returns when all are answered.
func (r roundRunner) sendRequests(ctx context.Context, mix loader.RequestMix, seed uint64, duration time.Duration) (loader.Report, error) {
	addresses := make([]string, 0, len(r.deployment.Routers))
	for _, router := range r.deployment.Routers {
		addresses = append(addresses, router.URL)
	}
	loadGenerator, err := loader.New(loader.Settings{
		RouterURLs:       addresses,
		RequestMix:       mix,
		Arrivals:         loader.GenerateArrivals(seed, mix, duration),
		Model:            deployer.ModelName,
		SendKnownLengths: r.knownLengths,
	})
	if err != nil {
		return loader.Report{}, err
	}

	return loadGenerator.Run(ctx), nil
}

// startFaults starts the scenario's faults. The returned function stops them and waits for
// their end.
func (r roundRunner) startFaults(ctx context.Context) (stop func()) {
	if r.settings.Scenario.injectFaults == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var faults sync.WaitGroup
	faults.Go(func() { r.settings.Scenario.injectFaults(ctx, r.deployment, r.settings.Duration) })

	return func() {
		cancel()
		faults.Wait()
	}
}

// counters are sums of the counters of all engines and of all routers.
type counters struct {
	generatedTokens, preemptions, recomputedTokens, lostTokens int
	remotePlacements, placements                               int64
}

func (r roundRunner) readCounters() counters {
	var sum counters
	for _, engine := range r.deployment.Engines {
		audit := engine.Audit()
		sum.generatedTokens += audit.GeneratedTokens
		sum.preemptions += audit.Preemptions
		sum.recomputedTokens += audit.RecomputedTokens
		sum.lostTokens += audit.LostTokens
	}
	for _, router := range r.deployment.Routers {
		sum.remotePlacements += router.Meter().CounterValue("placements.remote")
		sum.placements += router.Meter().CounterValue("placements.all")
	}

	return sum
}

// newRoundResult returns the result of a round from the loader's report and from what the
// counters grew by since before.
func (r roundRunner) newRoundResult(seed uint64, callerReport loader.Report, before counters, slowEngineRatio float64, ejections *ejectionLog) RoundResult {
	after := r.readCounters()
	result := RoundResult{
		Seed:             seed,
		CallerReport:     callerReport,
		GeneratedTokens:  after.generatedTokens - before.generatedTokens,
		Preemptions:      after.preemptions - before.preemptions,
		RecomputedTokens: after.recomputedTokens - before.recomputedTokens,
		LostTokens:       after.lostTokens - before.lostTokens,
		RemotePlacements: after.remotePlacements - before.remotePlacements,
		Placements:       after.placements - before.placements,
		EjectedEndpoints: ejections.sorted(),
		SlowEngineRatio:  slowEngineRatio,
		Valid:            callerReport.IsValidMeasurement(),
	}
	goodputTokens := 0
	for _, class := range callerReport.Classes {
		goodputTokens += class.GoodputTokens
		result.ReceivedTokens += class.ReceivedTokens
	}
	result.Goodput = float64(goodputTokens) / r.settings.Duration.Seconds()

	return result
}
