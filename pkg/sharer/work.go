package sharer

import "time"

// Work is a request for an engine.
type Work struct {
	// ID is the caller's ID of the request. A repetition of the request has the same one.
	ID        string
	Service   string
	Tier      int
	Workspace string
	// Tokens is the work: prompt tokens to prefill and tokens to generate.
	Tokens int
	// Target is the promised time to the first token; 0 if none was promised.
	Target time.Duration
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration
	// IsRepeat is true if the request was sent to an endpoint before, so that it may have run. It
	// is never refused.
	IsRepeat bool
	// IsResumed is true if the request continues a stream that has begun. It has the rights of a
	// request that waited its time.
	IsResumed bool
}

// Room is what is known of the endpoint that a request would be sent to.
type Room struct {
	// Expected is the predicted time to the first token there; Prefill is the part of it that
	// the request's own prompt takes.
	Expected, Prefill time.Duration
	// HasFreeSlot is false if the endpoint runs as many requests as it can.
	HasFreeSlot bool
}

// Reason says why a request was refused.
type Reason string

// The reasons for a refusal.
const (
	// TooLate means that the first token is expected after the target.
	TooLate Reason = "late"
	// OverShare means that the request's workspace has used its share.
	OverShare Reason = "share"
	// HigherTier means that requests of higher tiers wait for capacity.
	HigherTier Reason = "tier"
	// TooEarly means that the request came back before its time.
	TooEarly Reason = "early"
)

// Decision is the answer to whether there will be room for a request.
type Decision struct {
	Admitted bool
	// Reason and RetryAfter are set if the request is refused: there is expected to be room for it
	// after that time.
	Reason     Reason
	RetryAfter time.Duration
	// IsReturned is true if the request waited its time.
	IsReturned bool
	// Expected is the time to the first token by which the decision was made: without the work of
	// lower tiers, and corrected by recent errors.
	Expected time.Duration
	// Predicted is Expected without the correction.
	Predicted time.Duration
	// Share is the workspace's share at all instances in tokens per second, infinite if there is
	// enough for all; Wanted and Served are its demand and what was sent to endpoints. Capacity is
	// what its tier may use. They are 0 if capacity is not short.
	Share, Wanted, Served, Capacity float64
	// ClaimsAge is the age of the oldest claims in use, and Peers the number of senders.
	ClaimsAge time.Duration
	Peers     int
	queue     time.Duration // part of Expected that is not the request's own prompt
}

// Outcome is how an admitted request's attempt went.
type Outcome struct {
	// Predicted is that of the decision by which the request was sent, and UntilFirstToken the time that it
	// took; 0 if there was no token.
	Predicted, UntilFirstToken time.Duration
	// HasNotRun is true if the endpoint did not begin to run the request, which then does not count
	// as served.
	HasNotRun bool
}

// Claim is a workspace's work at one instance, or at all instances of a data centre, in tokens per
// second. An empty workspace stands for all that the sender does not list.
type Claim struct {
	Service   string
	Tier      int
	Workspace string
	Wanted    float64
	Served    float64
}
