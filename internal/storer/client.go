// Package storer is the client of the platform's object API.
//
// It keeps no state but its connections. Each call ends by a timeout; after a
// call that found its connection silent, the next call uses a new one. A
// failed write says whether it certainly did not take effect (ErrDown,
// ErrLimited, ErrConflict, ErrTooLarge) or may have (ErrUncertain).
package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// MaxSpec is the size limit of an object's spec or status, in bytes. Larger
// ones are refused without a call.
const MaxSpec = 1 << 20

const (
	// defaultTimeout bounds a call that does not wait for a change.
	defaultTimeout = 2 * time.Second
	// maxAnswer bounds what is read of one answer.
	maxAnswer = 64 << 20
)

// Client calls one platform. It is safe for concurrent use.
type Client struct {
	base    string
	client  *http.Client
	timeout time.Duration
	dialect Dialect
}

// New returns a client of the object API at base, such as
// "http://10.0.0.1:7000". The HTTP client must be the store's own: its idle
// connections are closed after a timeout.
func New(base string, client *http.Client) *Client {
	return &Client{base: base, client: client, timeout: defaultTimeout, dialect: native{}}
}

// WithDialect returns a client of a platform that speaks another dialect.
func (c *Client) WithDialect(dialect Dialect) *Client {
	changed := *c
	changed.dialect = dialect

	return &changed
}

// WithTimeout returns a client that gives up a call after the given time;
// a watch is given up that long after its wait.
func (c *Client) WithTimeout(timeout time.Duration) *Client {
	changed := *c
	changed.timeout = timeout

	return &changed
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var object Object
	_, err := c.do(ctx, Call{Verb: Get, Kind: kind, Name: name}, func(body []byte) (err error) {
		object, err = c.dialect.DecodeObject(kind, body)

		return err
	})

	return object, err
}

// List reads up to limit objects of a kind whose names come after the given
// one, in the order of their names. A platform may return fewer.
func (c *Client) List(ctx context.Context, kind, after string, limit int) (Page, error) {
	var page Page
	_, err := c.do(ctx, Call{Verb: List, Kind: kind, After: after, Limit: limit}, func(body []byte) (err error) {
		page, err = c.dialect.DecodePage(kind, body)

		return err
	})

	return page, err
}

// Put writes an object's spec if the condition holds.
func (c *Client) Put(
	ctx context.Context, kind, name string, spec json.RawMessage, condition Condition,
) (Object, error) {
	return c.write(ctx, Call{Verb: Put, Kind: kind, Name: name, Value: spec, Condition: condition})
}

// PutStatus writes an object's status if the condition holds.
func (c *Client) PutStatus(
	ctx context.Context, kind, name string, status json.RawMessage, condition Condition,
) (Object, error) {
	return c.write(ctx, Call{Verb: PutStatus, Kind: kind, Name: name, Value: status, Condition: condition})
}

func (c *Client) write(ctx context.Context, call Call) (Object, error) {
	if len(call.Value) > MaxSpec {
		return Object{}, failed(errors.Errorf("%s of %d bytes", call.Verb, len(call.Value)), ErrTooLarge)
	}
	var object Object
	_, err := c.do(ctx, call, func(body []byte) (err error) {
		object, err = c.dialect.DecodeObject(call.Kind, body)

		return err
	})

	return object, err
}

// Delete removes an object if the condition holds.
func (c *Client) Delete(ctx context.Context, kind, name string, condition Condition) error {
	_, err := c.do(ctx, Call{Verb: Delete, Kind: kind, Name: name, Condition: condition}, nil)

	return err
}

// Watch waits until the object's version is greater than the given one and
// returns it, or reports after wait that it did not change.
func (c *Client) Watch(
	ctx context.Context, kind, name string, version uint64, wait time.Duration,
) (object Object, changed bool, err error) {
	watch := Call{Verb: Watch, Kind: kind, Name: name, Version: version, Wait: wait}
	changed, err = c.do(ctx, watch, func(body []byte) (err error) {
		object, err = c.dialect.DecodeObject(kind, body)

		return err
	})

	return object, changed, err
}

