package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

// MaxAnswer is the largest answer of a plain service in bytes.
const MaxAnswer = 8 << 20

// PlainCall is one try of a call of a plain service.
type PlainCall struct {
	// Address is the server's base URL, Path the call's path and query.
	Address, Method, Path string
	// Header is passed on.
	Header http.Header
	// Body is the call's body.
	Body []byte
}

// PlainAnswer is a plain service's whole answer.
type PlainAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Plain runs one try of a plain call and reads its whole answer. The failure
// is nil when there is one.
func (f *Forwarder) Plain(ctx context.Context, call PlainCall) (PlainAnswer, *retrier.Failure) {
	request, err := http.NewRequestWithContext(ctx, call.Method, call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return PlainAnswer{}, &retrier.Failure{Kind: answerer.KindMalformed, StartStatus: retrier.NeverSent()}
	}
	request.Header = call.Header.Clone()
	sendOnce(request)

	response, err := f.client.Do(request)
	if err != nil {
		return PlainAnswer{}, lost(ctx, unsent(err))
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("X-Started") == "false" {
		failure := refusal(response)

		return PlainAnswer{}, &failure
	}

	body, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswer+1))
	if err != nil {
		return PlainAnswer{}, lost(ctx, retrier.StartConfirmed())
	}
	if len(body) > MaxAnswer {
		return PlainAnswer{}, &retrier.Failure{Kind: answerer.KindTruncated, StartStatus: retrier.StartConfirmed()}
	}

	return PlainAnswer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// PlainDetached runs one try of a plain call that goes on when its caller
// leaves, until the deadline.
func (f *Forwarder) PlainDetached(call PlainCall, deadline time.Time) (PlainAnswer, *retrier.Failure) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()

	return f.Plain(ctx, call)
}

// sendOnce keeps the HTTP library from sending a call again on its own when a
// kept connection breaks, which it does for calls without a body and with an
// Idempotency-Key: a body that it cannot rewind stops it.
func sendOnce(request *http.Request) {
	request.GetBody = nil
	if request.Method == http.MethodGet || request.Method == http.MethodHead {
		return
	}
	if request.ContentLength == 0 {
		request.Body = io.NopCloser(bytes.NewReader(nil))
		request.ContentLength = -1
	}
}

func lost(ctx context.Context, started retrier.StartStatus) *retrier.Failure {
	kind := answerer.KindEndpointLost
	switch {
	case started.IsNotStarted():
		kind = answerer.KindRefusedByEndpoint
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		kind = answerer.KindTimeout
	case ctx.Err() != nil:
		kind = answerer.KindCanceled
	}

	return &retrier.Failure{Kind: kind, StartStatus: started}
}
