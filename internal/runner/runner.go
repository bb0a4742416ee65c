// Package runner builds an instance of the router from its components and runs them as
// services of one supervisor tree.
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
	"github.com/oleanderpick/oleanderpick/internal/common/sendtracker"
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
	// headerReadTimeout limits the time in which a client must send the headers of a
	// request. It also limits the shutdown of the listeners.
	headerReadTimeout = 5 * time.Second
	// requestReadTimeout limits the time in which a client must send a whole request.
	requestReadTimeout = 60 * time.Second
	maxHeaderBytes     = 32 << 10
	// instanceListInterval is the time between two reads of the instance list.
	instanceListInterval = 10 * time.Second
	// loadReportInterval is the time between two reads of an endpoint's load report.
	loadReportInterval = 500 * time.Millisecond
	// exchangeTimeout limits one exchange with a peer.
	exchangeTimeout = 1 * time.Second
	// storeTimeout limits one call to the store.
	storeTimeout = 3 * time.Second
	// firstChunkProbeDelay is the time without a first chunk after which a stream is probed.
	firstChunkProbeDelay = 1 * time.Second
	// drainPollInterval is the time between two checks for requests in flight during a
	// stop.
	drainPollInterval = 20 * time.Millisecond
	// defaultReportInterval is the default of Options.ReportInterval.
	defaultReportInterval = 30 * time.Second
	// leaveExchangeIntervals is the number of exchange intervals for which a stopping
	// instance waits, so that its peers learn that it leaves.
	leaveExchangeIntervals = 3
)

// Options holds what experiments change. The zero value is for production.
type Options struct {
	// Policy selects how the controller decides.
	Policy controller.Policy
	// AcceptKnownLengths makes the server accept the answer lengths that callers state
	// in their requests.
	AcceptKnownLengths bool
	// Seed seeds the random decisions of the controller; 0 takes a seed from the clock.
	Seed uint64
	// ReportInterval is the time between two reports of this instance's counts; 0 is the
	// default.
	ReportInterval time.Duration
}

// Runner is one instance of the router.
type Runner struct {
	settings   configurer.Settings
	logger     hclog.Logger
	meter      *meter.Meter
	controller *controller.Controller
	follower   *follower.Follower
	exchanger  *exchanger.Exchanger
	forwarder  *forwarder.Forwarder
	publisher  *publisher.Publisher
	supervisor *suture.Supervisor
	// servers holds the HTTP servers of the three listeners, in their order.
	servers        []*http.Server
	callerListener net.Listener
	statusListener net.Listener
	peerListener   net.Listener
	stopping       atomic.Bool
	done           chan struct{}
}

// New opens the listeners and creates the components. Run starts them. An error names
// the invalid setting and its value.
func New(settings configurer.Settings, options Options, logger hclog.Logger) (*Runner, error) {
	r := &Runner{
		settings: settings,
		logger:   logger.Named("runner"),
		meter:    meter.New(),
		done:     make(chan struct{}),
	}
	if err := r.openListeners(); err != nil {
		r.closeListeners()

		return nil, err
	}
	incarnation := uint64(time.Now().UnixNano())
	if options.ReportInterval == 0 {
		options.ReportInterval = defaultReportInterval
	}
	if options.Seed == 0 {
		options.Seed = incarnation
	}
	if err := r.buildComponents(options, incarnation, logger); err != nil {
		r.closeListeners()

		return nil, err
	}

	return r, nil
}

// openListeners opens the listeners for callers, status and peers.
func (r *Runner) openListeners() error {
	var listenConfig net.ListenConfig
	var err error
	if r.callerListener, err = listenConfig.Listen(context.Background(), "tcp", r.settings.Listen); err != nil {
		return errors.Wrapf(err, "setting -listen: value %q", r.settings.Listen)
	}
	if r.statusListener, err = listenConfig.Listen(context.Background(), "tcp", r.settings.StatusListen); err != nil {
		return errors.Wrapf(err, "setting -status-listen: value %q", r.settings.StatusListen)
	}
	if r.peerListener, err = listenConfig.Listen(context.Background(), "tcp", r.settings.PeerListen); err != nil {
		return errors.Wrapf(err, "setting -peer-listen: value %q", r.settings.PeerListen)
	}

	return nil
}

