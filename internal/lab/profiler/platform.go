package profiler

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/lab/keeper"
	"github.com/oleanderpick/oleanderpick/internal/storer"
)

const unlimited = 1e9

// platform is a stand-in platform behind a counting network, with a client that
// counts its calls.
type platform struct {
	*storer.Client
	// operator writes, uncounted.
	operator *storer.Client
	network  *network
	servers  []*http.Server
	keeper   *keeper.Keeper
	reads    atomic.Int64
	waiting  atomic.Int64
	widest   atomic.Int64
}

func newPlatform() *platform {
	p := &platform{
		network: newNetwork(func(string) string { return "platform" }),
		keeper:  keeper.New(keeper.Settings{WritesPerSecond: unlimited, ReadsPerSecond: unlimited}),
	}
	p.Client = p.client(p.network)
	p.operator = p.client(newNetwork(func(string) string { return "operator" }))

	return p
}

// client serves the platform on a network and returns a client there.
func (p *platform) client(network *network) *storer.Client {
	p.servers = append(p.servers, serve(network, p.keeper.Handler()))
	transport := &http.Transport{DialContext: network.dial}

	return storer.New("http://10.200.0.1:7000", &http.Client{Transport: transport}).WithTimeout(time.Minute)
}

// Get counts a read.
func (p *platform) Get(ctx context.Context, kind, name string) (storer.Object, error) {
	p.reads.Add(1)

	return p.Client.Get(ctx, kind, name)
}

// Instances counts a read.
func (p *platform) Instances(ctx context.Context) ([]storer.Instance, error) {
	p.reads.Add(1)

	return p.Client.Instances(ctx)
}

// Watch counts a read, and how many wait at once.
func (p *platform) Watch(ctx context.Context, kind, name string, version uint64, wait time.Duration) (storer.Object, bool, error) {
	p.reads.Add(1)
	waiting := p.waiting.Add(1)
	p.widest.Store(max(p.widest.Load(), waiting))
	defer p.waiting.Add(-1)

	return p.Client.Watch(ctx, kind, name, version, wait)
}

// bytes returns what passed so far.
func (p *platform) bytes() Bytes {
	return p.network.counts()["platform"]
}

func (p *platform) close() {
	for _, server := range p.servers {
		_ = server.Close()
	}
}

const headerTimeout = 5 * time.Second

// serve serves a handler on a listener until the server is closed.
func serve(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() {
		_ = server.Serve(listener)
	}()

	return server
}
