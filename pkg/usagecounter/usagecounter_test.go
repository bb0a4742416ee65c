package usagecounter_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/usagecounter"
)

func init() { _ = flag.Set("rapid.seed", "20261206") }

var settings = usagecounter.Settings{Window: 5 * time.Second, Delay: 10 * time.Second}

// usageRun is a fleet of counters with one reporting ledger at a time. What is stored may lag behind
// and calls may be lost, but each report that is made is known to the run.
type usageRun struct {
	t         *rapid.T
	now       time.Duration
	counters  []*usagecounter.Counter
	starts    []uint64
	collector *usagecounter.Collector
	ledger    *usagecounter.Ledger
	stored    []byte
	isLost    bool // what was stored
	truth     map[uint64]map[string]uint64
	lossy     map[uint64]bool // windows in which counts may have been lost
	reported  map[uint64]map[string]uint64
}

func (u *usageRun) newTerm() {
	u.ledger = usagecounter.NewLedger(settings, u.now, u.stored, !u.isLost, 0)
}

// send sends an instance's counts, or loses the message.
func (u *usageRun) send(n int, isSent bool) {
	windows := u.counters[n].Changes(u.now, time.Second, false)
	if isSent {
		u.collector.Receive(u.now, usagecounter.Sender{Name: fmt.Sprint(n), Incarnation: u.starts[n]}, windows)
	}
}

// second plays one second: requests, messages of which up to one in a row is lost, and the ledger.
func (u *usageRun) second(loses bool) {
	for n := range u.counters {
		for range rapid.IntRange(0, 3).Draw(u.t, "requests") {
			workspace := rapid.SampledFrom([]string{"a", "b"}).Draw(u.t, "workspace")
			window := settings.WindowAt(u.now)
			u.counters[n].Count(u.now, u.now, workspace)
			if u.truth[window] == nil {
				u.truth[window] = map[string]uint64{}
			}
			u.truth[window][workspace]++
		}
	}
	u.now += time.Second
	for n := range u.counters {
		u.send(n, !loses)
	}
	u.ledger.Close(u.now, u.collector.Total, func(window uint64) []string { return u.collector.Missing(window, []string{"0", "1", "2"}) })
}

// store stores the ledger, and the ledger learns of it unless the answer is lost.
func (u *usageRun) store(isAnswered bool) {
	payload, next, err := u.ledger.Payload()
	assert.NilError(u.t, err)
	u.stored, u.isLost = payload, false
	if isAnswered {
		u.ledger.Stored(next)
	}
}

// report reports what is due. A window must never be reported with two counts.
func (u *usageRun) report(isAnswered bool) {
	report, ok := u.ledger.Due()
	if !ok {
		return
	}
	if earlier, isRepeat := u.reported[report.Window]; isRepeat {
		assert.DeepEqual(u.t, report.Counts, earlier)
	}
	u.reported[report.Window] = report.Counts
	if isAnswered {
		u.ledger.Accepted(report.Window)
	}
}

// Guards against a window that is reported with two counts, whatever is lost: messages, writes,
// answers, the holder, what was stored, and instances; against counts above the truth; and against counts that are wrong although no
// instance was killed.
func TestNoWindowHasTwoCounts(t *testing.T) {
	exact, total := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		u := &usageRun{
			t: t, now: 1000 * time.Second, collector: usagecounter.NewCollector(settings), starts: make([]uint64, 3), isLost: true,
			truth: map[uint64]map[string]uint64{}, lossy: map[uint64]bool{}, reported: map[uint64]map[string]uint64{},
		}
		for range u.starts {
			u.counters = append(u.counters, usagecounter.NewCounter(settings))
		}
		u.newTerm()
		wasLossy := false
		for range rapid.IntRange(30, 80).Draw(t, "seconds") {
			loses := !wasLossy && rapid.IntRange(0, 3).Draw(t, "loses") == 0
			u.second(loses)
			wasLossy = loses
			switch rapid.IntRange(0, 30).Draw(t, "event") {
			case 0:
				n := rapid.IntRange(0, 2).Draw(t, "killed")
				u.starts[n]++
				u.counters[n] = usagecounter.NewCounter(settings)
				u.lossy[settings.WindowAt(u.now)], u.lossy[settings.WindowAt(u.now)-1] = true, true
			case 1:
				u.newTerm()
			case 3: // All are killed, with what they have collected.
				for n := range u.starts {
					u.starts[n]++
					u.counters[n] = usagecounter.NewCounter(settings)
				}
				u.collector = usagecounter.NewCollector(settings)
				u.lossy[settings.WindowAt(u.now)], u.lossy[settings.WindowAt(u.now)-1], u.lossy[settings.WindowAt(u.now)-2] = true, true, true
				u.newTerm()
			case 2:
				u.isLost, u.stored = true, nil
				u.newTerm()
			}
			if rapid.IntRange(0, 3).Draw(t, "stores") > 0 {
				u.store(rapid.Bool().Draw(t, "answered"))
			}
			if rapid.IntRange(0, 3).Draw(t, "reports") > 0 {
				u.report(rapid.Bool().Draw(t, "accepted"))
			}
		}
		for window, counts := range u.reported {
			total++
			for workspace, requests := range counts {
				assert.Assert(t, requests <= u.truth[window][workspace])
			}
			if !u.lossy[window] {
				exact++
				for workspace, runs := range u.truth[window] {
					assert.Equal(t, counts[workspace], runs, "window %d, workspace %s", window, workspace)
				}
			}
		}
	})
	t.Logf("%d windows reported, %d of them without a kill", total, exact)
	assert.Assert(t, exact > 0)
}

// Guards against windows that move since the clocks of a few instances jump.
func TestTrueTimeIsThatOfMostClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := usagecounter.NewClock()
		const peers, boot = 8, 1000 * time.Second
		jumped := rapid.IntRange(0, peers/2-1).Draw(t, "jumped")
		for n := range peers {
			timeOfDay := boot + time.Hour + time.Duration(n)*time.Millisecond
			if n < jumped {
				timeOfDay += time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "jump")) * time.Hour
			}
			clock.Receive(boot, fmt.Sprint(n), timeOfDay)
		}
		off := clock.TrueTime(boot, time.Duration(rapid.IntRange(0, 1000).Draw(t, "own"))*time.Hour) - boot - time.Hour
		assert.Assert(t, off >= 0 && off <= peers*time.Millisecond, "off by %v", off)
	})
}
