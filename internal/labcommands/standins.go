package labcommands

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/checker"
	"github.com/oleanderpick/oleanderpick/internal/common/flagger"
	"github.com/oleanderpick/oleanderpick/internal/lab/booker"
	"github.com/oleanderpick/oleanderpick/internal/lab/emulator"
	"github.com/oleanderpick/oleanderpick/internal/lab/keeper"
	"github.com/oleanderpick/oleanderpick/internal/lab/switcher"
	"github.com/oleanderpick/oleanderpick/internal/storer"
)

const headerTimeout = 5 * time.Second

// faultsFlag declares the flag that sets fault switches as JSON.
func faultsFlag(set *flag.FlagSet) *string {
	return set.String("faults", "", "fault switches as `JSON`, as POST /faults takes them")
}

// setFaults applies the flag's value to a stand-in's switches.
func setFaults[F any](value string, get func() F, put func(F)) error {
	if value == "" {
		return nil
	}
	faults, err := switcher.Decode(get(), []byte(value))
	if err != nil {
		return flagger.InvalidValueError("faults", value, "a JSON object of fault switches: "+err.Error())
	}
	put(faults)

	return nil
}

func (c *Commands) platform(set *flag.FlagSet) func(context.Context) error {
	listen := set.String("listen", "127.0.0.1:9000", "`address` to serve on; loopback only")
	resources := set.String("resources", "", "`folder` of manifests to hold at the start")
	instances := set.String("instances", "", "instances to list: `NAME=ADDRESS/PEER/DATACENTRE,…`")
	settings := keeper.Settings{}
	set.Float64Var(&settings.WritesPerSecond, "writes", 0, "most writes a second; 0: the default")
	set.Float64Var(&settings.ReadsPerSecond, "reads", 0, "most reads a second; 0: the default")
	set.DurationVar(&settings.InstanceLag, "instance-lag", 0, "how late the instance list is")
	faults := faultsFlag(set)

	return func(ctx context.Context) error {
		platform := keeper.New(settings)
		if err := setFaults(*faults, platform.Faults, platform.SetFaults); err != nil {
			return err
		}
		if err := seed(platform, *resources); err != nil {
			return err
		}
		if err := register(platform, *instances); err != nil {
			return err
		}

		return c.serve(ctx, *listen, platform.Handler())
	}
}

func seed(platform *keeper.Keeper, folder string) error {
	if folder == "" {
		return nil
	}
	resources, err := checker.ReadResources([]string{folder})
	if err != nil {
		return errors.Wrapf(err, "setting -resources: value %q", folder)
	}
	for _, resource := range resources {
		if _, err := platform.PutSpec(resource.Kind, resource.Name, resource.Spec); err != nil {
			return errors.Wrapf(err, "hold %s %s", resource.Kind, resource.Name)
		}
	}

	return nil
}

func register(platform *keeper.Keeper, list string) error {
	for _, one := range strings.Split(list, ",") {
		if one == "" {
			continue
		}
		name, rest, _ := strings.Cut(one, "=")
		parts := strings.Split(rest, "/")
		if name == "" || len(parts) != 3 {
			return flagger.InvalidValueError("instances", one, "NAME=ADDRESS/PEER/DATACENTRE")
		}
		platform.RegisterInstance(storer.Instance{Name: name, Address: parts[0], PeerAddress: parts[1], DataCentre: parts[2]})
	}

	return nil
}

func (c *Commands) engine(set *flag.FlagSet) func(context.Context) error {
	listen := set.String("listen", "127.0.0.1:9100", "`address` to serve on; loopback only")
	settings := emulator.Settings{}
	set.StringVar(&settings.Name, "name", "engine", "the engine's `name`")
	set.StringVar(&settings.Model, "model", "", "the `model` served at first; empty: any")
	set.IntVar(&settings.Slots, "slots", 0, "most sequences in a batch; 0: the default")
	set.IntVar(&settings.KVTokens, "tokens", 0, "KV memory in tokens; 0: the default")
	set.DurationVar(&settings.BaseStepTime, "step", 0, "time of a decode step without any sequence; 0: the default")
	set.DurationVar(&settings.StepTimePerSequence, "step-per-sequence", 0, "time each sequence adds to a step; 0: the default")
	set.Float64Var(&settings.PrefillRate, "prefill", 0, "prompt tokens read a second; 0: the default")
	set.IntVar(&settings.CacheTokens, "cache", 0, "prefix cache in tokens; 0: the default")
	set.DurationVar(&settings.ReportLag, "report-lag", 0, "age of a load report when published")
	set.DurationVar(&settings.CacheEventLag, "cache-lag", 0, "age of a cache event when published")
	set.Float64Var(&settings.CacheEventLossFraction, "cache-gap", 0, "share of cache events never published")
	set.BoolVar(&settings.ChecksFencingToken, "check-fence", true, "refuse orders with an old fencing number")
	set.Float64Var(&settings.SpeedFactor, "speed", 0, "factor of the engine's speed; 0: the default")
	set.Uint64Var(&settings.Seed, "seed", 1, "seed of drawn lengths and faults")
	faults := faultsFlag(set)

	return func(ctx context.Context) error {
		engine := emulator.New(settings)
		defer engine.Close()
		if err := setFaults(*faults, engine.Faults, engine.SetFaults); err != nil {
			return err
		}

		return c.serve(ctx, *listen, engine.Handler())
	}
}

func (c *Commands) service(set *flag.FlagSet) func(context.Context) error {
	listen := set.String("listen", "127.0.0.1:9200", "`address` to serve on; loopback only")
	settings := booker.Settings{}
	set.StringVar(&settings.Name, "name", "service", "the server's `name`")
	set.DurationVar(&settings.CallDuration, "work", 0, "time a call takes; 0: the default")
	set.IntVar(&settings.MaxParallelCalls, "parallel", 0, "most calls at once; 0: the default")
	set.Uint64Var(&settings.Seed, "seed", 1, "seed of the faults")
	faults := faultsFlag(set)

	return func(ctx context.Context) error {
		service := booker.New(settings)
		defer service.Close()
		if err := setFaults(*faults, service.Faults, service.SetFaults); err != nil {
			return err
		}

		return c.serve(ctx, *listen, service.Handler())
	}
}

// serve serves a stand-in until ctx ends.
func (c *Commands) serve(ctx context.Context, address string, handler http.Handler) error {
	host, _, err := net.SplitHostPort(address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return flagger.InvalidValueError("listen", address, "a loopback IP:PORT")
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "setting -listen: value %q", address)
	}
	fmt.Fprintln(c.output, "listening on", listener.Addr())

	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}

	return nil
}
