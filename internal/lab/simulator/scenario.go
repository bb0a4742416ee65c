package simulator

import "time"

// Rates are the arrivals of short and long prompts, per second.
type Rates struct {
	Short, Long float64
}

// Phase is a period with constant arrival rates.
type Phase struct {
	Duration time.Duration
	Rates    Rates
	// HotGroupFraction is the fraction of long prompts that is moved to one prefix
	// group, from 0 to 1.
	HotGroupFraction float64
}

// Fault makes engines fail for a time.
type Fault struct {
	// Start counts from the end of the warm-up.
	Start, Duration time.Duration
	// EngineCount is how many engines fail.
	EngineCount int
	// Unresponsive engines keep their connections but send nothing. Other failing
	// engines crash: they abort what they run and refuse connections.
	Unresponsive bool
}

// Scenario is a pattern of arrivals and faults.
type Scenario struct {
	Name string
	// WarmUp comes before the phases. Its requests are not counted.
	WarmUp Phase
	Phases []Phase
	Faults []Fault
}

// usualRates is the usual load of nine engines.
var usualRates = Rates{Short: 35, Long: 20}

const (
	warmUpDuration   = 4 * time.Second
	surgeDuration    = 9 * time.Second
	recoveryDuration = 6 * time.Second // at the usual rates, after a surge
)

// surgeScenario returns a scenario that has the given rates for a while, after which
// the usual load returns.
func surgeScenario(name string, rates Rates, faults ...Fault) Scenario {
	return Scenario{
		Name:   name,
		WarmUp: Phase{Duration: warmUpDuration, Rates: usualRates},
		Phases: []Phase{{Duration: surgeDuration, Rates: rates}, {Duration: recoveryDuration, Rates: usualRates}},
		Faults: faults,
	}
}

// Scenarios returns the patterns of load and faults that cause most missed requests on
// busy days.
func Scenarios() []Scenario {
	hotGroup := surgeScenario("hot family", Rates{Short: 35, Long: 30})
	hotGroup.Phases[0].HotGroupFraction = 0.4
	coldStart := surgeScenario("cold start", Rates{Short: 35, Long: 45})
	coldStart.WarmUp.Duration = 0

	return []Scenario{
		surgeScenario("calm day", usualRates),
		surgeScenario("burst of long prompts", Rates{Short: 35, Long: 45}),
		surgeScenario("burst of short prompts", Rates{Short: 95, Long: 20}),
		surgeScenario("both surge", Rates{Short: 70, Long: 40}),
		hotGroup,
		coldStart,
		surgeScenario("engines crash in a burst", Rates{Short: 35, Long: 40}, Fault{Start: 3 * time.Second, Duration: 2 * time.Second, EngineCount: 2}),
		surgeScenario("an engine goes dark", Rates{Short: 50, Long: 20}, Fault{Start: 3 * time.Second, Duration: 4 * time.Second, EngineCount: 1, Unresponsive: true}),
	}
}
