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
	action := l.Tick(now)[0] // The first action is a read.
	fmt.Printf("%T\n", action)
	action = l.OnRead(now.Add(time.Second), leaser.StoredLease{})[0]
	l.OnWritten(now.Add(3*time.Second), action.(leaser.Write), 1)
	fence, until, held := l.Held(now.Add(3 * time.Second))
	fmt.Println(fence, until.Sub(now), held)
	// Output:
	// leaser.Read
	// 1 14.5s true
}

// instanceClock is one instance's clock, minutes off and a few per cent fast or slow.
type instanceClock struct {
	offset time.Duration
	rate   float64
}

func (c instanceClock) read(elapsed time.Duration) time.Time {
	return start.Add(c.offset + time.Duration(float64(elapsed)*c.rate))
}

type instance struct {
	name   string
	clock  instanceClock
	leaser *leaser.Leaser
	paused bool
}

// storeCall is a read or write under way. Nobody waits for the answer of an abandoned one.
type storeCall struct {
	senderIndex int
	action      leaser.Action
	abandoned   bool
}

// simulation holds the lease object and the instances that compete for the lease.
type simulation struct {
	t             *rapid.T
	elapsed       time.Duration
	versions      []leaser.StoredLease // All versions of the lease object, the newest last.
	instances     []*instance
	calls         []storeCall
	startCount    int
	holderByFence map[uint64]string
	highestFence  uint64
	handovers     int
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, versions: []leaser.StoredLease{{}}, holderByFence: make(map[uint64]string)}
	for range 3 {
		clock := instanceClock{
			offset: time.Duration(rapid.IntRange(-600, 600).Draw(t, "offset")) * time.Second,
			rate:   rapid.Float64Range(0.96, 1.04).Draw(t, "rate"),
		}
		s.instances = append(s.instances, &instance{clock: clock})
		s.restart(len(s.instances) - 1)
	}
	return s
}

// restart replaces an instance's process by a new one without state. Reads of the old
// process are lost, its writes may still take effect.
func (s *simulation) restart(index int) {
	s.startCount++
	i := s.instances[index]
	i.name = fmt.Sprint("start-", s.startCount)
	i.leaser = leaser.New(leaser.Settings{Name: "l", HolderID: i.name})
	i.paused = false
	s.calls = slices.DeleteFunc(s.calls, func(call storeCall) bool { return call.senderIndex == index && !isWrite(call.action) })
	for callIndex := range s.calls {
		s.calls[callIndex].abandoned = s.calls[callIndex].abandoned || s.calls[callIndex].senderIndex == index
	}
}

func isWrite(action leaser.Action) bool {
	_, ok := action.(leaser.Write)
	return ok
}

func (s *simulation) enqueue(senderIndex int, actions []leaser.Action) {
	for _, action := range actions {
		s.calls = append(s.calls, storeCall{senderIndex: senderIndex, action: action})
	}
}

// timeStep is the step of simulated time, short compared with the lease's duration.
const timeStep = 250 * time.Millisecond

// advance moves time on by one step and lets every instance that runs act.
func (s *simulation) advance() {
	s.elapsed += timeStep
	for index, i := range s.instances {
		if !i.paused {
			s.enqueue(index, i.leaser.Tick(i.clock.read(s.elapsed)))
		}
	}
	s.checkInvariants()
}

// checkInvariants asserts that at most one instance holds the lease and that no two
// holders ever have the same fencing token. A paused instance counts as a holder if it
// would find the lease held on resuming.
func (s *simulation) checkInvariants() {
	holders := 0
	for _, i := range s.instances {
		fence, _, held := i.leaser.Held(i.clock.read(s.elapsed))
		if !held {
			continue
		}
		holders++
		if holder, known := s.holderByFence[fence]; known {
			assert.Equal(s.t, holder, i.name, "fencing token %d has two holders", fence)
			continue
		}
		assert.Assert(s.t, fence > s.highestFence, "fencing token %d after %d", fence, s.highestFence)
		s.holderByFence[fence], s.highestFence = i.name, fence
		s.handovers++
	}
	assert.Assert(s.t, holders <= 1, "%d holders at once", holders)
}

