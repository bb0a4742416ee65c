// Package forwarder carries requests to endpoints and their answers back: it
// is the input and output around the joiner's decisions. It never retries by
// itself; a failed try is reported with what is known about its start.
package forwarder

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/joiner"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

const (
	dialTimeout   = 1 * time.Second
	probeTimeout  = 1 * time.Second
	cancelTimeout = 2 * time.Second
	idleTimeout   = 10 * time.Second
	idlePerHost   = 256
	bufferSize    = 32 << 10
	// progressInterval is the least time between two words on progress.
	progressInterval = 100 * time.Millisecond
)

// Forwarder sends requests to endpoints. It is safe for concurrent use.
type Forwarder struct {
	client *http.Client
	// fresh opens a new connection for each call, so that it tells a silent
	// connection from a slow endpoint.
	fresh    *http.Client
	settings joiner.Settings
}

// New returns a forwarder whose streams use the given limits.
func New(settings joiner.Settings) *Forwarder {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := func(keepAlive bool) *http.Transport {
		return &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idlePerHost,
			IdleConnTimeout:     idleTimeout,
			DisableKeepAlives:   !keepAlive,
			DisableCompression:  true,
			ReadBufferSize:      bufferSize,
		}
	}

	return &Forwarder{
		client:   &http.Client{Transport: transport(true)},
		fresh:    &http.Client{Transport: transport(false)},
		settings: settings,
	}
}

// Close drops the idle connections.
func (f *Forwarder) Close() {
	f.client.CloseIdleConnections()
	f.fresh.CloseIdleConnections()
}

// distrust drops the idle connections after one was found broken or silent:
// what cut it may have cut others.
func (f *Forwarder) distrust() {
	f.client.CloseIdleConnections()
}

// Sink takes an answer as it comes.
type Sink interface {
	// Chunk takes the data of one event; it is valid during the call only.
	Chunk(data []byte) error
	// Flush is called when nothing more can be read without waiting.
	Flush() error
}

// Result is how one try ended.
type Result struct {
	// Failure is nil when the answer is whole.
	Failure *retrier.Failure
	// Chunks is the number of chunks that went to the sink.
	Chunks int
}

// unsent returns what is known after a call failed with err: nothing left
// when the connection could not be made.
func unsent(err error) retrier.StartStatus {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return retrier.NeverSent()
	}

	return retrier.StartUnknown()
}

// refusal returns what is known after an endpoint answered with an error.
func refusal(response *http.Response) retrier.Failure {
	if response.Header.Get("X-Started") == "false" {
		return retrier.Failure{
			Kind:        answerer.KindRefusedByEndpoint,
			StartStatus: retrier.ConfirmedNeverStarted(),
		}
	}

	return retrier.Failure{Kind: answerer.KindUncertain, StartStatus: retrier.StartUnknown()}
}

func detached(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), timeout)
}