func (r *Runner) closeListeners() {
	for _, listener := range []net.Listener{r.callerListener, r.statusListener, r.peerListener} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// buildComponents creates all components of the instance.
func (r *Runner) buildComponents(options Options, incarnation uint64, logger hclog.Logger) error {
	tlsConfigs, err := loadTLS(r.settings)
	if err != nil {
		return err
	}
	self := tracker.Instance{
		Name:        r.settings.Name,
		Address:     r.callerListener.Addr().String(),
		PeerAddress: r.peerListener.Addr().String(),
		DataCentre:  r.settings.DataCentre,
	}
	store := storer.New(r.settings.PlatformURL, &http.Client{Transport: newTransport(nil)}).WithTimeout(storeTimeout)

	r.controller = controller.New(controller.Settings{
		Self:             self,
		MaxWaiting:       r.settings.MaxWaiting,
		ExchangeInterval: r.settings.ExchangeInterval,
		Policy:           options.Policy,
		Seed:             options.Seed,
	}, logger.Named("controller"), r.meter)
	r.follower = follower.New(store, func(current *resolver.Resolver) {
		r.controller.Configure(current.ControllerConfiguration())
	}, r.meter, logger.Named("follower"))
	r.exchanger = exchanger.New(exchanger.Settings{
		Self:            self,
		Incarnation:     incarnation,
		RoundInterval:   r.settings.ExchangeInterval / 2,
		ExchangeTimeout: exchangeTimeout,
		Scheme:          tlsConfigs.peerScheme(),
	}, r.controller, r.follower, &http.Client{Transport: newTransport(tlsConfigs.peerClient)}, r.meter, logger.Named("exchanger"))
	r.follower.SetPeerFetcher(r.exchanger)
	r.forwarder = forwarder.New(streamSettings())

	r.buildServers(options, fmt.Sprintf("%s-%d", r.settings.Name, incarnation), store, tlsConfigs, logger)

	return nil
}

// buildServers creates the components that handle calls, poll load reports, publish
// configurations and report counts, the HTTP servers and the supervisor tree. The
// instanceID is unique to each start of an instance.
func (r *Runner) buildServers(options Options, instanceID string, store *storer.Client, tlsConfigs tlsConfigSet, logger hclog.Logger) {
	journal := journaler.New(journaler.DefaultSettings(), instanceID, newTokenSource(instanceID))
	callRecorder := recorder.New(store, journal, r.meter, logger.Named("recorder"))
	callerHandler := server.New(server.Settings{
		StreamIDPrefix:     instanceID,
		MaxBodyBytes:       r.settings.MaxBodyBytes,
		AcceptKnownLengths: options.AcceptKnownLengths,
	}, r.follower, r.controller, r.forwarder, callRecorder, r.meter, logger.Named("server"))
	loadPoller := poller.New(poller.Settings{
		InstanceListInterval: instanceListInterval,
		LoadReportInterval:   loadReportInterval,
	}, r.controller, store, &http.Client{Transport: newTransport(nil)}, r.meter, logger.Named("poller"))

	r.publisher = publisher.New(publisher.Settings{HolderID: instanceID}, storeAdapter{store},
		commander.New(&http.Client{Transport: newTransport(nil)}, instanceID), r.follower.Revision, r.meter, logger.Named("publisher"))

	r.servers = []*http.Server{
		newHTTPServer(callerHandler, tlsConfigs.callerServer),
		newHTTPServer(r.statusHandler(), nil),
		newHTTPServer(r.exchanger.Handler(), tlsConfigs.peerServer),
	}
	statusReporter := reporter.New(reporter.Settings{
		Instance: r.settings.Name,
		Interval: options.ReportInterval,
	}, storeAdapter{store}, r.controller, r.meter, logger.Named("reporter"))
	r.buildSupervisor(logger, callRecorder, loadPoller, statusReporter)
}

// streamSettings returns the default settings of streams with an earlier probe for the
// first chunk. Otherwise an idle connection that was lost without notice would delay the
// request that reuses it.
func streamSettings() joiner.Settings {
	settings := joiner.DefaultSettings()
	settings.FirstChunkProbeDelay = firstChunkProbeDelay

	return settings
}

// buildSupervisor creates the supervisor tree with all services.
func (r *Runner) buildSupervisor(logger hclog.Logger, callRecorder *recorder.Recorder, loadPoller *poller.Poller, statusReporter *reporter.Reporter) {
	log := logger.Named("supervisor")
	r.supervisor = suture.New("oleanderpick", suture.Spec{
		EventHook: func(event suture.Event) { logSupervisorEvent(log, event) },
	})
	for _, service := range []suture.Service{r.controller, r.follower, r.exchanger, r.publisher, callRecorder, loadPoller, statusReporter} {
		r.supervisor.Add(service)
	}
	for i, listener := range []net.Listener{r.callerListener, r.statusListener, r.peerListener} {
		r.supervisor.Add(&listenerService{server: r.servers[i], listener: listener})
	}
}

// logSupervisorEvent logs the failure or restart of a service of the supervisor tree.
func logSupervisorEvent(log hclog.Logger, event suture.Event) {
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

// newTokenSource returns a function that returns a string at each call that is unique
// among all instances. It is not safe for concurrent use.
func newTokenSource(instanceID string) func() string {
	count := uint64(0)

	return func() string {
		count++

		return fmt.Sprintf("%s-%d", instanceID, count)
	}
}

// newTransport returns an HTTP transport with the given TLS configuration, or without one
// if it is nil.
func newTransport(tlsConfig *tls.Config) http.RoundTripper {
	return sendtracker.NewTransport(&http.Transport{
		TLSClientConfig:     tlsConfig,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	})
}

// newHTTPServer returns an HTTP server with the given TLS configuration, or without TLS if
// it is nil.
func newHTTPServer(handler http.Handler, tlsConfig *tls.Config) *http.Server {
	return &http.Server{
		Handler:           handler,
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: headerReadTimeout,
		ReadTimeout:       requestReadTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Addresses returns the addresses of the listeners for callers, status and peers.
func (r *Runner) Addresses() (callers, status, peers string) {
	return r.callerListener.Addr().String(), r.statusListener.Addr().String(), r.peerListener.Addr().String()
}

// Meter returns the metrics of this instance.
func (r *Runner) Meter() *meter.Meter {
	return r.meter
}

// RevisionNumber returns the number of the configuration revision in force, or 0 if
// there is none.
func (r *Runner) RevisionNumber() uint64 {
	return r.follower.RevisionNumber()
}

// IsReady reports whether this instance can place requests and is not stopping.
func (r *Runner) IsReady() bool {
	return r.follower.RevisionNumber() > 0 && r.controller.IsReady() && !r.stopping.Load()
}

// Done returns a channel that is closed when Run has returned.
func (r *Runner) Done() <-chan struct{} {
	return r.done
}

// InFlight returns the number of requests that wait for placement or run at an endpoint.
func (r *Runner) InFlight() int {
	return r.controller.InFlight()
}

// IsEndpointLeaving reports whether an endpoint is leaving, so that it gets no new
// requests.
func (r *Runner) IsEndpointLeaving(endpoint string) bool {
	return r.controller.IsEndpointLeaving(endpoint)
}
