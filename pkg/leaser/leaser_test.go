package leaser_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/leaser"
)

func init() { _ = flag.Set("rapid.seed", "20261203") }

var start = time.Unix(1000, 0)

func Example() {
	l := leaser.New(leaser.Settings{Name: "configuration", HolderID: "mvd-1"})
	now := start
	write := l.Tick(now)[0] // A read first.
	fmt.Printf("%T\n", write)
	write = l.OnRead(now.Add(time.Second), leaser.StoredLease{})[0]
	l.OnWritten(now.Add(3*time.Second), write.(leaser.Write), 1)
	fence, until, held := l.Held(now.Add(3 * time.Second))
	fmt.Println(fence, until.Sub(now), held)
	// Output:
	// leaser.Read
	// 1 14.5s true
}

// clock is one instance's own: far off, and a little fast or slow.
type clock struct {
	offset time.Duration
	rate   float64
}

func (c clock) at(elapsed time.Duration) time.Time {
	return start.Add(c.offset + time.Duration(float64(elapsed)*c.rate))
}

type instance struct {
	name   string
	clock  clock
	leaser *leaser.Leaser
	paused bool
}

type call struct {
	from   int
	action leaser.Action
	orphan bool
}

// world is the lease object and instances that want the lease.
type world struct {
	t         *rapid.T
	elapsed   time.Duration
	forms     []leaser.StoredLease // The newest last.
	instances []*instance
	calls     []call
	starts    int
	owners    map[uint64]string
	highest   uint64
	handovers int
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, forms: []leaser.StoredLease{{}}, owners: make(map[uint64]string)}
	for range 3 {
		c := clock{
			offset: time.Duration(rapid.IntRange(-600, 600).Draw(t, "offset")) * time.Second,
			rate:   rapid.Float64Range(0.96, 1.04).Draw(t, "rate"),
		}
		w.instances = append(w.instances, &instance{clock: c})
		w.boot(len(w.instances) - 1)
	}
	return w
}

func (w *world) boot(at int) {
	w.starts++
	i := w.instances[at]
	i.name = fmt.Sprint("start-", w.starts)
	i.leaser = leaser.New(leaser.Settings{Name: "l", HolderID: i.name})
	i.paused = false
	w.calls = slices.DeleteFunc(w.calls, func(c call) bool { return c.from == at && !isWrite(c.action) })
	for n := range w.calls {
		w.calls[n].orphan = w.calls[n].orphan || w.calls[n].from == at
	}
}

func isWrite(action leaser.Action) bool {
	_, write := action.(leaser.Write)
	return write
}

func (w *world) act(from int, actions []leaser.Action) {
	for _, action := range actions {
		w.calls = append(w.calls, call{from: from, action: action})
	}
}

// slice is the step in which time passes, small beside a lease.
const slice = 250 * time.Millisecond

func (w *world) pass() {
	w.elapsed += slice
	for at, i := range w.instances {
		if !i.paused {
			w.act(at, i.leaser.Tick(i.clock.at(w.elapsed)))
		}
	}
	w.check()
}

// check holds that at most one instance holds the lease, a paused one counted
// by what it would find on waking, and that no two ever share a number.
func (w *world) check() {
	holders := 0
	for _, i := range w.instances {
		fence, _, held := i.leaser.Held(i.clock.at(w.elapsed))
		if !held {
			continue
		}
		holders++
		if owner, known := w.owners[fence]; known {
			assert.Equal(w.t, owner, i.name, "fencing number %d has two owners", fence)
			continue
		}
		assert.Assert(w.t, fence > w.highest, "number %d after %d", fence, w.highest)
		w.owners[fence], w.highest = i.name, fence
		w.handovers++
	}
	assert.Assert(w.t, holders <= 1, "%d holders at once", holders)
}

func (w *world) latest() leaser.StoredLease { return w.forms[len(w.forms)-1] }

func (w *world) put(write leaser.Write) (uint64, bool) {
	if w.latest().Version != write.Version {
		return 0, false
	}
	version := uint64(len(w.forms))
	w.forms = append(w.forms, leaser.StoredLease{Version: version, Lease: write.Lease})
	return version, true
}

