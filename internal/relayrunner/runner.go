// Package relayrunner builds, runs and stops an instance that relays opaque requests. The
// background services of the instance run under one supervisor.
package relayrunner

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/thejerf/suture/v4"

	"github.com/oleanderpick/oleanderpick/internal/announcer"
	"github.com/oleanderpick/oleanderpick/internal/archiver"
	"github.com/oleanderpick/oleanderpick/internal/chronicler"
	"github.com/oleanderpick/oleanderpick/internal/common/sendtracker"
	"github.com/oleanderpick/oleanderpick/internal/configurer"
	"github.com/oleanderpick/oleanderpick/internal/connector"
	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/gossiper"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/internal/notifier"
	"github.com/oleanderpick/oleanderpick/internal/relayer"
	"github.com/oleanderpick/oleanderpick/internal/storer"
	"github.com/oleanderpick/oleanderpick/internal/usagereporter"
	"github.com/oleanderpick/oleanderpick/internal/watcher"
)

const (
	// storeTimeout limits a call of the platform's object API.
	storeTimeout = 700 * time.Millisecond
	// readTimeout limits a read of the configuration or the endpoints. It leaves time for a
	// new connection to a store that is 250 ms away in either direction.
	readTimeout = time.Second
	// hedgeDelay is the time after which such a read is sent again on a new connection. A
	// packet that was lost is sent again within it.
	hedgeDelay = 250 * time.Millisecond
	// requestHeaderTimeout limits how long a client may take to send a request's headers.
	requestHeaderTimeout = 10 * time.Second
	// maxHeaderBytes limits the size of a request's headers. The limit in the platform's
	// configuration is expected to be no higher.
	maxHeaderBytes = 64 << 10
	// peerIdleTimeout is how long an idle connection between instances is kept open.
	peerIdleTimeout = 20 * time.Second
	// sweepInterval is how often idle connections are checked for closing.
	sweepInterval = 500 * time.Millisecond
)

// PlatformDecoder names the kinds of the platform's objects and decodes the objects.
type PlatformDecoder interface {
	watcher.ObjectDecoder
	// InstanceKind returns the kind of the objects by which instances register.
	InstanceKind() string
	// QuarantineKind returns the kind of the object that keeps the blocks in quarantine.
	QuarantineKind() string
	// VersionKind returns the kind of the object that keeps the record of versions.
	VersionKind() string
}

// Platform describes the protocols of the platform that an instance runs on.
type Platform struct {
	// Dialect is the dialect of the platform's object API.
	Dialect storer.Dialect
	Decoder PlatformDecoder
	// Codec translates between the platform's headers and the relayer.
	Codec relayer.Codec
	// ReadyPath is the path at which the load balancer asks whether the instance is
	// ready.
	ReadyPath string
	// Cloud is the format of the cloud API.
	Cloud CloudFormat
	// Features returns the features that the platform's names call for; nil if there are none.
	Features func(names string) dispatcher.Features
}

// Runner is one relaying instance.
type Runner struct {
	settings            configurer.RelaySettings
	host                Host
	logger              hclog.Logger
	dispatcher          *dispatcher.Dispatcher
	relayer             *relayer.Relayer
	gossiper            *gossiper.Gossiper
	endpointConnections *connector.Connector
	peerConnections     *connector.Connector // for requests that are passed on
	counters            *meter.Meter
	callerConnections   *connectionTracker
	usage               *usagereporter.Reporter // nil if usage is not reported
	supervisor          *suture.Supervisor
	callerServer        *http.Server
	callerListener      net.Listener
	statusServer        *http.Server
	peerServer          *http.Server
	metricsServer       *http.Server
	isStopping          atomic.Bool
	// stopTimeoutNs is the longest time of a planned stop, in nanoseconds.
	stopTimeoutNs   atomic.Int64
	incarnation     uint64        // of this start
	listening       chan struct{} // closed once listenAddresses is set
	listenAddresses listenAddresses
	done            chan struct{}
}

