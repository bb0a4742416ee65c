// Package connector keeps a pool of HTTP connections to endpoints and sends requests on
// them.
//
// A request is never resent: each one has a connection to itself, and an error tells
// whether any byte of the request may have been sent. (http.Transport resends some
// requests on its own.)
//
// An endpoint may write an answer once more, where that to the next request on the connection is
// due. A request that is sent again must not meet the answer to its earlier sending, which has
// the same ID: a connection whose answer did not end the request is not used for it again (Exclude).
//
// The number of connections is bounded by the requests in flight plus the idle
// connections that the user of the package allows for each endpoint.
package connector

import (
	"context"
	"hash/maphash"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/common/sendtracker"
)

// ErrNotSent means that no byte of the request was sent.
var ErrNotSent = errors.New("request not sent")

// notSentError is ErrNotSent with its cause.
type notSentError struct {
	cause error
}

// Error returns the text of ErrNotSent and of the cause.
func (e *notSentError) Error() string {
	return ErrNotSent.Error() + ": " + e.cause.Error()
}

// Unwrap returns ErrNotSent and the cause.
func (e *notSentError) Unwrap() []error {
	return []error{ErrNotSent, e.cause}
}

// Settings are the timeouts of connections.
type Settings struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// UnacknowledgedTimeout is how long sent bytes, or keep-alive probes, may stay
	// unacknowledged before the connection counts as dead. On Linux it replaces the number of
	// probes: once it has passed, a single lost probe ends the connection.
	UnacknowledgedTimeout time.Duration
	// KeepAliveProbeInterval is the silence after which TCP keep-alive probes begin, and the
	// time between two, in whole seconds. Two must fit into UnacknowledgedTimeout.
	KeepAliveProbeInterval time.Duration
	// DefaultIdleTimeout is how long an idle connection may be reused if the
	// endpoint states no timeout.
	DefaultIdleTimeout time.Duration
}

// DefaultSettings returns the settings for networks with a few milliseconds of latency
// and some packet loss.
func DefaultSettings() Settings {
	return Settings{
		DialTimeout:            200 * time.Millisecond,
		UnacknowledgedTimeout:  2500 * time.Millisecond,
		KeepAliveProbeInterval: time.Second,
		DefaultIdleTimeout:     4 * time.Second,
	}
}

// maxResponseHeaderBytes limits the size of the headers of a response, and of interim
// responses before it.
const maxResponseHeaderBytes = 64 << 10

// maxExcludedRequests is the number of requests that are kept off a connection before it is closed.
const maxExcludedRequests = 64

// Connector is a pool of connections by address. It is safe for concurrent use.
type Connector struct {
	settings   Settings
	transport  *http.Transport
	lastNumber atomic.Uint64 // of a connection
	seed       maphash.Seed

	mu   sync.Mutex
	idle map[string][]*Connection // by address, the last used one at the end
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewDialFunc returns a DialFunc for TCP connections. Keep-alive probes and a limit for
// unacknowledged bytes make dead connections fail soon.
func NewDialFunc(settings Settings) DialFunc {
	dialer := &net.Dialer{
		Timeout: settings.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: settings.KeepAliveProbeInterval, Interval: settings.KeepAliveProbeInterval,
		},
		Control: setUnacknowledgedTimeout(settings.UnacknowledgedTimeout),
	}

	return dialer.DialContext
}

// New returns a connector without connections, which opens them with the dial function.
func New(settings Settings, dial DialFunc) *Connector {
	c := &Connector{settings: settings, seed: maphash.MakeSeed(), idle: map[string][]*Connection{}}
	c.transport = &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         4 << 10,
		WriteBufferSize:        4 << 10,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			counted := &countingConn{Conn: sendtracker.New(conn)}
			if dialed, ok := ctx.Value(dialedConnKey{}).(**countingConn); ok {
				*dialed = counted
			}

			return counted, nil
		},
	}

	return c
}

// dialedConnKey is the context key of the variable that receives the connection which
// the transport dials.
type dialedConnKey struct{}

// Open returns an idle connection to the address that does not exclude the request or, if there is none, opens
// one.
func (c *Connector) Open(ctx context.Context, address, requestID string) (*Connection, error) {
	if idle := c.takeIdle(address, requestID); idle != nil {
		idle.isNew = false

		return idle, nil
	}

	return c.Dial(ctx, address)
}

