// Package storer is a client of the platform's object API: a store of versioned
// objects with conditional writes and watches.
//
// A store may come back from an older copy of its objects. It then has a higher epoch, and
// gives out versions again. A Client refuses answers of a lower epoch than the highest
// that it has seen, which may still arrive on other connections.
//
// A Client keeps no state but its connections and that epoch. Each call has a timeout. After a call
// without an answer, the idle connections are closed, so that the next call uses a
// new one. The error of a failed write tells whether it certainly had no effect
// (ErrUnavailable, ErrRateLimited, ErrConflict, ErrTooLarge) or may have taken effect
// (ErrWriteInDoubt).
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

	"github.com/oleanderpick/oleanderpick/internal/common/splitter"
	"github.com/oleanderpick/oleanderpick/internal/common/verifier"
)

// MaxSpecBytes is the maximum size of an object's spec or status, in bytes. A write of a
// larger one fails with ErrTooLarge and is not sent.
const MaxSpecBytes = 1 << 20

const (
	// defaultTimeout is the maximum duration of a call. A watch may last that long
	// beyond the time for which it waits for a change.
	defaultTimeout = 2 * time.Second
	// maxAnswerBytes is the maximum number of bytes that are read of one answer.
	maxAnswerBytes = 64 << 20
)

// Client calls the object API of one platform. It is safe for concurrent use.
type Client struct {
	baseURL    string
	httpClient *http.Client
	timeout    time.Duration
	dialect    Dialect
	hedgeDelay time.Duration  // 0 for none
	epoch      *atomic.Uint64 // the highest seen; shared by the copies of the client
}

// New returns a client of the object API at a base URL such as
// "http://10.0.0.1:7000". The HTTP client must not be shared with other users, because
// its idle connections are closed after a call without an answer.
func New(baseURL string, httpClient *http.Client) *Client {
	return &Client{baseURL: baseURL, httpClient: verifier.WithoutRedirects(httpClient), timeout: defaultTimeout, dialect: nativeDialect{}, epoch: &atomic.Uint64{}}
}

// WithDialect returns a copy of the client that uses another dialect of the API.
func (c *Client) WithDialect(dialect Dialect) *Client {
	clone := *c
	clone.dialect = dialect

	return &clone
}

// WithTimeout returns a copy of the client whose calls fail after the given time. A
// watch fails that long after the end of its wait.
func (c *Client) WithTimeout(timeout time.Duration) *Client {
	clone := *c
	clone.timeout = timeout

	return &clone
}

// Epoch returns the highest epoch of the store that the client has seen; 0 if the store
// states none.
func (c *Client) Epoch() uint64 {
	return c.epoch.Load()
}

// Get returns one object, or ErrNotFound if it does not exist.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var object Object
	_, err := c.call(ctx, Call{Verb: Get, Kind: kind, Name: name}, func(epoch uint64, body []byte) (err error) {
		object, err = c.dialect.DecodeObject(kind, body)
		object.Epoch = epoch

		return err
	})

	return object, err
}

// List returns up to limit objects of a kind whose names come after afterName, in the
// order of their names. A platform may return fewer. Objects that cannot be decoded are left out.
func (c *Client) List(ctx context.Context, kind, afterName string, limit int) (Page, error) {
	var page Page
	_, err := c.call(ctx, Call{Verb: List, Kind: kind, AfterName: afterName, MaxItems: limit}, func(epoch uint64, body []byte) (err error) {
		page, err = c.dialect.DecodePage(kind, body)
		if err == nil && page.HasMore && (page.LastName == "" || page.LastName == afterName) {
			err = errors.New("no name after which the next page begins can be decoded")
		}
		page.Epoch = epoch
		for i := range page.Items {
			page.Items[i].Epoch = epoch
		}

		return err
	})

	return page, err
}

// Put writes an object's spec if the condition holds, and returns the new object.
func (c *Client) Put(
	ctx context.Context, kind, name string, spec json.RawMessage, condition Condition,
) (Object, error) {
	return c.write(ctx, Call{Verb: Put, Kind: kind, Name: name, Value: spec, Condition: condition})
}

