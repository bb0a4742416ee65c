//go:build race

package simulator_test

// isRaceEnabled reports whether the race detector is on, which makes simulations slow.
const isRaceEnabled = true
