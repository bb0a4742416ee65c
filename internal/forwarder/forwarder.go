// Package forwarder sends requests to endpoints and returns their answers. It does the
// network I/O for the joiner, which decides when a stream is probed, resumed or failed.
// It never retries a request; a failed attempt is reported with what is known about
// whether the endpoint started it.
package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/common/sendtracker"
	"github.com/oleanderpick/oleanderpick/internal/common/verifier"
	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/joiner"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

const (
	dialTimeout         = 1 * time.Second
	probeTimeout        = 1 * time.Second
	cancelTimeout       = 2 * time.Second
	idleConnTimeout     = 10 * time.Second
	maxIdleConnsPerHost = 256
	readBufferBytes     = 32 << 10
	// progressInterval is the minimum time between two progress reports.
	progressInterval = 100 * time.Millisecond
)

// requestIDHeader is the header with the ID of a model request. Engines repeat it in their answers.
const requestIDHeader = "X-Request-Id"

// Forwarder sends requests to endpoints. It is safe for concurrent use.
type Forwarder struct {
	pooledClient *http.Client
	// unpooledClient opens a new connection for each request, so that a probe can
	// tell a silent connection from a slow endpoint.
	unpooledClient *http.Client
	settings       joiner.Settings
}

// New returns a forwarder whose streams use the given settings of the joiner.
func New(settings joiner.Settings) *Forwarder {
	dialer := &net.Dialer{Timeout: dialTimeout}
	newClient := func(keepAlive bool) *http.Client {
		transport := &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
			IdleConnTimeout:     idleConnTimeout,
			DisableKeepAlives:   !keepAlive,
			DisableCompression:  true,
			ReadBufferSize:      readBufferBytes,
		}

		return verifier.WithoutRedirects(&http.Client{Transport: verifiedTransport{sendtracker.NewTransport(transport)}})
	}

	return &Forwarder{pooledClient: newClient(true), unpooledClient: newClient(false), settings: settings}
}

// verifiedTransport fails requests whose answers are read from several messages, or are not final.
type verifiedTransport struct {
	sendtracker.Transport
}

// RoundTrip sends the request and checks the head of its answer.
func (t verifiedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := verifier.CheckHead(response); err != nil {
		_ = response.Body.Close()

		return nil, err
	}

	return response, nil
}

// Close closes the idle connections.
func (f *Forwarder) Close() {
	f.pooledClient.CloseIdleConnections()
	f.unpooledClient.CloseIdleConnections()
}

// dropPooledConnections closes the idle connections after a connection was found broken
// or silent, since the cause may have affected others as well.
func (f *Forwarder) dropPooledConnections() {
	f.pooledClient.CloseIdleConnections()
}

// ChunkWriter receives the chunks of a streamed answer as they arrive.
type ChunkWriter interface {
	// WriteChunk is called with the data of one event, which is valid only during
	// the call.
	WriteChunk(data []byte) error
	// Flush is called when no more data can be read without blocking, and at the end
	// of the answer.
	Flush() error
}

// Result is the result of one attempt of a model request.
type Result struct {
	// Failure is nil if the answer is complete.
	Failure *retrier.Failure
	// ChunkCount is the number of chunks passed to the ChunkWriter.
	ChunkCount int
}

// startStatusFromError returns the start status of a request that failed with err. If
// the connection could not be opened, nothing was sent.
func startStatusFromError(err error) retrier.StartStatus {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return retrier.NeverSent()
	}

	return retrier.StartUnknown()
}

// connectionTrace notes whether the connection of a request carried others before. An answer on
// such a connection may be an earlier one that the endpoint wrote again.
type connectionTrace struct {
	isReused atomic.Bool
}

// follow returns the request with its connection noted.
func (t *connectionTrace) follow(request *http.Request) *http.Request {
	return request.WithContext(httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { t.isReused.Store(info.Reused) },
	}))
}

// maxRefusalBytes limits the body of a refusal.
const maxRefusalBytes = 64 << 10

// failureFromResponse returns the failure of a request that the endpoint answered with
// an error. Only the header X-Started with the value false proves that the endpoint did
// not start the request, and only in a whole answer that is that of no earlier one: isNewConnection is
// true, or the answer states the request's ID.
func failureFromResponse(response *http.Response, isNewConnection bool, requestID string) retrier.Failure {
	isOwn := isNewConnection || (requestID != "" && response.Header.Get(requestIDHeader) == requestID)
	if isOwn && response.Header.Get("X-Started") == "false" && isWholeRefusal(response) {
		return retrier.Failure{
			Kind:        answerer.KindRefusedByEndpoint,
			StartStatus: retrier.ConfirmedNeverStarted(),
		}
	}

	return retrier.Failure{Kind: answerer.KindUncertain, StartStatus: retrier.StartUnknown()}
}

// isWholeRefusal reads the body of a refusal and reports whether it is whole and the only answer.
func isWholeRefusal(response *http.Response) bool {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))

	return err == nil && len(body) < maxRefusalBytes && !verifier.MayHoldStart(body)
}

// newDetachedContext returns a context for work that continues after the caller
// disconnects.
func newDetachedContext(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), timeout)
}
