package balancer

import "time"

// Endpoint is the configuration of an engine or of a server of a plain service.
type Endpoint struct {
	Name          string
	Service       string
	DataCentre    string
	Models        []string // models that it serves; empty for a plain service
	Slots         int      // maximum number of concurrent requests
	TokenCapacity int      // KV cache capacity in tokens; 0: not limited
	Leaving       bool     // takes no new requests
}

// Request describes a request for which an endpoint is to be chosen.
type Request struct {
	Service, Model string
	PromptTokens   int      // length of the prompt in tokens
	TotalTokens    int      // prompt tokens plus estimated answer tokens
	Prefixes       []uint64 // hashes of the prompt's prefixes, shortest first
	BlockTokens    int      // prompt tokens that each prefix adds; 0: the prompt is split evenly
	Tier           int      // priority tier; 0 is the highest priority
	TriedEndpoints []string // endpoints already tried; they are not chosen again
	// Isolated makes Pick prefer an endpoint without local requests. Until this request
	// ends, its endpoint receives no other from this instance.
	Isolated bool
}

// CapacityFunc reports whether an endpoint has free capacity for the given number of
// additional request slots and tokens.
type CapacityFunc func(endpoint string, slots, tokens int) bool

// Choice is the endpoint chosen by Pick.
type Choice struct {
	Endpoint        string
	CachedTokens    int  // prompt tokens expected in the endpoint's cache
	CrossDataCentre bool // the endpoint is in another data centre
}

// LoadReport is the load that an endpoint publishes of itself. It may be late, stale or
// repeated.
type LoadReport struct {
	MeasuredAt      time.Time // when the endpoint measured it, by this instance's clock
	Running         int       // requests being processed, from all instances
	Waiting         int       // requests queued inside the endpoint
	UsedTokens      int       // KV cache tokens in use
	TokenCapacity   int       // KV cache capacity in tokens
	Slots           int
	TokensPerSecond float64 // tokens generated per second recently
	Draining        bool    // the endpoint takes no new requests
}

// Result is how a request ended at its endpoint.
type Result int

// The results of a request at its endpoint.
const (
	Finished Result = iota // the answer is complete
	Refused                // the endpoint did not accept the request
	Failed                 // the endpoint crashed or the answer was cut off
	Canceled               // the caller left; says nothing about the endpoint
)

// Status tells whether an endpoint receives requests, and why not.
type Status int

// The statuses of an endpoint.
const (
	Healthy Status = iota // receives requests
	Suspect               // receives one probe request at a time, until one succeeds
	Ejected               // receives no requests until the next probe is due
	Leaving               // leaving or draining: receives no new requests
)

// String returns the name that status pages and metrics show.
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
