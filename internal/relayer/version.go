package relayer

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/connector"
	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/matcher"
	"github.com/oleanderpick/oleanderpick/pkg/pinner"
)

const (
	// reportTimeout limits the wait for an endpoint's report. It needs no slot.
	reportTimeout = 300 * time.Millisecond
	// maxReportRequests is the number of connections on which a report is requested for one
	// attempt. Endpoints close some connections after an answer.
	maxReportRequests = 2
	// maxReportBytes limits the size of a report.
	maxReportBytes = 64 << 10
	// pinLifetimeSlack is how much longer than its caller waits the pin of a stream is kept.
	pinLifetimeSlack = 2 * time.Second
)

// errOtherVersion is the cause of an attempt that was not sent, since the endpoint may not
// have the version that began the stream.
var errOtherVersion = errors.New("the endpoint may have another version than the one that began the stream")

// errOtherStart is the cause of an attempt that was not sent, since the endpoint has restarted and
// its registration does not say so yet. Its version may not be in the record of versions.
var errOtherStart = errors.New("the endpoint has started again since it registered")

// ReportReader reads what an endpoint reports of itself.
type ReportReader interface {
	// ReportPath returns the path of an endpoint's report.
	ReportPath() string
	// ParseReport returns the time at which the endpoint started, in milliseconds since the
	// Unix epoch. It returns an error if the report does not state it.
	ParseReport(report []byte) (startedUnixMs int64, err error)
}

// isResumable reports whether the request's stream may go on after its answer broke off.
func (r *relayedRequest) isResumable() bool {
	return r.route.Kind == matcher.Streaming && r.route.CanRepeat()
}

// mustKnowVersion reports whether an attempt needs to know the version of its endpoint: the
// stream goes on there, or may go on later.
func (r *relayedRequest) mustKnowVersion() bool {
	return r.isResumable() || r.continuedAfter() != ""
}

// findOrigin finds the version that began a stream that the caller takes up, so that it goes
// on only there. It returns an error if the version is unknown.
func (r *relayedRequest) findOrigin(ctx context.Context) *answerer.Error {
	if r.route.Kind != matcher.Streaming || !r.takesUpStream() {
		return nil
	}
	resumed, streamID, service := r.metadata.ResumedRequestID, uint64(0), ""
	if resumed != "" {
		streamID = pinner.StreamID(r.forwarding.Workspace, resumed)
	}
	if len(r.route.ServiceWeights) == 1 {
		service = r.placementRequest.Service
	}
	origin := r.relayer.dispatcher.FindOrigin(ctx, streamID, service)
	if origin.Version != "" && !r.useService(origin.Service) {
		origin = dispatcher.Origin{State: dispatcher.OriginLost, Reason: "the route no longer leads to the service"}
	}
	r.relayer.logger.Info("Stream is taken up.", "request", r.metadata.ID, "resumes", resumed, "after event", r.metadata.LastEventID,
		"service", r.placementRequest.Service, "version", origin.Version, "known", origin.Version != "", "origin", origin.State.String(), "reason", origin.Reason)
	switch origin.State {
	case dispatcher.OriginPending:
		return answerer.New(answerer.KindUnknownVersion, "The software version that began the stream is not known yet.").WithRetryAfter(reconnectRetryAfter)
	case dispatcher.OriginLost:
		return answerer.New(answerer.KindLostVersion, "No instance knows the software version that began the stream.")
	case dispatcher.OriginPinned, dispatcher.OriginOnlyVersion:
	}
	r.placementRequest.Version = origin.Version
	if origin.State == dispatcher.OriginOnlyVersion && streamID != 0 {
		r.pinStream(streamID, origin.Version)
	}

	return nil
}

// takesUpStream reports whether the caller states that it received events of the stream
// before.
func (r *relayedRequest) takesUpStream() bool {
	id, err := strconv.ParseInt(r.metadata.LastEventID, 10, 64)

	return r.metadata.ResumedRequestID != "" || (r.metadata.LastEventID != "" && (err != nil || id > 0))
}

// useService makes the named service the one that gets the request. It returns false if
// the route does not allow it.
func (r *relayedRequest) useService(name string) bool {
	for _, weighted := range r.route.ServiceWeights {
		if weighted.Service == name && weighted.Weight > 0 {
			r.service, _ = r.matcher.Service(name)
			r.placementRequest.Service = name

			return true
		}
	}

	return false
}

