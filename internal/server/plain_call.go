package server

import (
	"crypto/sha256"
	"encoding/hex"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/controller"
	"github.com/oleanderpick/oleanderpick/internal/forwarder"
	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/balancer"
	"github.com/oleanderpick/oleanderpick/pkg/journaler"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

// KeyedCall is a non-idempotent call with an idempotency key, whose result is recorded.
type KeyedCall struct {
	// Workspace is the name of the workspace that sent the call, Key the value of the
	// Idempotency-Key header.
	Workspace, Key string
	// Fingerprint is a digest of the call, which shows whether a key is reused for a
	// different call.
	Fingerprint string
	// FirstAttemptTime is the time of the first attempt as stated by the caller; zero if it
	// stated none.
	FirstAttemptTime time.Time
	// Attempt is the number of this attempt as stated by the caller, counted from 1; 0
	// if it stated none.
	Attempt int
}

// SendFunc sends a recorded call to an endpoint once. It must not send the call after
// sendDeadline.
type SendFunc func(sendDeadline time.Time) (forwarder.PlainAnswer, *retrier.Failure)

// hopByHopHeaders are the headers that apply to a single connection and are not
// forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// handlePlainCall answers a call of a plain service.
func (s *Server) handlePlainCall(w http.ResponseWriter, r *http.Request) {
	caller, err := s.identifyCaller(r)
	if err != nil {
		s.refuse(w, err)

		return
	}
	service, err := caller.resolver.PlainService(r.PathValue("name"))
	if err != nil {
		s.refuse(w, err)

		return
	}
	body, err := s.readBody(w, r)
	if err != nil {
		s.refuse(w, err)

		return
	}

	isIdempotent := service.IsIdempotent(r.Method, "/"+r.PathValue("rest"))
	call := newPlainCall(r, body)
	call.MustRunOnce = !isIdempotent
	admission := controller.Request{
		Service:      service.Name,
		Class:        caller.class.Name,
		Tier:         caller.class.Tier,
		Workspace:    caller.workspace.Name,
		PromptTokens: 1,
		Fingerprint:  callFingerprint(caller.workspace.Name, call),
		Deadline:     caller.deadline,
	}
	answer, err := s.runPlainCall(r, admission, call, isIdempotent)
	if err != nil {
		s.refuse(w, err)

		return
	}
	s.meter.Add("classes."+caller.class.Name+".plain", 1)
	writePlainAnswer(w, answer)
}

// runPlainCall records a non-idempotent call with an idempotency key, so that it is
// run at most once; other calls are run without a record.
func (s *Server) runPlainCall(r *http.Request, admission controller.Request, call forwarder.PlainCall, idempotent bool) (forwarder.PlainAnswer, error) {
	key := r.Header.Get(headerIdempotencyKey)
	if idempotent || key == "" {
		return s.runUnrecordedCall(r, admission, call, idempotent)
	}

	keyedCall := KeyedCall{
		Workspace:   admission.Workspace,
		Key:         key,
		Fingerprint: callDigest(call),
	}
	if err := readAttemptHeaders(r, &keyedCall); err != nil {
		return forwarder.PlainAnswer{}, err
	}

	return s.runRecordedCall(r, admission, call, keyedCall)
}

// runUnrecordedCall runs a call that is not recorded. An idempotent call is retried; a
// non-idempotent one is not repeated once an endpoint may have started it.
func (s *Server) runUnrecordedCall(r *http.Request, admission controller.Request, call forwarder.PlainCall, idempotent bool) (forwarder.PlainAnswer, error) {
	ticket, err := s.admitter.Admit(r.Context(), admission)
	if err != nil {
		return forwarder.PlainAnswer{}, err
	}

	earlierStartStatus := retrier.NeverSent()
	for {
		call.Address = ticket.Placement().Address
		answer, failure := s.forwarder.RunPlainCall(r.Context(), call)
		if failure == nil {
			ticket.Finish(balancer.Finished, 1)

			return answer, nil
		}
		failure.Idempotent = idempotent
		failure.EarlierStartStatus = earlierStartStatus
		earlierStartStatus = earlierStartStatus.Combine(failure.StartStatus)
		decision, err := ticket.HandleFailure(r.Context(), *failure, 0)
		if err != nil {
			return forwarder.PlainAnswer{}, err
		}
		if decision.Action != retrier.Retry {
			return forwarder.PlainAnswer{}, decision.Error
		}
	}
}

// runRecordedCall admits a call before it records it, so that no intent is written to
// the journal for a call that is refused.
func (s *Server) runRecordedCall(r *http.Request, admission controller.Request, call forwarder.PlainCall, keyedCall KeyedCall) (forwarder.PlainAnswer, error) {
	ticket, err := s.admitter.Admit(r.Context(), admission)
	if err != nil {
		return forwarder.PlainAnswer{}, s.adjustRefusal(keyedCall, err)
	}
	result := balancer.Canceled
	defer func() { ticket.Finish(result, 1) }()

	return s.recorder.Do(r.Context(), keyedCall, func(sendDeadline time.Time) (forwarder.PlainAnswer, *retrier.Failure) {
		if time.Now().After(sendDeadline) {
			return forwarder.PlainAnswer{}, &retrier.Failure{Kind: answerer.KindExpired, StartStatus: retrier.NeverSent()}
		}
		call.Address = ticket.Placement().Address
		// The call continues after its caller disconnects, so that its result
		// can be recorded and returned when the caller sends it again.
		answer, failure := s.forwarder.RunPlainCallDetached(call, admission.Deadline)
		result = balancer.Finished
		if failure != nil {
			result = balancer.Failed
		}

		return answer, failure
	})
}

// adjustRefusal returns the error for a call that was refused before it was recorded.
// This attempt did not run, but unless the caller states that it is the first one, an
// earlier attempt may have run, and the error must not say otherwise.
func (s *Server) adjustRefusal(keyedCall KeyedCall, err error) error {
	refusal := answerer.FromError(err)
	call := journaler.Call{Attempt: keyedCall.Attempt}

	return call.AdjustRefusal(refusal).WithRetryAfter(refusal.RetryDelay())
}

// readAttemptHeaders reads the attempt number and the time of the first attempt, if
// the caller states them. Errors are of kind KindMalformed.
func readAttemptHeaders(r *http.Request, keyedCall *KeyedCall) error {
	if value := r.Header.Get(headerIdempotencyAttempt); value != "" {
		attempt, err := strconv.Atoi(value)
		if err != nil || attempt < 1 {
			return answerer.New(answerer.KindMalformed, "The header Idempotency-Attempt must be a count from 1.")
		}
		keyedCall.Attempt = attempt
	}
	if value := r.Header.Get(headerIdempotencyFirst); value != "" {
		firstAttemptTime, err := time.Parse(time.RFC3339, value)
		if err != nil {
			return answerer.New(answerer.KindMalformed, "The header Idempotency-First must be a time in RFC 3339.")
		}
		keyedCall.FirstAttemptTime = firstAttemptTime
	}

	return nil
}

// newPlainCall returns the call to forward: without hop-by-hop headers and the caller's
// credentials, and with the part of the path that follows the service's name.
func newPlainCall(r *http.Request, body []byte) forwarder.PlainCall {
	header := r.Header.Clone()
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	header.Del("Authorization")
	_, pathInService, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/services/"), "/")
	pathAndQuery := "/" + pathInService
	if r.URL.RawQuery != "" {
		pathAndQuery += "?" + r.URL.RawQuery
	}

	return forwarder.PlainCall{Method: r.Method, PathAndQuery: pathAndQuery, Header: header, Body: body}
}

// callDigest returns a SHA-256 digest, in hex, of a call's method, path and body.
func callDigest(call forwarder.PlainCall) string {
	hash := sha256.New()
	hash.Write([]byte(call.Method + "\n" + call.PathAndQuery + "\n"))
	hash.Write(call.Body)

	return hex.EncodeToString(hash.Sum(nil))
}

// callFingerprint returns a hash that is the same for every resend of a call by a
// workspace.
func callFingerprint(workspace string, call forwarder.PlainCall) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(workspace + "\n" + callDigest(call)))

	return hash.Sum64()
}

func writePlainAnswer(w http.ResponseWriter, answer forwarder.PlainAnswer) {
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