// listenAddresses are the addresses at which the instance listens for callers, for the
// load balancer's status requests and for peers.
type listenAddresses struct {
	callers, status, peers string
}

// New returns an instance that is ready to run. Run starts it.
func New(settings configurer.RelaySettings, platform Platform, host Host, logger hclog.Logger) *Runner {
	limitMemory(settings.MemoryLimitMB)
	counters := meter.New()
	r := &Runner{settings: settings, host: host, logger: logger.Named("runner"), incarnation: uint64(time.Now().UnixNano()), listening: make(chan struct{}), done: make(chan struct{})}
	r.stopTimeoutNs.Store(int64(settings.StopTimeout))
	r.dispatcher = dispatcher.New(platform.dispatcherSettings(settings), dispatcher.Clock{Now: time.Now, SinceBoot: host.SinceBoot}, logger.Named("dispatcher"))
	r.endpointConnections = connector.New(connector.DefaultSettings(), host.DialEndpoint)
	r.peerConnections = connector.New(connector.DefaultSettings(), host.DialEndpoint)
	r.relayer = relayer.New(platform.Codec, r.dispatcher, r.endpointConnections, r.peerConnections, counters, logger.Named("relayer"), rand.Uint64)
	r.relayer.SetMemory(memoryBytes(settings))
	store := storer.New(settings.PlatformURL, &http.Client{Transport: sendtracker.NewTransport(newStoreTransport(host))}).
		WithTimeout(storeTimeout).WithDialect(platform.Dialect)
	versionChronicler := chronicler.New(chronicler.Settings{
		Kind: platform.Decoder.VersionKind(), FirstStart: settings.FirstStart, LongestStream: r.dispatcher.LongestStream,
	}, store, logger.Named("chronicler"))
	r.dispatcher.SetVersionSource(versionChronicler)
	platformWatcher := watcher.New(readPolicies(settings), store.WithTimeout(readTimeout).WithHedgedReads(hedgeDelay), platform.Decoder, versionChronicler, r.dispatcher, logger.Named("watcher"))
	versionChronicler.SetLister(platformWatcher)
	r.counters = counters
	r.callerConnections = newConnectionTracker(r.callerIdleTimeout)
	r.callerServer = &http.Server{
		Handler:           r.relayer,
		ReadHeaderTimeout: requestHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         r.callerConnections.onStateChange,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return relayer.WithConnectionTime(ctx, time.Now())
		},
		ErrorLog: logger.Named("callers").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	r.statusServer = &http.Server{Handler: r.newStatusHandler(platform.ReadyPath), ReadHeaderTimeout: requestHeaderTimeout}
	r.metricsServer = &http.Server{Handler: counters.Handler(), ReadHeaderTimeout: requestHeaderTimeout}
	r.gossiper = r.newGossiper(platform.Decoder, counters, logger.Named("gossiper"))
	r.dispatcher.SetPermitSource(r.gossiper)
	r.dispatcher.SetPinSource(r.gossiper)
	r.peerServer = &http.Server{Handler: r.newPeerHandler(), ReadHeaderTimeout: requestHeaderTimeout, IdleTimeout: peerIdleTimeout}
	instanceAnnouncer := announcer.New(announcer.Settings{
		Kind: platform.Decoder.InstanceKind(), Name: settings.Name, Address: settings.PeerListen,
		RetryDelay: announcer.DefaultRetryDelay, FirstListDelay: announcer.DefaultFirstListDelay, ListInterval: announcer.DefaultListInterval,
	}, store, r.gossiper, r.gossiper.AddAddresses, logger.Named("announcer"))
	blockArchiver := archiver.New(archiver.Settings{
		Kind: platform.Decoder.QuarantineKind(), CheckInterval: archiver.DefaultCheckInterval, RewriteInterval: archiver.DefaultRewriteInterval,
	}, store, r.dispatcher, logger.Named("archiver"))
	services := append(r.newDuties(platform.Cloud, store, logger), platformWatcher, instanceAnnouncer, blockArchiver)
	r.buildSupervisor(logger.Named("supervisor"), services...)

	return r
}

