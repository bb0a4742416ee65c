//go:build race

package isolator_test

// isRaceEnabled reports whether the race detector is on, which makes simulations slow.
const isRaceEnabled = true
