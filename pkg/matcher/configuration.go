package matcher

import "time"

// Kind says how often a request of a route may run.
type Kind int

// The kinds. The zero value is the careful one.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by events. They run at most once,
	// unless the route lets them resume.
	Streaming
)

// String returns the kind as logs show it.
func (k Kind) String() string {
	return [...]string{"non-idempotent", "idempotent", "streaming"}[k]
}

// Share is a service's part of a route's traffic.
type Share struct {
	Service string
	Weight  int
}

// Route is one entry of the routing table.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request is kept waiting; zero: none.
	Timeout time.Duration
	// Target is the time to the answer, or to its first event, that the
	// service level promises; zero: none.
	Target time.Duration
	// Pause is the longest time between two events that the service level
	// allows; zero: none.
	Pause time.Duration
	// Tier is the priority; 0 is the highest.
	Tier int
	// Tries is the most endpoints that may run one request.
	Tries int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
	// Shares are the services that the route leads to.
	Shares []Share
}

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Service returns the service for a request, drawn by a random number so that
// services get traffic in the proportion of their weights; empty: none.
func (r Route) Service(random uint64) string {
	total := 0
	for _, share := range r.Shares {
		total += max(0, share.Weight)
	}
	if total == 0 {
		return ""
	}
	rest := int(random % uint64(total))
	for _, share := range r.Shares {
		if rest -= max(0, share.Weight); rest < 0 {
			return share.Service
		}
	}

	return ""
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the most requests in a batch.
	Slots int
	// CacheTokens is the size of the KV cache in tokens.
	CacheTokens int
	// Copies tells that engines can copy cached parts from each other.
	Copies bool
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Service is a group of endpoints that do the same work.
type Service struct {
	Name string
	// Connections is the most that one endpoint accepts from all callers.
	Connections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Workspace sends requests under its keys.
type Workspace struct {
	Name string
	Keys []string
	// Tier takes precedence over the routes' tiers when HasTier is set.
	Tier    int
	HasTier bool
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is everything that the operators declare, compiled and
// numbered. It is immutable.
type Configuration struct {
	// Number grows with each configuration.
	Number     uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}