func (s *simulation) latest() leaser.StoredLease { return s.versions[len(s.versions)-1] }

// putIfUnchanged stores a write if the stored version is the one that it expects.
func (s *simulation) putIfUnchanged(write leaser.Write) (uint64, bool) {
	if s.latest().Version != write.Version {
		return 0, false
	}
	version := uint64(len(s.versions))
	s.versions = append(s.versions, leaser.StoredLease{Version: version, Lease: write.Lease})
	return version, true
}

// answerOneCall carries out a random call and reports its result to the sender. With
// faults a call may fail, lose its answer, take effect late or read an older version.
func (s *simulation) answerOneCall(faults bool) {
	if len(s.calls) == 0 {
		return
	}
	callIndex := rapid.IntRange(0, len(s.calls)-1).Draw(s.t, "call")
	call := s.calls[callIndex]
	i := s.instances[call.senderIndex]
	if i.paused && !call.abandoned {
		return // It receives the answer when it resumes.
	}
	s.calls = slices.Delete(s.calls, callIndex, callIndex+1)
	result := "done"
	if faults {
		result = rapid.SampledFrom([]string{"done", "done", "done", "refused", "lost answer", "late"}).Draw(s.t, "fate")
	}
	now := i.clock.read(s.elapsed)
	write, isWrite := call.action.(leaser.Write)
	switch {
	case call.abandoned:
		s.putIfUnchanged(write)
	case !isWrite && result != "done":
		i.leaser.OnReadFailed(now)
	case !isWrite:
		versionLag := 0
		if faults {
			versionLag = rapid.IntRange(0, 2).Draw(s.t, "lag")
		}
		s.enqueue(call.senderIndex, i.leaser.OnRead(now, s.versions[max(0, len(s.versions)-1-versionLag)]))
	case result == "refused":
		i.leaser.OnWriteFailed(now, write, false)
	case result == "lost answer":
		s.putIfUnchanged(write)
		i.leaser.OnWriteFailed(now, write, true)
	case result == "late":
		i.leaser.OnWriteFailed(now, write, true)
		s.calls = append(s.calls, storeCall{senderIndex: call.senderIndex, action: write, abandoned: true})
	default:
		if version, stored := s.putIfUnchanged(write); stored {
			i.leaser.OnWritten(now, write, version)
		} else {
			s.enqueue(call.senderIndex, i.leaser.OnWriteConflict(now, write, s.latest()))
		}
	}
	s.checkInvariants()
}

// holderOrAnyIndex returns the index of the lease's holder, or a random one if none.
func (s *simulation) holderOrAnyIndex() int {
	for index, i := range s.instances {
		if _, _, held := i.leaser.Held(i.clock.read(s.elapsed)); held {
			return index
		}
	}
	return rapid.IntRange(0, 2).Draw(s.t, "instance")
}

// runRandomEvent lets time pass, or pauses, resumes, restarts or stops an instance.
func (s *simulation) runRandomEvent() {
	switch rapid.SampledFrom([]string{"run", "run", "run", "run", "pause", "wake", "boot", "release"}).Draw(s.t, "event") {
	case "run":
		faults := rapid.Bool().Draw(s.t, "faults")
		for range rapid.SampledFrom([]int{1, 4, 20, 80}).Draw(s.t, "slices") {
			s.advance()
			for range len(s.calls) {
				s.answerOneCall(faults)
			}
		}
	case "pause":
		s.instances[s.holderOrAnyIndex()].paused = true
	case "wake":
		for _, i := range s.instances {
			i.paused = false
		}
	case "boot":
		s.restart(s.holderOrAnyIndex())
	case "release":
		index := s.holderOrAnyIndex()
		s.enqueue(index, s.instances[index].leaser.Release(s.instances[index].clock.read(s.elapsed)))
		s.answerOneCall(true)
		s.restart(index)
	}
}

