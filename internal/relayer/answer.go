package relayer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/common/sendtracker"
	"github.com/oleanderpick/oleanderpick/internal/common/verifier"
	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// Retry-After values of refusals.
const (
	// startRetryAfter is about the time in which a starting instance reads its
	// configuration.
	startRetryAfter = 300 * time.Millisecond
	// reconnectRetryAfter is the time in which a caller reaches another instance
	// through the load balancer.
	reconnectRetryAfter = 100 * time.Millisecond
	// quarantineRetryAfter is the time in which a crashed endpoint restarts.
	quarantineRetryAfter = 10 * time.Second
	// capacityRetryAfter is about the time in which an endpoint without free
	// capacity finishes some of its requests.
	capacityRetryAfter = 250 * time.Millisecond
)

// maxBufferedBytes is how much of an answer is buffered before any of it is forwarded,
// so that the request can be repeated if the answer is truncated.
const maxBufferedBytes = 1 << 20

// forwardBuffered reads an answer that is not a stream of events and forwards it whole.
// An answer of maxBufferedBytes or more, or one for which there is no memory, is forwarded by forwardLarge.
func (r *relayedRequest) forwardBuffered(ctx context.Context, a *attempt) {
	buffer, isWhole, err := r.readAnswer(a)
	switch {
	case err != nil:
		err = errors.Wrap(err, "answer was truncated")
	case r.hasNextAnswer(a.response, buffer):
		err = errors.New("the body contains another answer")
	case isWhole && isFilledUp(a, buffer):
		err = errors.New("the body was filled up from another answer")
	case !isWhole && promisesNotRun(a.response.StatusCode) && !a.isPeer:
		err = errors.Errorf("status %d with a body of %d bytes or more", a.response.StatusCode, len(buffer))
	case !isWhole:
		r.forwardLarge(a, buffer)

		return
	}
	if err != nil {
		r.memory.giveBack(cap(buffer))
		r.failAttempt(ctx, a, err)

		return
	}
	isFinal := r.acceptAnswer(a, buffer)
	r.releaseConnection(a, isFinal)
	a.result = placer.Finished
	if !isFinal {
		a.result = placer.Failed
		a.failureCause = errors.Errorf("status %d", a.response.StatusCode)

		return
	}
	if !a.placement.HasPrompt {
		r.recordPaceError(a)
	}
	r.writeAnswerHeader(a.response, int64(len(buffer)))
	if _, err := r.w.Write(buffer); err != nil {
		r.relayer.logger.Debug("Caller disconnected during the answer.", "request", r.metadata.ID, "error", err)
	}
	r.recordServed(a)
	a.answered = true
}

// endsEarly reports whether an answer that was read to its end may have been broken off.
func (a *attempt) endsEarly() bool {
	return sendtracker.EndsEarly(a.response, a.connection.HasSentAll)
}

// minAnswerBytes is the memory for an answer of unknown length at first.
const minAnswerBytes = 4 << 10

// readAnswer reads the body of an answer. isWhole is false if there is more of it than maxBufferedBytes or than
// there is memory for. An endpoint that sends is not stalled.
func (r *relayedRequest) readAnswer(a *attempt) (buffer []byte, isWhole bool, err error) {
	size := minAnswerBytes
	if length := a.response.ContentLength; length >= 0 && length < maxBufferedBytes {
		size = int(length) + 1 // The end of the body is seen by a read that returns nothing.
	}
	for {
		if !r.memory.try(size - cap(buffer)) {
			r.logInParts(a, len(buffer))

			return buffer, false, nil
		}
		buffer = append(make([]byte, 0, size), buffer...)
		for len(buffer) < cap(buffer) {
			n, err := a.response.Body.Read(buffer[len(buffer):cap(buffer)])
			buffer = buffer[:len(buffer)+n]
			a.stallDetector.extend()
			switch {
			case errors.Is(err, io.EOF) && len(buffer) == 0 && verifier.MustHaveBody(r.incoming.Method, a.response):
				return buffer, false, io.ErrUnexpectedEOF
			case errors.Is(err, io.EOF) && a.endsEarly():
				return buffer, false, sendtracker.ErrEarlyEnd
			case errors.Is(err, io.EOF):
				return buffer, true, nil
			case err != nil:
				return buffer, false, err
			}
		}
		if size >= maxBufferedBytes {
			return buffer, false, nil
		}
		size = min(2*size, maxBufferedBytes)
	}
}

// logInParts logs that an answer is forwarded as it arrives, since there is no memory to keep it.
func (r *relayedRequest) logInParts(a *attempt, keptBytes int) {
	heldBytes, waiting := r.memory.usage()
	r.relayer.meter.Add("memory.answers-in-parts", 1)
	r.relayer.logger.Info("No memory to keep an answer whole.", "request", r.metadata.ID, "route", r.route.Name, "endpoint", a.placement.EndpointID,
		"status", a.response.StatusCode, "length", a.response.ContentLength, "kept", keptBytes, "held by all", heldBytes, "bodies waiting", waiting)
}

