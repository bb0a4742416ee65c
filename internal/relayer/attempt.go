package relayer

import (
	"bytes"
	"context"
	"hash/fnv"
	"io"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/connector"
	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

// trial is one try at one endpoint.
type trial struct {
	placement dispatcher.Placement
	conn      *connector.Connection
	sent      time.Time
	response  *http.Response
	// done says that the caller has the final answer.
	done bool
	// ran says that the endpoint may have run the request.
	ran     bool
	result  placer.Result
	staller *staller
	// cause is why there is no answer to pass on; nil: there is one.
	cause error
}

// failure is an endpoint's own failure, which is passed on if no other try
// ends better.
type failure struct {
	status int
	header http.Header
	body   []byte
}

// silentFor is the silence after which an endpoint counts as failed; nearly all
// answers of a sound one begin within it.
const silentFor = time.Second

// errStale is a send that was stopped since keys may have been taken away.
var errStale = errors.New("configuration not confirmed")

// run tries endpoints until the request has its final answer.
func (j *job) run(ctx context.Context) {
	for first := true; ; first = false {
		placement, ok := j.relayer.control.Place(j.ask, first)
		if !ok {
			j.relayer.logger.Info("No endpoint may take the request.", "request", j.envelope.ID, "service", j.ask.Service)
			j.finish(ctx, answerer.KindNoEndpoint)

			return
		}
		if placement.RetryAfter > 0 {
			j.postponed(placement)
			j.refuse(answerer.New(answerer.KindHopeless, "The engines are behind with prompts.").WithRetryAfter(placement.RetryAfter))

			return
		}
		j.placed(placement)
		if t := j.attempt(ctx, placement); t.done || !j.again(ctx, t) {
			return
		}
	}
}

// postponed logs what decided that the request had better come back later.
func (j *job) postponed(p dispatcher.Placement) {
	j.relayer.logger.Info("Postponed.", "request", j.envelope.ID, "route", j.route.Name, "service", j.ask.Service,
		"best endpoint", p.EndpointID, "expected ms", p.ExpectedTimeToFirstToken.Milliseconds(), "target ms", j.ask.TargetTimeToFirstToken.Milliseconds(),
		"prompt", j.ask.PromptTokens, "fresh", p.UncachedTokens, "border", p.Split, "engines", p.EngineCount)
}

// attempt makes one try. Its end is recorded also when it breaks the caller's
// connection by a panic.
func (j *job) attempt(ctx context.Context, placement dispatcher.Placement) *trial {
	t := &trial{placement: placement}
	defer func() { j.relayer.control.RecordResult(placement, t.result) }()
	j.try(ctx, t)

	return t
}

// placed logs what decided where a try goes.
func (j *job) placed(p dispatcher.Placement) {
	j.relayer.logger.Info("Placed.", "request", j.envelope.ID, "route", j.route.Name, "workspace", j.order.Workspace,
		"tier", j.order.Tier, "service", j.ask.Service, "endpoint", p.EndpointID, "remote", p.InOtherDataCentre, "prompt", j.ask.PromptTokens,
		"fresh", p.UncachedTokens, "copied from", p.CacheSourceAddress, "long", p.IsLongPrompt, "border", p.Split, "engines", p.EngineCount,
		"expected ms", p.ExpectedTimeToFirstToken.Milliseconds(), "tries before", j.runs+j.refusals+j.unsent,
		"configuration", j.matcher.Number(), "left ms", time.Until(j.deadline).Milliseconds())
}

// again records how a try failed and decides whether there is another one. If
// not, the caller gets the final answer.
func (j *job) again(ctx context.Context, t *trial) bool {
	sent := !t.sent.IsZero()
	switch {
	case t.ran:
		j.runs++
		j.ran = true
	case sent:
		j.refusals++
	default:
		j.unsent++
	}
	j.ask.AvoidEndpoints = append(j.ask.AvoidEndpoints, t.placement.EndpointID)
	attempt := retrier.AttemptHistory{
		MayHaveRun:     j.ran,
		Repeatable:     j.route.CanRepeat(),
		PossibleRuns:   j.runs,
		MaxRuns:        j.route.MaxRuns,
		Refusals:       j.refusals,
		UnsentAttempts: j.unsent,
		RemainingTime:  time.Until(j.deadline),
	}
	reason := retrier.ReasonDeadline
	switch {
	case errors.Is(t.cause, errStale) && !j.ran:
		reason = retrier.ReasonNotRetryable
	case errors.Is(t.cause, errStalled):
		reason = retrier.ReasonNone // It was taken from the bound already.
	case ctx.Err() == nil:
		reason = j.relayer.control.TakeRepeat(j.ask.Service, attempt, sent)
	}
	j.relayer.logger.Info("A try failed.", "request", j.envelope.ID, "route", j.route.Name, "endpoint", t.placement.EndpointID,
		"result", t.result.String(), "may have run", t.ran, "begun", j.begun, "runs", j.runs, "refusals", j.refusals, "unsent", j.unsent,
		"cause", causeText(t.cause), "decision", decision(reason))
	j.relayer.meter.Retried(decision(reason))
	if reason == retrier.ReasonNone {
		return true
	}
	j.finish(ctx, j.kind(t))

	return false
}

// decision names a reason not to repeat, or the repeat, for logs and counters.
func decision(reason string) string {
	if reason == retrier.ReasonNone {
		return retrier.ReasonRetry
	}

	return reason
}

func causeText(err error) string {
	if err == nil {
		return "answer"
	}

	return err.Error()
}

// kind returns what the caller is told when nothing may be tried any more.
func (j *job) kind(t *trial) answerer.Kind {
	late := !time.Now().Before(j.deadline)
	switch {
	case errors.Is(t.cause, errStale) && !j.ran:
		return answerer.KindStoreDown
	case j.ran && late:
		return answerer.KindTimeout
	case j.ran:
		return answerer.KindUncertain
	case late:
		return answerer.KindExpired
	default:
		return answerer.KindRefusedByEndpoint
	}
}

// try sends the request to the placed endpoint and passes its answer on.
func (j *job) try(ctx context.Context, t *trial) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t.staller = j.stall(t.placement, cancel)
	defer t.staller.stop()
	conn, err := j.relayer.endpoints.Open(ctx, t.placement.Address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			j.relayer.control.RecordConnectionRefused(t.placement)
		}
		j.broken(ctx, t, err)
		if t.result == placer.Failed {
			t.result = placer.Unreachable
		}

		return
	}
	t.conn = conn
	t.sent = time.Now()
	request := j.request(ctx, t.placement)
	t.response, err = conn.Send(request, j.mayLeave) //nolint:bodyclose // Read to its end or closed with the connection.
	if err != nil {
		t.ran = !errors.Is(err, connector.ErrNotSent)
		j.broken(ctx, t, err)

		return
	}
	j.receive(ctx, t)
}

