package placer

import (
	"slices"
	"time"
)

// TierCount is the number of tiers that are told apart.
const TierCount = 10

// PromptBlock is a piece of a prompt that other prompts may also contain.
type PromptBlock struct {
	// ID is the same for this block in every prompt that contains it.
	ID uint64
	// Tokens is the length of the block in tokens.
	Tokens int
}

// CombineBlocks returns a prompt's blocks with neighbours combined, so that there are no more than
// maxPromptBlocks and one. The last block, which belongs to the request only, stays as it is. Prompts that begin
// with the same blocks have the same combined blocks there, or every second one of them.
func CombineBlocks(blocks []PromptBlock) []PromptBlock {
	shared := len(blocks) - 1
	if shared <= maxPromptBlocks {
		return blocks
	}
	size := 1
	for shared > size*maxPromptBlocks {
		size *= 2
	}
	combined := make([]PromptBlock, 0, maxPromptBlocks+1)
	for group := range slices.Chunk(blocks[:shared], size) {
		whole := PromptBlock{ID: group[len(group)-1].ID}
		for _, block := range group {
			whole.Tokens += block.Tokens
		}
		combined = append(combined, whole)
	}

	return append(combined, blocks[shared])
}

// Request describes a request that needs an endpoint.
type Request struct {
	// ID is the caller's ID of the request, for logs.
	ID string
	// Service is the name of the service that must run the request.
	Service string
	// PromptTokens and OutputTokens are the prompt's length and the expected
	// answer's length; both are zero for plain services.
	PromptTokens, OutputTokens int
	// Blocks are the prompt's blocks in order. The last one belongs to this
	// request only.
	Blocks []PromptBlock
	// CanCopyCache reports whether the service's engines can copy cached blocks
	// from each other's memory.
	CanCopyCache bool
	// Version is the only software version whose endpoints may get the request; empty if all
	// may.
	Version string
	// Tier is the request's priority at an engine, from 0, the highest, to TierCount-1.
	// Engines run requests of higher tiers first.
	Tier int
	// Workspace is the one that sent the request, and Deadline when the answer is of no more use to it.
	Workspace string
	Deadline  time.Time
	// MayHaveRun is true if an endpoint may have run the request before, and IsResumed if it continues
	// a stream that has begun.
	MayHaveRun, IsResumed bool
	// TargetTimeToFirstToken is the promised time to the first token; zero if
	// none was promised.
	TargetTimeToFirstToken time.Duration
	// AvoidEndpoints are the IDs of endpoints that failed or refused this request.
	AvoidEndpoints []string
	// Blocked are the IDs of endpoints that may not get this request, and until when.
	// Unlike those to avoid, they are not chosen even if there is no other.
	Blocked map[string]time.Time
}

// fitsVersion reports whether the endpoint has the version that the request must have.
func (r *Request) fitsVersion(e *endpoint) bool {
	return r.Version == "" || e.Version == r.Version
}

// prefixGroup returns the ID of the request's prefix group: the block that it shares
// with the fewest other requests, the last but one. It is zero if the request shares
// no block.
func (r *Request) prefixGroup() uint64 {
	if len(r.Blocks) < 2 {
		return 0
	}

	return r.Blocks[len(r.Blocks)-2].ID
}

// sharedBlocks returns the blocks that other prompts may contain too: all but the
// last.
func (r *Request) sharedBlocks() []PromptBlock {
	if len(r.Blocks) < 2 {
		return nil
	}

	return r.Blocks[:len(r.Blocks)-1]
}

