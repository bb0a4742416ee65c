package throttler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/throttler"
)

// Guards against a home that lends without bound, because only the borrower knows the
// limit.
func TestHomeKeepsALimitThatOnlyTheBorrowerKnows(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start.Add(time.Minute)
	home := throttler.New(start, "home")
	statement := throttler.Statement{Endpoint: endpointID, Limit: throttler.Limit{IsStated: true, Rate: 1}, MadeAt: now}
	assert.Equal(t, home.Lend(now, statement, 0).Permits, 1)
	denied := home.Lend(now, statement, 0)
	assert.Assert(t, denied.Permits == 0 && denied.Wait > 0, "%+v", denied)
}

// Guards against two homes at once: an instance that has become a home lends nothing until
// the others have had time to notice.
func TestNewHomeLendsNothingAtFirst(t *testing.T) {
	start := time.Unix(1000, 0)
	home := throttler.New(start, "home")
	statement := throttler.Statement{Endpoint: endpointID, Limit: throttler.Limit{IsStated: true, Rate: 10}, MadeAt: start}
	for elapsed := time.Duration(0); elapsed < 2*time.Second; elapsed += 100 * time.Millisecond {
		assert.Equal(t, home.Lend(start.Add(elapsed), statement, 0).Permits, 0, "after %v", elapsed)
	}
	assert.Equal(t, home.Lend(start.Add(2100*time.Millisecond), statement, 0).Permits, 1)
}

// Guards against a limit that ends for good by an answer to a request that was sent before
// the limit was last stated.
func TestLimitEndsOnlyByALaterRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	limit := throttler.Limit{IsStated: true, Rate: 1}
	instance := throttler.New(now, "a")
	instance.RecordAnswer(now, now.Add(-time.Second), endpointID, limit)
	instance.RecordAnswer(now.Add(time.Second), now.Add(-time.Millisecond), endpointID, throttler.Limit{})
	known, _ := instance.Statement(endpointID)
	assert.Equal(t, known.Limit, limit)
	instance.RecordAnswer(now.Add(time.Second), now.Add(time.Millisecond), endpointID, throttler.Limit{})
	known, _ = instance.Statement(endpointID)
	assert.Assert(t, !known.Limit.IsStated)

	// A peer's older statement does not bring the limit back.
	instance.ReceiveStatements(now.Add(2*time.Second), []throttler.Statement{{Endpoint: endpointID, Limit: limit, MadeAt: now}})
	known, _ = instance.Statement(endpointID)
	assert.Assert(t, !known.Limit.IsStated)
}

// Guards against requests that are refused because another one of the same instance waits
// for its permit.
func TestSeveralRequestsGetPermitsAtTheSameTime(t *testing.T) {
	const concurrent = 3
	now := time.Unix(1000, 0)
	borrower := throttler.New(now, "borrower")
	borrower.SetMembers(now, []string{"home"})
	borrower.RecordAnswer(now, now, endpointID, throttler.Limit{IsStated: true, Rate: 100})
	for range concurrent {
		assert.Equal(t, len(borrower.Blocked(now, 0, true)), 0)
		action, home := borrower.Take(now, endpointID, 0)
		assert.Equal(t, action, throttler.RequestPermit)
		assert.Equal(t, home, "home")
	}
	for range concurrent {
		borrower.RecordReply(now, endpointID, 0, throttler.Reply{Permits: 1}, true)
	}
	for range concurrent {
		action, _ := borrower.Take(now, endpointID, 0)
		assert.Equal(t, action, throttler.Send)
	}
	action, _ := borrower.Take(now, endpointID, 0)
	assert.Equal(t, action, throttler.RequestPermit)
}

// Guards against denials that an engineer on call cannot tell apart.
func TestDenialsStateTheirReason(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start.Add(time.Minute)
	statement := throttler.Statement{Endpoint: endpointID, Limit: throttler.Limit{IsStated: true, Rate: 1}, MadeAt: now}
	home := throttler.New(start, "home")
	assert.Equal(t, home.Lend(start, statement, 0).Reason, throttler.NewHome)
	assert.Equal(t, home.Lend(now, statement, 0).Reason, throttler.Reason(""))
	for range 2 {
		home.Lend(now, statement, 0)
	}
	assert.Equal(t, home.Lend(now, statement, 0).Reason, throttler.UsedUp)
	assert.Equal(t, home.Lend(now.Add(time.Second), statement, 1).Reason, throttler.HigherTiers)
	home.SetMembers(now, []string{"other"})
	assert.Equal(t, home.Lend(now, statement, 0).Reason, throttler.NotHome)
}
