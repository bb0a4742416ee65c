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

// unlimitedRate is a rate limit, per second, that no simulation reaches.
const unlimitedRate = 1e9

// countingPlatform is a stand-in platform, reached over an in-memory network that
// counts its bytes, with a client that counts the reads.
type countingPlatform struct {
	*storer.Client
	// operatorClient is for writes. Its calls and bytes are not counted.
	operatorClient *storer.Client
	network        *pipeNetwork
	httpServers    []*http.Server
	keeper         *keeper.Keeper
	// readCount is the number of calls of Get, Instances and Watch.
	readCount atomic.Int64
	// openWatches is the number of calls of Watch that wait now, peakOpenWatches the most
	// that waited at once.
	openWatches     atomic.Int64
	peakOpenWatches atomic.Int64
}

// newCountingPlatform starts an empty platform, which must be closed.
func newCountingPlatform() *countingPlatform {
	p := &countingPlatform{
		network: newPipeNetwork(func(string) string { return "platform" }),
		keeper:  keeper.New(keeper.Settings{WritesPerSecond: unlimitedRate, ReadsPerSecond: unlimitedRate}),
	}
	p.Client = p.newClient(p.network)
	p.operatorClient = p.newClient(newPipeNetwork(func(string) string { return "operator" }))

	return p
}

// newClient starts an HTTP server of the platform on a network, and returns a client that
// calls it over this network.
func (p *countingPlatform) newClient(network *pipeNetwork) *storer.Client {
	p.httpServers = append(p.httpServers, serve(network, p.keeper.Handler()))
	transport := &http.Transport{DialContext: network.dial}

	return storer.New("http://10.200.0.1:7000", &http.Client{Transport: transport}).WithTimeout(time.Minute)
}

// Get reads an object and counts the call.
func (p *countingPlatform) Get(ctx context.Context, kind, name string) (storer.Object, error) {
	p.readCount.Add(1)

	return p.Client.Get(ctx, kind, name)
}

// Instances reads the instance list and counts the call.
func (p *countingPlatform) Instances(ctx context.Context) ([]storer.Instance, error) {
	p.readCount.Add(1)

	return p.Client.Instances(ctx)
}

// Watch waits for a newer version of an object. It counts the call as a read, and keeps
// peakOpenWatches up to date.
func (p *countingPlatform) Watch(ctx context.Context, kind, name string, version uint64, wait time.Duration) (storer.Object, bool, error) {
	p.readCount.Add(1)
	openWatches := p.openWatches.Add(1)
	p.peakOpenWatches.Store(max(p.peakOpenWatches.Load(), openWatches))
	defer p.openWatches.Add(-1)

	return p.Client.Watch(ctx, kind, name, version, wait)
}

// byteCounts returns the bytes sent to and received from the platform so far, without
// those of operatorClient.
func (p *countingPlatform) byteCounts() ByteCounts {
	return p.network.byteCountsByGroup()["platform"]
}

func (p *countingPlatform) close() {
	for _, server := range p.httpServers {
		_ = server.Close()
	}
}

// headerTimeout limits the time to read the header of a request.
const headerTimeout = 5 * time.Second

// serve starts an HTTP server for a handler on a listener, and returns it for the
// caller to close.
func serve(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() {
		_ = server.Serve(listener)
	}()

	return server
}
