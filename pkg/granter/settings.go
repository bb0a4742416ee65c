package granter

import "time"

// Settings tune a Home or a Borrower; all instances use the same. A zero value
// means the default.
type Settings struct {
	RequestInterval time.Duration // between a borrower's wants to one home
	Urgent          time.Duration // between them while requests wait for lack of credit
	Lifetime        time.Duration // of a credit
	Grace           time.Duration // added to the lifetime for in-flight work of a silent borrower
	Subset          int           // endpoints of a group that one instance uses
	Overcommit      float64       // tokens lent over tokens there are
	Floor           float64       // share of an endpoint's capacity that its borrowers' floors take together
}

// The defaults of Settings.
const (
	defaultInterval   = 2 * time.Second
	defaultUrgent     = 500 * time.Millisecond
	defaultLifetime   = 5 * time.Second
	defaultGrace      = 2 * time.Second
	defaultSubset     = 8
	defaultOvercommit = 1
	defaultFloor      = 0.125
)

func (s Settings) withDefaults() Settings {
	s.RequestInterval = positive(s.RequestInterval, defaultInterval)
	s.Urgent = positive(s.Urgent, defaultUrgent)
	s.Lifetime = positive(s.Lifetime, defaultLifetime)
	s.Grace = positive(s.Grace, defaultGrace)
	s.Subset = positive(s.Subset, defaultSubset)
	s.Overcommit = positive(s.Overcommit, defaultOvercommit)
	s.Floor = positive(s.Floor, defaultFloor)
	return s
}

func positive[T int | float64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// capacity is what may be lent of an endpoint.
func (s Settings) capacity(e Endpoint) Credit {
	return Credit{Slots: e.Slots, Tokens: int(float64(e.Tokens) * s.Overcommit)}
}

// floor is what each of an endpoint's borrowers may use without a grant. It is
// nothing where there are fewer slots than borrowers.
func (s Settings) floor(e Endpoint, borrowers int) Credit {
	if borrowers == 0 || borrowers > e.Slots {
		return Credit{}
	}
	slots := max(1, int(s.Floor*float64(e.Slots))/borrowers)
	return Credit{Slots: slots, Tokens: s.capacity(e).Tokens * slots / e.Slots}
}
