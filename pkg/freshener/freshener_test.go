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
		assert.Assert(t, !lease.Fresh(revokedAt+lifetime+delay))
	})
}

// A lease is valid only within its lifetime after a confirmation, by a clock that also
// counts the time during which the machine is suspended.
func TestLeaseIsValidOnlyWithinLifetimeOfConfirmation(t *testing.T) {
	lease := freshener.New(time.Second)
	assert.Assert(t, !lease.Fresh(0), "nothing has been confirmed yet")
	lease.Confirm(10 * time.Second)
	assert.Assert(t, lease.Fresh(10*time.Second+999*time.Millisecond))
	assert.Assert(t, !lease.Fresh(15*time.Second), "the machine was suspended")
	assert.Assert(t, !lease.Fresh(9*time.Second), "the clock went back")
}

// A shorter lifetime also applies to the last confirmation before the change.
func TestShorterLifetimeAppliesToEarlierConfirmation(t *testing.T) {
	lease := freshener.New(5 * time.Second)
	lease.Confirm(10 * time.Second)
	assert.Assert(t, lease.Fresh(13*time.Second))
	lease.Limit(2 * time.Second)
	assert.Assert(t, !lease.Fresh(13*time.Second))
	assert.Assert(t, lease.Fresh(11*time.Second))
}

var policy = freshener.Pace{
	Young: 450 * time.Millisecond, Old: 1100 * time.Millisecond,
	Retry: 150 * time.Millisecond, RetryOthers: 500 * time.Millisecond, Readers: 2,
}

func TestOnlyFirstRankReadsRecentData(t *testing.T) {
	countReads := func(rank int) int {
		count := 0
		state := freshener.Standing{Rank: rank, Known: true}
		for range 100 { // Peers pass on data that is half a second old.
			state.Age = 500 * time.Millisecond
			if policy.Due(state) {
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
	assert.Assert(t, policy.Due(freshener.Standing{Rank: 50, Known: true, Age: 1100 * time.Millisecond}))
	assert.Assert(t, policy.Due(freshener.Standing{Rank: 50}), "there is no data")
}

func TestRetryDelayDependsOnRankAndFailures(t *testing.T) {
	isReadDue := func(rank, failures int, sinceLastRead time.Duration) bool {
		return policy.Due(freshener.Standing{Rank: rank, Known: true, Age: time.Minute, Failures: failures, SinceTry: sinceLastRead})
	}
	assert.Assert(t, isReadDue(0, 1, 150*time.Millisecond))
	assert.Assert(t, !isReadDue(5, 1, 150*time.Millisecond))
	assert.Assert(t, !isReadDue(0, 4, 900*time.Millisecond))
	assert.Assert(t, isReadDue(5, 40, 1100*time.Millisecond), "the delay never exceeds the age at which every instance reads")
}