// mayLeave is asked right before the first byte of a request leaves.
func (j *job) mayLeave() error {
	if j.keyed && !j.relayer.control.IsConfigurationFresh() {
		return errStale
	}

	return nil
}

// broken records a try that got no answer.
func (j *job) broken(ctx context.Context, t *trial, cause error) {
	t.cause = cause
	t.result = placer.Failed
	stalled := errors.Is(context.Cause(ctx), errStalled)
	switch {
	case stalled:
		t.cause = errStalled
	case errors.Is(cause, errStale):
		t.result = placer.Canceled
	case ctx.Err() != nil && !j.silent(t):
		t.result = placer.Canceled
	}
	if t.ran && t.result == placer.Failed && !stalled {
		j.relayer.control.RecordBrokenAnswer(t.placement, j.fingerprint())
	}
	// Where nothing is acknowledged or heard, idle connections may be dead too.
	if t.result == placer.Failed && (errors.Is(cause, syscall.ETIMEDOUT) || j.silent(t)) {
		j.relayer.endpoints.Forget(t.placement.Address)
	}
	if t.conn != nil {
		t.conn.Close()
	}
}

// silent reports whether the endpoint gave no sign of life, on any request, for
// so long that it counts as failed although nobody waits any more.
func (j *job) silent(t *trial) bool {
	heard := t.sent
	if j.latest.After(heard) {
		heard = j.latest
	}
	waited := time.Since(heard)

	return t.ran && waited >= silentFor && j.relayer.control.SinceLastActivity(t.placement) >= waited
}

