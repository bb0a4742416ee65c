// Package connector keeps connections to endpoints and sends requests on them.
//
// Nothing is sent twice: each request goes out on one connection that the
// caller gets for it alone, and an error says whether a byte of the request may
// have left. (http.Transport resends some requests by itself.)
//
// State is bounded by the number of requests in flight and, for idle
// connections, by the number that their user lets them be kept at an endpoint.
package connector

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// ErrNotSent means that no byte of the request has left.
var ErrNotSent = errors.New("request not sent")

// notSentError is ErrNotSent with its cause.
type notSentError struct {
	cause error
}

// Error returns the cause.
func (e *notSentError) Error() string {
	return ErrNotSent.Error() + ": " + e.cause.Error()
}

// Unwrap returns ErrNotSent and the cause.
func (e *notSentError) Unwrap() []error {
	return []error{ErrNotSent, e.cause}
}

// Settings are a connector's limits.
type Settings struct {
	// Dial is the longest time to open a connection.
	Dial time.Duration
	// Unacknowledged is the longest time that sent bytes stay without an
	// acknowledgement before the connection counts as dead.
	Unacknowledged time.Duration
	// KeepAlive is the silence after which an open connection is probed.
	KeepAlive time.Duration
	// IdleTimeout is how long an idle connection is used again where the
	// endpoint does not say.
	IdleTimeout time.Duration
}

// DefaultSettings returns the settings for links with a few milliseconds of
// delay that lose some packets.
func DefaultSettings() Settings {
	return Settings{
		Dial:           200 * time.Millisecond,
		Unacknowledged: 1500 * time.Millisecond,
		KeepAlive:      2 * time.Second,
		IdleTimeout:    4 * time.Second,
	}
}

// Connector keeps connections. It is safe for concurrent use.
type Connector struct {
	settings  Settings
	transport *http.Transport

	mu   sync.Mutex
	idle map[string][]*Connection
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewDialFunc returns a Dial of TCP connections whose silence shows in time.
func NewDialFunc(settings Settings) Dial {
	dialer := &net.Dialer{
		Timeout: settings.Dial,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: settings.KeepAlive, Interval: settings.KeepAlive / 2, Count: 2,
		},
		Control: unacknowledged(settings.Unacknowledged),
	}

	return dialer.DialContext
}

// New returns a connector without connections.
func New(settings Settings, dial Dial) *Connector {
	c := &Connector{settings: settings, idle: map[string][]*Connection{}}
	c.transport = &http.Transport{
		DisableCompression: true,
		ReadBufferSize:     4 << 10,
		WriteBufferSize:    4 << 10,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			counted := &countedConn{Conn: conn}
			if slot, ok := ctx.Value(slotKey{}).(**countedConn); ok {
				*slot = counted
			}

			return counted, nil
		},
	}

	return c
}

type slotKey struct{}

// Connection is a connection to an endpoint, for one request at a time.
type Connection struct {
	address string
	client  *http.ClientConn
	wire    *countedConn
	expires time.Time
	used    bool
}

// Open returns a connection to the address: an idle one if there is one.
func (c *Connector) Open(ctx context.Context, address string) (*Connection, error) {
	if kept := c.take(address); kept != nil {
		return kept, nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.Dial)
	defer cancel()
	var wire *countedConn
	client, err := c.transport.NewClientConn(context.WithValue(ctx, slotKey{}, &wire), "http", address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}

	return &Connection{address: address, client: client, wire: wire}, nil
}

// take returns the idle connection that was used last.
func (c *Connector) take(address string) *Connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[address]
	for len(kept) > 0 {
		last := kept[len(kept)-1]
		kept = kept[:len(kept)-1]
		c.idle[address] = kept
		if time.Now().Before(last.expires) && last.client.Err() == nil && last.client.Available() > 0 {
			return last
		}
		_ = last.client.Close()
	}
	delete(c.idle, address)

	return nil
}

// Reused reports whether the connection carried a request before.
func (c *Connection) Reused() bool {
	return c.used
}

// Send sends the request and returns the answer's head. Right before the first
// byte leaves it asks mayLeave, whose error stops the request. An error that is
// ErrNotSent proves that nothing has left.
func (c *Connection) Send(request *http.Request, mayLeave func() error) (*http.Response, error) {
	before := c.wire.written.Load()
	c.wire.ask(mayLeave)
	response, err := c.client.RoundTrip(request)
	if err == nil {
		return response, nil
	}
	_ = c.client.Close()
	if c.wire.written.Load() == before {
		return nil, &notSentError{cause: errors.Wrapf(err, "send to %s", c.address)}
	}

	return nil, errors.Wrapf(err, "send to %s", c.address)
}

// Close ends the connection and what runs on it.
func (c *Connection) Close() {
	_ = c.client.Close()
}

// Release keeps the connection for the next request, once the answer was read
// to its end, unless there are most idle ones at the endpoint already. It heeds
// what the answer says of the connection.
func (c *Connector) Release(conn *Connection, response *http.Response, most int) {
	lifetime, keep := keepAlive(response, c.settings.IdleTimeout)
	if !keep || conn.client.Err() != nil {
		conn.Close()

		return
	}
	conn.used = true
	conn.expires = time.Now().Add(lifetime)
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[conn.address]
	if len(kept) >= most {
		conn.Close()

		return
	}
	c.idle[conn.address] = append(kept, conn)
}

// keepShare is the share of the endpoint's own idle timeout after which a
// connection is not used again: the endpoint may be closing it.
const keepShare = 0.7

// keepAlive returns how long the endpoint keeps the idle connection open.
func keepAlive(response *http.Response, fallback time.Duration) (time.Duration, bool) {
	if response.Close {
		return 0, false
	}
	for field := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil || seconds <= 0 {
			return 0, false
		}

		return time.Duration(seconds * keepShare * float64(time.Second)), true
	}

	return fallback, true
}

// Forget closes the idle connections to an address that has fallen silent: one
// that is opened anew shows whether the endpoint is there before a request is
// sent.
func (c *Connector) Forget(address string) {
	c.mu.Lock()
	kept := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, conn := range kept {
		conn.Close()
	}
}

// CloseExpired closes idle connections that will not be used again.
func (c *Connector) CloseExpired() {
	now := time.Now()
	var old []*Connection
	c.mu.Lock()
	for address, kept := range c.idle {
		live := kept[:0]
		for _, conn := range kept {
			if now.Before(conn.expires) && conn.client.Err() == nil {
				live = append(live, conn)
			} else {
				old = append(old, conn)
			}
		}
		c.idle[address] = live
		if len(live) == 0 {
			delete(c.idle, address)
		}
	}
	c.mu.Unlock()
	for _, conn := range old {
		conn.Close()
	}
}

// Close closes all idle connections.
func (c *Connector) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle = map[string][]*Connection{}
	c.mu.Unlock()
	for _, kept := range idle {
		for _, conn := range kept {
			conn.Close()
		}
	}
}
