// Package runner puts a router together: every part is a service in one
// supervisor tree.
package runner

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/thejerf/suture/v4"

	"github.com/oleanderpick/oleanderpick/internal/commander"
	"github.com/oleanderpick/oleanderpick/internal/configurer"
	"github.com/oleanderpick/oleanderpick/internal/controller"
	"github.com/oleanderpick/oleanderpick/internal/exchanger"
	"github.com/oleanderpick/oleanderpick/internal/follower"
	"github.com/oleanderpick/oleanderpick/internal/forwarder"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/internal/poller"
	"github.com/oleanderpick/oleanderpick/internal/publisher"
	"github.com/oleanderpick/oleanderpick/internal/recorder"
	"github.com/oleanderpick/oleanderpick/internal/reporter"
	"github.com/oleanderpick/oleanderpick/internal/resolver"
	"github.com/oleanderpick/oleanderpick/internal/server"
	"github.com/oleanderpick/oleanderpick/internal/storer"
	"github.com/oleanderpick/oleanderpick/pkg/joiner"
	"github.com/oleanderpick/oleanderpick/pkg/journaler"
	"github.com/oleanderpick/oleanderpick/pkg/tracker"
)

const (
	headerTimeout     = 5 * time.Second
	bodyTimeout       = 60 * time.Second
	maxHeader         = 32 << 10
	instancesInterval = 10 * time.Second
	loadsInterval     = 500 * time.Millisecond
	exchangeTimeout   = 1 * time.Second
	storeTimeout      = 3 * time.Second
	firstSilence      = 1 * time.Second
	drainInterval     = 20 * time.Millisecond
	reportInterval    = 30 * time.Second
	leaveRounds       = 3
)

// Options are what an experiment may change; the zero value serves.
type Options struct {
	// Policy changes the decisions.
	Policy controller.Policy
	// KnownLengths lets callers tell true lengths.
	KnownLengths bool
	// Seed makes the decisions repeatable; 0 takes one from the clock.
	Seed uint64
	// ReportInterval is the time between two reports; 0 is the default.
	ReportInterval time.Duration
}

// Runner is one router.
type Runner struct {
	settings  configurer.Settings
	logger    hclog.Logger
	meter     *meter.Meter
	control   *controller.Controller
	follower  *follower.Follower
	exchanger *exchanger.Exchanger
	forwarder *forwarder.Forwarder
	publisher *publisher.Publisher
	tree      *suture.Supervisor
	servers   []*http.Server
	callers   net.Listener
	status    net.Listener
	peers     net.Listener
	stopping  atomic.Bool
	done      chan struct{}
}

// New opens the listeners and puts the parts together. Run starts them.
func New(settings configurer.Settings, options Options, logger hclog.Logger) (*Runner, error) {
	r := &Runner{
		settings: settings,
		logger:   logger.Named("runner"),
		meter:    meter.New(),
		done:     make(chan struct{}),
	}
	if err := r.listen(); err != nil {
		r.closeListeners()

		return nil, err
	}
	incarnation := uint64(time.Now().UnixNano())
	if options.ReportInterval == 0 {
		options.ReportInterval = reportInterval
	}
	if options.Seed == 0 {
		options.Seed = incarnation
	}
	if err := r.build(options, incarnation, logger); err != nil {
		r.closeListeners()

		return nil, err
	}

	return r, nil
}

func (r *Runner) listen() error {
	var config net.ListenConfig
	var err error
	if r.callers, err = config.Listen(context.Background(), "tcp", r.settings.Listen); err != nil {
		return errors.Wrapf(err, "setting -listen: value %q", r.settings.Listen)
	}
	if r.status, err = config.Listen(context.Background(), "tcp", r.settings.StatusListen); err != nil {
		return errors.Wrapf(err, "setting -status-listen: value %q", r.settings.StatusListen)
	}
	if r.peers, err = config.Listen(context.Background(), "tcp", r.settings.PeerListen); err != nil {
		return errors.Wrapf(err, "setting -peer-listen: value %q", r.settings.PeerListen)
	}

	return nil
}

