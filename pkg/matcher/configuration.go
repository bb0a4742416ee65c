package matcher

import "time"

// RequestKind says how often a request of a route may run.
type RequestKind int

// The kinds. The zero value is the careful one.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent RequestKind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by events. They run at most once,
	// unless the route lets them resume.
	Streaming
)

// String returns the kind as logs show it.
func (k RequestKind) String() string {
	return [...]string{"non-idempotent", "idempotent", "streaming"}[k]
}

// ServiceWeight is a service's part of a route's traffic.
type ServiceWeight struct {
	Service string
	Weight  int
}

// Route is one entry of the routing table.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RequestKind
	// Timeout is the longest time that a request is kept waiting; zero: none.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to its first event, that the
	// service level promises; zero: none.
	TargetLatency time.Duration
	// MaxEventGap is the longest time between two events that the service level
	// allows; zero: none.
	MaxEventGap time.Duration
	// Tier is the priority; 0 is the highest.
	Tier int
	// MaxRuns is the most endpoints that may run one request.
	MaxRuns int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
	// ServiceWeights are the services that the route leads to.
	ServiceWeights []ServiceWeight
}

// CanRepeat reports whether a request may run more than once.
func (r Route) CanRepeat() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// PickService returns the service for a request, drawn by a random number so that
// services get traffic in the proportion of their weights; empty: none.
func (r Route) PickService(random uint64) string {
	total := 0
	for _, share := range r.ServiceWeights {
		total += max(0, share.Weight)
	}
	if total == 0 {
		return ""
	}
	rest := int(random % uint64(total))
	for _, share := range r.ServiceWeights {
		if rest -= max(0, share.Weight); rest < 0 {
			return share.Service
		}
	}

	return ""
}

// EngineSettings describes the model engines of a service.
type EngineSettings struct {
	// Slots is the most requests in a batch.
	Slots int
	// CacheCapacityTokens is the size of the KV cache in tokens.
	CacheCapacityTokens int
	// CanCopyCache tells that engines can copy cached parts from each other.
	CanCopyCache bool
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Service is a group of endpoints that do the same work.
type Service struct {
	Name string
	// MaxConnections is the most that one endpoint accepts from all callers.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *EngineSettings
}

// Workspace sends requests under its keys.
type Workspace struct {
	Name    string
	APIKeys []string
	// Tier takes precedence over the routes' tiers when HasTier is set.
	Tier    int
	HasTier bool
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
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
