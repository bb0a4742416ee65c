package retrier

import "time"

// Policy limits the retries of the requests of a class.
type Policy struct {
	// RetryRatio is the number of retries that each first attempt earns.
	RetryRatio float64
	// Burst is the largest number of retries that the class can save up.
	Burst int
	// MaxAttempts is the largest number of attempts of a request, including
	// the first.
	MaxAttempts int
	// BaseBackoff is the longest wait after the first attempt. It doubles with
	// each further attempt.
	BaseBackoff time.Duration
	// MaxBackoff is the longest wait after any attempt.
	MaxBackoff time.Duration
}

// Settings holds the limits of a Retrier.
type Settings struct {
	// Policies holds the policies by class.
	Policies map[string]Policy
	// DefaultPolicy is the policy of classes that have none in Policies.
	DefaultPolicy Policy
	// EndpointRetryRatio is the number of retries that each first attempt at an
	// endpoint earns for the endpoint.
	EndpointRetryRatio float64
	// EndpointBurst is the largest number of retries that an endpoint can save
	// up.
	EndpointBurst int
	// MaxBudgets is the largest number of class budgets and, separately, of
	// endpoint budgets.
	MaxBudgets int
}

// DefaultSettings returns settings with the same policy for every class.
func DefaultSettings() Settings {
	return Settings{
		DefaultPolicy: Policy{
			RetryRatio:  0.1,
			Burst:       20,
			MaxAttempts: 3,
			BaseBackoff: 50 * time.Millisecond,
			MaxBackoff:  2 * time.Second,
		},
		EndpointRetryRatio: 0.2,
		EndpointBurst:      40,
		MaxBudgets:         1024,
	}
}