// At most one instance holds the lease at a time and fencing tokens only grow, although
// calls are lost or late, reads are stale, instances pause or restart, and clocks are
// minutes apart and up to 4% fast or slow. Once the faults end, one instance acquires
// the lease and keeps it.
func TestAtMostOneHolderDespiteFaults(t *testing.T) {
	sequences, handovers := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(5, 30).Draw(t, "steps") {
			s.runRandomEvent()
		}
		for index := range s.instances {
			s.restart(index)
		}
		stableFence := uint64(0)
		for step := range 480 {
			s.advance()
			for len(s.calls) > 0 {
				s.answerOneCall(false)
			}
			if step == 160 {
				stableFence = s.highestFence
				assert.Assert(t, s.holderByFence[stableFence] != "", "no instance acquired the lease")
			}
		}
		assert.Equal(t, s.highestFence, stableFence, "the holder keeps the lease")
		sequences++
		handovers += s.handovers
	})
	t.Logf("%d sequences, %d handovers, moments with two holders: 0", sequences, handovers)
}

// newHolder returns a leaser that acquired the lease at time start.
func newHolder(t *testing.T, holderID string) *leaser.Leaser {
	l := leaser.New(leaser.Settings{Name: "l", HolderID: holderID})
	l.Tick(start)
	write := l.OnRead(start, leaser.StoredLease{})[0].(leaser.Write)
	l.OnWritten(start, write, 1)
	_, _, held := l.Held(start)
	assert.Assert(t, held)
	return l
}

// A process paused for longer than the lease resumes without it and acquires it again.
func TestHolderPausedPastExpiryAcquiresHigherFence(t *testing.T) {
	l := newHolder(t, "a")
	resumedAt := start.Add(time.Hour)
	_, _, held := l.Held(resumedAt)
	assert.Assert(t, !held, "before any other event")
	assert.Equal(t, fmt.Sprintf("%T", l.Tick(resumedAt)[0]), "leaser.Read")
	reacquired := l.OnRead(resumedAt, leaser.StoredLease{Version: 1, Lease: leaser.Lease{HolderID: "a", Fence: 1, WriteSequence: 1}})[0].(leaser.Write)
	assert.Equal(t, reacquired.Lease.Fence, uint64(2), "the token grows although no other instance held the lease")
}

// A released lease is acquired without waiting, under the next token, with its payload.
func TestReleasedLeaseIsAcquiredAtOnceWithPayload(t *testing.T) {
	l := newHolder(t, "a")
	l.SetPayload(json.RawMessage(`{"level":1}`))
	write := l.Flush(start.Add(time.Second))[0].(leaser.Write)
	assert.Equal(t, string(write.Lease.Payload), `{"level":1}`)
	l.OnWritten(start.Add(time.Second), write, 2)
	released := l.Release(start.Add(2 * time.Second))[0].(leaser.Write)
	assert.Assert(t, released.Lease.IsReleased())
	assert.Equal(t, released.Lease.Fence, uint64(1))
	_, _, held := l.Held(start.Add(2 * time.Second))
	assert.Assert(t, !held)
	assert.Equal(t, len(l.Tick(start.Add(time.Hour))), 0)

	next := leaser.New(leaser.Settings{Name: "l", HolderID: "b"})
	next.Tick(start)
	acquired := next.OnRead(start, leaser.StoredLease{Version: 3, Lease: released.Lease})[0].(leaser.Write)
	assert.Equal(t, acquired.Lease.Fence, uint64(2), "acquired at once, under the next token")
	assert.Equal(t, string(acquired.Lease.Payload), `{"level":1}`, "the next holder takes over the payload")
}

// An instance that lost the lease and acquires it again continues from the payload of
// the holder in between, not from the older payload that it had set itself.
func TestReacquiringKeepsPayloadOfLastHolder(t *testing.T) {
	l := newHolder(t, "a")
	l.SetPayload(json.RawMessage(`"old"`))
	later := start.Add(time.Hour)
	l.Tick(later)
	released := leaser.Lease{Fence: 5, Payload: json.RawMessage(`"new"`)}
	write := l.OnRead(later, leaser.StoredLease{Version: 9, Lease: released})[0].(leaser.Write)
	assert.Equal(t, string(write.Lease.Payload), `"new"`)
	assert.Equal(t, write.Lease.Fence, uint64(6))
}

