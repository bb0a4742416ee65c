package retrier

import "time"

// Policy limits the retries of a class.
type Policy struct {
	// RetryRatio is the share of retries over first tries.
	RetryRatio float64
	// Burst is the largest number of retries saved up.
	Burst int
	// Tries is the largest number of tries of a request, the first included.
	Tries int
	// Backoff is the longest wait before the first retry; it doubles.
	Backoff time.Duration
	// BackoffMax is the longest wait before any retry.
	BackoffMax time.Duration
}

// Settings are the limits of a Retrier.
type Settings struct {
	// Policies are the policies by class.
	Policies map[string]Policy
	// DefaultPolicy is the policy of other classes.
	DefaultPolicy Policy
	// EndpointShare is the share of retries over first tries of an endpoint.
	EndpointShare float64
	// EndpointBurst is the largest number of retries saved up by an endpoint.
	EndpointBurst int
	// Names is the largest number of classes and of endpoints kept.
	Names int
}

// DefaultSettings returns the settings for every class alike.
func DefaultSettings() Settings {
	return Settings{
		DefaultPolicy: Policy{
			RetryRatio: 0.1,
			Burst:      20,
			Tries:      3,
			Backoff:    50 * time.Millisecond,
			BackoffMax: 2 * time.Second,
		},
		EndpointShare: 0.2,
		EndpointBurst: 40,
		Names:         1024,
	}
}
