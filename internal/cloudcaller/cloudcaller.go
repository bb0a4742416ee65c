// Package cloudcaller is the client of the cloud API, which one instance at a time calls for all.
//
// Each call states the instance and the fencing token of its term. The term is checked right before
// the first byte leaves. A call is never sent again by itself, and redirections are not followed.
package cloudcaller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/common/sendtracker"
	"github.com/oleanderpick/oleanderpick/internal/common/verifier"
	"github.com/oleanderpick/oleanderpick/internal/connector"
	"github.com/oleanderpick/oleanderpick/internal/dutyholder"
)

// Errors of calls, to be compared with errors.Is.
var (
	// ErrFenceRefused means that the fencing token is lower than one that the cloud API has seen.
	// Pass it to dutyholder.Holder.Refused.
	ErrFenceRefused = errors.New("fencing token refused")
	// ErrUnavailable means that the cloud API cannot do what was asked for at the moment. For an
	// order of spot endpoints the token may also have been refused: call
	// dutyholder.Holder.Confirm before the next call.
	ErrUnavailable = errors.New("not available at the moment")
	// ErrRateLimited means that the call was refused because of the rate of calls.
	ErrRateLimited = errors.New("rate of calls exceeded")
	// ErrNotExecuted means that no byte of the call was sent, or that it was refused as invalid.
	ErrNotExecuted = errors.New("call not executed")
	// ErrInDoubt means that the call may have been executed, or may still be.
	ErrInDoubt = errors.New("outcome of the call unknown")
)

// errTermEnded is the cause of a call that was not sent because its term had ended.
var errTermEnded = errors.New("the term has ended")

// Order is the wanted number of endpoints of a service in a data centre, of one kind.
type Order struct {
	Service, DataCentre string
	Count               int
	// Spot selects endpoints that may be reclaimed.
	Spot bool
}

// Message is a call as it is sent by POST.
type Message struct {
	Path string
	Body []byte
}

// Format translates calls to the platform's formats.
type Format interface {
	// UsageReport returns the report of a window, with the number of requests by workspace.
	UsageReport(window uint64, counts map[string]uint64) (Message, error)
	// ServerCount returns an order.
	ServerCount(order Order) (Message, error)
	// DutyHeader returns the header fields that state the instance and its fencing token.
	DutyHeader(instance string, fence uint64) http.Header
}

const (
	// callTimeout limits a call. Two calls in a row end well before a usage report is due.
	callTimeout = 2 * time.Second
	// rateDivisor sets this instance's share of the rate of calls: there may be two duties, and an
	// old and a new holder of each for a moment.
	rateDivisor = 4
	// maxAnswerBytes is how much of an answer is read.
	maxAnswerBytes = 16 << 10
)

// Settings are the place of the cloud API and the limits of calls.
type Settings struct {
	// URL is the base URL of the cloud API.
	URL string
	// Instance is this instance's name.
	Instance string
	// CallsPerSecond is the number of calls accepted from all instances together; 0 for no limit.
	CallsPerSecond float64
}

// Client calls the cloud API. It is safe for concurrent use.
type Client struct {
	settings    Settings
	base        *url.URL
	format      Format
	connections *connector.Connector
	sinceBoot   func() time.Duration

	mu         sync.Mutex
	nextCallAt time.Duration // since boot
}

// New returns a client that opens connections with the dial function. It returns an error if the
// URL cannot be parsed.
func New(settings Settings, format Format, dial connector.DialFunc, sinceBoot func() time.Duration) (*Client, error) {
	base, err := url.Parse(settings.URL)
	if err != nil {
		return nil, errors.Wrap(err, "URL of the cloud API")
	}
	if base.Port() == "" {
		base.Host += ":80"
	}

	return &Client{
		settings: settings, base: base, format: format, connections: connector.New(connector.DefaultSettings(), dial), sinceBoot: sinceBoot,
	}, nil
}

