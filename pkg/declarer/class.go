package declarer

// MaxTier is the highest tier number, that is the lowest priority.
const MaxTier = 4

// ServiceClass is a service level with its targets.
type ServiceClass struct {
	Name string `json:"-"`
	// Tier is the priority, 0 (highest) to LowestTier. Default 0.
	Tier int `json:"tier"`
	// FirstTokenTarget is the target for the delay to the first token; 0 is no target.
	FirstTokenTarget Duration `json:"firstToken,omitempty"`
	// TokenGapTarget is the target for the mean gap between tokens; 0 is no target.
	TokenGapTarget Duration `json:"betweenTokens,omitempty"`
	// CompletionTarget is the target for the delay to the end of the answer; 0 is no target.
	CompletionTarget Duration `json:"whole,omitempty"`
	// Deadline is the time after which the answer is of no use. Default 60s.
	Deadline Duration `json:"deadline"`
	// GuaranteedWait is the longest wait of the class's oldest waiting request while
	// higher tiers are busy. Default 30s.
	GuaranteedWait Duration `json:"floor,omitempty"`
	// MaxRetryRatio is the largest share of first tries that may be retried, 0 to 1.
	// Default 0.1.
	MaxRetryRatio float64 `json:"share"`
}
