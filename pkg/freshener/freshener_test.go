package freshener_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/freshener"
)

// A revoked key is accepted for at most one lifetime after it was revoked, whatever
// confirmations come in whatever order: a confirming read was either sent before the
// key was revoked, or it shows the instance that the key was revoked.
func TestLeaseEndsOneLifetimeAfterKeyIsRevoked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lifetime = 5 * time.Second
		revokedAt := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "revoked at"))
		lease := freshener.New(lifetime)
		for range rapid.IntRange(0, 10).Draw(t, "confirmations") {
			lease.Confirm(time.Duration(rapid.Int64Range(0, int64(revokedAt)).Draw(t, "sent")))
		}
		delay := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "delay"))
		assert.Assert(t, !lease.IsFresh(revokedAt+lifetime+delay))
	})
}

// A lease is valid only within its lifetime after a confirmation, by a clock that also
// counts the time during which the machine is suspended.
func TestLeaseIsValidOnlyWithinLifetimeOfConfirmation(t *testing.T) {
	lease := freshener.New(time.Second)
	assert.Assert(t, !lease.IsFresh(0), "nothing has been confirmed yet")
	lease.Confirm(10 * time.Second)
	assert.Assert(t, lease.IsFresh(10*time.Second+999*time.Millisecond))
	assert.Assert(t, !lease.IsFresh(15*time.Second), "the machine was suspended")
	assert.Assert(t, !lease.IsFresh(9*time.Second), "the clock went back")
}

// A shorter lifetime also applies to the last confirmation before the change.
func TestShorterLifetimeAppliesToEarlierConfirmation(t *testing.T) {
	lease := freshener.New(5 * time.Second)
	lease.Confirm(10 * time.Second)
	assert.Assert(t, lease.IsFresh(13*time.Second))
	lease.SetLifetime(2 * time.Second)
	assert.Assert(t, !lease.IsFresh(13*time.Second))
	assert.Assert(t, lease.IsFresh(11*time.Second))
}

var policy = freshener.ReadPolicy{
	MinReadAge: 450 * time.Millisecond, MaxReadAge: 1100 * time.Millisecond,
	ReaderRetryDelay: 150 * time.Millisecond, NonReaderRetryDelay: 500 * time.Millisecond, ReaderCount: 2,
}

func TestOnlyFirstRankReadsRecentData(t *testing.T) {
	countReads := func(rank int) int {
		count := 0
		state := freshener.ReadState{Rank: rank, HasData: true}
		for range 100 { // Peers pass on data that is half a second old.
			state.Age = 500 * time.Millisecond
			if policy.IsReadDue(state) {
				count++
			}
		}

		return count
	}
	assert.Equal(t, countReads(0), 100)
	assert.Equal(t, countReads(1), 0)
	assert.Equal(t, countReads(6), 0)
}

func TestEveryRankReadsOldOrMissingData(t *testing.T) {
	assert.Assert(t, policy.IsReadDue(freshener.ReadState{Rank: 50, HasData: true, Age: 1100 * time.Millisecond}))
	assert.Assert(t, policy.IsReadDue(freshener.ReadState{Rank: 50}), "there is no data")
}

func TestRetryDelayDependsOnRankAndFailures(t *testing.T) {
	isReadDue := func(rank, failures int, sinceLastRead time.Duration) bool {
		return policy.IsReadDue(freshener.ReadState{Rank: rank, HasData: true, Age: time.Minute, ConsecutiveFailures: failures, SinceLastRead: sinceLastRead})
	}
	assert.Assert(t, isReadDue(0, 1, 150*time.Millisecond))
	assert.Assert(t, !isReadDue(5, 1, 150*time.Millisecond))
	assert.Assert(t, !isReadDue(0, 4, 900*time.Millisecond))
	assert.Assert(t, isReadDue(5, 40, 1100*time.Millisecond), "the delay never exceeds the age at which every instance reads")
}
