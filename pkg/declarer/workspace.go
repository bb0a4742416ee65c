package declarer

// Workspace is a tenant with its bearer tokens, service classes and limits.
type Workspace struct {
	Name string `json:"-"`
	// BearerTokenDigests are the SHA-256 sums, in lower-case hex, of the bearer
	// tokens that belong to the workspace.
	BearerTokenDigests []string `json:"digests"`
	// Classes are the names of the service classes that the workspace may use.
	Classes []string `json:"classes"`
	// DefaultClass is the service class of a request that names none. If left
	// out, it is the first of Classes.
	DefaultClass string `json:"default,omitempty"`
	// MaxInFlight is the largest number of requests that may be in progress at
	// once; 0 means no limit.
	MaxInFlight int `json:"parallel,omitempty"`
	// MaxRequestsPerSecond is the largest rate of requests; 0 means no limit.
	MaxRequestsPerSecond float64 `json:"rate,omitempty"`
}