// ReportUsage reports the requests of a window by workspace.
func (c *Client) ReportUsage(ctx context.Context, term dutyholder.Term, window uint64, counts map[string]uint64) error {
	message, err := c.format.UsageReport(window, counts)
	if err != nil {
		return callError(ErrNotExecuted, err)
	}

	return c.call(ctx, term, message, ErrFenceRefused)
}

// SetServerCount orders a number of endpoints.
func (c *Client) SetServerCount(ctx context.Context, term dutyholder.Term, order Order) error {
	message, err := c.format.ServerCount(order)
	if err != nil {
		return callError(ErrNotExecuted, err)
	}
	conflict := ErrFenceRefused
	if order.Spot {
		conflict = ErrUnavailable
	}

	return c.call(ctx, term, message, conflict)
}

// call makes a call; conflict is the error for status 409.
func (c *Client) call(ctx context.Context, term dutyholder.Term, message Message, conflict error) error {
	if !c.takeTurn() {
		return callError(ErrRateLimited, errors.New("this instance's share of the rate is used up"))
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base.JoinPath(message.Path).String(), bytes.NewReader(message.Body))
	if err != nil {
		return callError(ErrNotExecuted, err)
	}
	request.Header = c.format.DutyHeader(c.settings.Instance, term.Fence)
	request.Header.Set("Content-Type", "application/json")
	// Answers name no call. On a kept connection, the answer to an earlier call could come once more.
	connection, err := c.connections.Dial(ctx, c.base.Host)
	if err != nil {
		return callError(ErrNotExecuted, err)
	}
	defer connection.Close()
	response, err := connection.Send(request, func() error { //nolint:bodyclose // The body is read to its end or closed with the connection.
		if c.sinceBoot() >= term.EndsAt {
			return errTermEnded
		}

		return nil
	})
	switch {
	case errors.Is(err, connector.ErrNotSent):
		return callError(ErrNotExecuted, err)
	case err != nil:
		return callError(ErrInDoubt, err)
	}

	return finish(connection, response, conflict)
}

// finish reads the answer and returns the call's error. An answer that is not whole says nothing of the call.
func finish(connection *connector.Connection, response *http.Response, conflict error) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	switch {
	case err != nil:
		return callError(ErrInDoubt, err)
	case len(body) == maxAnswerBytes || verifier.MayHoldStart(body):
		return callError(ErrInDoubt, errors.New("the answer has no end, or contains another one"))
	case sendtracker.EndsEarly(response, connection.HasSentAll):
		return callError(ErrInDoubt, sendtracker.ErrEarlyEnd)
	}
	cause := errors.Errorf("status %d", response.StatusCode)
	switch {
	case response.StatusCode/100 == 2:
		return nil
	case response.StatusCode == http.StatusConflict:
		return callError(conflict, cause)
	case response.StatusCode == http.StatusTooManyRequests:
		return callError(ErrRateLimited, cause)
	case response.StatusCode == http.StatusServiceUnavailable:
		return callError(ErrUnavailable, cause)
	case response.StatusCode/100 == 4:
		return callError(ErrNotExecuted, cause)
	default: // It may come from an intermediary that lost the answer.
		return callError(ErrInDoubt, cause)
	}
}

// takeTurn reports whether a call may be made by the rate of calls.
func (c *Client) takeTurn() bool {
	if c.settings.CallsPerSecond <= 0 {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.sinceBoot()
	if now < c.nextCallAt {
		return false
	}
	c.nextCallAt = now + time.Duration(rateDivisor*float64(time.Second)/c.settings.CallsPerSecond)

	return true
}

// failedCallError is the error of a call: one of the errors above, and the cause.
type failedCallError struct {
	kind, cause error
}

func callError(kind, cause error) error { return &failedCallError{kind, cause} }

func (e *failedCallError) Error() string { return e.kind.Error() + ": " + e.cause.Error() }

func (e *failedCallError) Unwrap() []error { return []error{e.kind, e.cause} }
