package freshener_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/freshener"
)

// A key that was taken away at a time is never let pass later than a lifetime
// after it, whatever confirmations come in whatever order: each was sent before
// the key was taken away, or the instance knows that it was.
func TestTakenKeyEndsWithTheLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lifetime = 5 * time.Second
		taken := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "taken"))
		lease := freshener.New(lifetime)
		for range rapid.IntRange(0, 10).Draw(t, "confirmations") {
			lease.Confirm(time.Duration(rapid.Int64Range(0, int64(taken)).Draw(t, "sent")))
		}
		late := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "late"))
		assert.Assert(t, !lease.IsFresh(taken+lifetime+late))
	})
}

func TestSuspensionCounts(t *testing.T) {
	lease := freshener.New(time.Second)
	assert.Assert(t, !lease.IsFresh(0), "nothing is known yet")
	lease.Confirm(10 * time.Second)
	assert.Assert(t, lease.IsFresh(10*time.Second+999*time.Millisecond))
	assert.Assert(t, !lease.IsFresh(15*time.Second), "the machine was suspended")
	assert.Assert(t, !lease.IsFresh(9*time.Second), "the clock went back")
}

// A shorter lifetime holds for what was confirmed before.
func TestShorterLifetimeHoldsAtOnce(t *testing.T) {
	lease := freshener.New(5 * time.Second)
	lease.Confirm(10 * time.Second)
	assert.Assert(t, lease.IsFresh(13*time.Second))
	lease.SetLifetime(2 * time.Second)
	assert.Assert(t, !lease.IsFresh(13*time.Second))
	assert.Assert(t, lease.IsFresh(11*time.Second))
}

var pace = freshener.ReadPolicy{
	MinReadAge: 450 * time.Millisecond, MaxReadAge: 1100 * time.Millisecond,
	ReaderRetryDelay: 150 * time.Millisecond, OtherRetryDelay: 500 * time.Millisecond, ReaderCount: 2,
}

func TestFewRead(t *testing.T) {
	reads := func(rank int) int {
		count := 0
		standing := freshener.ReadState{Rank: rank, HasData: true}
		for range 100 { // Peers pass on what is half a second old.
			standing.Age = 500 * time.Millisecond
			if pace.IsReadDue(standing) {
				count++
			}
		}

		return count
	}
	assert.Equal(t, reads(0), 100)
	assert.Equal(t, reads(1), 0)
	assert.Equal(t, reads(6), 0)
}

func TestAnyoneReadsWhatIsOld(t *testing.T) {
	assert.Assert(t, pace.IsReadDue(freshener.ReadState{Rank: 50, HasData: true, Age: 1100 * time.Millisecond}))
	assert.Assert(t, pace.IsReadDue(freshener.ReadState{Rank: 50}), "nothing is known")
}

func TestFailedReadsSpreadOut(t *testing.T) {
	due := func(rank, failures int, since time.Duration) bool {
		return pace.IsReadDue(freshener.ReadState{Rank: rank, HasData: true, Age: time.Minute, ConsecutiveFailures: failures, SinceLastRead: since})
	}
	assert.Assert(t, due(0, 1, 150*time.Millisecond))
	assert.Assert(t, !due(5, 1, 150*time.Millisecond))
	assert.Assert(t, !due(0, 4, 900*time.Millisecond))
	assert.Assert(t, due(5, 40, 1100*time.Millisecond), "never more seldom than what is old")
}
