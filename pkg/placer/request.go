package placer

import "time"

// PromptBlock is a piece of a prompt that other prompts may also contain.
type Part struct {
	// ID is the same for this block in every prompt that contains it.
	ID uint64
	// Tokens is the length of the block in tokens.
	Tokens int
}

// Request describes a request that needs an endpoint.
type Ask struct {
	// Service is the name of the service that must run the request.
	Service string
	// PromptTokens and OutputTokens are the prompt's length and the expected
	// answer's length; both are zero for plain services.
	Prompt, Output int
	// Blocks are the prompt's blocks in order. The last one belongs to this
	// request only.
	Parts []Part
	// CanCopyCache reports whether the service's engines can copy cached blocks
	// from each other's memory.
	Copies bool
	// TargetTimeToFirstToken is the promised time to the first token; zero if
	// none was promised.
	Target time.Duration
	// AvoidEndpoints are the IDs of endpoints that failed or refused this request.
	Avoid []string
}

// prefixGroup returns the ID of the request's prefix group: the block that it shares
// with the fewest other requests, the last but one. It is zero if the request shares
// no block.
func (a *Ask) prefixGroup() uint64 {
	if len(a.Parts) < 2 {
		return 0
	}

	return a.Parts[len(a.Parts)-2].ID
}

// sharedBlocks returns the blocks that other prompts may contain too: all but the
// last.
func (a *Ask) sharedBlocks() []Part {
	if len(a.Parts) < 2 {
		return nil
	}

	return a.Parts[:len(a.Parts)-1]
}

// Choice is the endpoint chosen for a request and what the placer predicts there.
type Choice struct {
	// EndpointID and Address identify the chosen endpoint.
	ID      string
	Address string
	// ExpectedTimeToFirstToken is the predicted time to the first token; zero for
	// plain services.
	Expected time.Duration
	// UncachedTokens is the number of prompt tokens that the engine has to
	// prefill. PrefillTime is the part of ExpectedTimeToFirstToken that this takes.
	Fresh       int
	PrefillTime time.Duration
	// CacheSourceAddress is the address of an engine that has more of the prompt
	// cached and from which the chosen engine should copy it; empty if there is
	// none.
	Source string
	// InOtherDataCentre reports whether the endpoint is outside this instance's
	// data centre.
	Remote bool
	// IsLongPrompt reports whether the prompt counts as long.
	Long bool
	// Split is the number of engines in the short group, out of EngineCount
	// engines of the service.
	Border, Engines int
}

// Result is the way in which an attempt at an endpoint ended.
type Result int

// The possible results of an attempt.
const (
	// Finished is a complete answer, whatever its status code.
	Finished Result = iota
	// Refused is a refusal because the endpoint has no free capacity.
	Refused
	// Failed is an answer that never came, was cut off, or reports a fault of the
	// endpoint.
	Failed
	// Misdirected means that a different endpoint answered at the address.
	Misdirected
	// Unreachable means that the endpoint accepted no connection.
	Unreachable
	// Canceled is an attempt whose answer nobody waited for any more.
	Canceled
)

// String returns the result's name for logs.
func (r Result) String() string {
	return [...]string{"finished", "refused", "failed", "misdirected", "unreachable", "canceled"}[r]
}

// Load is what one instance has in flight at one endpoint.
type Load struct {
	// RunningRequests is the number of requests in flight.
	Running int
	// RunningShortPrompts is the number of requests in flight that have short
	// prompts: the streams that a long prompt would delay.
	Short int
	// PendingTokens is the number of prompt tokens still to be prefilled.
	Pending int
}

// plus returns the sum of the load and factor times another load.
func (l Load) plus(other Load, factor int) Load {
	return Load{
		Running: l.Running + factor*other.Running,
		Short:   l.Short + factor*other.Short,
		Pending: l.Pending + factor*other.Pending,
	}
}

// Demand is the work that arrives at an instance for one service, as the number of
// engines that it keeps busy.
type Demand struct {
	// ShortPromptEngines and LongPromptEngines are the engines kept busy by short
	// and by long prompts.
	Short, Long float64
	// Split is the number of engines that the reporting instance assigns to the
	// short group, out of EngineCount. EngineCount is zero if it has not decided.
	Border, Engines int
}
