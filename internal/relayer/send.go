package relayer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/connector"
	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// errStaleConfiguration is the cause of an attempt that was stopped before its first
// byte, since the caller's API key may have been revoked.
var errStaleConfiguration = errors.New("configuration not confirmed")

// errRevokedKey is the cause of an attempt that was stopped before its first byte, since the caller's API key
// was revoked after the request had been taken.
var errRevokedKey = errors.New("the API key was revoked since the request was taken")

// errEndpointLeft and errOldRegistry are the causes of attempts that were stopped before their
// first byte, since the endpoint has left in the meantime or may have.
var (
	errEndpointLeft = errors.New("the endpoint has left since it was chosen")
	errOldRegistry  = errors.New("the registry has become too old since the endpoint was chosen")
)

// sendAndReceive sends the request to the chosen endpoint and forwards its answer.
func (r *relayedRequest) sendAndReceive(ctx context.Context, a *attempt) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a.stallDetector = r.startStallDetector(ctx, a.placement, cancel)
	defer a.stallDetector.stop()
	if err := r.openConnection(ctx, a); err != nil {
		r.failUnsent(ctx, a, err)

		return
	}
	a.sentAt = time.Now()
	request := r.outgoingRequest(ctx, a.placement)
	response, err := a.connection.Send(request, func() error { return r.checkEndpoint(a.placement) }) //nolint:bodyclose // The body is read to its end or closed with the connection.
	a.response, a.requestNumber = response, a.connection.SentRequests()
	if errors.Is(err, errEndpointLeft) || errors.Is(err, errOldRegistry) {
		a.sentAt = time.Time{}
		r.failUnsent(ctx, a, err)

		return
	}
	if err != nil {
		a.mayHaveRun = !errors.Is(err, connector.ErrNotSent)
		r.failAttempt(ctx, a, err)

		return
	}
	r.handleResponse(ctx, a)
}

// openConnection opens a connection to the chosen endpoint and finds out its version if that
// is needed.
func (r *relayedRequest) openConnection(ctx context.Context, a *attempt) (err error) {
	if r.metadata.ID == "" { // An earlier answer that names no request would pass for that to this one.
		a.connection, err = r.relayer.connections.Dial(ctx, a.placement.Address)
	} else {
		a.connection, err = r.relayer.connections.Open(ctx, a.placement.Address, r.metadata.ID)
	}
	if err != nil {
		return err
	}
	if a.connection.IsNew() {
		r.relayer.dispatcher.RecordConnected(r.placementRequest.Service)
	}

	return r.checkVersion(ctx, a)
}

// failUnsent records an attempt that was not sent.
func (r *relayedRequest) failUnsent(ctx context.Context, a *attempt, cause error) {
	r.failAttempt(ctx, a, cause)
	switch {
	case errors.Is(cause, errOtherVersion), errors.Is(cause, errOtherStart), errors.Is(cause, errEndpointLeft), errors.Is(cause, errOldRegistry):
		a.result = placer.Canceled
	case a.result == placer.Failed:
		a.result = placer.Unreachable
		r.relayer.crashes.reportUnreachable(r.placementRequest.Service, a.placement, errors.Is(cause, syscall.ECONNREFUSED))
	}
}

// checkBeforeSending returns an error if the request must not be sent after all. It is
// called right before the first byte of the request is written.
func (r *relayedRequest) checkBeforeSending() error {
	if !r.requiresKey {
		return nil
	}
	if !r.relayer.dispatcher.IsConfigurationFresh() {
		return errStaleConfiguration
	}
	if current := r.relayer.dispatcher.Matcher(); current != r.matcher {
		if workspace, found := current.Workspace(r.metadata.APIKey); !found || workspace.Name != r.forwarding.Workspace {
			return errRevokedKey
		}
	}

	return nil
}

// checkEndpoint is checkBeforeSending for a request to an endpoint, which may have left since it was
// chosen.
func (r *relayedRequest) checkEndpoint(placement dispatcher.Placement) error {
	if err := r.checkBeforeSending(); err != nil {
		return err
	}
	switch isRegistered, isCurrent := r.relayer.dispatcher.MaySend(placement); {
	case !isRegistered:
		return errEndpointLeft
	case !isCurrent:
		return errOldRegistry
	}

	return nil
}

// outgoingRequest returns the request to send to an endpoint.
func (r *relayedRequest) outgoingRequest(ctx context.Context, placement dispatcher.Placement) *http.Request {
	forwarding := r.forwarding
	forwarding.EndpointID = placement.EndpointID
	forwarding.CacheSourceAddress = placement.CacheSourceAddress
	forwarding.RemainingTime = time.Until(r.deadline)
	if r.lastEventID > 0 {
		forwarding.LastEventID = formatEventID(r.lastEventID)
	}

	return r.newRequest(ctx, r.relayer.codec.OutgoingHeader(r.incoming.Header, forwarding))
}

// targetURL returns the URL with which net/http writes a request target unchanged. It returns false if
// there is none: net/http takes a target that begins with two slashes for one that begins with a host, unless
// the path is given decoded, which has to be the same when it is encoded again.
func targetURL(host, target string) (*url.URL, bool) {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: host, Opaque: target}, true
	}
	rawPath, query, hasQuery := strings.Cut(target, "?")
	path, err := url.PathUnescape(rawPath)
	if err != nil {
		return nil, false
	}
	u := &url.URL{Scheme: "http", Host: host, Path: path, RawPath: rawPath, RawQuery: query, ForceQuery: hasQuery}

	return u, u.RequestURI() == target
}

// newRequest returns a request with the caller's method, path and body.
func (r *relayedRequest) newRequest(ctx context.Context, header http.Header) *http.Request {
	request := &http.Request{
		Method: r.incoming.Method,
		URL:    r.target,
		Host:   r.incoming.Host,
		Header: header,
		Body:   http.NoBody,
	}
	if len(r.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(r.body))
		request.ContentLength = int64(len(r.body))
	}

	return request.WithContext(ctx)
}
