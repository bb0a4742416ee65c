package budgeter_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/budgeter"
)

var settings = budgeter.Settings{Capacity: 100, Reserve: 25, SmallBytes: 10}

// naiveBudget is what a budget is by its definition, computed from all claims that were granted.
type naiveBudget map[uint64]int64

func (n naiveBudget) total() (sum int64) {
	for _, bytes := range n {
		sum += bytes
	}

	return sum
}

// Whatever requests claim and release: what is held is the sum of what was granted, at most the capacity
// unless one request holds all of it, and a small claim is refused only if the capacity is used up.
func TestBudgetHoldsWhatWasGranted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, granted, waiting := budgeter.New(settings), naiveBudget{}, map[uint64]int64{}
		settle := func(requests []uint64) {
			for _, request := range requests {
				granted[request] += waiting[request]
				delete(waiting, request)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			request, bytes := rapid.Uint64Range(1, 12).Draw(t, "request"), rapid.Int64Range(1, 120).Draw(t, "bytes")
			before, held := granted.total(), granted[request]
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0:
				delete(waiting, request)
				granted[request] = 0
				settle(b.Release(request))
			case 3:
				granted[request] -= min(bytes, held)
				settle(b.Return(request, bytes))
			case 1:
				if b.TryClaim(request, bytes) {
					granted[request] += bytes
				} else if held+bytes <= settings.SmallBytes {
					assert.Assert(t, before+bytes > settings.Capacity, "a small claim is refused at %d bytes", before)
				}
			case 2:
				if waiting[request] > 0 {
					continue // A request waits for one claim at a time.
				}
				if b.Claim(request, bytes) {
					granted[request] += bytes
				} else {
					waiting[request] = bytes
				}
			}
			assert.Equal(t, b.Held(), granted.total())
			assert.Equal(t, b.Waiting(), len(waiting))
			holders := 0
			for _, bytes := range granted {
				holders += min(1, int(bytes))
			}
			assert.Assert(t, b.Held() <= settings.Capacity || holders == 1)
		}
	})
}

// Guards against small requests that find no memory since large ones hold all of it, and against a large
// one that waits for good while younger ones are served.
func TestSmallClaimsPassWaitingLargeOnesInTheirOrder(t *testing.T) {
	b := budgeter.New(settings)
	assert.Assert(t, b.Claim(1, 70))
	assert.Assert(t, !b.Claim(2, 40))
	assert.Assert(t, !b.TryClaim(3, 11), "younger, and large")
	for request := range uint64(3) {
		assert.Assert(t, b.TryClaim(10+request, 10))
	}
	assert.Assert(t, !b.TryClaim(13, 1), "the capacity is used up")
	assert.Equal(t, len(b.Release(10)), 0)
	assert.DeepEqual(t, b.Release(1), []uint64{2})
}

func TestClaimLargerThanTheBudgetIsGrantedAlone(t *testing.T) {
	b := budgeter.New(settings)
	assert.Assert(t, b.Claim(1, 5))
	assert.Assert(t, !b.Claim(2, 500))
	assert.DeepEqual(t, b.Release(1), []uint64{2})
	assert.Equal(t, b.Held(), int64(500))
	assert.Assert(t, !b.TryClaim(3, 1))
	assert.Equal(t, len(b.Release(2)), 0)
	assert.Assert(t, b.TryClaim(3, 1))
}
