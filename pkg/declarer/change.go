package declarer

// The roles of a model engine.
const (
	// RoleBoth prefills and decodes.
	RoleBoth = "both"
	// RolePrefill only prefills.
	RolePrefill = "prefill"
	// RoleDecode only decodes.
	RoleDecode = "decode"
)

// PlannedChange is a change of model, version, adapter or role on a number of
// endpoints, made step by step in the order in which they are listed. A field
// that is left empty is left as it is on the endpoint.
type PlannedChange struct {
	Name string `json:"-"`
	// Endpoints are the names of the endpoints to change.
	Endpoints []string `json:"endpoints"`
	// Model is the model to load.
	Model string `json:"model,omitempty"`
	// Version is the version of the model's weights.
	Version string `json:"version,omitempty"`
	// Adapter is the adapter to load on the model.
	Adapter string `json:"adapter,omitempty"`
	// Role is RoleBoth, RolePrefill or RoleDecode.
	Role string `json:"role,omitempty"`
	// AfterChange is the name of a change that must be complete first.
	AfterChange string `json:"after,omitempty"`
	// MaxParallel is the number of endpoints changed at once. Default 1.
	MaxParallel int `json:"parallel,omitempty"`
	// EndpointTimeout is the longest time that one endpoint may take. Default 10m.
	EndpointTimeout Duration `json:"limit,omitempty"`
	// Paused stops the change before its next step.
	Paused bool `json:"paused,omitempty"`
}
