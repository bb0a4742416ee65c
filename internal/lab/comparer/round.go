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
	workspaces = 6
	// movedAfter is when traffic has to be off a slow engine.
	movedAfter = 2 * time.Second
	// floorParts is the part of its deadline that a class's floor is.
	floorParts = 2
)

// Round is what one policy did with one round's arrivals.
type Round struct {
	Seed uint64 `json:"seed"`
	// Callers is what the callers saw.
	Callers loader.Report `json:"callers"`
	// Goodput is tokens of answers within target, for each second of
	// arrivals.
	Goodput float64 `json:"goodput"`
	// Made are tokens the engines made, Received those that reached callers.
	Made     int `json:"made"`
	Received int `json:"received"`
	// Preempted, Recomputed and Lost are the engines' counts.
	Preempted  int `json:"preempted"`
	Recomputed int `json:"recomputed"`
	Lost       int `json:"lost"`
	// Remote of Placements left their router's data centre.
	Remote     int64 `json:"remote"`
	Placements int64 `json:"placements"`
	// Ejected are the endpoints that the router's own balancer ejected.
	Ejected []string `json:"ejected"`
	// SlowShare is the slow engine's accepted requests, from two seconds
	// after it became slow to the end of the arrivals, over the mean of the
	// other engines; negative when none is slow.
	SlowShare float64 `json:"slowShare"`
	// Valid is false when the loader was late.
	Valid bool `json:"valid"`
}

// Top returns the top tier's attainment.
func (r Round) Top() float64 {
	return r.Callers.Classes[0].Attainment()
}

// Wasted returns the share of the tokens made that reached no caller.
func (r Round) Wasted() float64 {
	if r.Made == 0 {
		return 0
	}

	return max(0, 1-float64(r.Received)/float64(r.Made))
}

// unfinished returns the share of the tokens made that are of no whole answer.
func (r Round) unfinished() float64 {
	if r.Made == 0 {
		return 0
	}

	return max(0, 1-float64(r.Callers.Tokens())/float64(r.Made))
}

func (s Settings) mix() loader.Mix {
	mix := Mix(s.Reserve)
	mix.Workspaces = nil
	for _, name := range workspaceNames() {
		mix.Workspaces = append(mix.Workspaces, loader.Workspace{Token: deployer.Token(name), Share: 1})
	}
	if s.Scenario.mix != nil {
		mix = s.Scenario.mix(mix, s.Duration)
	}

	return mix
}

func workspaceNames() []string {
	names := make([]string, workspaces)
	for i := range names {
		names[i] = "workspace-" + string(rune('a'+i))
	}

	return names
}

// classes declares floors shorter than the deadlines.
func classes(mix loader.Mix) []declarer.ServiceClass {
	declared := demonstrator.Classes(mix)
	for i := range declared {
		declared[i].GuaranteedWait /= floorParts
	}

	return declared
}

// run runs one round of one policy.
func run(ctx context.Context, settings Settings, policy string, seed uint64) (Round, error) {
	notes := &notes{ejected: map[string]bool{}}
	chosen, err := variantOf(policy, settings, notes.eject)
	if err != nil {
		return Round{}, err
	}
	mix := settings.mix()
	deployment, err := deployer.New(deployer.Plan{
		DataCentres: []string{"north", "south"},
		Engines:     engines,
		Routers:     chosen.instances,
		Engine:      engineSettings(chosen.lag, seed),
		Uneven:      settings.Scenario.uneven,
		Classes:     classes(mix),
		Workspaces:  workspaceNames(),
		Options:     chosen.options,
	}, settings.Logger)
	if err != nil {
		return Round{}, err
	}
	defer deployment.Close()

	trial := trial{settings: settings, deployment: deployment, known: chosen.options.AcceptKnownLengths, mix: mix}
	if settings.Fault != nil {
		deployment.Engines[faultEngine].SetFaults(*settings.Fault)
	}

	return trial.run(ctx, seed, notes)
}

// trial is a deployment that is given a round's arrivals.
type trial struct {
	settings   Settings
	deployment *deployer.Deployment
	known      bool
	mix        loader.Mix
}

func (t trial) run(ctx context.Context, seed uint64, notes *notes) (Round, error) {
	quiet := t.mix
	quiet.Bursts = nil
	capacity := t.settings.Capacity().Requests
	if _, err := t.load(ctx, quiet.WithRate(warmupOverload*capacity), ^seed, warmup); err != nil {
		return Round{}, err
	}
	notes.clear()
	before := t.count()
	stop := t.strike(ctx)
	share := t.watchSlow()
	callers, err := t.load(ctx, t.mix.WithRate(t.settings.Overload*capacity), seed, t.settings.Duration)
	stop()
	if err != nil {
		return Round{}, err
	}

	return t.round(seed, callers, before, share(), notes), nil
}

func (t trial) load(ctx context.Context, mix loader.Mix, seed uint64, duration time.Duration) (loader.Report, error) {
	addresses := make([]string, 0, len(t.deployment.Routers))
	for _, router := range t.deployment.Routers {
		addresses = append(addresses, router.URL)
	}
	load, err := loader.New(loader.Settings{
		Routers:      addresses,
		Mix:          mix,
		Arrivals:     loader.Arrivals(seed, mix, duration),
		Model:        deployer.Model,
		KnownLengths: t.known,
	})
	if err != nil {
		return loader.Report{}, err
	}

	return load.Run(ctx), nil
}

// strike begins what the scenario does; the returned function ends it.
func (t trial) strike(ctx context.Context) (stop func()) {
	if t.settings.Scenario.strike == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var striking sync.WaitGroup
	striking.Go(func() { t.settings.Scenario.strike(ctx, t.deployment, t.settings.Duration) })

	return func() {
		cancel()
		striking.Wait()
	}
}

// counts are the engines' and routers' counters.
type counts struct {
	made, preempted, recomputed, lost int
	remote, placements                int64
}

func (t trial) count() counts {
	var sum counts
	for _, engine := range t.deployment.Engines {
		audit := engine.Audit()
		sum.made += audit.GeneratedTokens
		sum.preempted += audit.Preemptions
		sum.recomputed += audit.RecomputedTokens
		sum.lost += audit.LostTokens
	}
	for _, router := range t.deployment.Routers {
		sum.remote += router.Meter().CounterValue("placements.remote")
		sum.placements += router.Meter().CounterValue("placements.all")
	}

	return sum
}

func (t trial) round(seed uint64, callers loader.Report, before counts, share float64, notes *notes) Round {
	after := t.count()
	round := Round{
		Seed:       seed,
		Callers:    callers,
		Made:       after.made - before.made,
		Preempted:  after.preempted - before.preempted,
		Recomputed: after.recomputed - before.recomputed,
		Lost:       after.lost - before.lost,
		Remote:     after.remote - before.remote,
		Placements: after.placements - before.placements,
		Ejected:    notes.list(),
		SlowShare:  share,
		Valid:      callers.Measured(),
	}
	good := 0
	for _, class := range callers.Classes {
		good += class.Goodput
		round.Received += class.Received
	}
	round.Goodput = float64(good) / t.settings.Duration.Seconds()

	return round
}
