package controller

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/balancer"
	"github.com/oleanderpick/oleanderpick/pkg/estimator"
	"github.com/oleanderpick/oleanderpick/pkg/quarantiner"
	"github.com/oleanderpick/oleanderpick/pkg/scheduler"
)

// Request is what a caller's request needs of the control state. It is not
// changed once it is admitted.
type Request struct {
	// Service and Model say which endpoints may serve it; Model is empty for
	// a plain service.
	Service, Model string
	// Class is the service class, Tier its tier; 0 is the highest.
	Class string
	Tier  int
	// Workspace is who pays.
	Workspace string
	// PromptTokens is the prompt's length in tokens, Limit the most the answer may
	// take; 0 when the caller gave none.
	PromptTokens, MaxAnswerTokens int
	// Prefixes are the hashes of the prompt's growing prefixes.
	Prefixes []uint64
	// Fingerprint is the same for every resend of the request.
	Fingerprint uint64
	// Deadline is when the answer is of no more use.
	Deadline time.Time
	// KnownAnswerTokens is the answer's true length if it is known beforehand, as in an
	// experiment; 0 when it is not.
	KnownAnswerTokens int
}

func (r Request) lane() string {
	return r.Service + "/" + r.Model
}

func (r Request) key() estimator.Key {
	return estimator.Key{Workspace: r.Workspace, Class: r.Class, Model: r.Model}
}

// entry is a request in the control state, waiting or placed.
type entry struct {
	id       uint64
	request  Request
	tokens   int
	avoid    []string
	tries    int
	judged   bool
	verdict  quarantiner.Verdict
	placed   bool
	endpoint string
	answers  chan answer
}

// answer is what an admission ends with: a placement or a refusal.
type answer struct {
	placement Placement
	err       error
}

// Placement is where a request goes.
type Placement struct {
	// ID is the request's number on this instance.
	ID uint64
	// Endpoint is the endpoint's name, Address its base URL.
	Endpoint, Address string
	// Attempt counts from 1.
	Attempt int
}

func (e *entry) ask() balancer.Request {
	return balancer.Request{
		Service:        e.request.Service,
		Model:          e.request.Model,
		PromptTokens:   e.request.PromptTokens,
		TotalTokens:    e.tokens,
		Prefixes:       e.request.Prefixes,
		Tier:           e.request.Tier,
		TriedEndpoints: e.avoid,
		Isolated:       e.verdict == quarantiner.Suspect,
	}
}

func (e *entry) waiting() scheduler.Request {
	return scheduler.Request{
		ID:        e.id,
		Lane:      e.request.lane(),
		Tier:      e.request.Tier,
		Class:     e.request.Class,
		Workspace: e.request.Workspace,
		Cost:      e.tokens,
		Deadline:  e.request.Deadline,
	}
}
