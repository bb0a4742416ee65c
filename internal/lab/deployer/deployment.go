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

const (
	readyTimeout  = 10 * time.Second
	readyInterval = 10 * time.Millisecond
)

// Router is one running router.
type Router struct {
	*runner.Runner
	// URL is the base URL for callers.
	URL string

	stop  context.CancelFunc
	force context.CancelFunc
	ended chan error
}

// Deployment is a plan that runs.
type Deployment struct {
	Plan     Plan
	Keeper   *keeper.Keeper
	Engines  []*emulator.Emulator
	Services []*booker.Booker
	Routers  []*Router

	logger   hclog.Logger
	platform string
	servers  []*http.Server
}

// New starts the plan and waits until every router can place requests.
func New(plan Plan, logger hclog.Logger) (*Deployment, error) {
	plan = plan.withDefaults()
	d := &Deployment{Plan: plan, logger: logger, Keeper: keeper.New(plan.Keeper)}
	var err error
	if d.platform, err = d.serve(d.Keeper); err != nil {
		return nil, err
	}
	if err := d.startServers(); err != nil {
		d.Close()

		return nil, err
	}
	for i := range plan.Routers {
		if _, err := d.AddRouter(i); err != nil {
			d.Close()

			return nil, err
		}
	}

	return d, d.Ready()
}

func (d *Deployment) startServers() error {
	engines := []string{}
	for i := range d.Plan.Engines {
		settings := d.Plan.Engine
		settings.Name = EngineName(i)
		settings.Seed += uint64(i)
		if speed, ok := d.Plan.Uneven[i]; ok {
			settings.SpeedFactor = speed
		}
		engine := emulator.New(settings)
		d.Engines = append(d.Engines, engine)
		address, err := d.serve(engine)
		if err != nil {
			return err
		}
		engines = append(engines, address)
	}
	services := []string{}
	for i := range d.Plan.Services {
		settings := d.Plan.Service
		settings.Name = ServiceName(i)
		service := booker.New(settings)
		d.Services = append(d.Services, service)
		address, err := d.serve(service)
		if err != nil {
			return err
		}
		services = append(services, address)
	}

	return d.declare(d.Plan.resources(engines, services))
}

// declare writes resources as an operator would.
func (d *Deployment) declare(resources []declarer.Resource) error {
	for _, resource := range resources {
		if _, err := d.Keeper.PutSpec(resource.Kind, resource.Name, resource.Spec); err != nil {
			return errors.Wrap(err, "write resource")
		}
	}

	return nil
}

// standIn is a stand-in that is served over HTTP.
type standIn interface {
	Handler() http.Handler
	ConnState(connection net.Conn, state http.ConnState)
}

func (d *Deployment) serve(served standIn) (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: served.Handler(), ConnState: served.ConnState, ReadHeaderTimeout: readyTimeout}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()

	return "http://" + listener.Addr().String(), nil
}

// AddRouter starts the router of that index and lists it.
func (d *Deployment) AddRouter(index int) (*Router, error) {
	settings := configurer.Settings{
		Name:             RouterName(index),
		DataCentre:       d.Plan.place(index),
		PlatformURL:      d.platform,
		Listen:           "127.0.0.1:0",
		StatusListen:     "127.0.0.1:0",
		PeerListen:       "127.0.0.1:0",
		MaxBodyBytes:     4 << 20,
		MaxWaiting:       d.Plan.QueueLimit,
		ExchangeInterval: d.Plan.ExchangeInterval,
		StopTimeout:      time.Minute,
	}
	started, err := runner.New(settings, d.Plan.Options, d.logger.Named(settings.Name))
	if err != nil {
		return nil, errors.Wrap(err, "start router")
	}
	ctx, stop := context.WithCancel(context.Background())
	forced, force := context.WithCancel(context.Background())
	callers, _, peers := started.Addresses()
	router := &Router{Runner: started, URL: "http://" + callers, stop: stop, force: force, ended: make(chan error, 1)}
	d.Routers = append(d.Routers, router)
	d.Keeper.RegisterInstance(storer.Instance{
		Name:        settings.Name,
		Address:     callers,
		PeerAddress: peers,
		DataCentre:  settings.DataCentre,
		State:       storer.StateLive,
	})
	go func() { router.ended <- started.Run(ctx, forced) }()

	return router, nil
}

// Ready waits until every router that runs can place requests.
func (d *Deployment) Ready() error {
	limit := time.Now().Add(readyTimeout)
	for _, router := range d.Routers {
		for !router.IsReady() && !router.stopped() {
			if time.Now().After(limit) {
				return errors.New("a router is not ready in time")
			}
			time.Sleep(readyInterval)
		}
	}

	return nil
}

func (r *Router) stopped() bool {
	select {
	case <-r.Done():
		return true
	default:
		return false
	}
}

// Stop stops a router as planned and returns what its run ended with.
func (r *Router) Stop() error {
	r.stop()
	err := <-r.ended
	r.ended <- err

	return err
}

// Kill ends a router at once, as if its instance vanished.
func (r *Router) Kill() {
	r.force()
	r.stop()
	err := <-r.ended
	r.ended <- err
}

// Close ends everything.
func (d *Deployment) Close() {
	for _, router := range d.Routers {
		router.Kill()
	}
	for _, engine := range d.Engines {
		engine.Close()
	}
	for _, server := range d.servers {
		_ = server.Close()
	}
}
