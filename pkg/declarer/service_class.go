package declarer

// MaxTier is the largest tier number. It stands for the lowest priority.
const MaxTier = 4

// ServiceClass is a service level: a priority, latency targets and limits.
type ServiceClass struct {
	Name string `json:"-"`
	// Tier is the priority, from 0 (highest) to MaxTier (lowest). Default 0.
	Tier int `json:"tier"`
	// FirstTokenTarget is the target for the time to the first token; 0 means
	// no target.
	FirstTokenTarget Duration `json:"firstToken,omitempty"`
	// TokenGapTarget is the target for the mean time between two tokens; 0
	// means no target.
	TokenGapTarget Duration `json:"betweenTokens,omitempty"`
	// CompletionTarget is the target for the time to the end of the answer; 0
	// means no target.
	CompletionTarget Duration `json:"whole,omitempty"`
	// Deadline is the time from the arrival of a request after which its answer
	// is of no use, for requests that set no deadline themselves. Default 60s.
	Deadline Duration `json:"deadline"`
	// GuaranteedWait is the longest wait promised to the oldest waiting request
	// of the class while requests of higher priority keep the endpoints busy.
	// Default 30s.
	GuaranteedWait Duration `json:"floor,omitempty"`
	// MaxRetryRatio is the largest ratio of retries to first attempts, from 0 to
	// 1. Default 0.1.
	MaxRetryRatio float64 `json:"share"`
}
