package scheduler

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

// TierCount is the number of priority tiers; tier 0 is the highest.
const TierCount = 5

// Request describes one request that waits for an endpoint.
type Request struct {
	// ID is unique among the waiting and running requests.
	ID uint64
	// Lane names the service and model: the requests of a lane compete for
	// the same endpoints.
	Lane string
	// Tier is the priority; 0 is the highest, TierCount-1 the lowest.
	Tier int
	// Class is the service class, which determines the guaranteed wait.
	Class string
	// Workspace is the workspace that sent the request. Inside a tier, throughput is
	// shared fairly between workspaces.
	Workspace string
	// Cost is the estimated number of tokens of the prompt and the answer.
	Cost int
	// Deadline is the time after which an answer is of no use; zero means none.
	Deadline time.Time
}

// Refusal reports that an arriving or waiting request is refused. The request was not
// dispatched.
type Refusal struct {
	// ID is the ID of the request.
	ID uint64
	// Kind is the reason.
	Kind answerer.Kind
	// RetryAfter is the time after which the same request would be accepted at the
	// measured drain rate; zero when no rate is known.
	RetryAfter time.Duration
}

// Demand is the number of requests and tokens that wait in a tier of a lane.
type Demand struct {
	// Requests is the number of waiting requests.
	Requests int
	// Tokens is the sum of the costs of the waiting requests.
	Tokens int
}
