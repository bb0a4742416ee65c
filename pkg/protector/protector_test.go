package protector_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/protector"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
	"github.com/oleanderpick/oleanderpick/pkg/throttler"
)

var start = time.Unix(1e9, 0)

func newProtector(maxRejections float64) *protector.Protector {
	p := protector.New(start.Add(-time.Minute), "i0")
	p.SetEndpoints(start, []registrar.Endpoint{{ID: "e", Service: "s"}, {ID: "other", Service: "t"}})
	p.RecordAnswer(start, start, "s", throttler.Limit{IsStated: true, Rate: maxRejections})

	return p
}

func TestOnlyRequestsForNearlyFullBrittleEndpointsNeedPermits(t *testing.T) {
	p := newProtector(3)
	for _, test := range []struct {
		endpoint      string
		tier, running int
		want          bool
	}{
		{"e", 0, 20, false}, {"e", 0, 26, true}, {"e", 9, 20, true}, {"other", 0, 64, false},
	} {
		assert.Equal(t, p.NeedsPermit(start, test.endpoint, test.tier, protector.Occupancy{Running: test.running, Slots: 64}), test.want, "%+v", test)
	}
	p.RecordAnswer(start, start.Add(time.Second), "s", throttler.Limit{})
	assert.Assert(t, !p.IsBrittle("s") && !p.NeedsPermit(start, "e", 0, protector.Occupancy{Running: 64, Slots: 64}))
}

// After a rejection, an endpoint counts as full at a little less than it ran then, and at a little
// more with time.
func TestRoomFollowsRejections(t *testing.T) {
	p := newProtector(3)
	assert.Assert(t, p.RecordRejection(start, "e", 30))
	assert.Assert(t, !p.RecordRejection(start, "other", 30))
	lend := func(after time.Duration, running int) bool {
		return p.Lend(start.Add(after), p.Statement("e"), 0, protector.Occupancy{Running: running, Slots: 64}).Permits > 0
	}
	assert.Assert(t, lend(100*time.Millisecond, 10), "the one permit that a home has saved up")
	assert.Assert(t, !lend(100*time.Millisecond, 10))
	assert.Assert(t, lend(200*time.Millisecond, 27))
	assert.Assert(t, !lend(300*time.Millisecond, 29))
	assert.Assert(t, lend(400*time.Millisecond, 28))
	assert.Equal(t, len(p.Rejections(start.Add(500*time.Millisecond))), 1)
	assert.Equal(t, len(p.Rejections(start.Add(2*time.Second))), 0)
}

func ExampleProtector() {
	now := time.Now()
	p := protector.New(now.Add(-time.Minute), "instance-a")
	p.SetEndpoints(now, []registrar.Endpoint{{ID: "engine-1", Service: "chat"}})
	p.RecordAnswer(now, now, "chat", throttler.Limit{IsStated: true, Rate: 5})
	full := protector.Occupancy{Running: 64, Slots: 64}
	for range 2 {
		action, _ := p.Take(now, "engine-1", 0, full)
		fmt.Println(p.NeedsPermit(now, "engine-1", 0, full), action == throttler.Send)
	}
	// Output:
	// true true
	// true false
}