// beginStream keeps the version that began the stream. It is called before the first event
// is forwarded, so that the stream goes on only at that version, here or at another instance.
// If the version is unknown, the stream does not go on.
func (r *relayedRequest) beginStream(a *attempt) {
	if r.hasOrigin {
		return
	}
	r.hasOrigin = true
	if r.placementRequest.Version != "" { // The caller has taken the stream up.
		return
	}
	r.placementRequest.Version = a.version
	if a.version == "" || !r.isResumable() {
		return
	}
	r.pinStream(pinner.StreamID(r.forwarding.Workspace, r.metadata.ID), a.version)
}

// pinStream keeps the version that began a stream for as long as the caller waits.
func (r *relayedRequest) pinStream(streamID uint64, version string) {
	timeout := r.metadata.CallerTimeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	r.relayer.dispatcher.PinStream(pinner.Pin{
		StreamID: streamID, Service: r.placementRequest.Service, Version: version, ExpiresAt: r.receivedAt.Add(timeout + pinLifetimeSlack),
	})
}

// canGoOn reports whether another attempt may follow as far as versions are concerned: the
// stream has not begun, or the version that began it is known.
func (r *relayedRequest) canGoOn() bool {
	return !r.hasOrigin || r.placementRequest.Version != ""
}

// checkVersion finds out the version of the endpoint at the other end of the attempt's
// connection. It returns an error if the stream must go on there and the endpoint may have
// another version, or if there is no connection any more.
func (r *relayedRequest) checkVersion(ctx context.Context, a *attempt) error {
	if !r.mustKnowVersion() {
		return nil
	}
	started, err := r.identifyEndpoint(ctx, a)
	if a.connection == nil {
		return err
	}
	if err == nil && started == a.placement.StartedUnixMs {
		a.version = a.placement.Version
	}
	if a.version == "" {
		r.relayer.logger.Info("Version of an endpoint is unknown.", "request", r.metadata.ID, "endpoint", a.placement.EndpointID, "registered version", a.placement.Version,
			"registered start", a.placement.StartedUnixMs, "start", started, "version needed", r.placementRequest.Version, "error", causeText(err))
	}
	if r.placementRequest.Version != "" && a.version != r.placementRequest.Version {
		return errOtherVersion
	}
	if r.isResumable() && err == nil && started != a.placement.StartedUnixMs {
		return errOtherStart
	}

	return nil
}

// identifyEndpoint returns the time at which the endpoint started that is at the other end of
// the attempt's connection. An endpoint that restarts may keep its ID and its address, and the
// registration may be that of an earlier start, so the endpoint itself is asked once for each
// connection. If the registration states no start, its ID stands for one start only.
//
// The attempt's connection is replaced if it cannot be used afterwards, and nil if there is
// none to replace it.
func (r *relayedRequest) identifyEndpoint(ctx context.Context, a *attempt) (startedUnixMs int64, err error) {
	if a.placement.StartedUnixMs == 0 {
		return 0, nil
	}
	if r.metadata.ID == "" { // A copy of the report would pass for the answer.
		return 0, errors.New("the request has no ID")
	}
	for range maxReportRequests {
		if started, known := a.connection.EndpointStart(); known {
			return started, nil
		}
		if startedUnixMs, err = r.requestReport(ctx, a.connection, a.placement.Address); err == nil {
			a.connection.SetEndpointStart(startedUnixMs)

			return startedUnixMs, nil
		}
		a.connection.Close()
		replacement, openErr := r.relayer.connections.Dial(ctx, a.placement.Address)
		if openErr != nil {
			a.connection = nil

			return 0, openErr
		}
		a.connection = replacement
	}

	return 0, err
}

// requestReport requests an endpoint's report on a connection and returns the time at which the
// endpoint started. After an error the connection cannot be used.
func (r *relayedRequest) requestReport(ctx context.Context, connection *connector.Connection, address string) (startedUnixMs int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	request := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: address, Path: r.relayer.codec.ReportPath()},
		Host: address, Header: http.Header{"User-Agent": {""}}, Body: http.NoBody,
	}
	response, err := connection.Send(request.WithContext(ctx), func() error { return nil })
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	report, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	answered := r.relayer.codec.ParseResponse(response.StatusCode, response.Header).RequestID
	switch {
	case err != nil:
		return 0, errors.Wrap(err, "read the report")
	case response.StatusCode != http.StatusOK:
		return 0, errors.Errorf("report: status %d", response.StatusCode)
	case answered != "" && !connection.IsFirstRequest():
		return 0, errors.Errorf("the answer is for request %q", answered)
	case response.Close || len(report) == maxReportBytes:
		return 0, errors.New("the connection ends with the report")
	}

	return r.relayer.codec.ParseReport(report)
}
