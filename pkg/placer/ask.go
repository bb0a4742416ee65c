package placer

import "time"

// PromptBlock is a piece of a prompt that other prompts may share.
type PromptBlock struct {
	ID     uint64
	Tokens int
}

// Request describes a request to place.
type Request struct {
	Service string
	// PromptTokens and Output are token counts; zero at plain services.
	PromptTokens, OutputTokens int
	// Blocks are the prompt's parts in order. The last is the request's own.
	Blocks []PromptBlock
	// CanCopyCache tells that engines can copy parts from each other's memory.
	CanCopyCache bool
	// TargetTimeToFirstToken is the time to the first token that was promised; zero: none.
	TargetTimeToFirstToken time.Duration
	// AvoidEndpoints are endpoints that failed or refused this request.
	AvoidEndpoints []string
}

// family is the part that the request shares with the fewest others; zero:
// none.
func (a *Request) family() uint64 {
	if len(a.Blocks) < 2 {
		return 0
	}

	return a.Blocks[len(a.Blocks)-2].ID
}

// shareable are the parts that other requests may have too.
func (a *Request) shareable() []PromptBlock {
	if len(a.Blocks) < 2 {
		return nil
	}

	return a.Blocks[:len(a.Blocks)-1]
}

// Choice is the endpoint that a request goes to.
type Choice struct {
	EndpointID string
	Address    string
	// ExpectedTimeToFirstToken is the predicted time to the first token; zero at plain
	// services.
	ExpectedTimeToFirstToken time.Duration
	// UncachedTokens is the prompt tokens that the engine will have to read, Reading
	// the part of Expected that this takes.
	UncachedTokens int
	Reading        time.Duration
	// CacheSourceAddress is the address of an engine that holds more of the prompt and
	// that the chosen one had better copy it from; empty: none.
	CacheSourceAddress string
	// InOtherDataCentre tells that the endpoint is in another data centre.
	InOtherDataCentre bool
	// IsLongPrompt tells that the request counts as long.
	IsLongPrompt bool
	// Split is how many of Engines were for short prompts.
	Split, EngineCount int
}

// Result is how a try at an endpoint ended.
type Result int

// The results.
const (
	// Finished is a whole answer, of whatever status.
	Finished Result = iota
	// Refused is a refusal for want of room.
	Refused
	// Failed is an answer that did not come, broke off, or says that the
	// endpoint is at fault.
	Failed
	// Misdirected means that another endpoint has the address.
	Misdirected
	// Unreachable is an endpoint that takes no connection.
	Unreachable
	// Canceled is a try that nobody waited for any more.
	Canceled
)

// String returns the result as logs show it.
func (r Result) String() string {
	return [...]string{"finished", "refused", "failed", "misdirected", "unreachable", "canceled"}[r]
}

// Load is what one instance has at an endpoint.
type Load struct {
	// RunningRequests is the requests in flight.
	RunningRequests int
	// RunningShortPrompts is those of the requests in flight whose prompts are short: the
	// streams that a long prompt would hold up.
	RunningShortPrompts int
	// PendingTokens is the prompt tokens still to be read.
	PendingTokens int
}

// plus adds a multiple of another load.
func (l Load) plus(other Load, factor int) Load {
	return Load{
		RunningRequests:     l.RunningRequests + factor*other.RunningRequests,
		RunningShortPrompts: l.RunningShortPrompts + factor*other.RunningShortPrompts,
		PendingTokens:       l.PendingTokens + factor*other.PendingTokens,
	}
}

// Demand is the work that arrives for a service, in engines kept busy.
type Demand struct {
	ShortPromptEngines, LongPromptEngines float64
	// Split is how many of Engines the teller has for short prompts; zero
	// engines: it has no opinion.
	Split, EngineCount int
}