const (
	// defaultLimit is the time in which changes take effect for which the default intervals are
	// meant. Intervals for a longer one are longer by maxScale at the most: the lease on API keys
	// has to outlast the age of what was read and a short outage of the platform, and entries of
	// endpoints expire in an outage of some seconds.
	defaultLimit = 2 * time.Second
	maxScale     = 1.5
)

// scaleFor returns by how much intervals are longer than the default ones if changes must take
// effect within a limit. The settings' zero value has no limit.
func scaleFor(limit time.Duration) float64 {
	if limit <= 0 {
		return 1
	}

	return min(maxScale, float64(limit)/float64(defaultLimit))
}

// readPolicies returns when an instance reads from the platform.
func readPolicies(settings configurer.RelaySettings) watcher.ReadPolicies {
	policy := watcher.DefaultReadPolicy()

	return watcher.ReadPolicies{
		Configuration: policy.WithAgesScaled(scaleFor(settings.ChangeLimit)),
		Endpoints:     policy.WithAgesScaled(scaleFor(settings.DrainLimit)),
	}
}

// newGossiper returns a gossiper with the default settings and this instance's identity
// and seeds.
func (r *Runner) newGossiper(decoder gossiper.ConfigurationDecoder, counters *meter.Meter, logger hclog.Logger) *gossiper.Gossiper {
	settings := gossiper.DefaultSettings()
	settings.Name, settings.Address, settings.DataCentre = r.settings.Name, r.settings.PeerListen, r.settings.DataCentre
	settings.Incarnation = r.incarnation
	settings.Seeds = r.settings.SeedAddresses()
	client := &http.Client{Transport: sendtracker.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: 2,
		DisableCompression:  true, // Messages are small.
		IdleConnTimeout:     peerIdleTimeout,
		DialContext:         r.host.dialWithin(settings.ExchangeTimeout),
	})}

	return gossiper.New(settings, r.dispatcher, decoder, client, counters, logger)
}

// newStoreTransport returns the HTTP transport for calls of the platform's object API.
func newStoreTransport(host Host) *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,
		DialContext:         host.dialWithin(readTimeout),
	}
}

// buildSupervisor creates the supervisor and adds the background services to it.
func (r *Runner) buildSupervisor(logger hclog.Logger, services ...suture.Service) {
	r.supervisor = suture.New("oleanderpick", suture.Spec{EventHook: func(event suture.Event) {
		logger.Warn("Service event.", "event", event.String())
	}})
	r.supervisor.Add(r.dispatcher)
	r.supervisor.Add(r.gossiper)
	for _, service := range services {
		r.supervisor.Add(service)
	}
	r.supervisor.Add(&idleSweeper{pools: []*connector.Connector{r.endpointConnections, r.peerConnections}, callers: r.callerConnections})
}

// callerIdleTimeout returns how long a caller's connection may stay idle by the current
// configuration; zero if there is no limit.
func (r *Runner) callerIdleTimeout() time.Duration {
	if current := r.dispatcher.Matcher(); current != nil {
		return current.Limits().IdleTimeout
	}

	return 0
}

// newPeerHandler returns the handler for peers: of messages, and of requests that they pass on.
func (r *Runner) newPeerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if relayer.IsPassedOn(request) {
			r.relayer.ServePassedOn(w, request)

			return
		}
		r.gossiper.Handler().ServeHTTP(w, request)
	})
}

// newStatusHandler returns the handler by which the load balancer asks whether this
// instance is ready. It answers 503 while the instance is not ready or stops.
func (r *Runner) newStatusHandler(readyPath string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+readyPath, func(w http.ResponseWriter, _ *http.Request) {
		if r.isStopping.Load() || !r.dispatcher.IsReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})

	return mux
}