// PutStatus writes an object's status if the condition holds, and returns the new
// object.
func (c *Client) PutStatus(
	ctx context.Context, kind, name string, status json.RawMessage, condition Condition,
) (Object, error) {
	return c.write(ctx, Call{Verb: PutStatus, Kind: kind, Name: name, Value: status, Condition: condition})
}

// write sends a Put or PutStatus unless its value is too large.
func (c *Client) write(ctx context.Context, call Call) (Object, error) {
	if len(call.Value) > MaxSpecBytes {
		return Object{}, newCallError(errors.Errorf("%s of %d bytes", call.Verb, len(call.Value)), ErrTooLarge)
	}
	var object Object
	_, err := c.call(ctx, call, func(epoch uint64, body []byte) (err error) {
		object, err = c.dialect.DecodeObject(call.Kind, body)
		object.Epoch = epoch

		return err
	})

	return object, err
}

// Delete deletes an object if the condition holds.
func (c *Client) Delete(ctx context.Context, kind, name string, condition Condition) error {
	_, err := c.call(ctx, Call{Verb: Delete, Kind: kind, Name: name, Condition: condition}, nil)

	return err
}

// Watch waits until the object's version is greater than afterVersion, and returns the
// object and true. It returns false if that does not happen within maxWait.
func (c *Client) Watch(
	ctx context.Context, kind, name string, afterVersion uint64, maxWait time.Duration,
) (object Object, changed bool, err error) {
	watch := Call{Verb: Watch, Kind: kind, Name: name, AfterVersion: afterVersion, MaxWait: maxWait}
	changed, err = c.call(ctx, watch, func(epoch uint64, body []byte) (err error) {
		object, err = c.dialect.DecodeObject(kind, body)
		object.Epoch = epoch

		return err
	})

	return object, changed, err
}

// WatchKind waits until objects of a kind change after the given value of the store's
// write counter, and returns the changes and true. It returns false if nothing changes
// within maxWait.
func (c *Client) WatchKind(
	ctx context.Context, kind string, afterCounter uint64, maxWait time.Duration,
) (changes Changes, changed bool, err error) {
	watch := Call{Verb: Watch, Kind: kind, AfterVersion: afterCounter, MaxWait: maxWait}
	changed, err = c.call(ctx, watch, func(epoch uint64, body []byte) (err error) {
		changes, err = c.dialect.DecodeChanges(kind, body)
		changes.Epoch = epoch
		for i := range changes.Items {
			changes.Items[i].Epoch = epoch
		}

		return err
	})

	return changes, changed, err
}

// Instances returns the platform's list of instances, without entries that cannot be decoded. The list
// may be out of date.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var instances []Instance
	_, err := c.call(ctx, Call{Verb: List, Kind: instancesKind}, func(_ uint64, body []byte) error {
		fields, err := splitter.Fields(body)
		if err != nil {
			return err
		}
		entries, err := splitter.Elements(fields["instances"])
		decodeAll(entries, func(instance Instance) { instances = append(instances, instance) })

		return err
	})

	return instances, err
}

// call makes a call and decodes its answer. It returns false without an error if a
// watch ended without a change.
func (c *Client) call(ctx context.Context, call Call, decode func(uint64, []byte) error) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+call.MaxWait)
	defer cancel()

	message, err := c.dialect.Encode(call)
	if err != nil {
		return false, newCallError(err, ErrInvalidCall)
	}
	answer, err := c.exchangeHedged(ctx, call, message)
	if err != nil {
		return false, err
	}

	epoch, err := c.recordEpoch(call, answer.epoch)
	if err != nil {
		return false, err
	}

	return c.decodeResponse(call, answer.status, epoch, answer.body, decode)
}

// answer is the answer to a call before it is decoded.
type answer struct {
	status int
	epoch  uint64 // as stated; 0 if it is not
	body   []byte
}