func (w *world) answer(faults bool) {
	if len(w.calls) == 0 {
		return
	}
	at := rapid.IntRange(0, len(w.calls)-1).Draw(w.t, "call")
	c := w.calls[at]
	i := w.instances[c.from]
	if i.paused && !c.orphan {
		return // It reads the answer when it wakes.
	}
	w.calls = slices.Delete(w.calls, at, at+1)
	fate := "done"
	if faults {
		fate = rapid.SampledFrom([]string{"done", "done", "done", "refused", "lost answer", "late"}).Draw(w.t, "fate")
	}
	now := i.clock.at(w.elapsed)
	write, isWrite := c.action.(leaser.Write)
	switch {
	case c.orphan:
		w.put(write)
	case !isWrite && fate != "done":
		i.leaser.OnReadFailed(now)
	case !isWrite:
		lag := 0
		if faults {
			lag = rapid.IntRange(0, 2).Draw(w.t, "lag")
		}
		w.act(c.from, i.leaser.OnRead(now, w.forms[max(0, len(w.forms)-1-lag)]))
	case fate == "refused":
		i.leaser.OnWriteFailed(now, write, false)
	case fate == "lost answer":
		w.put(write)
		i.leaser.OnWriteFailed(now, write, true)
	case fate == "late":
		i.leaser.OnWriteFailed(now, write, true)
		w.calls = append(w.calls, call{from: c.from, action: write, orphan: true})
	default:
		if version, done := w.put(write); done {
			i.leaser.OnWritten(now, write, version)
		} else {
			w.act(c.from, i.leaser.OnWriteConflict(now, write, w.latest()))
		}
	}
	w.check()
}

// holder returns the instance that holds the lease, or else any.
func (w *world) holder() int {
	for at, i := range w.instances {
		if _, _, held := i.leaser.Held(i.clock.at(w.elapsed)); held {
			return at
		}
	}
	return rapid.IntRange(0, 2).Draw(w.t, "instance")
}

func (w *world) step() {
	switch rapid.SampledFrom([]string{"run", "run", "run", "run", "pause", "wake", "boot", "release"}).Draw(w.t, "event") {
	case "run":
		faults := rapid.Bool().Draw(w.t, "faults")
		for range rapid.SampledFrom([]int{1, 4, 20, 80}).Draw(w.t, "slices") {
			w.pass()
			for range len(w.calls) {
				w.answer(faults)
			}
		}
	case "pause":
		w.instances[w.holder()].paused = true
	case "wake":
		for _, i := range w.instances {
			i.paused = false
		}
	case "boot":
		w.boot(w.holder())
	case "release":
		at := w.holder()
		w.act(at, w.instances[at].leaser.Release(w.instances[at].clock.at(w.elapsed)))
		w.answer(true)
		w.boot(at)
	}
}

// Whatever is lost, late, stale, paused or restarted, with clocks minutes off
// and 4% fast or slow: one holder at a time, and numbers that only grow. When
// the faults end one instance takes the lease and keeps it.
func TestOneHolder(t *testing.T) {
	sequences, handovers := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(5, 30).Draw(t, "steps") {
			w.step()
		}
		for at := range w.instances {
			w.boot(at)
		}
		holder := uint64(0)
		for slice := range 480 {
			w.pass()
			for len(w.calls) > 0 {
				w.answer(false)
			}
			if slice == 160 {
				holder = w.highest
				assert.Assert(t, w.owners[holder] != "", "nobody took the lease")
			}
		}
		assert.Equal(t, w.highest, holder, "the holder keeps the lease")
		sequences++
		handovers += w.handovers
	})
	t.Logf("%d sequences, %d handovers, moments with two holders: 0", sequences, handovers)
}

// take gives a leaser the lease at start.
func take(t *testing.T, owner string) *leaser.Leaser {
	l := leaser.New(leaser.Settings{Name: "l", HolderID: owner})
	l.Tick(start)
	write := l.OnRead(start, leaser.StoredLease{})[0].(leaser.Write)
	l.OnWritten(start, write, 1)
	_, _, held := l.Held(start)
	assert.Assert(t, held)
	return l
}

func TestPausedPastTheLease(t *testing.T) {
	l := take(t, "a")
	woke := start.Add(time.Hour)
	_, _, held := l.Held(woke)
	assert.Assert(t, !held, "before anything else was told")
	assert.Equal(t, fmt.Sprintf("%T", l.Tick(woke)[0]), "leaser.Read")
	again := l.OnRead(woke, leaser.StoredLease{Version: 1, Lease: leaser.Lease{Owner: "a", Fence: 1, Turn: 1}})[0].(leaser.Write)
	assert.Equal(t, again.Lease.Fence, uint64(2), "the number grows though nobody else held the lease")
}

func TestReleaseAndPayload(t *testing.T) {
	l := take(t, "a")
	l.SetPayload(json.RawMessage(`{"level":1}`))
	write := l.Flush(start.Add(time.Second))[0].(leaser.Write)
	assert.Equal(t, string(write.Lease.Payload), `{"level":1}`)
	l.OnWritten(start.Add(time.Second), write, 2)
	released := l.Release(start.Add(2 * time.Second))[0].(leaser.Write)
	assert.Assert(t, released.Lease.Free())
	assert.Equal(t, released.Lease.Fence, uint64(1))
	_, _, held := l.Held(start.Add(2 * time.Second))
	assert.Assert(t, !held)
	assert.Equal(t, len(l.Tick(start.Add(time.Hour))), 0)

	next := leaser.New(leaser.Settings{Name: "l", HolderID: "b"})
	next.Tick(start)
	taken := next.OnRead(start, leaser.StoredLease{Version: 3, Lease: released.Lease})[0].(leaser.Write)
	assert.Equal(t, taken.Lease.Fence, uint64(2), "at once, under the next number")
	assert.Equal(t, string(taken.Lease.Payload), `{"level":1}`, "the payload is inherited")
}