// When an engine reports a higher fencing token, the lease is no longer held and is
// acquired again under a token above the reported one.
func TestHigherReportedFenceEndsLease(t *testing.T) {
	l := newHolder(t, "a")
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

// After the lease object is deleted, other instances wait for its duration again, as its
// holder may have renewed it unseen. A fencing token that was reported is not reused.
func TestDeletedObjectIsReplacedAfterLeaseDuration(t *testing.T) {
	l := leaser.New(leaser.Settings{Name: "l", HolderID: "b"})
	l.Tick(start)
	lease := leaser.Lease{HolderID: "a", Fence: 4, Duration: 15 * time.Second}
	assert.Equal(t, len(l.OnRead(start, leaser.StoredLease{Version: 9, Lease: lease})), 0)
	assert.Equal(t, len(l.OnRead(start.Add(14*time.Second), leaser.StoredLease{})), 0)
	assert.Equal(t, len(l.OnRead(start.Add(16*time.Second), leaser.StoredLease{})), 0)
	l.RecordFence(7)
	write := l.OnRead(start.Add(30*time.Second), leaser.StoredLease{})[0].(leaser.Write)
	assert.Equal(t, write.Version, uint64(0))
	assert.Equal(t, write.Lease.Fence, uint64(8))
}

// When the store is restored from a backup, the version and the fencing token in it are
// lower than before. A conflict on a write reveals this, and the token still grows.
func TestFenceGrowsAfterStoreRestore(t *testing.T) {
	l := newHolder(t, "a")
	l.RecordFence(1)
	now := start.Add(time.Minute)
	l.Tick(now)
	write := l.OnRead(now, leaser.StoredLease{Version: 90, Lease: leaser.Lease{HolderID: "a", Fence: 7, WriteSequence: 99}})[0].(leaser.Write)
	assert.Equal(t, write.Version, uint64(90))
	restored := leaser.StoredLease{Version: 40, Lease: leaser.Lease{HolderID: "z", Fence: 3, Duration: 15 * time.Second}}
	assert.Equal(t, len(l.OnWriteConflict(now, write, restored)), 0, "the lease of the holder in the backup is waited out")
	reacquired := l.OnRead(now.Add(16*time.Second), restored)[0].(leaser.Write)
	assert.Equal(t, reacquired.Version, uint64(40))
	assert.Equal(t, reacquired.Lease.Fence, uint64(8))

	late := l.OnWriteConflict(now.Add(16*time.Second), write, leaser.StoredLease{Version: 39})
	assert.Equal(t, late[0].(leaser.Write).Version, uint64(40), "a late answer to an older write changes nothing")
}

// The holder writes once per RenewInterval, another instance reads once per PollInterval.
func TestHolderWritesAndOthersReadAtIntervals(t *testing.T) {
	holder, other := newHolder(t, "a"), leaser.New(leaser.Settings{Name: "l", HolderID: "b"})
	stored := leaser.StoredLease{Version: 1, Lease: leaser.Lease{HolderID: "a", Fence: 1, Duration: leaser.DefaultDuration}}
	writes, reads := 0, 0
	for second := range 600 {
		now := start.Add(time.Duration(second) * time.Second)
		for _, action := range holder.Tick(now) {
			write := action.(leaser.Write)
			stored = leaser.StoredLease{Version: stored.Version + 1, Lease: write.Lease}
			holder.OnWritten(now, write, stored.Version)
			writes++
		}
		for range other.Tick(now) {
			assert.Equal(t, len(other.OnRead(now, stored)), 0)
			reads++
		}
	}
	assert.Equal(t, writes, 119)
	assert.Equal(t, reads, 60)
}
