// Package demonstrator runs the demo: a small deployment in one process, real
// traffic over HTTP, one engine and one router lost on the way, and a report.
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/lab/deployer"
	"github.com/oleanderpick/oleanderpick/internal/lab/emulator"
	"github.com/oleanderpick/oleanderpick/internal/lab/loader"
	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

// Settings of a demo. Zero fields take their defaults.
type Settings struct {
	// Duration is how long requests arrive.
	Duration time.Duration
	// Rate is the arrivals a second.
	Rate float64
	// Seed of the arrivals.
	Seed uint64
	// Progress takes a line every second.
	Progress io.Writer
	// Logger takes the routers' logs.
	Logger hclog.Logger
}

const (
	defaultDuration = 9 * time.Second
	defaultRate     = 20
	// shorten divides the standard answers, so that the demo ends soon.
	shorten       = 2
	plainShare    = 0.1
	plainDeadline = 20 * time.Second
	// The engine crashes at a third of the run and stays down for a while;
	// the router is killed at two thirds.
	crashParts = 3
	crashTime  = 2 * time.Second
	victim     = 1

	engines  = 4
	services = 2
	routers  = 3
	slots    = 16
	memory   = 32_000
)

func (s Settings) withDefaults() Settings {
	if s.Duration == 0 {
		s.Duration = defaultDuration
	}
	if s.Rate == 0 {
		s.Rate = defaultRate
	}
	if s.Progress == nil {
		s.Progress = io.Discard
	}
	if s.Logger == nil {
		s.Logger = hclog.NewNullLogger()
	}

	return s
}

// Plan returns the demo's deployment for the classes of a mix.
func Plan(mix loader.Mix) deployer.Plan {
	return deployer.Plan{
		DataCentres: []string{"north", "south"},
		Engines:     engines,
		Services:    services,
		Routers:     routers,
		Engine:      emulator.Settings{Slots: slots, KVTokens: memory},
		Classes:     Classes(mix),
		Workspaces:  []string{"clinic", "spa", "store"},
	}
}

// Classes returns the service classes of a mix, the first one the highest
// tier.
func Classes(mix loader.Mix) []declarer.ServiceClass {
	classes := make([]declarer.ServiceClass, 0, len(mix.Classes))
	for tier, class := range mix.Classes {
		classes = append(classes, declarer.ServiceClass{
			Name:             class.Name,
			Tier:             min(tier, declarer.MaxTier),
			FirstTokenTarget: declarer.Duration(class.Targets.FirstToken),
			TokenGapTarget:   declarer.Duration(class.Targets.BetweenTokens),
			CompletionTarget: declarer.Duration(class.Targets.Whole),
			Deadline:         declarer.Duration(class.Deadline),
			GuaranteedWait:   declarer.Duration(class.Deadline),
			MaxRetryRatio:    declarer.DefaultMaxRetryRatio,
		})
	}

	return classes
}

// shortened returns a mix with shorter answers, and with plain calls.
func shortened(mix loader.Mix) loader.Mix {
	classes := slices.Clone(mix.Classes)
	for i := range classes {
		classes[i].Median /= shorten
	}
	classes = append(classes,
		loader.Class{Name: "booking", Work: loader.Booking, Share: plainShare, Deadline: plainDeadline},
		loader.Class{Name: "quote", Work: loader.Quote, Share: plainShare, Deadline: plainDeadline},
	)
	mix.Classes = classes

	return mix
}

// Run runs the demo.
func Run(ctx context.Context, settings Settings) (Report, error) {
	settings = settings.withDefaults()
	mix := shortened(loader.Standard().WithRate(settings.Rate))
	plan := Plan(mix)
	mix.Workspaces = nil
	for _, name := range plan.Workspaces {
		mix.Workspaces = append(mix.Workspaces, loader.Workspace{Token: deployer.Token(name), Share: 1})
	}

	deployment, err := deployer.New(plan, settings.Logger)
	if err != nil {
		return Report{}, err
	}
	defer deployment.Close()
	fmt.Fprintf(settings.Progress, "started %d engines, %d services and %d routers\n", engines, services, routers)

	addresses := []string{}
	for _, router := range deployment.Routers {
		addresses = append(addresses, router.URL)
	}
	progress := &progress{output: settings.Progress}
	load, err := loader.New(loader.Settings{
		Routers:  addresses,
		Mix:      mix,
		Arrivals: loader.Arrivals(settings.Seed, mix, settings.Duration),
		Model:    deployer.Model,
		Service:  deployer.PlainService,
		Progress: progress.ended,
	})
	if err != nil {
		return Report{}, err
	}

	stop := strike(deployment, settings)
	defer stop()
	callers := load.Run(ctx)

	return newReport(deployment, callers), nil
}

// strike schedules the demo's two faults and returns what calls them off.
func strike(deployment *deployer.Deployment, settings Settings) (stop func()) {
	crash := time.AfterFunc(settings.Duration/crashParts, func() {
		fmt.Fprintln(settings.Progress, "engine", deployer.EngineName(victim), "crashes")
		deployment.Engines[victim].SetFaults(emulator.Faults{Crash: crashTime})
	})
	kill := time.AfterFunc(2*settings.Duration/crashParts, func() {
		fmt.Fprintln(settings.Progress, "router", deployer.RouterName(victim), "is killed")
		deployment.Routers[victim].Kill()
	})

	return func() {
		crash.Stop()
		kill.Stop()
	}
}

// progress prints a line a second.
type progress struct {
	output io.Writer
	last   time.Time
}

func (p *progress) ended(ended, total int) {
	if time.Since(p.last) < time.Second && ended < total {
		return
	}
	p.last = time.Now()
	fmt.Fprintf(p.output, "%d of %d requests answered\n", ended, total)
}
