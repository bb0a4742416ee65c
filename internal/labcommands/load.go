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
	loadDuration = 10 * time.Second
	loadRate     = 10
	loadReserve  = 8
	loadMix      = "chat=0.4,appraisal=0.2,notes=0.2,background=0.2"
)

// loading are the flags of load.
type loading struct {
	settings loader.Settings
	routers  string
	tokens   string
	mix      string
	rate     float64
	reserve  float64
	seed     uint64
	duration time.Duration
}

func (c *Commands) load(set *flag.FlagSet) func(context.Context) error {
	chosen := &loading{}
	set.StringVar(&chosen.routers, "routers", "", "base addresses of the routers: `URL,…`")
	set.StringVar(&chosen.tokens, "tokens", "", "bearer tokens of the workspaces that send: `TOKEN,…`")
	set.StringVar(&chosen.mix, "mix", loadMix, "classes and their shares: chat, appraisal, notes, background, booking, quote")
	set.Float64Var(&chosen.rate, "rate", loadRate, "requests a second")
	set.Float64Var(&chosen.reserve, "reserve", loadReserve, "tokens reserved over those used")
	set.Uint64Var(&chosen.seed, "seed", 1, "seed of the requests")
	set.DurationVar(&chosen.duration, "duration", loadDuration, "how long requests arrive")
	set.StringVar(&chosen.settings.Model, "model", "general", "model that chats ask for")
	set.StringVar(&chosen.settings.PlainServiceName, "service", "ledger", "plain service that bookings and quotes call")
	asJSON := set.Bool("json", false, "print the report as JSON")

	return func(ctx context.Context) error {
		if err := chosen.complete(); err != nil {
			return err
		}
		load, err := loader.New(chosen.settings)
		if err != nil {
			return errors.Wrap(err, "load")
		}
		report := load.Run(ctx)
		if err := c.print(*asJSON, report, report.Print); err != nil {
			return err
		}
		if !report.IsValidMeasurement() || !report.HasNoCorruptAnswers() {
			return errFailed
		}

		return nil
	}
}

// complete checks the flags and computes the arrivals.
func (l *loading) complete() error {
	switch {
	case l.routers == "":
		return flagger.InvalidValueError("routers", l.routers, "at least one base address")
	case l.tokens == "":
		return flagger.InvalidValueError("tokens", l.tokens, "at least one bearer token")
	case l.rate <= 0:
		return flagger.InvalidValueError("rate", l.rate, "more than 0")
	case l.reserve <= 0:
		return flagger.InvalidValueError("reserve", l.reserve, "more than 0")
	case l.duration <= 0:
		return flagger.InvalidValueError("duration", l.duration, "more than 0")
	}
	mix, err := loader.ParseRequestMix(l.mix)
	if err != nil {
		return flagger.InvalidValueError("mix", l.mix, "CLASS=SHARE,…: "+err.Error())
	}
	mix = mix.WithArrivalRate(l.rate).WithMaxTokensFactor(l.reserve)
	mix.Workspaces = nil
	for _, token := range strings.Split(l.tokens, ",") {
		mix.Workspaces = append(mix.Workspaces, loader.Workspace{APIKey: token, Weight: 1})
	}
	for _, router := range strings.Split(l.routers, ",") {
		l.settings.RouterURLs = append(l.settings.RouterURLs, strings.TrimSuffix(router, "/"))
	}
	l.settings.RequestMix = mix
	l.settings.Arrivals = loader.GenerateArrivals(l.seed, mix, l.duration)

	return nil
}
