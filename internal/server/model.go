package server

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/controller"
	"github.com/oleanderpick/oleanderpick/internal/decoder"
	"github.com/oleanderpick/oleanderpick/internal/forwarder"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/balancer"
	"github.com/oleanderpick/oleanderpick/pkg/declarer"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

// model returns the handler of model requests whose bodies decode reads.
func (s *Server) model(decode func([]byte) (decoder.Request, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		arrived := time.Now()
		sender, err := s.identify(r)
		if err != nil {
			s.refuse(w, err)

			return
		}
		body, err := s.body(w, r)
		if err != nil {
			s.refuse(w, err)

			return
		}
		request, err := decode(body)
		if err != nil {
			s.refuse(w, err)

			return
		}
		service, err := sender.resolver.ServiceOfModel(request.Model)
		if err != nil {
			s.refuse(w, err)

			return
		}

		answer := newAnswer(w, request, arrived)
		s.serve(r, s.admission(r, sender, service, request), request, sender.class, answer)
	}
}

func (s *Server) admission(r *http.Request, sender identity, service string, request decoder.Request) controller.Request {
	admission := controller.Request{
		Service:         service,
		Model:           request.Model,
		Class:           sender.class.Name,
		Tier:            sender.class.Tier,
		Workspace:       sender.workspace.Name,
		PromptTokens:    request.PromptTokens(),
		MaxAnswerTokens: request.Limit,
		Prefixes:        decoder.Prefixes(request.Prompt),
		Fingerprint:     request.Fingerprint(),
		Deadline:        sender.deadline,
	}
	if s.settings.AcceptKnownLengths {
		admission.KnownAnswerTokens, _ = strconv.Atoi(r.Header.Get(headerLength))
	}

	return admission
}

// serve has a request admitted and runs its tries until it is answered.
func (s *Server) serve(r *http.Request, admission controller.Request, request decoder.Request, class declarer.ServiceClass, answer *modelAnswer) {
	ticket, err := s.admitter.Admit(r.Context(), admission)
	if err != nil {
		s.failAnswer(answer, class.Name, err)

		return
	}

	earlier := retrier.NeverSent()
	for {
		result := s.try(r, ticket, admission, request, answer)
		if result.Failure == nil {
			ticket.Finish(balancer.Finished, result.Chunks)
			s.served(answer, class, result.Chunks)

			return
		}

		failure := *result.Failure
		failure.EarlierStartStatus = earlier
		failure.PartlyDelivered = answer.begun()
		earlier = earlier.Combine(failure.StartStatus)
		decision, err := ticket.HandleFailure(r.Context(), failure, result.Chunks)
		s.meter.Add("tokens.wasted", int64(result.Chunks))
		switch {
		case err != nil:
			s.failAnswer(answer, class.Name, err)

			return
		case decision.Action != retrier.Retry:
			s.failAnswer(answer, class.Name, decision.Error)

			return
		}
		answer.reset()
	}
}

func (s *Server) try(r *http.Request, ticket *controller.Ticket, admission controller.Request, request decoder.Request, answer *modelAnswer) forwarder.Result {
	placement := ticket.Placement()
	call := forwarder.Call{
		Address:  placement.Address,
		Path:     r.URL.Path,
		Stream:   fmt.Sprintf("%s-%d-%d", s.settings.StreamIDPrefix, placement.ID, placement.Attempt),
		Body:     request.Body,
		Priority: admission.Tier,
	}

	return s.forwarder.Stream(r.Context(), call, answer, ticket.RecordProgress)
}

// served finishes a whole answer and counts it.
func (s *Server) served(answer *modelAnswer, class declarer.ServiceClass, tokens int) {
	if err := answer.finish(); err != nil {
		s.meter.RefusedOf(class.Name, answerer.KindCanceled)

		return
	}
	first, whole := answer.times()
	s.meter.Served(meter.Answer{
		Class:  class.Name,
		First:  first,
		Whole:  whole,
		Tokens: tokens,
		Within: within(class, first, whole, tokens),
	})
}

// within reports whether an answer met its class's targets.
func within(class declarer.ServiceClass, first, whole time.Duration, tokens int) bool {
	if target := class.FirstTokenTarget.AsDuration(); target > 0 && first > target {
		return false
	}
	if target := class.CompletionTarget.AsDuration(); target > 0 && whole > target {
		return false
	}
	target := class.TokenGapTarget.AsDuration()
	if target <= 0 || tokens < 2 {
		return true
	}

	return (whole-first)/time.Duration(tokens-1) <= target
}

func (s *Server) failAnswer(answer *modelAnswer, class string, err error) {
	refusal := answerer.FromError(err)
	s.meter.RefusedOf(class, refusal.Kind)
	answer.fail(refusal)
}