// Choice is the endpoint chosen for a request and what the placer predicts there.
type Choice struct {
	// EndpointID and Address identify the chosen endpoint.
	EndpointID string
	Address    string
	// Version and StartedUnixMs are those of the chosen incarnation, as it is registered.
	Version       string
	StartedUnixMs int64
	// ExpectedTimeToFirstToken is the predicted time to the first token; zero for
	// plain services.
	ExpectedTimeToFirstToken time.Duration
	// TimeBehindTier is the part of ExpectedTimeToFirstToken that prompts of lower tiers take, which
	// the engine prefills after the request.
	TimeBehindTier time.Duration
	// UncachedTokens is the number of prompt tokens that the engine has to
	// prefill. PrefillTime is the part of ExpectedTimeToFirstToken that this takes.
	UncachedTokens int
	PrefillTime    time.Duration
	// CacheSourceAddress is the address of an engine that has more of the prompt
	// cached and from which the chosen engine should copy it; empty if there is
	// none.
	CacheSourceAddress string
	// KnownLoad is the load of all instances at the endpoint, as this instance knows it.
	KnownLoad Load
	// InOtherDataCentre reports whether the endpoint is outside this instance's
	// data centre.
	InOtherDataCentre bool
	// HasPrompt is false for plain services.
	HasPrompt bool
	// IsLongPrompt reports whether the prompt counts as long.
	IsLongPrompt bool
	// Pace is what is known of the endpoint's speed; zero for services whose endpoints state no pace.
	Pace ChoicePace
	// Split is the number of engines in the short group, out of EngineCount
	// engines of the service.
	Split, EngineCount int
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
	RunningRequests int
	// RunningShortPrompts is the number of requests in flight that have short
	// prompts: the streams that a long prompt would delay.
	RunningShortPrompts int
	// PendingTokens is the number of prompt tokens still to be prefilled.
	PendingTokens int
	// LowerTiers[i] is the number of the requests in flight that have tier i+1. The
	// others have tier 0.
	LowerTiers LowerTiers
	// LowerPending[i] is the number of the pending tokens whose requests have tier i+1.
	LowerPending LowerPending
	// Pace is how long work takes at the endpoint as it last stated to this instance, in hundredths of
	// the normal time, at PaceStatedAt; 0 if it stated none. Sums of loads have none.
	Pace         int
	PaceStatedAt time.Time
}

// LowerTiers holds a number of requests for each tier below the highest.
type LowerTiers [TierCount - 1]int16

// LowerPending holds a number of tokens for each tier below the highest.
type LowerPending [TierCount - 1]int32

// requestsUpTo returns the number of requests in flight that have a tier or a higher one:
// those that an engine does not preempt for a request of the tier.
func (l Load) requestsUpTo(tier int) int {
	requests := l.RunningRequests
	for _, lower := range l.LowerTiers[min(max(tier, 0), TierCount-1):] {
		requests -= int(lower)
	}

	return requests
}

// addRequest adds count requests of a tier, which may be negative.
func (l *Load) addRequest(tier, count int) {
	l.RunningRequests += count
	if tier > 0 {
		l.LowerTiers[min(tier, TierCount-1)-1] += int16(count)
	}
}

// pendingUpTo returns the number of pending tokens of requests that have a tier or a higher one: those
// that an engine prefills before a request of the tier.
func (l Load) pendingUpTo(tier int) int {
	tokens := l.PendingTokens
	for _, lower := range l.LowerPending[min(max(tier, 0), TierCount-1):] {
		tokens -= int(lower)
	}

	return max(0, tokens)
}

// addPending adds pending tokens of a request of a tier, which may be negative.
func (l *Load) addPending(tier, tokens int) {
	l.PendingTokens += tokens
	if tier > 0 {
		l.LowerPending[min(tier, TierCount-1)-1] += int32(tokens)
	}
}

// plus returns the sum of the load and factor times another load.
func (l Load) plus(other Load, factor int) Load {
	sum := Load{
		RunningRequests:     l.RunningRequests + factor*other.RunningRequests,
		RunningShortPrompts: l.RunningShortPrompts + factor*other.RunningShortPrompts,
		PendingTokens:       l.PendingTokens + factor*other.PendingTokens,
	}
	for i := range sum.LowerTiers {
		sum.LowerTiers[i] = l.LowerTiers[i] + int16(factor)*other.LowerTiers[i]
		sum.LowerPending[i] = l.LowerPending[i] + int32(factor)*other.LowerPending[i]
	}

	return sum
}

// Demand is the work that arrives at an instance for one service, as the number of
// engines that it keeps busy.
type Demand struct {
	// ShortPromptEngines and LongPromptEngines are the engines kept busy by short
	// and by long prompts.
	ShortPromptEngines, LongPromptEngines float64
	// Split is the number of engines that the reporting instance assigns to the
	// short group, out of EngineCount. EngineCount is zero if it has not decided.
	Split, EngineCount int
	// TotalShort and TotalLong are the engines kept busy by the demand of all instances of the
	// reporting instance's data centre; only in summaries, for scaled services.
	TotalShort, TotalLong float64
}