// WatchKind waits until objects of the kind changed after the revision and
// returns what changed, or reports after wait that nothing did.
func (c *Client) WatchKind(
	ctx context.Context, kind string, revision uint64, wait time.Duration,
) (changes Changes, changed bool, err error) {
	watch := Call{Verb: Watch, Kind: kind, Version: revision, Wait: wait}
	changed, err = c.do(ctx, watch, func(body []byte) (err error) {
		changes, err = c.dialect.DecodeChanges(kind, body)

		return err
	})

	return changes, changed, err
}

// Instances reads the platform's instance list. The list lags.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var list struct {
		Instances []Instance `json:"instances"`
	}
	_, err := c.do(ctx, Call{Verb: List, Kind: instanceList}, func(body []byte) error {
		return json.Unmarshal(body, &list)
	})

	return list.Instances, err
}

// do makes a call and decodes its answer; it reports false when the answer is
// that nothing changed.
func (c *Client) do(ctx context.Context, call Call, decode func([]byte) error) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+call.Wait)
	defer cancel()

	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	message, err := c.dialect.Encode(call)
	if err != nil {
		return false, failed(err, ErrMalformed)
	}
	request, err := http.NewRequestWithContext(ctx, message.Method, c.base+message.Path, bytes.NewReader(message.Body))
	if err != nil {
		return false, failed(err, ErrMalformed)
	}
	request.URL.RawQuery = message.Query.Encode()
	for name, value := range message.Header {
		request.Header.Set(name, value)
	}

	response, err := c.client.Do(request)
	if err != nil {
		return false, c.lost(err, call.writes() && sent.Load())
	}
	defer func() { _ = response.Body.Close() }()

	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return false, c.lost(err, call.writes())
	}

	return c.understand(call, response.StatusCode, body, decode)
}

// lost is the error of a call whose answer did not come.
func (c *Client) lost(err error, uncertain bool) error {
	// The idle connections may be as silent as the one that was given up.
	c.client.CloseIdleConnections()
	if uncertain {
		return failed(err, ErrUncertain)
	}

	return failed(err, ErrDown)
}

func (c *Client) understand(call Call, status int, body []byte, decode func([]byte) error) (bool, error) {
	if status == http.StatusNotModified {
		return false, nil
	}
	if status/100 != 2 {
		return false, c.refusal(call, status, body)
	}
	if decode == nil {
		return true, nil
	}
	if err := decode(body); err != nil {
		if call.writes() {
			return false, failed(err, ErrUncertain)
		}

		return false, failed(err, ErrDown)
	}

	return true, nil
}

// refusal maps an error status. Only the store's own 503 and 429 prove that a
// write was not applied; any other server error may come from a device that
// lost the answer.
func (c *Client) refusal(call Call, status int, body []byte) error {
	cause := errors.Errorf("%s %s/%s: status %d", call.Verb, call.Kind, call.Name, status)
	switch status {
	case http.StatusNotFound:
		return failed(cause, ErrNotFound)
	case c.dialect.ConflictStatus():
		current, err := c.dialect.DecodeObject(call.Kind, body)
		if err != nil {
			return failed(err, ErrUncertain)
		}

		return &ConflictError{Current: current}
	case http.StatusTooManyRequests:
		return failed(cause, ErrLimited, ErrDown)
	case http.StatusRequestEntityTooLarge:
		return failed(cause, ErrTooLarge)
	case http.StatusGone:
		return failed(cause, ErrGone)
	case http.StatusServiceUnavailable:
		return failed(cause, ErrDown)
	}

	if status/100 != 5 {
		return failed(cause, ErrMalformed)
	}
	if call.writes() {
		return failed(cause, ErrUncertain)
	}

	return failed(cause, ErrDown)
}
