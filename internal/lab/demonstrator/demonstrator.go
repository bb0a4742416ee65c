// Package demonstrator runs the demo. It starts a small deployment in one process, sends
// requests to it over HTTP, crashes an engine and kills a router meanwhile, and reports
// the results.
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

// Settings of a demo. Duration, Rate, Progress and Logger have defaults for zero values.
type Settings struct {
	// Duration is how long requests arrive.
	Duration time.Duration
	// Rate is the number of arrivals per second.
	Rate float64
	// Seed is the seed of the arrivals.
	Seed uint64
	// Progress receives a line every second.
	Progress io.Writer
	// Logger receives the routers' logs.
	Logger hclog.Logger
}

const (
	defaultDuration = 9 * time.Second
	defaultRate     = 20 // arrivals per second
	// answerLengthDivisor shortens the standard answers, so that the demo ends soon.
	answerLengthDivisor = 2
	plainCallWeight     = 0.1 // weight of each plain class, relative to those of the other classes
	plainCallDeadline   = 20 * time.Second
	// The engine crashes at 1/faultTimeDivisor of the run and stays down for
	// crashDowntime. The router is killed at 2/faultTimeDivisor. Both have faultyIndex.
	faultTimeDivisor = 3
	crashDowntime    = 2 * time.Second
	faultyIndex      = 1

	engineCount        = 4
	plainEndpointCount = 2
	routerCount        = 3
	engineSlots        = 16
	engineMemoryTokens = 32_000
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

// Plan returns the plan of the demo's deployment, with the classes of a mix.
func Plan(mix loader.RequestMix) deployer.Plan {
	return deployer.Plan{
		DataCentres:        []string{"north", "south"},
		EngineCount:        engineCount,
		PlainEndpointCount: plainEndpointCount,
		RouterCount:        routerCount,
		EngineSettings:     emulator.Settings{Slots: engineSlots, KVTokens: engineMemoryTokens},
		ServiceClasses:     Classes(mix),
		Workspaces:         []string{"clinic", "spa", "store"},
	}
}

// Classes returns the service classes of a mix. The first one has the highest tier, and
// each class may wait until its deadline.
func Classes(mix loader.RequestMix) []declarer.ServiceClass {
	classes := make([]declarer.ServiceClass, 0, len(mix.Classes))
	for tier, class := range mix.Classes {
		classes = append(classes, declarer.ServiceClass{
			Name:             class.Name,
			Tier:             min(tier, declarer.MaxTier),
			FirstTokenTarget: declarer.Duration(class.Targets.FirstToken),
			TokenGapTarget:   declarer.Duration(class.Targets.TokenGap),
			CompletionTarget: declarer.Duration(class.Targets.Completion),
			Deadline:         declarer.Duration(class.Deadline),
			GuaranteedWait:   declarer.Duration(class.Deadline),
			MaxRetryRatio:    declarer.DefaultMaxRetryRatio,
		})
	}

	return classes
}

// demoMix returns the mix with shorter answers and with calls to plain services.
func demoMix(mix loader.RequestMix) loader.RequestMix {
	classes := slices.Clone(mix.Classes)
	for i := range classes {
		classes[i].MedianAnswerTokens /= answerLengthDivisor
	}
	classes = append(classes,
		loader.Class{Name: "booking", RequestType: loader.Booking, Weight: plainCallWeight, Deadline: plainCallDeadline},
		loader.Class{Name: "quote", RequestType: loader.Quote, Weight: plainCallWeight, Deadline: plainCallDeadline},
	)
	mix.Classes = classes

	return mix
}

// Run runs the demo. It fails if the deployment or the loader cannot be started.
func Run(ctx context.Context, settings Settings) (Report, error) {
	settings = settings.withDefaults()
	mix := demoMix(loader.StandardRequestMix().WithArrivalRate(settings.Rate))
	plan := Plan(mix)
	mix.Workspaces = nil
	for _, name := range plan.Workspaces {
		mix.Workspaces = append(mix.Workspaces, loader.Workspace{APIKey: deployer.BearerToken(name), Weight: 1})
	}

	deployment, err := deployer.New(plan, settings.Logger)
	if err != nil {
		return Report{}, err
	}
	defer deployment.Close()
	fmt.Fprintf(settings.Progress, "started %d engines, %d services and %d routers\n", engineCount, plainEndpointCount, routerCount)

	addresses := []string{}
	for _, router := range deployment.Routers {
		addresses = append(addresses, router.URL)
	}
	progress := &progressPrinter{output: settings.Progress}
	loadGenerator, err := loader.New(loader.Settings{
		RouterURLs:       addresses,
		RequestMix:       mix,
		Arrivals:         loader.GenerateArrivals(settings.Seed, mix, settings.Duration),
		Model:            deployer.ModelName,
		PlainServiceName: deployer.PlainServiceName,
		OnProgress:       progress.recordEnded,
	})
	if err != nil {
		return Report{}, err
	}

	stop := scheduleFaults(deployment, settings)
	defer stop()
	callerReport := loadGenerator.Run(ctx)

	return newReport(deployment, callerReport), nil
}

// scheduleFaults schedules the demo's two faults. The returned function cancels those that
// have not yet begun.
func scheduleFaults(deployment *deployer.Deployment, settings Settings) (stop func()) {
	crashTimer := time.AfterFunc(settings.Duration/faultTimeDivisor, func() {
		fmt.Fprintln(settings.Progress, "engine", deployer.EngineName(faultyIndex), "crashes")
		deployment.Engines[faultyIndex].SetFaults(emulator.Faults{Crash: crashDowntime})
	})
	killTimer := time.AfterFunc(2*settings.Duration/faultTimeDivisor, func() {
		fmt.Fprintln(settings.Progress, "router", deployer.RouterName(faultyIndex), "is killed")
		deployment.Routers[faultyIndex].Kill()
	})

	return func() {
		crashTimer.Stop()
		killTimer.Stop()
	}
}

// progressPrinter prints the number of ended requests, at most once a second.
type progressPrinter struct {
	output      io.Writer
	lastPrinted time.Time
}

// recordEnded prints the counts if the last line is a second old or all requests ended.
func (p *progressPrinter) recordEnded(ended, total int) {
	if time.Since(p.lastPrinted) < time.Second && ended < total {
		return
	}
	p.lastPrinted = time.Now()
	fmt.Fprintf(p.output, "%d of %d requests answered\n", ended, total)
}
