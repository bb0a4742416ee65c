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

// KeyedCall is a non-idempotent call that carries a key.
type KeyedCall struct {
	Workspace, Key string
	// Fingerprint tells the same key on another call apart.
	Fingerprint string
	// FirstAttemptTime is when the caller says it first tried; zero when it does not.
	FirstAttemptTime time.Time
	// Attempt is the try that the caller says this is, from 1; 0 when it
	// does not.
	Attempt int
}

// SendFunc runs a recorded call once. It must not leave after until.
type SendFunc func(until time.Time) (forwarder.PlainAnswer, *retrier.Failure)

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func (s *Server) plain(w http.ResponseWriter, r *http.Request) {
	sender, err := s.identify(r)
	if err != nil {
		s.refuse(w, err)

		return
	}
	service, err := sender.resolver.PlainService(r.PathValue("name"))
	if err != nil {
		s.refuse(w, err)

		return
	}
	body, err := s.body(w, r)
	if err != nil {
		s.refuse(w, err)

		return
	}

	call := plainCall(r, body)
	admission := controller.Request{
		Service:      service.Name,
		Class:        sender.class.Name,
		Tier:         sender.class.Tier,
		Workspace:    sender.workspace.Name,
		PromptTokens: 1,
		Fingerprint:  fingerprint(sender.workspace.Name, call),
		Deadline:     sender.deadline,
	}
	answer, err := s.callPlain(r, admission, call, service.IsIdempotent(r.Method, "/"+r.PathValue("rest")))
	if err != nil {
		s.refuse(w, err)

		return
	}
	s.meter.Add("classes."+sender.class.Name+".plain", 1)
	writePlain(w, answer)
}

func (s *Server) callPlain(r *http.Request, admission controller.Request, call forwarder.PlainCall, repeatable bool) (forwarder.PlainAnswer, error) {
	key := r.Header.Get(headerKey)
	if repeatable || key == "" {
		return s.runPlain(r, admission, call, repeatable)
	}

	recorded := KeyedCall{
		Workspace:   admission.Workspace,
		Key:         key,
		Fingerprint: digest(call),
	}
	if err := readAttempt(r, &recorded); err != nil {
		return forwarder.PlainAnswer{}, err
	}

	return s.recordPlain(r, admission, call, recorded)
}

// runPlain runs a call that needs no record: repeatable ones with retries,
// the others at most once.
func (s *Server) runPlain(r *http.Request, admission controller.Request, call forwarder.PlainCall, repeatable bool) (forwarder.PlainAnswer, error) {
	ticket, err := s.admitter.Admit(r.Context(), admission)
	if err != nil {
		return forwarder.PlainAnswer{}, err
	}

	earlier := retrier.NeverSent()
	for {
		call.Address = ticket.Placement().Address
		answer, failure := s.forwarder.Plain(r.Context(), call)
		if failure == nil {
			ticket.Finish(balancer.Finished, 1)

			return answer, nil
		}
		failure.Idempotent = repeatable
		failure.EarlierStartStatus = earlier
		earlier = earlier.Combine(failure.StartStatus)
		decision, err := ticket.HandleFailure(r.Context(), *failure, 0)
		if err != nil {
			return forwarder.PlainAnswer{}, err
		}
		if decision.Action != retrier.Retry {
			return forwarder.PlainAnswer{}, decision.Error
		}
	}
}

// recordPlain admits a call first and records it then, so that no intent is
// written for a call that is refused.
func (s *Server) recordPlain(r *http.Request, admission controller.Request, call forwarder.PlainCall, recorded KeyedCall) (forwarder.PlainAnswer, error) {
	ticket, err := s.admitter.Admit(r.Context(), admission)
	if err != nil {
		return forwarder.PlainAnswer{}, s.afterEarlier(recorded, err)
	}
	result := balancer.Canceled
	defer func() { ticket.Finish(result, 1) }()

	return s.recorder.Do(r.Context(), recorded, func(until time.Time) (forwarder.PlainAnswer, *retrier.Failure) {
		if time.Now().After(until) {
			return forwarder.PlainAnswer{}, &retrier.Failure{Kind: answerer.KindExpired, StartStatus: retrier.NeverSent()}
		}
		call.Address = ticket.Placement().Address
		// The call goes on when its caller leaves, so that its outcome can
		// be recorded for the resend.
		answer, failure := s.forwarder.PlainDetached(call, admission.Deadline)
		result = balancer.Finished
		if failure != nil {
			result = balancer.Failed
		}

		return answer, failure
	})
}

// afterEarlier makes a refusal of a resend honest: this try did not run, but
// an earlier one may have.
func (s *Server) afterEarlier(recorded KeyedCall, err error) error {
	refusal := answerer.FromError(err)
	call := journaler.Call{Attempt: recorded.Attempt}

	return call.AdjustRefusal(refusal).WithRetryAfter(refusal.RetryDelay())
}

func readAttempt(r *http.Request, recorded *KeyedCall) error {
	if text := r.Header.Get(headerAttempt); text != "" {
		attempt, err := strconv.Atoi(text)
		if err != nil || attempt < 1 {
			return answerer.New(answerer.KindMalformed, "The header Idempotency-Attempt must be a count from 1.")
		}
		recorded.Attempt = attempt
	}
	if text := r.Header.Get(headerFirst); text != "" {
		first, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return answerer.New(answerer.KindMalformed, "The header Idempotency-First must be a time in RFC 3339.")
		}
		recorded.FirstAttemptTime = first
	}

	return nil
}

func plainCall(r *http.Request, body []byte) forwarder.PlainCall {
	header := r.Header.Clone()
	for _, name := range hopByHop {
		header.Del(name)
	}
	header.Del("Authorization")
	_, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/services/"), "/")
	address := "/" + rest
	if r.URL.RawQuery != "" {
		address += "?" + r.URL.RawQuery
	}

	return forwarder.PlainCall{Method: r.Method, Path: address, Header: header, Body: body}
}

func digest(call forwarder.PlainCall) string {
	sum := sha256.New()
	sum.Write([]byte(call.Method + "\n" + call.Path + "\n"))
	sum.Write(call.Body)

	return hex.EncodeToString(sum.Sum(nil))
}

func fingerprint(workspace string, call forwarder.PlainCall) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(workspace + "\n" + digest(call)))

	return sum.Sum64()
}

func writePlain(w http.ResponseWriter, answer forwarder.PlainAnswer) {
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
