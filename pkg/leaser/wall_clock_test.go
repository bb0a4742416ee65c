package leaser_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/leaser"
)

// wallClockLease is a baseline for comparison: the lease object states the expiry by
// the holder's wall clock, and every other instance compares it with its own clock.
type wallClockLease struct {
	holderIndex int
	expiresAt   time.Time
}

// renewOrAcquire renews the lease if the instance holds it, or acquires it if it has
// expired by the instance's clock.
func (w *wallClockLease) renewOrAcquire(index int, now time.Time) {
	if w.holderIndex == index || now.After(w.expiresAt) {
		w.holderIndex, w.expiresAt = index, now.Add(leaser.DefaultDuration)
	}
}

// Three instances compete for a lease for ten minutes, acting once a second, with clock
// offsets as the only fault. A lease that compares wall clocks has two holders at once
// when the clocks differ by more than its duration; a Leaser never does.
func TestClockOffsetsBreakOnlyWallClockLease(t *testing.T) {
	for _, maxOffset := range []time.Duration{0, 10 * time.Second, time.Minute, 10 * time.Minute} {
		random := rand.New(rand.NewPCG(20261203, uint64(maxOffset)))
		conflictSeconds, handovers := 0, 0
		for range 100 {
			var offsets [3]time.Duration
			var leasers [3]*leaser.Leaser
			var wallExpiresAt [3]time.Time // Each instance's wall-clock expiry, by its own clock.
			for index := range leasers {
				offsets[index] = time.Duration((2*random.Float64() - 1) * float64(maxOffset))
				leasers[index] = leaser.New(leaser.Settings{Name: "l", HolderID: string(rune('a' + index))})
			}
			baseline, object := &wallClockLease{holderIndex: -1}, leaser.StoredLease{}
			for second := range 600 {
				holders, wallHolders := 0, 0
				for index, l := range leasers {
					now := start.Add(time.Duration(second)*time.Second + offsets[index])
					previousHolder := baseline.holderIndex
					baseline.renewOrAcquire(index, now)
					if baseline.holderIndex == index {
						wallExpiresAt[index] = now.Add(leaser.DefaultDuration)
					}
					if previousHolder != baseline.holderIndex {
						handovers++
					}
					object = runActions(l, now, object)
				}
				for index, l := range leasers {
					now := start.Add(time.Duration(second)*time.Second + offsets[index])
					if now.Before(wallExpiresAt[index]) {
						wallHolders++
					}
					if _, _, held := l.Held(now); held {
						holders++
					}
				}
				assert.Assert(t, holders <= 1)
				if wallHolders > 1 {
					conflictSeconds++
				}
			}
		}
		t.Logf("clocks off by up to %s: by wall clocks %d of 60000 seconds with two holders, %d handovers; by local clocks 0", maxOffset, conflictSeconds, handovers)
		assert.Equal(t, conflictSeconds > 0, maxOffset > 0, "the baseline fails when clocks differ by more than the lease")
	}
}

// runActions ticks a leaser, carries out its reads and writes at once without faults, and
// returns the resulting lease object.
func runActions(l *leaser.Leaser, now time.Time, object leaser.StoredLease) leaser.StoredLease {
	actions := l.Tick(now)
	for len(actions) > 0 {
		write, isWrite := actions[0].(leaser.Write)
		if !isWrite {
			actions = l.OnRead(now, object)
			continue
		}
		if write.Version != object.Version {
			actions = l.OnWriteConflict(now, write, object)
			continue
		}
		object = leaser.StoredLease{Version: object.Version + 1, Lease: write.Lease}
		l.OnWritten(now, write, object.Version)
		actions = nil
	}
	return object
}
