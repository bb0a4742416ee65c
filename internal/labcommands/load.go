package labcommands

import (
	"context"
	"flag"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/common/flagger"
	"github.com/oleanderpick/oleanderpick/internal/lab/loader"
)

const (
	defaultLoadDuration      = 10 * time.Second
	defaultLoadRate          = 10
	defaultLoadReserveFactor = 8
	defaultLoadMix           = "chat=0.4,appraisal=0.2,notes=0.2,background=0.2"
)

// loadFlags holds the values of the command-line flags of `load`.
type loadFlags struct {
	settings          loader.Settings
	routerList        string
	tokenList         string
	classWeights      string
	requestsPerSecond float64
	reserveFactor     float64
	seed              uint64
	arrivalDuration   time.Duration
}

// load declares the flags of the command `load`, which sends requests to running
// routers at fixed times, however slowly they answer, and reports the answers.
func (c *Commands) load(flagSet *flag.FlagSet) func(context.Context) error {
	flags := &loadFlags{}
	flagSet.StringVar(&flags.routerList, "routers", "", "base addresses of the routers: `URL,…`")
	flagSet.StringVar(&flags.tokenList, "tokens", "", "bearer tokens of the workspaces that send: `TOKEN,…`")
	flagSet.StringVar(&flags.classWeights, "mix", defaultLoadMix, "classes and their shares: chat, appraisal, notes, background, booking, quote")
	flagSet.Float64Var(&flags.requestsPerSecond, "rate", defaultLoadRate, "requests a second")
	flagSet.Float64Var(&flags.reserveFactor, "reserve", defaultLoadReserveFactor, "tokens reserved over those used")
	flagSet.Uint64Var(&flags.seed, "seed", 1, "seed of the requests")
	flagSet.DurationVar(&flags.arrivalDuration, "duration", defaultLoadDuration, "how long requests arrive")
	flagSet.StringVar(&flags.settings.Model, "model", "general", "model that chats ask for")
	flagSet.StringVar(&flags.settings.PlainServiceName, "service", "ledger", "plain service that bookings and quotes call")
	asJSON := flagSet.Bool("json", false, "print the report as JSON")

	return func(ctx context.Context) error {
		if err := flags.completeSettings(); err != nil {
			return err
		}
		loadGenerator, err := loader.New(flags.settings)
		if err != nil {
			return errors.Wrap(err, "load")
		}
		report := loadGenerator.Run(ctx)
		if err := c.printReport(*asJSON, report, report.Print); err != nil {
			return err
		}
		if !report.IsValidMeasurement() || !report.HasNoCorruptAnswers() {
			return errRunFailed
		}

		return nil
	}
}

// completeSettings validates the flags, sets the routers, the mix and the workspaces in
// the settings, and computes the arrivals.
func (f *loadFlags) completeSettings() error {
	switch {
	case f.routerList == "":
		return flagger.InvalidValueError("routers", f.routerList, "at least one base address")
	case f.tokenList == "":
		return flagger.InvalidValueError("tokens", f.tokenList, "at least one bearer token")
	case f.requestsPerSecond <= 0:
		return flagger.InvalidValueError("rate", f.requestsPerSecond, "more than 0")
	case f.reserveFactor <= 0:
		return flagger.InvalidValueError("reserve", f.reserveFactor, "more than 0")
	case f.arrivalDuration <= 0:
		return flagger.InvalidValueError("duration", f.arrivalDuration, "more than 0")
	}
	mix, err := loader.ParseRequestMix(f.classWeights)
	if err != nil {
		return flagger.InvalidValueError("mix", f.classWeights, "CLASS=SHARE,…: "+err.Error())
	}
	mix = mix.WithArrivalRate(f.requestsPerSecond).WithMaxTokensFactor(f.reserveFactor)
	mix.Workspaces = nil
	for _, token := range strings.Split(f.tokenList, ",") {
		mix.Workspaces = append(mix.Workspaces, loader.Workspace{APIKey: token, Weight: 1})
	}
	for _, router := range strings.Split(f.routerList, ",") {
		f.settings.RouterURLs = append(f.settings.RouterURLs, strings.TrimSuffix(router, "/"))
	}
	f.settings.RequestMix = mix
	f.settings.Arrivals = loader.GenerateArrivals(f.seed, mix, f.arrivalDuration)

	return nil
}
