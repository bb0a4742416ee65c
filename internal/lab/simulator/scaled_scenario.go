package simulator

import "time"

// levels returns a function of time that is the usual level, but for the bursts.
func levels(usual Rates, bursts ...burst) func(time.Duration) Rates {
	return func(at time.Duration) Rates {
		for _, b := range bursts {
			if at >= b.start && at < b.start+b.duration {
				return b.level
			}
		}

		return usual
	}
}

// burst is a time with other multiples of the usual rates.
type burst struct {
	start, duration time.Duration
	level           Rates
}

// ScaledScenarios returns the patterns of load and faults for engines that are ordered, half the size
// of the lending desk.
func ScaledScenarios() []ScaledScenario {
	pattern := func(name string, bursts ...burst) ScaledScenario {
		return ScaledScenario{
			Name: name, Duration: 120 * time.Second, Usual: Rates{Short: 91, Long: 104}, Swing: 0.27, SwingPeriod: 11 * time.Second,
			Level: levels(Rates{1, 1}, bursts...), MaxEngines: 40, InitialEngines: 19,
		}
	}
	longBurst := burst{45 * time.Second, 9 * time.Second, Rates{1, 2.8}}
	quiet := burst{0, time.Hour, Rates{0.35, 0.35}}
	reclaimed := pattern("spot engines reclaimed")
	reclaimed.Reclaims = map[time.Duration]int{45 * time.Second: 1, 62 * time.Second: 2}
	reclaimedInBurst := pattern("spot engines reclaimed in a burst", longBurst)
	reclaimedInBurst.Reclaims = map[time.Duration]int{47 * time.Second: 0}
	crashed := pattern("a quarter crashes")
	crashed.Crashes = []time.Duration{45 * time.Second}
	outage := pattern("orders in doubt in a burst", longBurst)
	outage.OutageStart, outage.OutageEnd = 40*time.Second, 52*time.Second

	return []ScaledScenario{
		pattern("even day"),
		pattern("burst of long prompts", longBurst),
		pattern("burst of short prompts", burst{45 * time.Second, 6 * time.Second, Rates{2.3, 1}}),
		pattern("quiet day", quiet),
		pattern("burst on a quiet day", burst{45 * time.Second, 9 * time.Second, Rates{1, 2.8}}, quiet),
		reclaimed, reclaimedInBurst, crashed, outage,
	}
}
