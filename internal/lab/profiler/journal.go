package profiler

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/journaler"
)

// Times of the journal's surroundings.
const (
	storeDelay   = 5 * time.Millisecond
	bookingTime  = 50 * time.Millisecond
	journalTime  = 30 * time.Second
	journalTick  = 20 * time.Millisecond
	answerLength = 120
)

// journal runs the fleet's journalers on one store, since what a shard costs
// each depends on who else writes it.
type journal struct {
	plan   Plan
	random *rand.Rand
	now    time.Time
	order  int
	events events
	shards map[string]shard
	last   uint64
	owners []*owner

	reads, writes, conflicts int
	forwarded, refused       int
	sent, received           int
}

type shard struct {
	version uint64
	data    []byte
}

// owner is one instance's journaler.
type owner struct {
	journaler *journaler.Journaler
	woken     time.Time
}

// event is something that happens at a time; order breaks ties.
type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}

	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is part of heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop is part of heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]

	return last
}

func newJournal(plan Plan, seed uint64) *journal {
	j := &journal{plan: plan, random: rand.New(rand.NewPCG(seed, 3)), now: start, shards: map[string]shard{}}
	for i := range plan.Instances {
		name := fmt.Sprintf("router-%03d", i)
		count := 0
		j.owners = append(j.owners, &owner{journaler: journaler.New(journaler.DefaultSettings(), name, func() string {
			count++

			return fmt.Sprintf("%s-%d", name, count)
		})})
	}

	return j
}

func (j *journal) after(delay time.Duration, run func()) {
	j.order++
	heap.Push(&j.events, event{at: j.now.Add(delay), order: j.order, run: run})
}

// run lets the plan's bookings come for a while, and returns the mean of what
// one instance's journal needs.
func (j *journal) run() Part {
	part := Part{Name: "journal"}
	before := heapInUse()
	j.arrive()
	charge(&part, func() {
		for len(j.events) > 0 && j.events[0].at.Before(start.Add(journalTime)) {
			next := heap.Pop(&j.events).(event)
			j.now = next.at
			next.run()
		}
	})
	j.events = nil
	j.shards = nil
	share := 1 / float64(j.plan.Instances)
	part.Heap = (heapInUse() - before) * share
	perSecond := share / journalTime.Seconds()
	part.CPU *= perSecond
	part.Reads = float64(j.reads) * perSecond
	part.Writes = float64(j.writes) * perSecond
	part.Platform = Bytes{Sent: float64(j.sent) * perSecond, Received: float64(j.received) * perSecond}

	return part
}

// arrive brings one booking to some instance, and the next after a while.
func (j *journal) arrive() {
	gap := time.Duration(j.random.ExpFloat64() / j.plan.Bookings * float64(time.Second))
	j.after(gap, func() {
		j.last++
		o := j.owners[j.random.IntN(len(j.owners))]
		j.act(o, o.journaler.Begin(j.now, journaler.Call{
			ID:               j.last,
			Workspace:        workspace(j.random.IntN(j.plan.Workspaces)),
			Key:              fmt.Sprintf("key-%d", j.last),
			Fingerprint:      fmt.Sprintf("fingerprint-%d", j.last),
			FirstAttemptTime: j.now,
			Attempt:          1,
		}))
		j.arrive()
	})
}

func (j *journal) act(o *owner, actions []journaler.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case journaler.Read:
			j.reads++
			j.after(storeDelay, func() { j.read(o, action) })
		case journaler.Write:
			j.writes++
			j.sent += len(action.Contents)
			j.after(storeDelay, func() { j.write(o, action) })
		case journaler.Forward:
			j.forwarded++
			j.after(bookingTime, func() {
				result := journaler.Result{State: journaler.Done, Status: 200, Body: make([]byte, answerLength)}
				j.act(o, o.journaler.Finish(j.now, action.ID, result))
			})
		case journaler.Refuse:
			j.refused++
		case journaler.Replay:
		}
	}
	j.wake(o)
}

// wake lets the journaler act when its next step is due, at the daemon's ticks.
func (j *journal) wake(o *owner) {
	next := o.journaler.NextTick()
	if next.IsZero() || next.Equal(o.woken) {
		return
	}
	o.woken = next
	j.after(max(journalTick, next.Sub(j.now)), func() {
		o.woken = time.Time{}
		j.act(o, o.journaler.Tick(j.now))
	})
}

func (j *journal) read(o *owner, action journaler.Read) {
	found := j.shards[action.Shard]
	j.received += len(found.data)
	j.act(o, o.journaler.OnRead(j.now, action.Shard, found.version, found.data))
}

func (j *journal) write(o *owner, action journaler.Write) {
	found := j.shards[action.Shard]
	if found.version != action.ExpectedVersion {
		j.conflicts++
		j.received += len(found.data)
		j.act(o, o.journaler.OnWriteConflict(j.now, action.Shard))

		return
	}
	j.shards[action.Shard] = shard{version: found.version + 1, data: action.Contents}
	j.received += len(action.Contents)
	j.act(o, o.journaler.OnWritten(j.now, action.Shard, found.version+1))
}