// Dial opens a connection to the address, even if there are idle ones.
func (c *Connector) Dial(ctx context.Context, address string) (*Connection, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.DialTimeout)
	defer cancel()
	var conn *countingConn
	client, err := c.transport.NewClientConn(context.WithValue(ctx, dialedConnKey{}, &conn), "http", address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}

	return &Connection{address: address, number: c.lastNumber.Add(1), seed: c.seed, client: client, conn: conn, isNew: true}, nil
}

// Probe opens a connection to the address, which shows whether the endpoint accepts any, and
// keeps it for a later request unless maxIdle connections to the address are idle already.
func (c *Connector) Probe(ctx context.Context, address string, maxIdle int) error {
	conn, err := c.Dial(ctx, address)
	if err != nil {
		return err
	}
	c.keep(conn, c.settings.DefaultIdleTimeout, maxIdle)

	return nil
}

// takeIdle removes and returns the idle connection to the address that was used last of those that do not
// exclude the request; nil if there is none that can be reused. It closes unusable ones on the way.
func (c *Connector) takeIdle(address, requestID string) *Connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[address]
	for i := len(idle) - 1; i >= 0; i-- {
		conn := idle[i]
		isUsable := conn.isUsable()
		if isUsable && conn.excludes(requestID) {
			continue
		}
		idle = slices.Delete(idle, i, i+1)
		c.idle[address] = idle
		if isUsable {
			return conn
		}
		_ = conn.client.Close()
	}
	if len(idle) == 0 {
		delete(c.idle, address)
	}

	return nil
}

// Release keeps the connection for a later request. The response must have been read to
// its end. The connection is closed instead if the response says so, if it excludes
// maxExcludedRequests requests, or if maxIdle connections to the address are idle already.
func (c *Connector) Release(conn *Connection, response *http.Response, maxIdle int) {
	timeout, reusable := idleTimeout(response, c.settings.DefaultIdleTimeout)
	if !reusable || conn.client.Err() != nil || len(conn.excluded) >= maxExcludedRequests {
		conn.Close()

		return
	}
	conn.isReused = true
	c.keep(conn, timeout, maxIdle)
}

// keep makes a connection idle for a time, or closes it if maxIdle connections to the
// address are idle already.
func (c *Connector) keep(conn *Connection, timeout time.Duration, maxIdle int) {
	conn.expiresAt = time.Now().Add(timeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[conn.address]
	if len(idle) >= maxIdle {
		conn.Close()

		return
	}
	c.idle[conn.address] = append(idle, conn)
}

// idleTimeoutFraction is the part of the endpoint's own idle timeout after which a
// connection is not reused, since the endpoint may be about to close it.
const idleTimeoutFraction = 0.7

// idleTimeout returns how long the connection may be reused while it is idle, by the
// response's Keep-Alive header or else the fallback; false if it must not be reused.
func idleTimeout(response *http.Response, fallback time.Duration) (time.Duration, bool) {
	if response.Close {
		return 0, false
	}
	for parameter := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(parameter), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil || seconds <= 0 {
			return 0, false
		}

		return time.Duration(seconds * idleTimeoutFraction * float64(time.Second)), true
	}

	return fallback, true
}

// CloseIdle closes the idle connections to an address that has become silent. The next
// request must then open a connection, which shows whether the endpoint is reachable
// before the request is sent.
func (c *Connector) CloseIdle(address string) {
	c.mu.Lock()
	idle := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, conn := range idle {
		conn.Close()
	}
}

// CloseExpired closes the idle connections that have expired or failed.
func (c *Connector) CloseExpired() {
	now := time.Now()
	var expired []*Connection
	c.mu.Lock()
	for address, idle := range c.idle {
		live := idle[:0]
		for _, conn := range idle {
			if now.Before(conn.expiresAt) && conn.client.Err() == nil {
				live = append(live, conn)
			} else {
				expired = append(expired, conn)
			}
		}
		c.idle[address] = live
		if len(live) == 0 {
			delete(c.idle, address)
		}
	}
	c.mu.Unlock()
	for _, conn := range expired {
		conn.Close()
	}
}

// Close closes all idle connections. Those in use stay open.
func (c *Connector) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle = map[string][]*Connection{}
	c.mu.Unlock()
	for _, connections := range idle {
		for _, conn := range connections {
			conn.Close()
		}
	}
}