// Run serves until ctx ends and then stops as planned: it keeps serving until the load
// balancer sends new connections to other instances, and lets requests in flight end
// normally unless they take longer than the stop timeout. It returns an error if the
// instance cannot listen or a server fails.
func (r *Runner) Run(ctx context.Context) error {
	defer close(r.done)
	listeners, err := r.listen()
	if err != nil {
		return err
	}
	if err := r.startNotifier(); err != nil {
		r.logger.Error("Load updates between instances are off.", "error", err)
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	supervisorEnded := r.supervisor.ServeBackground(runCtx)
	serverErrors := make(chan error, len(listeners))
	for server, listener := range listeners {
		go func() { serverErrors <- server.Serve(listener) }()
	}
	r.logger.Info("Serving.", "name", r.settings.Name, "data centre", r.settings.DataCentre, "callers", r.settings.Listen,
		"peers", r.settings.PeerListen, "metrics", r.settings.MetricsListen, "key lease", r.settings.KeyLeaseDuration.String(),
		"features", r.settings.Features, "cloud", r.settings.Duties.CloudURL, "duties", r.settings.Duties.Names, "duty lease", r.settings.Duties.LeaseDuration.String(), "usage window", r.settings.Duties.UsageWindow.String())
	select {
	case err := <-serverErrors:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	r.stop()
	cancel()
	if err := <-supervisorEnded; err != nil && !errors.Is(err, context.Canceled) {
		r.logger.Warn("Supervisor ended.", "error", err)
	}
	r.endpointConnections.Close()
	r.peerConnections.Close()
	r.logger.Info("Stopped.")

	return nil
}

// listen opens a listener for each server and sets listenAddresses.
func (r *Runner) listen() (map[*http.Server]net.Listener, error) {
	listeners := map[*http.Server]net.Listener{}
	addressesByServer := map[*http.Server]string{
		r.callerServer: r.settings.Listen, r.statusServer: r.settings.StatusListen, r.peerServer: r.settings.PeerListen,
	}
	if r.settings.MetricsListen != "" {
		addressesByServer[r.metricsServer] = r.settings.MetricsListen
	}
	for server, address := range addressesByServer {
		listener, err := r.host.Listen(context.Background(), address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s", address)
		}
		listeners[server] = listener
	}
	r.callerListener = listeners[r.callerServer]
	r.listenAddresses = listenAddresses{
		callers: listeners[r.callerServer].Addr().String(),
		status:  listeners[r.statusServer].Addr().String(),
		peers:   listeners[r.peerServer].Addr().String(),
	}
	close(r.listening)

	return listeners, nil
}

// startNotifier opens the port for load updates between instances and adds a notifier to
// the supervisor, if the settings name a port. Without it, the instance still serves, but
// learns peers' loads only from gossip messages.
func (r *Runner) startNotifier() error {
	if r.settings.LoadUpdatePort == 0 {
		return nil
	}
	host, _, err := net.SplitHostPort(r.settings.PeerListen)
	if err != nil {
		return errors.Wrapf(err, "setting -peer-listen: value %q", r.settings.PeerListen)
	}
	var config net.ListenConfig
	conn, err := config.ListenPacket(context.Background(), "udp4", net.JoinHostPort(host, strconv.Itoa(r.settings.LoadUpdatePort)))
	if err != nil {
		return errors.Wrapf(err, "setting -note-port: value %d", r.settings.LoadUpdatePort)
	}
	loadNotifier := notifier.New(r.settings.Name, uint16(r.settings.LoadUpdatePort), conn, r.gossiper, r.gossiper, r.dispatcher, r.counters, r.logger.Named("notifier"))
	r.gossiper.UseDatagrams(loadNotifier)
	r.dispatcher.OnLoadChange(loadNotifier.QueueUpdate)
	r.dispatcher.OnPin(loadNotifier.QueuePin)
	r.dispatcher.OnRejection(loadNotifier.QueueRejection)
	r.supervisor.Add(loadNotifier)

	return nil
}

// Addresses waits until the instance listens and returns the addresses at which it does.
func (r *Runner) Addresses() (callers, status, peers string) {
	<-r.listening

	return r.listenAddresses.callers, r.listenAddresses.status, r.listenAddresses.peers
}

// Done returns a channel that is closed when the instance has stopped.
func (r *Runner) Done() <-chan struct{} {
	return r.done
}
