package balancer

import "time"

// Endpoint is a configured engine or server.
type Endpoint struct {
	Name          string
	Service       string
	DataCentre    string
	Models        []string // empty: a plain service
	Slots         int      // requests at once
	TokenCapacity int      // KV cache tokens; 0: not limited
	Leaving       bool
}

// Request describes the request to place.
type Request struct {
	Service, Model string
	PromptTokens   int      // prompt tokens
	TotalTokens    int      // prompt and estimated answer together
	Prefixes       []uint64 // hashes of the prompt's growing prefixes, shortest first
	Step           int      // prompt tokens that each prefix adds; 0: the prompt is split evenly
	Tier           int      // 0 is the highest
	TriedEndpoints []string // endpoints already tried
	Isolated       bool     // prefer an endpoint with nothing of ours running
}

// CapacityFunc tells whether an endpoint has capacity for this many more slots and
// tokens.
type CapacityFunc func(endpoint string, slots, tokens int) bool

// Choice is the endpoint that Pick decided on.
type Choice struct {
	Endpoint        string
	Reused          int  // prompt tokens expected in its cache
	CrossDataCentre bool // in another data centre
}

// LoadReport is a load report of an endpoint. It may be late, stale or repeated.
type LoadReport struct {
	MeasuredAt      time.Time
	Running         int
	Waiting         int
	UsedTokens      int
	TokenCapacity   int
	Slots           int
	TokensPerSecond float64 // tokens made per second lately
	Draining        bool
}

// Result tells how a request ended.
type Result int

// The results of a request.
const (
	Finished Result = iota
	Refused         // the endpoint did not accept it
	Failed          // the endpoint crashed or its answer broke off
	Canceled
)

// Status is an endpoint's standing.
type Status int

// The standings of an endpoint.
const (
	Healthy Status = iota
	Suspect        // one request at a time, until one proves it healthy
	Ejected        // no requests until the next probe is due
	Leaving        // leaving or draining: no new requests
)

// String returns the name that status and metrics show.
func (s Status) String() string {
	switch s {
	case Healthy:
		return "healthy"
	case Suspect:
		return "suspect"
	case Ejected:
		return "ejected"
	case Leaving:
		return "leaving"
	}
	return "unknown"
}
