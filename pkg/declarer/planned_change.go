package declarer

// The roles of a model engine: which phases of a request it runs.
const (
	// RoleBoth prefills and decodes.
	RoleBoth = "both"
	// RolePrefill only prefills.
	RolePrefill = "prefill"
	// RoleDecode only decodes.
	RoleDecode = "decode"
)

// PlannedChange is a change of the model, version, adapter or role of one or
// more endpoints, made step by step in the order in which the endpoints are
// listed. An empty Model, Version, Adapter or Role leaves that property of the
// endpoint as it is.
type PlannedChange struct {
	Name string `json:"-"`
	// Endpoints are the names of the endpoints to change.
	Endpoints []string `json:"endpoints"`
	// Model is the model to load.
	Model string `json:"model,omitempty"`
	// Version is the version of the model's weights.
	Version string `json:"version,omitempty"`
	// Adapter is the name of the adapter to load on top of the model.
	Adapter string `json:"adapter,omitempty"`
	// Role is the new role: RoleBoth, RolePrefill or RoleDecode.
	Role string `json:"role,omitempty"`
	// AfterChange is the name of a planned change that must be complete before
	// this one starts.
	AfterChange string `json:"after,omitempty"`
	// MaxParallel is the largest number of endpoints changed at once. Default 1.
	MaxParallel int `json:"parallel,omitempty"`
	// EndpointTimeout is the longest time that the change of one endpoint may take
	// before the planned change is reported as stalled. Default 10m.
	EndpointTimeout Duration `json:"limit,omitempty"`
	// Paused keeps further endpoints from being changed. Endpoints whose change has
	// begun are finished.
	Paused bool `json:"paused,omitempty"`
}
