package connector

import (
	"hash/maphash"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/common/verifier"
)

// Connection is a connection to an endpoint. It carries one request at a time.
type Connection struct {
	address   string
	number    uint64
	client    *http.ClientConn
	conn      *countingConn
	expiresAt time.Time
	isReused  bool
	isNew     bool
	sent      int      // requests
	excluded  []uint64 // hashes of the IDs of requests
	seed      maphash.Seed
	// endpointStart is when the endpoint at the other end started; nil if unknown.
	endpointStart *int64
}

// isUsable reports whether an idle connection can be reused.
func (c *Connection) isUsable() bool {
	return time.Now().Before(c.expiresAt) && c.client.Err() == nil && c.client.Available() > 0
}

// Exclude keeps further sendings of a request off the connection, which has carried it. It is called for a
// request that may be sent again.
func (c *Connection) Exclude(requestID string) {
	c.excluded = append(c.excluded, maphash.String(c.seed, requestID))
}

// excludes reports whether the request must not be sent on the connection.
func (c *Connection) excludes(requestID string) bool {
	return len(c.excluded) > 0 && slices.Contains(c.excluded, maphash.String(c.seed, requestID))
}

// Number returns a number that no other connection of the connector has.
func (c *Connection) Number() uint64 {
	return c.number
}

// IsNew reports whether the connection was opened for its current user.
func (c *Connection) IsNew() bool {
	return c.isNew
}

// EndpointStart returns the time at which the endpoint at the other end started, in
// milliseconds since the Unix epoch; false if SetEndpointStart was not called.
func (c *Connection) EndpointStart() (unixMs int64, known bool) {
	if c.endpointStart == nil {
		return 0, false
	}

	return *c.endpointStart, true
}

// SetEndpointStart sets the time at which the endpoint at the other end started. It does not
// change while the connection lasts.
func (c *Connection) SetEndpointStart(unixMs int64) {
	c.endpointStart = &unixMs
}

// EndsWith reports whether nothing was received behind a body that was read whole and has a length.
func (c *Connection) EndsWith(body []byte) bool {
	return c.conn.endsWith(body)
}

// HasSentAll reports whether all requests have left the connection whole, without an error and, as far as the
// operating system tells, acknowledged.
func (c *Connection) HasSentAll() bool {
	return c.conn.HasSentAll()
}

// SentRequests returns the number of requests that were sent on the connection.
func (c *Connection) SentRequests() int {
	return c.sent
}

// IsFirstRequest reports whether the last request that was sent was the first one on the connection.
// Its answer cannot be that of an earlier one.
func (c *Connection) IsFirstRequest() bool {
	return c.sent == 1
}

// IsReused reports whether the connection has carried a request before.
func (c *Connection) IsReused() bool {
	return c.isReused
}

// Send sends the request and returns the response, whose body is still to be read. It
// calls beforeFirstByte right before it writes the first byte; an error of that function
// stops the request. The error wraps ErrNotSent if no byte of the request was sent, and
// verifier.ErrSeveralMessages or ErrNotFinal if the head of the response is not that of a single, final answer. On
// an error the connection is closed.
func (c *Connection) Send(request *http.Request, beforeFirstByte func() error) (*http.Response, error) {
	c.sent++
	writtenBefore := c.conn.writtenBytes.Load()
	c.conn.callBeforeNextWrite(beforeFirstByte)
	response, err := c.client.RoundTrip(request)
	if err == nil {
		err = verifier.CheckHead(response)
	}
	if err == nil {
		return response, nil
	}
	_ = c.client.Close()
	_ = c.conn.Close() // After status 101 the client has given it up.
	if c.conn.writtenBytes.Load() == writtenBefore {
		return nil, &notSentError{cause: errors.Wrapf(err, "send to %s", c.address)}
	}

	return nil, errors.Wrapf(err, "send to %s", c.address)
}

// Close closes the connection and cancels a request on it.
func (c *Connection) Close() {
	_ = c.client.Close()
}
