package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/common/verifier"
	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

// MaxAnswerBytes is the maximum size of a plain service's answer in bytes.
const MaxAnswerBytes = 8 << 20

// PlainCall is one attempt of a call of a plain service.
type PlainCall struct {
	// Address is the base URL of the endpoint.
	Address, Method, PathAndQuery string
	// Header holds the headers to send.
	Header http.Header
	// Body is the body of the call.
	Body []byte
	// MustRunOnce is true if the call must not run more than once, whatever its method.
	MustRunOnce bool
}

// PlainAnswer is the complete answer of a plain service.
type PlainAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// RunPlainCall sends a call to a plain service and reads the complete answer. The
// failure is nil if there is one. An answer with any status code counts, except a 503
// with the header X-Started: false, by which the endpoint refuses the call, and an
// answer larger than MaxAnswerBytes.
func (f *Forwarder) RunPlainCall(ctx context.Context, call PlainCall) (PlainAnswer, *retrier.Failure) {
	request, err := http.NewRequestWithContext(ctx, call.Method, call.Address+call.PathAndQuery, bytes.NewReader(call.Body))
	if err != nil {
		return PlainAnswer{}, &retrier.Failure{Kind: answerer.KindMalformed, StartStatus: retrier.NeverSent()}
	}
	request.Header = call.Header.Clone()
	disableTransportRetry(request)

	response, err := f.plainClient(call).Do(request)
	if err != nil {
		return PlainAnswer{}, newPlainFailure(ctx, startStatusFromError(err))
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("X-Started") == "false" {
		failure := failureFromResponse(response, !call.mayShareConnection(), "")

		return PlainAnswer{}, &failure
	}

	body, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil || (len(body) == 0 && verifier.MustHaveBody(call.Method, response)) {
		return PlainAnswer{}, newPlainFailure(ctx, retrier.StartConfirmed())
	}
	if len(body) > MaxAnswerBytes {
		return PlainAnswer{}, &retrier.Failure{Kind: answerer.KindTruncated, StartStatus: retrier.StartConfirmed()}
	}

	return PlainAnswer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// RunPlainCallDetached is like RunPlainCall, but the call continues until the deadline
// even if the caller disconnects.
func (f *Forwarder) RunPlainCallDetached(call PlainCall, deadline time.Time) (PlainAnswer, *retrier.Failure) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()

	return f.RunPlainCall(ctx, call)
}

// mayShareConnection reports whether a call may use a connection that others have used. Answers of
// plain services name no request, so a refusal there may be an earlier one, and net/http sends a GET or HEAD
// call again if the connection breaks. A call that changes something or must run once has a connection of its
// own, so that a refusal says for sure that it has not run.
func (c PlainCall) mayShareConnection() bool {
	return !c.MustRunOnce && (c.Method == http.MethodGet || c.Method == http.MethodHead)
}

// plainClient returns the client for a call.
func (f *Forwarder) plainClient(call PlainCall) *http.Client {
	if call.mayShareConnection() {
		return f.pooledClient
	}

	return f.unpooledClient
}

// disableTransportRetry keeps net/http from sending a call again on its own when a
// pooled connection breaks. It does so for calls with an Idempotency-Key header if there
// is no body or the body can be rewound, so a call without a body gets an empty one that
// can't be rewound. GET and HEAD calls get no such body.
func disableTransportRetry(request *http.Request) {
	request.GetBody = nil
	if request.Method == http.MethodGet || request.Method == http.MethodHead {
		return
	}
	if request.ContentLength == 0 {
		request.Body = io.NopCloser(bytes.NewReader(nil))
		request.ContentLength = -1
	}
}

// newPlainFailure returns the failure of a call that got no complete answer. Its kind
// follows from the start status and from whether the deadline passed or the caller
// disconnected.
func newPlainFailure(ctx context.Context, startStatus retrier.StartStatus) *retrier.Failure {
	kind := answerer.KindEndpointLost
	switch {
	case startStatus.IsNotStarted():
		kind = answerer.KindRefusedByEndpoint
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		kind = answerer.KindTimeout
	case ctx.Err() != nil:
		kind = answerer.KindCanceled
	}

	return &retrier.Failure{Kind: kind, StartStatus: startStatus}
}
