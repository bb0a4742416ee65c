package simulator

import "time"

// Rates are the prompts of each length that arrive in a second.
type Rates struct {
	Short, Long float64
}

// Phase is a time with steady rates.
type Phase struct {
	Length time.Duration
	Rates  Rates
	// Hot is the share of long prompts that are of one family.
	Hot float64
}

// Fault takes engines away for a time.
type Fault struct {
	// At counts from the end of the warm-up.
	At, For time.Duration
	// Engines is how many.
	Engines int
	// Dark engines keep their connections and say nothing; others break off what
	// they run and refuse connections.
	Dark bool
}

// Scenario is a pattern of arrivals and faults.
type Scenario struct {
	Name string
	// Warm comes first and is not counted.
	Warm   Phase
	Phases []Phase
	Faults []Fault
}

// calm is the usual load of nine engines.
var calm = Rates{Short: 35, Long: 20}

const (
	warmTime  = 4 * time.Second
	surgeTime = 9 * time.Second
	afterTime = 6 * time.Second
)

// surge is a scenario of a surge after which the usual load returns.
func surge(name string, rates Rates, faults ...Fault) Scenario {
	return Scenario{
		Name:   name,
		Warm:   Phase{Length: warmTime, Rates: calm},
		Phases: []Phase{{Length: surgeTime, Rates: rates}, {Length: afterTime, Rates: calm}},
		Faults: faults,
	}
}

// Scenarios returns the patterns that cost most on heavy days.
func Scenarios() []Scenario {
	hot := surge("hot family", Rates{Short: 35, Long: 30})
	hot.Phases[0].Hot = 0.4
	cold := surge("cold start", Rates{Short: 35, Long: 45})
	cold.Warm.Length = 0

	return []Scenario{
		surge("calm day", calm),
		surge("burst of long prompts", Rates{Short: 35, Long: 45}),
		surge("burst of short prompts", Rates{Short: 95, Long: 20}),
		surge("both surge", Rates{Short: 70, Long: 40}),
		hot,
		cold,
		surge("engines crash in a burst", Rates{Short: 35, Long: 40}, Fault{At: 3 * time.Second, For: 2 * time.Second, Engines: 2}),
		surge("an engine goes dark", Rates{Short: 50, Long: 20}, Fault{At: 3 * time.Second, For: 4 * time.Second, Engines: 1, Dark: true}),
	}
}
