package declarer

// StateLeaving is the State of an endpoint that takes no new work.
const StateLeaving = "leaving"

// Endpoint is one server of a service.
type Endpoint struct {
	Name string `json:"-"`
	// Service is the name of the service that the endpoint belongs to.
	Service string `json:"service"`
	// Address is the base URL by IP number, "http://10.0.0.7:8000".
	Address string `json:"address"`
	// DataCentre is the data centre in which the endpoint runs.
	DataCentre string `json:"dataCentre"`
	// Models are the models served, each one of the service's models. Default:
	// all models of the service.
	Models []string `json:"models,omitempty"`
	// Slots is the largest number of requests running at once. Default 32.
	Slots int `json:"slots,omitempty"`
	// TokenCapacity is the KV memory in tokens; model services only. Default 262144.
	TokenCapacity int `json:"tokens,omitempty"`
	// ChecksFencingToken says that the endpoint refuses an order with an old fencing number.
	ChecksFencingToken bool `json:"fenced,omitempty"`
	// State is empty, or StateLeaving when the endpoint takes no new work.
	State string `json:"state,omitempty"`
}

// IsLeaving reports whether the endpoint is declared to take no new work.
func (e Endpoint) IsLeaving() bool { return e.State == StateLeaving }
