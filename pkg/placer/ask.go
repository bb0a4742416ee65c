package placer

import "time"

// Part is a piece of a prompt that other prompts may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Ask describes a request to place.
type Ask struct {
	Service string
	// Prompt and Output are token counts; zero at plain services.
	Prompt, Output int
	// Parts are the prompt's parts in order. The last is the request's own.
	Parts []Part
	// Copies tells that engines can copy parts from each other's memory.
	Copies bool
	// Target is the time to the first token that was promised; zero: none.
	Target time.Duration
	// Avoid are endpoints that failed or refused this request.
	Avoid []string
}

// family is the part that the request shares with the fewest others; zero:
// none.
func (a *Ask) family() uint64 {
	if len(a.Parts) < 2 {
		return 0
	}

	return a.Parts[len(a.Parts)-2].ID
}

// shareable are the parts that other requests may have too.
func (a *Ask) shareable() []Part {
	if len(a.Parts) < 2 {
		return nil
	}

	return a.Parts[:len(a.Parts)-1]
}

// Choice is the endpoint that a request goes to.
type Choice struct {
	ID      string
	Address string
	// Expected is the predicted time to the first token; zero at plain
	// services.
	Expected time.Duration
	// Fresh is the prompt tokens that the engine will have to read, Reading
	// the part of Expected that this takes.
	Fresh   int
	Reading time.Duration
	// Source is the address of an engine that holds more of the prompt and
	// that the chosen one had better copy it from; empty: none.
	Source string
	// Remote tells that the endpoint is in another data centre.
	Remote bool
	// Long tells that the request counts as long.
	Long bool
	// Border is how many of Engines were for short prompts.
	Border, Engines int
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
	// Running is the requests in flight.
	Running int
	// Short is those of the requests in flight whose prompts are short: the
	// streams that a long prompt would hold up.
	Short int
	// Pending is the prompt tokens still to be read.
	Pending int
}

// plus adds a multiple of another load.
func (l Load) plus(other Load, factor int) Load {
	return Load{
		Running: l.Running + factor*other.Running,
		Short:   l.Short + factor*other.Short,
		Pending: l.Pending + factor*other.Pending,
	}
}

// Demand is the work that arrives for a service, in engines kept busy.
type Demand struct {
	Short, Long float64
	// Border is how many of Engines the teller has for short prompts; zero
	// engines: it has no opinion.
	Border, Engines int
}
