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
	// Speed is how the speeds of engines and the demands of data centres differ.
	Speed Speed
}

// usualRates is the usual load of nine engines.
var usualRates = Rates{Short: 35, Long: 20}

const (
	warmUpDuration   = 4 * time.Second
	surgeDuration    = 9 * time.Second
	recoveryDuration = 6 * time.Second // at the usual rates, after a surge
)

// surgeScenario returns a scenario that has the given rates for a while, between
// phases of usual load.
func surgeScenario(name string, usual, rates Rates, faults ...Fault) Scenario {
	return Scenario{
		Name:   name,
		WarmUp: Phase{Duration: warmUpDuration, Rates: usual},
		Phases: []Phase{{Duration: surgeDuration, Rates: rates}, {Duration: recoveryDuration, Rates: usual}},
		Faults: faults,
	}
}

// grownUsualRates is the usual load of a fleet of GrownSize.
var grownUsualRates = Rates{Short: 140, Long: 160}

// GrownScenarios returns the patterns of load and faults of a fleet of GrownSize. The
// names are those of the same patterns of a small fleet.
func GrownScenarios() []Scenario {
	surge := func(name string, rates Rates, faults ...Fault) Scenario {
		return surgeScenario(name, grownUsualRates, rates, faults...)
	}

	return []Scenario{
		surge("calm day", grownUsualRates),
		surge("burst of long prompts", Rates{Short: 140, Long: 400}),
		surge("burst of short prompts", Rates{Short: 400, Long: 160}),
		surge("engines crash in a burst", Rates{Short: 140, Long: 240}, Fault{Start: 3 * time.Second, Duration: 2 * time.Second, EngineCount: 22}),
	}
}

// largeUsualRates is the usual load of a fleet of LargeSize.
var largeUsualRates = Rates{Short: 112, Long: 141}

// LargeScenarios returns the patterns of load of a fleet of LargeSize.
func LargeScenarios() []Scenario {
	return []Scenario{
		surgeScenario("calm day", largeUsualRates, largeUsualRates),
		surgeScenario("burst of long prompts", largeUsualRates, Rates{Short: 112, Long: 280}),
	}
}

// LargeColdStart returns a burst of long prompts in a fleet of LargeSize, while no engine has cached
// anything.
func LargeColdStart() Scenario {
	coldStart := surgeScenario("cold start in a burst of long prompts", largeUsualRates, Rates{Short: 112, Long: 260})
	coldStart.WarmUp.Duration = 0

	return coldStart
}

// Scenarios returns the patterns of load and faults that cause most missed requests on
// busy days.
func Scenarios() []Scenario {
	surge := func(name string, rates Rates, faults ...Fault) Scenario {
		return surgeScenario(name, usualRates, rates, faults...)
	}
	hotGroup := surge("hot family", Rates{Short: 35, Long: 30})
	hotGroup.Phases[0].HotGroupFraction = 0.4
	coldStart := surge("cold start", Rates{Short: 35, Long: 45})
	coldStart.WarmUp.Duration = 0

	return []Scenario{
		surge("calm day", usualRates),
		surge("burst of long prompts", Rates{Short: 35, Long: 45}),
		surge("burst of short prompts", Rates{Short: 95, Long: 20}),
		surge("both surge", Rates{Short: 70, Long: 40}),
		hotGroup,
		coldStart,
		surge("engines crash in a burst", Rates{Short: 35, Long: 40}, Fault{Start: 3 * time.Second, Duration: 2 * time.Second, EngineCount: 2}),
		surge("an engine goes dark", Rates{Short: 50, Long: 20}, Fault{Start: 3 * time.Second, Duration: 4 * time.Second, EngineCount: 1, Unresponsive: true}),
	}
}
