package declarer

// Workspace is a tenant: who may call, and within which limits.
type Workspace struct {
	Name string `json:"-"`
	// BearerTokenDigests are the SHA-256 sums, in lower-case hex, of the bearer tokens
	// that belong to the workspace.
	BearerTokenDigests []string `json:"digests"`
	// Classes are the names of the service classes that it may use.
	Classes []string `json:"classes"`
	// DefaultClass is the class of a request that names none. Default: the first of
	// Classes.
	DefaultClass string `json:"default,omitempty"`
	// MaxInFlight is the largest number of requests in hand at once; 0 is no limit.
	MaxInFlight int `json:"parallel,omitempty"`
	// MaxRequestsPerSecond is the largest number of requests a second; 0 is no limit.
	MaxRequestsPerSecond float64 `json:"rate,omitempty"`
}
