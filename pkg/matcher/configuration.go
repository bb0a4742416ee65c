package matcher

import "time"

// RequestKind says how often the requests of a route may run.
type RequestKind int

// The kinds of requests. The zero value is the safest one.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent RequestKind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a stream of events. They run at most once,
	// unless the route lets their streams resume.
	Streaming
)

// String returns the kind's name for logs.
func (k RequestKind) String() string {
	return [...]string{"non-idempotent", "idempotent", "streaming"}[k]
}

// ServiceWeight is a service that a route leads to and its weight in the route's
// traffic.
type ServiceWeight struct {
	Service string
	Weight  int
}

// Route is one entry of the routing table.
type Route struct {
	Name string
	// Host is the host name of the route's requests, without a port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RequestKind
	// Timeout is the longest time that a caller is kept waiting; zero means no
	// limit.
	Timeout time.Duration
	// TargetLatency is the promised time to the answer, or to the first event of a
	// stream; zero if none was promised.
	TargetLatency time.Duration
	// MaxEventGap is the longest time between two events of a stream that the
	// service level allows; zero means no limit.
	MaxEventGap time.Duration
	// Tier is the priority of the route's requests; 0 is the highest.
	Tier int
	// MaxRuns is the largest number of endpoints that may run one request.
	MaxRuns int
	// Public routes accept requests without a key.
	Public bool
	// Resumable streams may continue at another endpoint.
	Resumable bool
	// ServiceWeights are the services that the route's traffic is divided among.
	ServiceWeights []ServiceWeight
}

// CanRepeat reports whether a request of the route may run more than once.
func (r Route) CanRepeat() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// PickService returns the service for a request. Uniform random numbers give each
// service traffic in proportion to its weight. The result is empty if no service has
// a positive weight.
func (r Route) PickService(random uint64) string {
	totalWeight := 0
	for _, weighted := range r.ServiceWeights {
		totalWeight += max(0, weighted.Weight)
	}
	if totalWeight == 0 {
		return ""
	}
	remaining := int(random % uint64(totalWeight))
	for _, weighted := range r.ServiceWeights {
		if remaining -= max(0, weighted.Weight); remaining < 0 {
			return weighted.Service
		}
	}

	return ""
}

// EngineSettings describe the model engines of a service.
type EngineSettings struct {
	// Slots is the largest number of requests in a batch.
	Slots int
	// CacheCapacityTokens is the size of an engine's KV cache in tokens.
	CacheCapacityTokens int
	// CanCopyCache reports whether the engines can copy cached prompt blocks from
	// each other.
	CanCopyCache bool
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Service is a group of endpoints that do the same work.
type Service struct {
	Name string
	// MaxConnections is the largest number of connections that one endpoint accepts
	// from all callers together.
	MaxConnections int
	// Engine describes the service's engines; nil for plain services.
	Engine *EngineSettings
	// Scale describes how the service's endpoints are ordered; nil if they are not.
	Scale *ScaleSettings
}

// ScaleSettings are the limits and prices of endpoints that are ordered.
type ScaleSettings struct {
	// Min and Max limit the endpoints of each data centre, spot or not.
	Min, Max int
	// BootTime is the time from an order until the endpoint serves.
	BootTime time.Duration
	// SpotPrice is the price of a spot endpoint as a share of that of another one; 0 if there are
	// no spot endpoints.
	SpotPrice float64
	// DataCentrePrices are the prices of an endpoint-second by data centre.
	DataCentrePrices map[string]float64
}

// Workspace is a tenant. Its requests carry one of its API keys.
type Workspace struct {
	Name string
	// APIKeys are the keys that its requests may carry.
	APIKeys []string
	// Tier is the priority of the workspace's requests; 0 is the highest. If HasTier
	// is set, it precedes the routes' tiers: these only order the requests of
	// workspaces with equal tiers.
	Tier    int
	HasTier bool
}

// Limits are the configured bounds on callers' requests and connections.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes limit the size of a request.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is the time within which a caller must send the header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without requests stays open.
	IdleTimeout time.Duration
}

// Configuration is all that operators configure, decoded and numbered. It is
// immutable.
type Configuration struct {
	// Number identifies the configuration. Newer configurations have larger numbers.
	Number     uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}
