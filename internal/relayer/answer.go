package relayer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// Times after which a refused caller is asked to come back.
const (
	// startWait is about the time in which an instance that starts reads its
	// configuration.
	startWait = 300 * time.Millisecond
	// elsewhereWait is the time in which the balancer's callers reach another
	// instance.
	elsewhereWait = 100 * time.Millisecond
	// heldWait is the time in which a crashed endpoint starts again.
	heldWait = 10 * time.Second
	// fullWait is about the time in which a full endpoint ends some requests.
	fullWait = 250 * time.Millisecond
)

// mostBuffered is the bytes of an answer that are kept until it is whole, so
// that one that breaks off can be tried again.
const mostBuffered = 1 << 20

// whole passes on an answer that is not a stream of events.
func (j *job) whole(ctx context.Context, t *trial) {
	buffer := bytes.Buffer{}
	n, err := io.Copy(&buffer, io.LimitReader(t.response.Body, mostBuffered))
	if err != nil {
		j.broken(ctx, t, errors.Wrap(err, "answer broke off"))

		return
	}
	if n == mostBuffered {
		j.large(t, buffer.Bytes())

		return
	}
	j.release(t)
	t.result = placer.Finished
	if !j.final(t, buffer.Bytes()) {
		t.result = placer.Failed
		t.cause = errors.Errorf("status %d", t.response.StatusCode)

		return
	}
	j.begin(t.response, int64(buffer.Len()))
	if _, err := j.w.Write(buffer.Bytes()); err != nil {
		j.relayer.logger.Debug("Caller left during the answer.", "request", j.envelope.ID, "error", err)
	}
	j.served(t)
	t.done = true
}

// final reports whether the caller gets this answer. An endpoint's failure may
// be worth another try, and a status that promises that the request has not run
// is not passed on from an endpoint that does not say so itself.
func (j *job) final(t *trial, body []byte) bool {
	status := t.response.StatusCode
	if promises(status) {
		return false
	}
	if status < http.StatusInternalServerError || !j.route.CanRepeat() {
		return true
	}
	j.failure = &failure{status: status, header: t.response.Header, body: body}

	return false
}

// promises reports whether callers take the status as a promise that the
// request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}

	return false
}

// large passes on an answer that is too large to keep.
func (j *job) large(t *trial, start []byte) {
	j.begin(t.response, t.response.ContentLength)
	t.done = true
	t.result = placer.Finished
	_, err := io.Copy(j.w, io.MultiReader(bytes.NewReader(start), t.response.Body))
	if err != nil {
		t.result = placer.Failed
		t.conn.Close()
		j.abort(errors.Wrap(err, "large answer broke off"))
	}
	j.release(t)
	j.served(t)
}

// begin writes the answer's head.
func (j *job) begin(response *http.Response, length int64) {
	header := j.w.Header()
	maps.Copy(header, response.Header)
	StripHopByHopHeaders(header)
	if j.incoming.Method != http.MethodHead {
		header.Del("Content-Length")
	}
	if length > 0 || (length == 0 && j.incoming.Method != http.MethodHead) {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if response.Header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // Keeps net/http from guessing one.
	}
	if j.relayer.leaving.Load() {
		header.Set("Connection", "close")
	}
	j.begun = true
	j.w.WriteHeader(response.StatusCode)
}

func (j *job) served(t *trial) {
	if j.relayer.control.HasSuspects() {
		j.relayer.control.RecordCompletion(j.fingerprint())
	}
	took := time.Since(j.received)
	j.relayer.meter.Took(j.route.Kind.String(), took)
	j.relayer.logger.Info("Answered.", "request", j.envelope.ID, "route", j.route.Name, "endpoint", t.placement.EndpointID,
		"status", t.response.StatusCode, "runs", j.runs+1, "first ms", j.first.Milliseconds(), "pause ms", j.pause.Milliseconds(),
		"ms", took.Milliseconds())
}

// abort breaks the caller's connection, so that the answer does not look
// complete.
func (j *job) abort(cause error) {
	j.relayer.meter.Refused(answerer.KindTruncated)
	j.relayer.logger.Info("Answer is broken off.", "request", j.envelope.ID, "route", j.route.Name,
		"after event", j.after, "ms", time.Since(j.received).Milliseconds(), "cause", causeText(cause))
	panic(http.ErrAbortHandler)
}

// finish gives the caller the final answer of a request that no endpoint
// answered.
func (j *job) finish(ctx context.Context, kind answerer.Kind) {
	switch {
	case j.begun:
		j.abort(errors.New(kind.String()))
	case j.incoming.Context().Err() != nil:
		j.relayer.meter.Refused(answerer.KindCanceled)
		j.relayer.logger.Info("Caller left.", "request", j.envelope.ID, "route", j.route.Name, "ms", time.Since(j.received).Milliseconds())
		panic(http.ErrAbortHandler)
	case j.failure != nil && ctx.Err() == nil:
		j.pass(j.failure)
	default:
		j.refuse(answerer.New(kind, "The request got no answer.").WithRetryAfter(fullWait))
	}
}

// pass gives the caller an endpoint's own failure.
func (j *job) pass(f *failure) {
	j.begin(&http.Response{StatusCode: f.status, Header: f.header}, int64(len(f.body)))
	if _, err := j.w.Write(f.body); err != nil {
		j.relayer.logger.Debug("Caller left during the answer.", "request", j.envelope.ID, "error", err)
	}
	j.relayer.logger.Info("Passed on an endpoint's failure.", "request", j.envelope.ID, "route", j.route.Name, "status", f.status)
}

// number is that of the configuration which the request was judged by; 0: none.
func (j *job) number() uint64 {
	if j.matcher == nil {
		return 0
	}

	return j.matcher.Number()
}

// refuse gives the caller an answer of this instance.
func (j *job) refuse(err *answerer.Error) {
	answer := answerer.Lookup(err.Kind)
	j.relayer.meter.Refused(err.Kind)
	j.relayer.logger.Info("Refused.", "request", j.envelope.ID, "route", j.route.Name, "kind", answer.Name,
		"status", answer.Status, "outcome", answer.Outcome.String(), "cause", err.Error(), "configuration", j.number(),
		"fresh configuration", j.relayer.control.IsConfigurationFresh(), "retry after ms", err.RetryAfter.Milliseconds(),
		"ms", time.Since(j.received).Milliseconds())
	body, failed := json.Marshal(map[string]string{"error": answer.Name, "outcome": answer.Outcome.String()})
	if failed != nil {
		body = []byte("{}")
	}
	header := j.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if answer.Outcome == answerer.NotRun && err.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(err.RetryAfter.Seconds(), 'f', 3, 64))
	}
	j.w.WriteHeader(answer.Status)
	if _, failed := j.w.Write(body); failed != nil {
		j.relayer.logger.Debug("Caller left during the answer.", "request", j.envelope.ID, "error", failed)
	}
}
