package leaser_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/leaser"
)

// wallClock is the other way weighed: the object says until when by the
// holder's wall clock, and the others compare it with theirs.
type wallClock struct {
	owner   int
	expires time.Time
}

// step lets an instance renew, or take what has expired by its clock.
func (w *wallClock) step(at int, now time.Time) {
	if w.owner == at || now.After(w.expires) {
		w.owner, w.expires = at, now.Add(leaser.DefaultDuration)
	}
}

// Without any other fault, three instances with clocks off by up to the given
// time share one lease for ten minutes a sequence, stepping once a second.
func TestClocksOff(t *testing.T) {
	for _, off := range []time.Duration{0, 10 * time.Second, time.Minute, 10 * time.Minute} {
		random := rand.New(rand.NewPCG(20261203, uint64(off)))
		doubled, handovers := 0, 0
		for range 100 {
			var offsets [3]time.Duration
			var own [3]*leaser.Leaser
			var until [3]time.Time // Of the wall clock way, by the instance's own clock.
			for at := range own {
				offsets[at] = time.Duration((2*random.Float64() - 1) * float64(off))
				own[at] = leaser.New(leaser.Settings{Name: "l", HolderID: string(rune('a' + at))})
			}
			wall, object := &wallClock{owner: -1}, leaser.StoredLease{}
			for second := range 600 {
				holders, naive := 0, 0
				for at, l := range own {
					now := start.Add(time.Duration(second)*time.Second + offsets[at])
					before := wall.owner
					wall.step(at, now)
					if wall.owner == at {
						until[at] = now.Add(leaser.DefaultDuration)
					}
					if before != wall.owner {
						handovers++
					}
					object = exchange(l, now, object)
				}
				for at, l := range own {
					now := start.Add(time.Duration(second)*time.Second + offsets[at])
					if now.Before(until[at]) {
						naive++
					}
					if _, _, held := l.Held(now); held {
						holders++
					}
				}
				assert.Assert(t, holders <= 1)
				if naive > 1 {
					doubled++
				}
			}
		}
		t.Logf("clocks off by up to %s: by wall clocks %d of 60000 seconds with two holders, %d handovers; by own clocks 0", off, doubled, handovers)
		assert.Equal(t, doubled > 0, off > 0, "the other way fails when clocks differ by more than the lease")
	}
}

// exchange carries out a leaser's actions at once and returns the object.
func exchange(l *leaser.Leaser, now time.Time, object leaser.StoredLease) leaser.StoredLease {
	actions := l.Tick(now)
	for len(actions) > 0 {
		write, is := actions[0].(leaser.Write)
		if !is {
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
