package declarer

// StateLeaving is the State of an endpoint that gets no new requests and that
// planned changes skip.
const StateLeaving = "leaving"

// Endpoint is one server of a service.
type Endpoint struct {
	Name string `json:"-"`
	// Service is the name of the service that the endpoint belongs to.
	Service string `json:"service"`
	// Address is the base URL, with an IP address and a port such as
	// "http://10.0.0.7:8000".
	Address string `json:"address"`
	// DataCentre is the name of the data centre in which the endpoint runs.
	DataCentre string `json:"dataCentre"`
	// Models are the names of the models that the endpoint serves, all of them
	// models of its service. Default: all models of the service.
	Models []string `json:"models,omitempty"`
	// Slots is the largest number of requests that the endpoint runs at once.
	// Default 32.
	Slots int `json:"slots,omitempty"`
	// TokenCapacity is the size of the KV cache in tokens. Only endpoints of
	// model services use it. Default 262144.
	TokenCapacity int `json:"tokens,omitempty"`
	// ChecksFencingToken says that the endpoint refuses an order with an outdated
	// fencing token.
	ChecksFencingToken bool `json:"fenced,omitempty"`
	// State is StateLeaving, or empty for an endpoint in normal operation.
	State string `json:"state,omitempty"`
}

// IsLeaving reports whether the operator declared StateLeaving for the endpoint.
func (e Endpoint) IsLeaving() bool { return e.State == StateLeaving }
