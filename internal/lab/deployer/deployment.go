package deployer

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/configurer"
	"github.com/oleanderpick/oleanderpick/internal/lab/booker"
	"github.com/oleanderpick/oleanderpick/internal/lab/emulator"
	"github.com/oleanderpick/oleanderpick/internal/lab/keeper"
	"github.com/oleanderpick/oleanderpick/internal/runner"
	"github.com/oleanderpick/oleanderpick/internal/storer"
	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

// readyTimeout limits the wait until all routers are ready, and the time in which a
// stand-in reads a request's headers.
const (
	readyTimeout      = 10 * time.Second
	readyPollInterval = 10 * time.Millisecond
)

// Router is one router of the deployment and the means to stop it.
type Router struct {
	*runner.Runner
	// URL is the base URL to which callers send requests.
	URL string

	// beginStop begins a planned stop, forceStop aborts the requests in flight.
	beginStop context.CancelFunc
	forceStop context.CancelFunc
	// runResult holds the result of Run once the router has stopped.
	runResult chan error
}

// Deployment is a running deployment of a Plan. Every router that was added is in
// Routers, also after it has stopped.
type Deployment struct {
	Plan           Plan
	Platform       *keeper.Keeper
	Engines        []*emulator.Emulator
	PlainEndpoints []*booker.Booker
	Routers        []*Router

	logger      hclog.Logger
	platformURL string
	httpServers []*http.Server
}

// New starts a deployment of the plan and waits until every router can place
// requests. If the routers are not ready in time, it returns both the deployment,
// which the caller closes, and an error.
func New(plan Plan, logger hclog.Logger) (*Deployment, error) {
	plan = plan.withDefaults()
	d := &Deployment{Plan: plan, logger: logger, Platform: keeper.New(plan.PlatformSettings)}
	var err error
	if d.platformURL, err = d.startServer(d.Platform); err != nil {
		return nil, err
	}
	if err := d.startEndpoints(); err != nil {
		d.Close()

		return nil, err
	}
	for i := range plan.RouterCount {
		if _, err := d.AddRouter(i); err != nil {
			d.Close()

			return nil, err
		}
	}

	return d, d.WaitUntilReady()
}

// startEndpoints starts the engines and the plain service's endpoints, and writes
// the plan's resources to the platform.
func (d *Deployment) startEndpoints() error {
	engineAddresses := []string{}
	for i := range d.Plan.EngineCount {
		settings := d.Plan.EngineSettings
		settings.Name = EngineName(i)
		settings.Seed += uint64(i)
		if speedFactor, found := d.Plan.EngineSpeedFactors[i]; found {
			settings.SpeedFactor = speedFactor
		}
		engine := emulator.New(settings)
		d.Engines = append(d.Engines, engine)
		address, err := d.startServer(engine)
		if err != nil {
			return err
		}
		engineAddresses = append(engineAddresses, address)
	}
	plainAddresses := []string{}
	for i := range d.Plan.PlainEndpointCount {
		settings := d.Plan.PlainEndpointSettings
		settings.Name = PlainEndpointName(i)
		plainEndpoint := booker.New(settings)
		d.PlainEndpoints = append(d.PlainEndpoints, plainEndpoint)
		address, err := d.startServer(plainEndpoint)
		if err != nil {
			return err
		}
		plainAddresses = append(plainAddresses, address)
	}

	return d.writeResources(d.Plan.declaredResources(engineAddresses, plainAddresses))
}

// writeResources writes resources to the stand-in platform, exempt from its rate
// limits and faults.
func (d *Deployment) writeResources(resources []declarer.Resource) error {
	for _, resource := range resources {
		if _, err := d.Platform.PutSpec(resource.Kind, resource.Name, resource.Spec); err != nil {
			return errors.Wrap(err, "write resource")
		}
	}

	return nil
}

// standIn is a simulated platform, engine or plain endpoint that is served over HTTP.
// ConnState is for the ConnState field of its http.Server.
type standIn interface {
	Handler() http.Handler
	ConnState(conn net.Conn, state http.ConnState)
}

// startServer serves a stand-in on a free loopback port until Close, and returns
// its base URL.
func (d *Deployment) startServer(simulated standIn) (string, error) {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: simulated.Handler(), ConnState: simulated.ConnState, ReadHeaderTimeout: readyTimeout}
	d.httpServers = append(d.httpServers, server)
	go func() { _ = server.Serve(listener) }()

	return "http://" + listener.Addr().String(), nil
}

// AddRouter starts the router with this index, counted from 0, and registers it in
// the platform's instance list. It doesn't wait until the router is ready.
func (d *Deployment) AddRouter(index int) (*Router, error) {
	settings := configurer.Settings{
		Name:             RouterName(index),
		DataCentre:       d.Plan.dataCentreOf(index),
		PlatformURL:      d.platformURL,
		Listen:           "127.0.0.1:0",
		StatusListen:     "127.0.0.1:0",
		PeerListen:       "127.0.0.1:0",
		MaxBodyBytes:     4 << 20,
		MaxWaiting:       d.Plan.MaxWaiting,
		ExchangeInterval: d.Plan.ExchangeInterval,
		StopTimeout:      time.Minute,
	}
	routerRunner, err := runner.New(settings, d.Plan.RouterOptions, d.logger.Named(settings.Name))
	if err != nil {
		return nil, errors.Wrap(err, "start router")
	}
	ctx, beginStop := context.WithCancel(context.Background())
	forceCtx, forceStop := context.WithCancel(context.Background())
	callerAddress, _, peerAddress := routerRunner.Addresses()
	router := &Router{
		Runner: routerRunner, URL: "http://" + callerAddress,
		beginStop: beginStop, forceStop: forceStop, runResult: make(chan error, 1),
	}
	d.Routers = append(d.Routers, router)
	d.Platform.RegisterInstance(storer.Instance{
		Name:        settings.Name,
		Address:     callerAddress,
		PeerAddress: peerAddress,
		DataCentre:  settings.DataCentre,
		State:       storer.StateLive,
	})
	go func() { router.runResult <- routerRunner.Run(ctx, forceCtx) }()

	return router, nil
}

// WaitUntilReady waits until every router that has not stopped can place requests.
// It returns an error if that takes more than 10 seconds.
func (d *Deployment) WaitUntilReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, router := range d.Routers {
		for !router.IsReady() && !router.isStopped() {
			if time.Now().After(deadline) {
				return errors.New("a router is not ready in time")
			}
			time.Sleep(readyPollInterval)
		}
	}

	return nil
}

// isStopped reports whether the router's Run has returned.
func (r *Router) isStopped() bool {
	select {
	case <-r.Done():
		return true
	default:
		return false
	}
}

// Stop begins a planned stop, waits for its end and returns the result of Run: an
// error if the router aborted requests in flight or could not close its servers.
func (r *Router) Stop() error {
	r.beginStop()
	err := <-r.runResult
	r.runResult <- err

	return err
}

// Kill stops a router at once and aborts its requests in flight, as if its instance
// had crashed.
func (r *Router) Kill() {
	r.forceStop()
	r.beginStop()
	err := <-r.runResult
	r.runResult <- err
}

// Close kills the routers, and closes the engines and all HTTP servers.
func (d *Deployment) Close() {
	for _, router := range d.Routers {
		router.Kill()
	}
	for _, engine := range d.Engines {
		engine.Close()
	}
	for _, server := range d.httpServers {
		_ = server.Close()
	}
}