// fingerprint names what the request asks for, by whom.
func (j *job) fingerprint() uint64 {
	sum := fnv.New64a()
	for _, field := range []string{j.incoming.Method, j.incoming.Host, j.incoming.RequestURI, j.order.Workspace} {
		_, _ = sum.Write([]byte(field))
		_, _ = sum.Write([]byte{0})
	}
	_, _ = sum.Write(j.body)

	return sum.Sum64()
}

// request makes the request to an endpoint.
func (j *job) request(ctx context.Context, placement dispatcher.Placement) *http.Request {
	order := j.order
	order.EndpointID = placement.EndpointID
	order.CacheSourceAddress = placement.CacheSourceAddress
	order.RemainingTime = time.Until(j.deadline)
	if j.after > 0 {
		order.LastEventID = eventID(j.after)
	}
	request := &http.Request{
		Method: j.incoming.Method,
		URL:    &url.URL{Scheme: "http", Host: j.incoming.Host, Opaque: j.target()},
		Host:   j.incoming.Host,
		Header: j.relayer.codec.OutgoingHeader(j.incoming.Header, order),
		Body:   http.NoBody,
	}
	if len(j.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(j.body))
		request.ContentLength = int64(len(j.body))
	}

	return request.WithContext(ctx)
}

// receive takes in the answer's head.
func (j *job) receive(ctx context.Context, t *trial) {
	said := j.relayer.codec.ParseResponse(t.response.StatusCode, t.response.Header)
	switch {
	case said.Misdirected:
		t.result, t.cause = placer.Misdirected, errors.New("another endpoint has the address")
		j.discard(t)
	case said.RequestID != j.envelope.ID:
		t.ran = !said.NotRun
		j.broken(ctx, t, errors.Errorf("answer to request %q", said.RequestID))
	case t.response.Header.Get("Content-Encoding") != "":
		t.ran = true
		j.broken(ctx, t, errors.New("answer with a content encoding"))
	case said.NotRun && t.response.StatusCode != http.StatusBadRequest:
		t.result, t.cause = placer.Refused, errors.Errorf("refused with status %d", t.response.StatusCode)
		j.discard(t)
	case t.response.StatusCode == http.StatusOK && eventStream(t.response.Header):
		t.ran = true
		j.stream(ctx, t)
	case j.begun:
		t.ran = true
		j.broken(ctx, t, errors.Errorf("status %d instead of further events", t.response.StatusCode))
	default:
		t.ran = true
		j.whole(ctx, t)
	}
}

// defaultConnections is what an endpoint accepts where the configuration does
// not say.
const defaultConnections = 100

// release gives the connection back. Idle ones take up to this instance's part
// of half the connections that the endpoint accepts from all.
func (j *job) release(t *trial) {
	connections := j.service.MaxConnections
	if connections <= 0 {
		connections = defaultConnections
	}
	j.relayer.endpoints.Release(t.conn, t.response, j.relayer.control.LocalShare(connections/2))
}

// mostDiscarded is the bytes of a refusal that are read so that the connection
// can be used again.
const mostDiscarded = 16 << 10

// discard reads the rest of an answer that is not passed on.
func (j *job) discard(t *trial) {
	n, err := io.Copy(io.Discard, io.LimitReader(t.response.Body, mostDiscarded))
	if err != nil || n == mostDiscarded {
		t.conn.Close()

		return
	}
	j.release(t)
}
