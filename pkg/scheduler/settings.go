package scheduler

import "time"

const (
	defaultMaxWaiting                   = 4096
	defaultMaxWaitingPerWorkspace       = 256
	defaultMaxInFlight                  = 65536
	defaultGuaranteedThroughputFraction = 0.02
	defaultDrainRateHalfLife            = 10 * time.Second
)

// defaultGuaranteedWaits are the guaranteed waits by tier, for classes that configure none.
var defaultGuaranteedWaits = [TierCount]time.Duration{
	30 * time.Second, 30 * time.Second, 30 * time.Second, 60 * time.Second, 60 * time.Second,
}

// Class is the configuration of a service class.
type Class struct {
	// Tier is the priority of the class; 0 is the highest.
	Tier int
	// GuaranteedWait is the longest wait promised to the oldest waiting request of
	// the class; zero selects the tier's default.
	GuaranteedWait time.Duration
}

// Settings configure a Scheduler; a zero field selects its default.
type Settings struct {
	// MaxWaiting is the most waiting requests over all lanes. Tier t and the lower
	// tiers together hold at most the fraction 1-t/10 of it: with each lower tier, a further
	// tenth is reserved for the tiers above it.
	MaxWaiting int
	// MaxWaitingPerWorkspace is the most waiting requests of one workspace in a tier.
	MaxWaitingPerWorkspace int
	// MaxInFlight is the most dispatched requests that have not yet finished.
	MaxInFlight int
	// Classes are the service classes by name. Requests of classes that are not
	// listed share one queue in each tier of a lane, with the tier's default
	// guaranteed wait.
	Classes map[string]Class
	// GuaranteedThroughputFraction is the fraction of a lane's throughput in tokens
	// that requests dispatched for their guaranteed wait may take, all classes
	// together, while requests of higher tiers wait.
	GuaranteedThroughputFraction float64
	// MinAnswerDelay is the least time between dispatch and a useful answer. It
	// is subtracted from the deadline to get the latest useful time of dispatch.
	MinAnswerDelay time.Duration
	// DrainRateHalfLife is the half-life of the measured drain rate. Only time in
	// which the lane had no free capacity counts.
	DrainRateHalfLife time.Duration
}

func (s Settings) withDefaults() Settings {
	if s.MaxWaiting <= 0 {
		s.MaxWaiting = defaultMaxWaiting
	}
	if s.MaxWaitingPerWorkspace <= 0 {
		s.MaxWaitingPerWorkspace = defaultMaxWaitingPerWorkspace
	}
	if s.MaxInFlight <= 0 {
		s.MaxInFlight = defaultMaxInFlight
	}
	if s.GuaranteedThroughputFraction <= 0 || s.GuaranteedThroughputFraction >= 1 {
		s.GuaranteedThroughputFraction = defaultGuaranteedThroughputFraction
	}
	if s.DrainRateHalfLife <= 0 {
		s.DrainRateHalfLife = defaultDrainRateHalfLife
	}

	return s
}

// maxWaitingAtOrBelow is the most waiting requests of the tier and the lower tiers.
func (s Settings) maxWaitingAtOrBelow(tier int) int {
	return max(1, s.MaxWaiting-s.MaxWaiting*tier/(2*TierCount))
}

// queueAndGuaranteedWait returns the name of the queue for requests of the class and its
// guaranteed wait. Classes that are not configured share the queue with the empty name.
func (s Settings) queueAndGuaranteedWait(class string, tier int) (string, time.Duration) {
	configured, ok := s.Classes[class]
	if !ok {
		return "", defaultGuaranteedWaits[tier]
	}
	if configured.GuaranteedWait <= 0 {
		return class, defaultGuaranteedWaits[tier]
	}

	return class, configured.GuaranteedWait
}

// throughputFractionPerClass is the fraction of a lane's throughput that the guaranteed
// wait of one class may take. It is divided by the number of configured classes, not of
// waiting ones, so that a request of another class does not break an existing guarantee.
func (s Settings) throughputFractionPerClass() float64 {
	classCount := 0
	for _, class := range s.Classes {
		if class.Tier > 0 {
			classCount++
		}
	}
	if classCount == 0 {
		classCount = TierCount - 1
	}

	return s.GuaranteedThroughputFraction / float64(classCount)
}
