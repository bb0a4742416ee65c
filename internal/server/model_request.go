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

// modelHandler returns the handler of model requests whose bodies are decoded by
// decode.
func (s *Server) modelHandler(decode func([]byte) (decoder.Request, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		arrivedAt := time.Now()
		caller, err := s.identifyCaller(r)
		if err != nil {
			s.refuse(w, err)

			return
		}
		body, err := s.readBody(w, r)
		if err != nil {
			s.refuse(w, err)

			return
		}
		request, err := decode(body)
		if err != nil {
			s.refuse(w, err)

			return
		}
		service, err := caller.resolver.ServiceOfModel(request.Model)
		if err != nil {
			s.refuse(w, err)

			return
		}

		answer := newModelAnswerWriter(w, request, arrivedAt)
		s.runAttempts(r, s.newAdmissionRequest(r, caller, service, request), request, caller.class, answer)
	}
}

// newAdmissionRequest returns what the admitter needs to know of a model request.
func (s *Server) newAdmissionRequest(r *http.Request, caller callerInfo, service string, request decoder.Request) controller.Request {
	admission := controller.Request{
		Service:         service,
		Model:           request.Model,
		Class:           caller.class.Name,
		Tier:            caller.class.Tier,
		Workspace:       caller.workspace.Name,
		PromptTokens:    request.PromptTokens(),
		MaxAnswerTokens: request.MaxAnswerTokens,
		Prefixes:        decoder.PrefixHashes(request.Prompt),
		Fingerprint:     request.Fingerprint(),
		Blocks:          request.Blocks,
		Deadline:        caller.deadline,
	}
	if s.settings.AcceptKnownLengths {
		admission.KnownAnswerTokens, _ = strconv.Atoi(r.Header.Get(headerKnownLength))
	}

	return admission
}

// runAttempts admits a request and sends it to endpoints until an attempt succeeds or
// the request may not be retried, and ends the answer to the caller.
func (s *Server) runAttempts(r *http.Request, admission controller.Request, request decoder.Request, class declarer.ServiceClass, answer *modelAnswerWriter) {
	ticket, err := s.admitter.Admit(r.Context(), admission)
	if err != nil {
		s.failAnswer(answer, class.Name, err)

		return
	}

	earlierStartStatus := retrier.NeverSent()
	for {
		result := s.runAttempt(r, ticket, admission, request, answer)
		if result.Failure == nil {
			ticket.Finish(balancer.Finished, result.ChunkCount)
			s.finishAnswer(answer, class, result.ChunkCount)

			return
		}

		failure := *result.Failure
		failure.EarlierStartStatus = earlierStartStatus
		failure.PartlyDelivered = answer.hasSentData()
		earlierStartStatus = earlierStartStatus.Combine(failure.StartStatus)
		decision, err := ticket.HandleFailure(r.Context(), failure, result.ChunkCount)
		s.meter.Add("tokens.wasted", int64(result.ChunkCount))
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

// runAttempt sends a request to the endpoint at which it was placed and copies the
// answer.
func (s *Server) runAttempt(r *http.Request, ticket *controller.Ticket, admission controller.Request, request decoder.Request, answer *modelAnswerWriter) forwarder.Result {
	placement := ticket.Placement()
	call := forwarder.ModelCall{
		Address:  placement.Address,
		Path:     r.URL.Path,
		StreamID: fmt.Sprintf("%s-%d-%d", s.settings.StreamIDPrefix, placement.ID, placement.Attempt),
		Body:     request.Body,
		Priority: admission.Tier,
	}

	return s.forwarder.RunModelCall(r.Context(), call, answer, ticket.RecordProgress)
}

// finishAnswer ends a complete answer and records it in the metrics. An answer whose
// end can't be written is counted as canceled.
func (s *Server) finishAnswer(answer *modelAnswerWriter, class declarer.ServiceClass, tokenCount int) {
	if err := answer.finish(); err != nil {
		s.meter.CountClassError(class.Name, answerer.KindCanceled)

		return
	}
	firstChunk, total := answer.elapsedTimes()
	s.meter.CountAnswer(meter.Answer{
		Class:            class.Name,
		TimeToFirstToken: firstChunk,
		TotalDuration:    total,
		TokenCount:       tokenCount,
		WithinTarget:     meetsTargets(class, firstChunk, total, tokenCount),
	})
}

// meetsTargets reports whether an answer met its class's targets for the time to the
// first token, the total time and the mean time between tokens. A target of 0 is not
// checked.
func meetsTargets(class declarer.ServiceClass, firstChunk, total time.Duration, tokenCount int) bool {
	if target := class.FirstTokenTarget.AsDuration(); target > 0 && firstChunk > target {
		return false
	}
	if target := class.CompletionTarget.AsDuration(); target > 0 && total > target {
		return false
	}
	target := class.TokenGapTarget.AsDuration()
	if target <= 0 || tokenCount < 2 {
		return true
	}

	return (total-firstChunk)/time.Duration(tokenCount-1) <= target
}

// failAnswer ends an answer with an error and counts it in the metrics of its class.
func (s *Server) failAnswer(answer *modelAnswerWriter, class string, err error) {
	refusal := answerer.FromError(err)
	s.meter.CountClassError(class, refusal.Kind)
	answer.writeFailure(refusal)
}