// A holder that lost the lease and takes it again goes on from what the holder
// between left, not from its own old payload.
func TestPayloadAfterAnotherHolder(t *testing.T) {
	l := take(t, "a")
	l.SetPayload(json.RawMessage(`"old"`))
	later := start.Add(time.Hour)
	l.Tick(later)
	freed := leaser.Lease{Fence: 5, Payload: json.RawMessage(`"new"`)}
	write := l.OnRead(later, leaser.StoredLease{Version: 9, Lease: freed})[0].(leaser.Write)
	assert.Equal(t, string(write.Lease.Payload), `"new"`)
	assert.Equal(t, write.Lease.Fence, uint64(6))
}

// An engine knows a higher number: the lease is dropped and taken anew, above it.
func TestRaiseAboveOurs(t *testing.T) {
	l := take(t, "a")
	l.RecordFence(1)
	_, _, held := l.Held(start)
	assert.Assert(t, held)
	l.RecordFence(30)
	_, _, held = l.Held(start)
	assert.Assert(t, !held)
	assert.Equal(t, len(l.Tick(start)), 1)
	write := l.OnRead(start, leaser.StoredLease{Version: 1})[0].(leaser.Write)
	assert.Equal(t, write.Lease.Fence, uint64(31))
}

// The object was deleted: its holder may have renewed unseen, so that others
// wait, and a number told by others is not used again.
func TestDeletedObject(t *testing.T) {
	l := leaser.New(leaser.Settings{Name: "l", HolderID: "b"})
	l.Tick(start)
	lease := leaser.Lease{Owner: "a", Fence: 4, Duration: 15 * time.Second}
	assert.Equal(t, len(l.OnRead(start, leaser.StoredLease{Version: 9, Lease: lease})), 0)
	assert.Equal(t, len(l.OnRead(start.Add(14*time.Second), leaser.StoredLease{})), 0)
	assert.Equal(t, len(l.OnRead(start.Add(16*time.Second), leaser.StoredLease{})), 0)
	l.RecordFence(7)
	write := l.OnRead(start.Add(30*time.Second), leaser.StoredLease{})[0].(leaser.Write)
	assert.Equal(t, write.Version, uint64(0))
	assert.Equal(t, write.Lease.Fence, uint64(8))
}

// The store was set back to a backup: versions and the number in it are lower.
// A conflict shows it; the number still grows.
func TestStoreSetBack(t *testing.T) {
	l := take(t, "a")
	l.RecordFence(1)
	now := start.Add(time.Minute)
	l.Tick(now)
	write := l.OnRead(now, leaser.StoredLease{Version: 90, Lease: leaser.Lease{Owner: "a", Fence: 7, Turn: 99}})[0].(leaser.Write)
	assert.Equal(t, write.Version, uint64(90))
	old := leaser.StoredLease{Version: 40, Lease: leaser.Lease{Owner: "z", Fence: 3, Duration: 15 * time.Second}}
	assert.Equal(t, len(l.OnWriteConflict(now, write, old)), 0, "the owner in the backup is waited for")
	again := l.OnRead(now.Add(16*time.Second), old)[0].(leaser.Write)
	assert.Equal(t, again.Version, uint64(40))
	assert.Equal(t, again.Lease.Fence, uint64(8))

	late := l.OnWriteConflict(now.Add(16*time.Second), write, leaser.StoredLease{Version: 39})
	assert.Equal(t, late[0].(leaser.Write).Version, uint64(40), "a late answer to an older write changes nothing")
}

// At rest the holder writes once per Renew and the others read once per Poll.
func TestCallsAtRest(t *testing.T) {
	holder, other := take(t, "a"), leaser.New(leaser.Settings{Name: "l", HolderID: "b"})
	form := leaser.StoredLease{Version: 1, Lease: leaser.Lease{Owner: "a", Fence: 1, Duration: leaser.DefaultDuration}}
	writes, reads := 0, 0
	for second := range 600 {
		now := start.Add(time.Duration(second) * time.Second)
		for _, action := range holder.Tick(now) {
			write := action.(leaser.Write)
			form = leaser.StoredLease{Version: form.Version + 1, Lease: write.Lease}
			holder.OnWritten(now, write, form.Version)
			writes++
		}
		for range other.Tick(now) {
			assert.Equal(t, len(other.OnRead(now, form)), 0)
			reads++
		}
	}
	assert.Equal(t, writes, 119)
	assert.Equal(t, reads, 60)
}