// hasNextAnswer reports whether the head of another answer stands in a body. If only the end of the
// connection ends the body, that is one that names any request. If the body has a length or chunks, which
// a broken-off answer has too, it is one that names this request.
func (r *relayedRequest) hasNextAnswer(response *http.Response, body []byte) bool {
	return verifier.FindHead(body, r.isNextAnswer(verifier.EndsWithConnection(response)))
}

// fillUpWait is how long the rest of an answer may take whose beginning may have filled up the body before it.
const fillUpWait = 10 * time.Millisecond

// isFilledUp reports whether a body that was broken off looks whole, as the beginning of the answer behind it
// counted as its end: there may be a start line in the body, and bytes come behind it. A body in chunks
// cannot be filled up, and one without a length has nothing behind it.
func isFilledUp(a *attempt, body []byte) bool {
	if a.response.ContentLength <= 0 || !verifier.MayHoldStart(body) {
		return false
	}
	time.Sleep(fillUpWait)

	return !a.connection.EndsWith(body)
}

// isNextAnswer returns the function that hasNextAnswer decides by. The body may have no length.
func (r *relayedRequest) isNextAnswer(hasNoLength bool) verifier.Accept {
	return func(status int, header http.Header) bool {
		id := r.relayer.codec.ParseResponse(status, header).RequestID

		return id != "" && (id == r.metadata.ID || hasNoLength)
	}
}

// acceptAnswer reports whether the answer is the final one. A 5xx status of a request
// that may be repeated is kept instead, for the case that no other attempt succeeds. A
// status that promises that the request has not run is not accepted either, since answers
// that the endpoint marked as not run were handled before. What a peer answers is final.
func (r *relayedRequest) acceptAnswer(a *attempt, body []byte) bool {
	if a.isPeer {
		return true
	}
	status := a.response.StatusCode
	if promisesNotRun(status) {
		r.memory.giveBack(cap(body))

		return false
	}
	if status < http.StatusInternalServerError || !r.route.CanRepeat() {
		return true
	}
	if r.endpointFailure != nil {
		r.memory.giveBack(cap(r.endpointFailure.body))
	}
	r.endpointFailure = &endpointFailure{status: status, header: a.response.Header, body: body}

	return false
}

// promisesNotRun reports whether callers understand the status code as a promise that
// the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}

	return false
}

// forwardLarge forwards an answer that is too large to buffer, and of which a part was read. If it is
// truncated or goes on with another answer, the caller's connection is closed.
func (r *relayedRequest) forwardLarge(a *attempt, buffered []byte) {
	a.stallDetector.stop() // An answer that has begun cannot come from another endpoint.
	r.writeAnswerHeader(a.response, a.response.ContentLength)
	a.answered = true
	a.result = placer.Finished
	body := verifier.NewReader(io.MultiReader(bytes.NewReader(buffered), a.response.Body), r.isNextAnswer(verifier.EndsWithConnection(a.response)))
	_, err := io.CopyN(r.w, body, int64(len(buffered)))
	r.memory.giveBack(cap(buffered))
	if err == nil {
		_, err = io.Copy(r.w, body)
	}
	if err == nil && a.endsEarly() {
		err = sendtracker.ErrEarlyEnd
	}
	if err != nil {
		a.result = placer.Failed
		a.connection.Close()
		if r.hasCallerLeft() {
			a.result = placer.Canceled
			r.finishAbandoned()
		}
		if !a.isPeer {
			r.reportBrokenAnswer(a, false)
		}
		r.abortCallerConnection(errors.Wrap(err, "large answer was truncated"))
	}
	r.releaseConnection(a, true)
	r.recordServed(a)
}

// writeAnswerHeader writes the status and headers of an endpoint's answer to the caller.
// A length of -1 means that it is unknown.
func (r *relayedRequest) writeAnswerHeader(response *http.Response, length int64) {
	header := r.w.Header()
	for name, values := range response.Header {
		if name != elsewhereHeader && name != answeredHeader { // Only this instance may set them.
			header[name] = values
		}
	}
	StripHopByHopHeaders(header)
	if r.incoming.Method != http.MethodHead {
		header.Del("Content-Length")
	}
	if length > 0 || (length == 0 && r.incoming.Method != http.MethodHead) {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if response.Header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // Keeps net/http from setting a guessed type.
	}
	if r.relayer.keepAlivesDisabled.Load() {
		header.Set("Connection", "close")
	}
	r.answerStarted = true
	r.w.WriteHeader(response.StatusCode)
}

// recordServed logs and counts a completely forwarded answer.
func (r *relayedRequest) recordServed(a *attempt) {
	r.recordCompletion(a)
	duration := time.Since(r.receivedAt)
	r.relayer.meter.RecordDuration(r.route.Kind.String(), duration)
	r.isServed = true
	r.relayer.durations.record(r.route.Name, duration)
	r.relayer.logger.Info("Answered.", "request", r.metadata.ID, "route", r.route.Name, "endpoint", a.placement.EndpointID,
		"status", a.response.StatusCode, "endpoint load", a.endpointLoad.String(), "endpoint limit", a.rateLimit.String(), "known running", a.placement.KnownLoad.RunningRequests, "runs", r.possibleRuns+1, "first ms", r.timeToFirstEvent.Milliseconds(), "pause ms", r.longestEventGap.Milliseconds(),
		"ms", duration.Milliseconds())
}