// exchange sends a call once and reads its answer.
func (c *Client) exchange(ctx context.Context, call Call, message HTTPRequest) (answer, error) {
	var maybeSent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { maybeSent.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, message.Method, c.baseURL+message.Path, bytes.NewReader(message.Body))
	if err != nil {
		return answer{}, newCallError(err, ErrInvalidCall)
	}
	request.URL.RawQuery = message.Query.Encode()
	for name, value := range message.Header {
		request.Header.Set(name, value)
	}

	response, err := c.httpClient.Do(request)
	if err != nil {
		return answer{}, c.unansweredError(ctx, err, call.isWrite() && maybeSent.Load())
	}
	defer func() { _ = response.Body.Close() }()

	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer{}, c.unansweredError(ctx, err, call.isWrite())
	}

	return answer{response.StatusCode, c.dialect.Epoch(response.Header), body}, nil
}

// recordEpoch returns the epoch of an answer that states one, or else the highest epoch
// seen. It returns an error if the answer is of a lower epoch than that.
func (c *Client) recordEpoch(call Call, stated uint64) (uint64, error) {
	for {
		highest := c.epoch.Load()
		switch {
		case stated == 0 || stated == highest:
			return highest, nil
		case stated < highest:
			cause := errors.Errorf("%s %s/%s: answer of epoch %d after epoch %d", call.Verb, call.Kind, call.Name, stated, highest)
			if call.isWrite() {
				return 0, newCallError(cause, ErrWriteInDoubt, ErrEarlierEpoch)
			}

			return 0, newCallError(cause, ErrUnavailable, ErrEarlierEpoch)
		case c.epoch.CompareAndSwap(highest, stated):
			return stated, nil
		}
	}
}

// unansweredError returns the error for a call that got no complete answer. It also
// closes the idle connections, because they may be as unusable as the connection of
// the call, unless the call was given up for another answer.
func (c *Client) unansweredError(ctx context.Context, err error, writeInDoubt bool) error {
	if !errors.Is(context.Cause(ctx), errAnswered) {
		c.httpClient.CloseIdleConnections()
	}
	if writeInDoubt {
		return newCallError(err, ErrWriteInDoubt)
	}

	return newCallError(err, ErrUnavailable)
}

// errNoBody means that an answer which holds objects has no body. If the answer has no length either, it was
// broken off behind its head.
var errNoBody = errors.New("the answer has no body")

// decodeResponse maps the status of a response to the result of a call and decodes the
// body. An answer that cannot be decoded leaves the result of a write in doubt.
func (c *Client) decodeResponse(call Call, status int, epoch uint64, body []byte, decode func(uint64, []byte) error) (bool, error) {
	if status == http.StatusNotModified {
		return false, nil
	}
	if status/100 != 2 {
		return false, c.statusError(call, status, epoch, body)
	}
	if decode == nil {
		return true, nil
	}
	err := errNoBody
	if len(body) > 0 {
		err = decode(epoch, body)
	}
	if err != nil {
		if call.isWrite() {
			return false, newCallError(err, ErrWriteInDoubt)
		}

		return false, newCallError(err, ErrUnavailable)
	}

	return true, nil
}

// statusError returns the error for an HTTP error status. Of the statuses 429 and 5xx
// only 429 and 503, which the store itself sends, prove that a write had no effect. Any
// other 5xx, and a redirection, may come from an intermediary that lost the store's answer.
func (c *Client) statusError(call Call, status int, epoch uint64, body []byte) error {
	cause := errors.Errorf("%s %s/%s: status %d", call.Verb, call.Kind, call.Name, status)
	switch status {
	case http.StatusNotFound:
		return newCallError(cause, ErrNotFound)
	case c.dialect.ConflictStatus():
		current, err := c.dialect.DecodeObject(call.Kind, body)
		if err != nil {
			return newCallError(err, ErrWriteInDoubt)
		}

		current.Epoch = epoch

		return &ConflictError{Current: current}
	case http.StatusTooManyRequests:
		return newCallError(cause, ErrRateLimited, ErrUnavailable)
	case http.StatusRequestEntityTooLarge:
		return newCallError(cause, ErrTooLarge)
	case http.StatusGone:
		return newCallError(cause, ErrWatchExpired)
	case http.StatusServiceUnavailable:
		return newCallError(cause, ErrUnavailable)
	}

	if status/100 == 4 {
		return newCallError(cause, ErrInvalidCall)
	}
	if call.isWrite() {
		return newCallError(cause, ErrWriteInDoubt)
	}

	return newCallError(cause, ErrUnavailable)
}
