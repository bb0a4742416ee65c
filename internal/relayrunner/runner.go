// Package relayrunner puts an instance together that relays opaque requests.
// Every part is a service in one supervisor tree.
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
	"github.com/oleanderpick/oleanderpick/internal/common/clock"
	"github.com/oleanderpick/oleanderpick/internal/configurer"
	"github.com/oleanderpick/oleanderpick/internal/connector"
	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/gossiper"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/internal/notifier"
	"github.com/oleanderpick/oleanderpick/internal/relayer"
	"github.com/oleanderpick/oleanderpick/internal/storer"
	"github.com/oleanderpick/oleanderpick/internal/watcher"
)

const (
	// storeTimeout bounds a call of the platform. Two in a row and their
	// interval stay below the two seconds in which a change must be known.
	storeTimeout = 700 * time.Millisecond
	// headerTimeout bounds how long a caller may take for a request's head.
	headerTimeout = 10 * time.Second
	// headerMost is the largest head in bytes; the configuration's limit is
	// within it.
	headerMost = 64 << 10
	// peerIdle is how long a connection between instances stays idle.
	peerIdle = 20 * time.Second
	// sweepInterval is how often idle connections are looked through.
	sweepInterval = 500 * time.Millisecond
)

// Reader names and reads the platform's objects.
type Reader interface {
	watcher.Reader
	// Instances is the kind of the instances' own entries.
	Instances() string
}

// Platform is how an instance speaks with the platform that it runs on.
type Platform struct {
	Dialect   storer.Dialect
	Reader    Reader
	Codec     relayer.HeaderCodec
	ReadyPath string
}

// Runner is one relaying instance.
type Runner struct {
	settings configurer.Relay
	logger   hclog.Logger
	control  *dispatcher.Dispatcher
	relayer  *relayer.Relayer
	gossip   *gossiper.Gossiper
	links    *connector.Connector
	counters *meter.Meter
	idlers   *idlers
	tree     *suture.Supervisor
	callers  *http.Server
	status   *http.Server
	peers    *http.Server
	metrics  *http.Server
	leaving  atomic.Bool
	// stopLimit is the longest time of a planned stop, in nanoseconds.
	stopLimit atomic.Int64
	serving   chan struct{}
	opened    addresses
	done      chan struct{}
}

// addresses are what the instance listens on.
type addresses struct {
	callers, status, peers string
}

// New puts the parts together. Run starts them.
func New(settings configurer.Relay, platform Platform, logger hclog.Logger) *Runner {
	limitMemory(settings.Memory)
	counters := meter.New()
	r := &Runner{settings: settings, logger: logger.Named("runner"), serving: make(chan struct{}), done: make(chan struct{})}
	r.stopLimit.Store(int64(settings.StopLimit))
	r.control = dispatcher.New(limits(settings), dispatcher.Clock{Now: time.Now, SinceBoot: clock.Boot}, logger.Named("dispatcher"))
	r.links = connector.New(connector.DefaultSettings(), connector.NewDialFunc(connector.DefaultSettings()))
	r.relayer = relayer.New(platform.Codec, r.control, r.links, counters, logger.Named("relayer"), rand.Uint64)
	store := storer.New(settings.Platform, &http.Client{Transport: storeTransport()}).
		WithTimeout(storeTimeout).WithDialect(platform.Dialect)
	reads := watcher.New(watcher.DefaultPace(), store, platform.Reader, r.control, logger.Named("watcher"))
	r.counters = counters
	r.idlers = newIdlers(r.idleTimeout)
	r.callers = &http.Server{
		Handler:           r.relayer,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    headerMost,
		ConnState:         r.idlers.changed,
		ErrorLog:          logger.Named("callers").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	r.status = &http.Server{Handler: r.statusHandler(platform.ReadyPath), ReadHeaderTimeout: headerTimeout}
	r.metrics = &http.Server{Handler: counters.Handler(), ReadHeaderTimeout: headerTimeout}
	r.gossip = r.newGossiper(platform.Reader, counters, logger.Named("gossiper"))
	r.peers = &http.Server{Handler: r.gossip.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: peerIdle}
	announces := announcer.New(announcer.Settings{
		Kind: platform.Reader.Instances(), Name: settings.Name, Address: settings.PeerListen,
		Retry: announcer.DefaultRetry, Interval: announcer.DefaultInterval,
	}, store, r.gossip.Meet, logger.Named("announcer"))
	r.plant(logger.Named("supervisor"), reads, announces)

	return r
}

func (r *Runner) newGossiper(reader gossiper.Reader, counters *meter.Meter, logger hclog.Logger) *gossiper.Gossiper {
	settings := gossiper.DefaultSettings()
	settings.Name, settings.Address = r.settings.Name, r.settings.PeerListen
	settings.Incarnation = uint64(time.Now().UnixNano())
	settings.Seeds = r.settings.PeerAddresses()
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     peerIdle,
		DialContext:         (&net.Dialer{Timeout: settings.Timeout}).DialContext,
	}}

	return gossiper.New(settings, r.control, reader, client, counters, logger)
}

func storeTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,
		DialContext:         (&net.Dialer{Timeout: storeTimeout}).DialContext,
	}
}

// plant makes the supervisor tree.
func (r *Runner) plant(logger hclog.Logger, services ...suture.Service) {
	r.tree = suture.New("oleanderpick", suture.Spec{EventHook: func(event suture.Event) {
		logger.Warn("Service event.", "event", event.String())
	}})
	r.tree.Add(r.control)
	r.tree.Add(r.gossip)
	for _, service := range services {
		r.tree.Add(service)
	}
	r.tree.Add(&sweeper{links: r.links, idlers: r.idlers})
}

// idleTimeout is how long a caller's connection may stay idle; zero: no limit.
func (r *Runner) idleTimeout() time.Duration {
	if known := r.control.Matcher(); known != nil {
		return known.Limits().IdleTimeout
	}

	return 0
}

func (r *Runner) statusHandler(readyPath string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+readyPath, func(w http.ResponseWriter, _ *http.Request) {
		if r.leaving.Load() || !r.control.IsReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})

	return mux
}

// Run serves until ctx ends, then stops as planned: new connections go
// elsewhere once the balancer has noticed, and requests in flight end whole, as
// long as the stop limit allows.
func (r *Runner) Run(ctx context.Context) error {
	defer close(r.done)
	listeners, err := r.listen()
	if err != nil {
		return err
	}
	if err := r.listenNotes(); err != nil {
		r.logger.Error("Notes between instances are off.", "error", err)
	}
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ended := r.tree.ServeBackground(running)
	failed := make(chan error, len(listeners))
	for server, listener := range listeners {
		go func() { failed <- server.Serve(listener) }()
	}
	r.logger.Info("Serving.", "name", r.settings.Name, "data centre", r.settings.DataCentre, "callers", r.settings.Listen,
		"peers", r.settings.PeerListen, "metrics", r.settings.MetricsListen, "key lease", r.settings.KeyLease.String())
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	r.stop()
	cancel()
	if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
		r.logger.Warn("Supervisor ended.", "error", err)
	}
	r.links.Close()
	r.logger.Info("Stopped.")

	return nil
}

func (r *Runner) listen() (map[*http.Server]net.Listener, error) {
	listeners := map[*http.Server]net.Listener{}
	servers := map[*http.Server]string{
		r.callers: r.settings.Listen, r.status: r.settings.StatusListen, r.peers: r.settings.PeerListen,
	}
	if r.settings.MetricsListen != "" {
		servers[r.metrics] = r.settings.MetricsListen
	}
	for server, address := range servers {
		var config net.ListenConfig
		listener, err := config.Listen(context.Background(), "tcp", address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s", address)
		}
		listeners[server] = listener
	}
	r.opened = addresses{
		callers: listeners[r.callers].Addr().String(),
		status:  listeners[r.status].Addr().String(),
		peers:   listeners[r.peers].Addr().String(),
	}
	close(r.serving)

	return listeners, nil
}

// listenNotes opens the port of notes between instances, if there is one. An
// instance serves without it, and learns of loads by messages alone.
func (r *Runner) listenNotes() error {
	if r.settings.NotePort == 0 {
		return nil
	}
	host, _, err := net.SplitHostPort(r.settings.PeerListen)
	if err != nil {
		return errors.Wrapf(err, "setting -peer-listen: value %q", r.settings.PeerListen)
	}
	var config net.ListenConfig
	conn, err := config.ListenPacket(context.Background(), "udp4", net.JoinHostPort(host, strconv.Itoa(r.settings.NotePort)))
	if err != nil {
		return errors.Wrapf(err, "setting -note-port: value %d", r.settings.NotePort)
	}
	notes := notifier.New(r.settings.Name, uint16(r.settings.NotePort), conn, r.gossip, r.control, r.counters, r.logger.Named("notifier"))
	r.control.Notify(notes.Tell)
	r.tree.Add(notes)

	return nil
}

// Addresses waits until the instance listens and returns where.
func (r *Runner) Addresses() (callers, status, peers string) {
	<-r.serving

	return r.opened.callers, r.opened.status, r.opened.peers
}

// Done is closed when the instance has stopped.
func (r *Runner) Done() <-chan struct{} {
	return r.done
}