// abortCallerConnection closes the caller's connection, so that the truncated answer
// does not look complete.
func (r *relayedRequest) abortCallerConnection(cause error) {
	r.relayer.meter.CountError(answerer.KindTruncated)
	r.relayer.logger.Info("Answer was cut off.", "request", r.metadata.ID, "route", r.route.Name,
		"after event", r.lastEventID, "ms", time.Since(r.receivedAt).Milliseconds(), "cause", causeText(cause))
	r.resetUnframed()
	panic(http.ErrAbortHandler)
}

// resetUnframed resets the connection of a caller that knows no chunks. The regular end of its connection would be
// the end of an answer without a length.
func (r *relayedRequest) resetUnframed() {
	if r.incoming.ProtoAtLeast(1, 1) {
		return
	}
	conn, _, err := http.NewResponseController(r.w).Hijack()
	if err != nil {
		r.relayer.logger.Warn("The caller's connection cannot be reset.", "request", r.metadata.ID, "error", err)

		return
	}
	if socket, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0)
	}
	_ = conn.Close()
}

// hasCallerLeft reports whether nobody waits for the answer any more: the caller closed its
// connection or does not read from it. A deadline that has passed is no sign of that.
func (r *relayedRequest) hasCallerLeft() bool {
	return r.isAbandoned || r.incoming.Context().Err() != nil
}

// finishAbandoned ends a request whose caller has left.
func (r *relayedRequest) finishAbandoned() {
	r.relayer.meter.CountError(answerer.KindCanceled)
	r.relayer.logger.Info("Caller disconnected.", "request", r.metadata.ID, "route", r.route.Name, "may have run", r.mayHaveRun,
		"after event", r.lastEventID, "left ms", time.Until(r.deadline).Milliseconds(), "ms", time.Since(r.receivedAt).Milliseconds())
	panic(http.ErrAbortHandler)
}

// finishUnanswered ends a request that no endpoint answered completely: with a kept
// failure of an endpoint, a refusal of the given kind or a closed connection.
func (r *relayedRequest) finishUnanswered(ctx context.Context, kind answerer.Kind, retryAfter time.Duration) {
	switch {
	case r.hasCallerLeft():
		r.finishAbandoned()
	case r.answerStarted:
		r.abortCallerConnection(errors.New(kind.String()))
	case r.endpointFailure != nil && ctx.Err() == nil:
		r.forwardFailure(r.endpointFailure)
	default:
		r.refuse(answerer.New(kind, "The request got no answer.").WithRetryAfter(retryAfter))
	}
}

// forwardFailure gives the caller an endpoint's own 5xx answer.
func (r *relayedRequest) forwardFailure(failure *endpointFailure) {
	r.writeAnswerHeader(&http.Response{StatusCode: failure.status, Header: failure.header}, int64(len(failure.body)))
	if _, err := r.w.Write(failure.body); err != nil {
		r.relayer.logger.Debug("Caller disconnected during the answer.", "request", r.metadata.ID, "error", err)
	}
	r.relayer.logger.Info("Forwarded an endpoint's failure.", "request", r.metadata.ID, "route", r.route.Name, "status", failure.status)
}

// configurationNumber returns the number of the configuration that applies to the
// request; 0 if there is none.
func (r *relayedRequest) configurationNumber() uint64 {
	if r.matcher == nil {
		return 0
	}

	return r.matcher.Number()
}

// refuse gives the caller an error answer of this instance.
func (r *relayedRequest) refuse(err *answerer.Error) {
	answer := answerer.Lookup(err.Kind)
	r.relayer.meter.CountError(err.Kind)
	r.relayer.logger.Info("Refused.", "request", r.metadata.ID, "route", r.route.Name, "kind", answer.Name,
		"status", answer.Status, "outcome", answer.Outcome.String(), "cause", err.Error(), "configuration", r.configurationNumber(),
		"fresh configuration", r.relayer.dispatcher.IsConfigurationFresh(), "young configuration", r.relayer.dispatcher.IsConfigurationYoung(), "retry after ms", err.RetryAfter.Milliseconds(),
		"ms", time.Since(r.receivedAt).Milliseconds(), "connection ms", r.connectionAge().Milliseconds())
	r.markElsewhere(err.Kind)
	body, marshalErr := json.Marshal(map[string]string{"error": answer.Name, "outcome": answer.Outcome.String()})
	if marshalErr != nil {
		body = []byte("{}")
	}
	header := r.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if answer.Outcome == answerer.NotRun && err.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(err.RetryAfter.Seconds(), 'f', 3, 64))
	}
	r.w.WriteHeader(answer.Status)
	if _, writeErr := r.w.Write(body); writeErr != nil {
		r.relayer.logger.Debug("Caller disconnected during the answer.", "request", r.metadata.ID, "error", writeErr)
	}
}
