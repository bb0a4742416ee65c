package controller

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/balancer"
	"github.com/oleanderpick/oleanderpick/pkg/estimator"
	"github.com/oleanderpick/oleanderpick/pkg/isolator"
	"github.com/oleanderpick/oleanderpick/pkg/quarantiner"
	"github.com/oleanderpick/oleanderpick/pkg/scheduler"
)

// Request describes a caller's request to the controller. It does not change after
// it is passed to Admit.
type Request struct {
	// Service and Model select the endpoints that may serve the request. Model is
	// empty for a plain service.
	Service, Model string
	// Class is the name of the service class and Tier its priority tier; 0 is the
	// highest.
	Class string
	Tier  int
	// Workspace is the workspace that the request counts against.
	Workspace string
	// PromptTokens is the length of the prompt in tokens. MaxAnswerTokens is the
	// caller's limit of answer tokens; 0 if there is none.
	PromptTokens, MaxAnswerTokens int
	// Prefixes are the hashes of the prompt's prefixes, shortest first.
	Prefixes []uint64
	// Fingerprint identifies the request. It is the same each time the caller sends
	// the request again.
	Fingerprint uint64
	// Blocks are the hashes of the parts of the prompt that other requests may contain too.
	Blocks []uint64
	// Deadline is the time after which the answer is of no use.
	Deadline time.Time
	// KnownAnswerTokens is the true length of the answer in tokens if it is known in advance,
	// as in an experiment; 0 if it is unknown.
	KnownAnswerTokens int
}

func (r Request) lane() string {
	return r.Service + "/" + r.Model
}

func (r Request) estimatorKey() estimator.Key {
	return estimator.Key{Workspace: r.Workspace, Class: r.Class, Model: r.Model}
}

// requestState is a request that the controller holds, with its progress. It is
// waiting, held back, or placed on an endpoint.
type requestState struct {
	id             uint64
	request        Request
	totalTokens    int // prompt tokens plus the tokens reserved for the answer
	triedEndpoints []string
	attempts       int  // number of times that it was placed on an endpoint
	hasVerdict     bool // verdict is valid for the next attempt
	verdict        quarantiner.Verdict
	blockVerdict   isolator.Verdict // on the prompt's blocks; valid if hasVerdict is
	isPlaced       bool
	hasBegun       bool   // something of the answer came from the endpoint
	endpoint       string // the endpoint of the current or last attempt
	results        chan placementResult
}

// placementResult is the result of waiting for an endpoint: a placement, or the error
// with which the request was refused.
type placementResult struct {
	placement Placement
	err       error
}

// Placement is the endpoint to which a request is to be sent.
type Placement struct {
	// ID identifies the request on this instance.
	ID uint64
	// Endpoint is the name of the endpoint and Address its base URL.
	Endpoint, Address string
	// Attempt is the number of the attempt, counted from 1.
	Attempt int
}

func (s *requestState) balancerRequest() balancer.Request {
	return balancer.Request{
		Service:        s.request.Service,
		Model:          s.request.Model,
		PromptTokens:   s.request.PromptTokens,
		TotalTokens:    s.totalTokens,
		Prefixes:       s.request.Prefixes,
		Tier:           s.request.Tier,
		TriedEndpoints: s.triedEndpoints,
		Isolated:       s.verdict == quarantiner.Suspect,
	}
}

func (s *requestState) schedulerRequest() scheduler.Request {
	return scheduler.Request{
		ID:        s.id,
		Lane:      s.request.lane(),
		Tier:      s.request.Tier,
		Class:     s.request.Class,
		Workspace: s.request.Workspace,
		Cost:      s.totalTokens,
		Deadline:  s.request.Deadline,
	}
}
