package granter

import "time"

// Settings configures a Home or a Borrower. All instances must use the same
// values. A field that is zero or negative takes its default.
type Settings struct {
	// RequestInterval is the time between a borrower's credit requests to one home.
	RequestInterval time.Duration
	// UrgentRequestInterval is the shortest time between credit requests to one
	// home while credit is missing or requests wait for lack of it.
	UrgentRequestInterval time.Duration
	// CreditTTL is how long a credit lasts unless it is renewed.
	CreditTTL time.Duration
	// GracePeriod is added to CreditTTL before a home stops counting the requests
	// in flight of a borrower that no longer sends credit requests.
	GracePeriod time.Duration
	// SubsetSize is the number of endpoints of a group that one instance uses.
	// With few instances, an instance uses more.
	SubsetSize int
	// TokenOvercommitRatio is the number of tokens that a home may lend, divided
	// by the number of tokens that the endpoint has.
	TokenOvercommitRatio float64
	// ReservedFraction is the fraction of an endpoint's capacity that the reserved
	// shares of all its borrowers take together.
	ReservedFraction float64
}

// Default values of the Settings fields.
const (
	defaultRequestInterval       = 2 * time.Second
	defaultUrgentRequestInterval = 500 * time.Millisecond
	defaultCreditTTL             = 5 * time.Second
	defaultGracePeriod           = 2 * time.Second
	defaultSubsetSize            = 8
	defaultTokenOvercommitRatio  = 1
	defaultReservedFraction      = 0.125
)

// withDefaults returns s with a default in each field that isn't positive.
func (s Settings) withDefaults() Settings {
	s.RequestInterval = positiveOrDefault(s.RequestInterval, defaultRequestInterval)
	s.UrgentRequestInterval = positiveOrDefault(s.UrgentRequestInterval, defaultUrgentRequestInterval)
	s.CreditTTL = positiveOrDefault(s.CreditTTL, defaultCreditTTL)
	s.GracePeriod = positiveOrDefault(s.GracePeriod, defaultGracePeriod)
	s.SubsetSize = positiveOrDefault(s.SubsetSize, defaultSubsetSize)
	s.TokenOvercommitRatio = positiveOrDefault(s.TokenOvercommitRatio, defaultTokenOvercommitRatio)
	s.ReservedFraction = positiveOrDefault(s.ReservedFraction, defaultReservedFraction)
	return s
}

func positiveOrDefault[T int | float64 | time.Duration](value, defaultValue T) T {
	if value <= 0 {
		return defaultValue
	}
	return value
}

// lendableCapacity returns the capacity of an endpoint that its home may lend in
// total, reserved shares included.
func (s Settings) lendableCapacity(e Endpoint) Credit {
	return Credit{Slots: e.Slots, Tokens: int(float64(e.Tokens) * s.TokenOvercommitRatio)}
}

// reservedShare returns the capacity of an endpoint that each of its borrowers
// may always use, without a grant. It is zero if the endpoint has fewer slots
// than borrowers.
func (s Settings) reservedShare(e Endpoint, borrowerCount int) Credit {
	if borrowerCount == 0 || borrowerCount > e.Slots {
		return Credit{}
	}
	slots := max(1, int(s.ReservedFraction*float64(e.Slots))/borrowerCount)
	return Credit{Slots: slots, Tokens: s.lendableCapacity(e).Tokens * slots / e.Slots}
}