func (r *Runner) closeListeners() {
	for _, listener := range []net.Listener{r.callers, r.status, r.peers} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func (r *Runner) build(options Options, incarnation uint64, logger hclog.Logger) error {
	tlsSettings, err := loadTLS(r.settings)
	if err != nil {
		return err
	}
	self := tracker.Instance{
		Name:        r.settings.Name,
		Address:     r.callers.Addr().String(),
		PeerAddress: r.peers.Addr().String(),
		DataCentre:  r.settings.DataCentre,
	}
	store := storer.New(r.settings.PlatformURL, &http.Client{Transport: transport(nil)}).WithTimeout(storeTimeout)

	r.control = controller.New(controller.Settings{
		Self:             self,
		MaxWaiting:       r.settings.MaxWaiting,
		ExchangeInterval: r.settings.ExchangeInterval,
		Policy:           options.Policy,
		Seed:             options.Seed,
	}, logger.Named("controller"), r.meter)
	r.follower = follower.New(store, func(known *resolver.Resolver) {
		r.control.Configure(known.ControllerConfiguration())
	}, r.meter, logger.Named("follower"))
	r.exchanger = exchanger.New(exchanger.Settings{
		Self:            self,
		Incarnation:     incarnation,
		RoundInterval:   r.settings.ExchangeInterval / 2,
		ExchangeTimeout: exchangeTimeout,
		Scheme:          tlsSettings.scheme(),
	}, r.control, r.follower, &http.Client{Transport: transport(tlsSettings.peerClient)}, r.meter, logger.Named("exchanger"))
	r.follower.SetPeerFetcher(r.exchanger)
	r.forwarder = forwarder.New(streamSettings())

	r.assemble(options, fmt.Sprintf("%s-%d", r.settings.Name, incarnation), store, tlsSettings, logger)

	return nil
}

// assemble makes the parts that serve callers, the HTTP servers and the tree.
func (r *Runner) assemble(options Options, owner string, store *storer.Client, tlsSettings tlsSettings, logger hclog.Logger) {
	journal := journaler.New(journaler.DefaultSettings(), owner, tokens(owner))
	records := recorder.New(store, journal, r.meter, logger.Named("recorder"))
	callers := server.New(server.Settings{
		StreamIDPrefix:     owner,
		MaxBodyBytes:       r.settings.MaxBodyBytes,
		AcceptKnownLengths: options.KnownLengths,
	}, r.follower, r.control, r.forwarder, records, r.meter, logger.Named("server"))
	polls := poller.New(poller.Settings{
		InstanceListInterval: instancesInterval,
		LoadReportInterval:   loadsInterval,
	}, r.control, store, &http.Client{Transport: transport(nil)}, r.meter, logger.Named("poller"))

	r.publisher = publisher.New(publisher.Settings{HolderID: owner}, platform{store},
		commander.New(&http.Client{Transport: transport(nil)}, owner), r.follower.Revision, r.meter, logger.Named("publisher"))

	r.servers = []*http.Server{
		httpServer(callers, tlsSettings.callers),
		httpServer(r.statusHandler(), nil),
		httpServer(r.exchanger.Handler(), tlsSettings.peerServer),
	}
	reports := reporter.New(reporter.Settings{
		Instance: r.settings.Name,
		Interval: options.ReportInterval,
	}, platform{store}, r.control, r.meter, logger.Named("reporter"))
	r.plant(logger, records, polls, reports)
}

// streamSettings probes early for a first token: a kept connection that has
// gone silent would else hold up the request that is sent on it.
func streamSettings() joiner.Settings {
	settings := joiner.DefaultSettings()
	settings.FirstChunkProbeDelay = firstSilence

	return settings
}

// plant makes the supervisor tree.
func (r *Runner) plant(logger hclog.Logger, records *recorder.Recorder, polls *poller.Poller, reports *reporter.Reporter) {
	log := logger.Named("supervisor")
	r.tree = suture.New("oleanderpick", suture.Spec{
		EventHook: func(event suture.Event) { report(log, event) },
	})
	for _, service := range []suture.Service{r.control, r.follower, r.exchanger, r.publisher, records, polls, reports} {
		r.tree.Add(service)
	}
	for i, listener := range []net.Listener{r.callers, r.status, r.peers} {
		r.tree.Add(&listening{server: r.servers[i], listener: listener})
	}
}

// report logs what happens to a service of the tree.
func report(log hclog.Logger, event suture.Event) {
	switch event := event.(type) {
	case suture.EventServicePanic:
		log.Error("Service panicked.", "service", event.ServiceName, "panic", event.PanicMsg, "restarting", event.Restarting)
		log.Debug("Stack of the panic.", "stack", event.Stacktrace)
	case suture.EventServiceTerminate:
		log.Warn("Service ended.", "service", event.ServiceName, "error", event.Err, "restarting", event.Restarting)
	default:
		log.Warn("Service event.", "event", event.String())
	}
}

// tokens returns a source of strings that are unique over all instances.
func tokens(owner string) func() string {
	count := uint64(0)

	return func() string {
		count++

		return fmt.Sprintf("%s-%d", owner, count)
	}
}

func transport(settings *tls.Config) *http.Transport {
	return &http.Transport{
		TLSClientConfig:     settings,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}
}

func httpServer(handler http.Handler, settings *tls.Config) *http.Server {
	return &http.Server{
		Handler:           handler,
		TLSConfig:         settings,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		MaxHeaderBytes:    maxHeader,
	}
}

// Addresses returns the addresses for callers, status and peers.
func (r *Runner) Addresses() (callers, status, peers string) {
	return r.callers.Addr().String(), r.status.Addr().String(), r.peers.Addr().String()
}

// Meter returns the router's metrics.
func (r *Runner) Meter() *meter.Meter {
	return r.meter
}

// Number returns the number of the revision in force.
func (r *Runner) Number() uint64 {
	return r.follower.RevisionNumber()
}

// Ready reports whether the router can place requests.
func (r *Runner) Ready() bool {
	return r.follower.RevisionNumber() > 0 && r.control.IsReady() && !r.stopping.Load()
}

// Done is closed when the router has stopped.
func (r *Runner) Done() <-chan struct{} {
	return r.done
}

// InFlight returns the number of requests that wait or run.
func (r *Runner) InFlight() int {
	return r.control.InFlight()
}

// Leaving reports whether nothing new goes to an endpoint since it is leaving.
func (r *Runner) Leaving(endpoint string) bool {
	return r.control.IsEndpointLeaving(endpoint)
}
