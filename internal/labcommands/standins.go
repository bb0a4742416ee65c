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

// readHeaderTimeout limits the time in which a stand-in reads a request's headers.
const readHeaderTimeout = 5 * time.Second

// addFaultsFlag declares the flag -faults, whose value sets a stand-in's fault switches
// when it starts.
func addFaultsFlag(flagSet *flag.FlagSet) *string {
	return flagSet.String("faults", "", "fault switches as `JSON`, as POST /faults takes them")
}

// applyFaultsFlag sets the fault switches that the value of -faults names. get and set
// read and replace all fault switches of the stand-in.
func applyFaultsFlag[F any](value string, get func() F, set func(F)) error {
	if value == "" {
		return nil
	}
	faults, err := switcher.Decode(get(), []byte(value))
	if err != nil {
		return flagger.InvalidValueError("faults", value, "a JSON object of fault switches: "+err.Error())
	}
	set(faults)

	return nil
}

// platform declares the flags of the command `platform`, which serves a stand-in for
// the platform's object API and instance list.
func (c *Commands) platform(flagSet *flag.FlagSet) func(context.Context) error {
	listenAddress := flagSet.String("listen", "127.0.0.1:9000", "`address` to serve on; loopback only")
	resourceFolder := flagSet.String("resources", "", "`folder` of manifests to hold at the start")
	instanceList := flagSet.String("instances", "", "instances to list: `NAME=ADDRESS/PEER/DATACENTRE,…`")
	settings := keeper.Settings{}
	flagSet.Float64Var(&settings.WritesPerSecond, "writes", 0, "most writes a second; 0: the default")
	flagSet.Float64Var(&settings.ReadsPerSecond, "reads", 0, "most reads a second; 0: the default")
	flagSet.DurationVar(&settings.InstanceLag, "instance-lag", 0, "how late the instance list is")
	faultsJSON := addFaultsFlag(flagSet)

	return func(ctx context.Context) error {
		simulated := keeper.New(settings)
		if err := applyFaultsFlag(*faultsJSON, simulated.Faults, simulated.SetFaults); err != nil {
			return err
		}
		if err := storeManifests(simulated, *resourceFolder); err != nil {
			return err
		}
		if err := registerInstances(simulated, *instanceList); err != nil {
			return err
		}

		return c.serve(ctx, *listenAddress, simulated.Handler())
	}
}

// storeManifests stores the resources of all manifests in a folder and below on the
// platform. An empty folder name stores nothing.
func storeManifests(platform *keeper.Keeper, folder string) error {
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

// registerInstances adds the instances that the value of -instances lists to the
// platform's instance list.
func registerInstances(platform *keeper.Keeper, list string) error {
	for _, item := range strings.Split(list, ",") {
		if item == "" {
			continue
		}
		name, addressesAndDataCentre, _ := strings.Cut(item, "=")
		fields := strings.Split(addressesAndDataCentre, "/")
		if name == "" || len(fields) != 3 {
			return flagger.InvalidValueError("instances", item, "NAME=ADDRESS/PEER/DATACENTRE")
		}
		platform.RegisterInstance(storer.Instance{Name: name, Address: fields[0], PeerAddress: fields[1], DataCentre: fields[2]})
	}

	return nil
}

// engine declares the flags of the command `engine`, which serves a stand-in for an
// engine.
func (c *Commands) engine(flagSet *flag.FlagSet) func(context.Context) error {
	listenAddress := flagSet.String("listen", "127.0.0.1:9100", "`address` to serve on; loopback only")
	settings := emulator.Settings{}
	flagSet.StringVar(&settings.Name, "name", "engine", "the engine's `name`")
	flagSet.StringVar(&settings.Model, "model", "", "the `model` served at first; empty: any")
	flagSet.IntVar(&settings.Slots, "slots", 0, "most sequences in a batch; 0: the default")
	flagSet.IntVar(&settings.KVTokens, "tokens", 0, "KV memory in tokens; 0: the default")
	flagSet.DurationVar(&settings.BaseStepTime, "step", 0, "time of a decode step without any sequence; 0: the default")
	flagSet.DurationVar(&settings.StepTimePerSequence, "step-per-sequence", 0, "time each sequence adds to a step; 0: the default")
	flagSet.Float64Var(&settings.PrefillRate, "prefill", 0, "prompt tokens read a second; 0: the default")
	flagSet.IntVar(&settings.CacheTokens, "cache", 0, "prefix cache in tokens; 0: the default")
	flagSet.DurationVar(&settings.ReportLag, "report-lag", 0, "age of a load report when published")
	flagSet.DurationVar(&settings.CacheEventLag, "cache-lag", 0, "age of a cache event when published")
	flagSet.Float64Var(&settings.CacheEventLossFraction, "cache-gap", 0, "share of cache events never published")
	flagSet.BoolVar(&settings.ChecksFencingToken, "check-fence", true, "refuse orders with an old fencing number")
	flagSet.Float64Var(&settings.SpeedFactor, "speed", 0, "factor of the engine's speed; 0: the default")
	flagSet.Uint64Var(&settings.Seed, "seed", 1, "seed of drawn lengths and faults")
	faultsJSON := addFaultsFlag(flagSet)

	return func(ctx context.Context) error {
		simulated := emulator.New(settings)
		defer simulated.Close()
		if err := applyFaultsFlag(*faultsJSON, simulated.Faults, simulated.SetFaults); err != nil {
			return err
		}

		return c.serve(ctx, *listenAddress, simulated.Handler())
	}
}

// service declares the flags of the command `service`, which serves a stand-in for an
// endpoint of a plain service.
func (c *Commands) service(flagSet *flag.FlagSet) func(context.Context) error {
	listenAddress := flagSet.String("listen", "127.0.0.1:9200", "`address` to serve on; loopback only")
	settings := booker.Settings{}
	flagSet.StringVar(&settings.Name, "name", "service", "the server's `name`")
	flagSet.DurationVar(&settings.CallDuration, "work", 0, "time a call takes; 0: the default")
	flagSet.IntVar(&settings.MaxParallelCalls, "parallel", 0, "most calls at once; 0: the default")
	flagSet.Uint64Var(&settings.Seed, "seed", 1, "seed of the faults")
	faultsJSON := addFaultsFlag(flagSet)

	return func(ctx context.Context) error {
		simulated := booker.New(settings)
		defer simulated.Close()
		if err := applyFaultsFlag(*faultsJSON, simulated.Faults, simulated.SetFaults); err != nil {
			return err
		}

		return c.serve(ctx, *listenAddress, simulated.Handler())
	}
}

// serve prints the address it listens on and serves a stand-in until ctx is canceled.
// The address must be an IP address of the loopback interface and a port.
func (c *Commands) serve(ctx context.Context, address string, handler http.Handler) error {
	host, _, err := net.SplitHostPort(address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return flagger.InvalidValueError("listen", address, "a loopback IP:PORT")
	}
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "setting -listen: value %q", address)
	}
	fmt.Fprintln(c.output, "listening on", listener.Addr())

	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}

	return nil
}
