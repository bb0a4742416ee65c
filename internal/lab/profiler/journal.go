package profiler

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/journaler"
)

// Parameters of the journal simulation: how long a store call and a booking take, the
// length of the run, the shortest delay of a tick, and the size of the body of an
// answer.
const (
	storeLatency        = 5 * time.Millisecond
	bookingDuration     = 50 * time.Millisecond
	journalRunDuration  = 30 * time.Second
	minJournalTickDelay = 20 * time.Millisecond
	answerBodyBytes     = 120
)

// journalSimulation runs the journalers of all instances on one simulated store. One
// journaler alone is not enough: what a shard costs an instance depends on which others
// write it, because of write conflicts and the entries that they add.
type journalSimulation struct {
	plan           Plan
	random         *rand.Rand
	simulatedTime  time.Time
	lastEventOrder int
	pendingEvents  eventQueue
	shardsByName   map[string]storedShard
	lastCallID     uint64
	instances      []*journalInstance

	// Totals over all instances. The bytes are those sent to the store and received
	// from it.
	readCount, writeCount, conflictCount int
	forwardCount, refusalCount           int
	bytesSent, bytesReceived             int
}

// storedShard is a journal shard as the store holds it. Version 0 means that it was never
// written.
type storedShard struct {
	version  uint64
	contents []byte
}

// journalInstance is the journaler of one instance, with the time that its next tick is
// scheduled for, or zero.
type journalInstance struct {
	journaler     *journaler.Journaler
	scheduledTick time.Time
}

// scheduledEvent is a function to run at a simulated time. Events of the same time run in
// the order in which they were scheduled.
type scheduledEvent struct {
	dueAt time.Time
	order int
	run   func()
}

// eventQueue is a heap of events, with the next one to run first.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].dueAt.Equal(q[j].dueAt) {
		return q[i].order < q[j].order
	}

	return q[i].dueAt.Before(q[j].dueAt)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]

	return last
}

// newJournalSimulation returns a simulation with an empty store and one journaler for
// each instance of the plan.
func newJournalSimulation(plan Plan, seed uint64) *journalSimulation {
	j := &journalSimulation{plan: plan, random: rand.New(rand.NewPCG(seed, 3)), simulatedTime: simulationStart, shardsByName: map[string]storedShard{}}
	for i := range plan.Instances {
		name := fmt.Sprintf("router-%03d", i)
		count := 0
		j.instances = append(j.instances, &journalInstance{journaler: journaler.New(journaler.DefaultSettings(), name, func() string {
			count++

			return fmt.Sprintf("%s-%d", name, count)
		})})
	}

	return j
}

// schedule queues an event to run after a delay of simulated time.
func (j *journalSimulation) schedule(delay time.Duration, run func()) {
	j.lastEventOrder++
	heap.Push(&j.pendingEvents, scheduledEvent{dueAt: j.simulatedTime.Add(delay), order: j.lastEventOrder, run: run})
}

// measure simulates bookings at the plan's rate for journalRunDuration, and returns what
// the journal of one instance needs on average.
func (j *journalSimulation) measure() ComponentUsage {
	usage := ComponentUsage{Name: "journal"}
	heapBefore := heapInUse()
	j.scheduleNextBooking()
	addCPUTime(&usage, func() {
		for len(j.pendingEvents) > 0 && j.pendingEvents[0].dueAt.Before(simulationStart.Add(journalRunDuration)) {
			next := heap.Pop(&j.pendingEvents).(scheduledEvent)
			j.simulatedTime = next.dueAt
			next.run()
		}
	})
	j.pendingEvents = nil
	j.shardsByName = nil
	instanceFraction := 1 / float64(j.plan.Instances)
	usage.HeapBytes = (heapInUse() - heapBefore) * instanceFraction
	perInstanceSecond := instanceFraction / journalRunDuration.Seconds()
	usage.CPUSeconds *= perInstanceSecond
	usage.ReadsPerSecond = float64(j.readCount) * perInstanceSecond
	usage.WritesPerSecond = float64(j.writeCount) * perInstanceSecond
	usage.PlatformBytesPerSecond = ByteCounts{Sent: float64(j.bytesSent) * perInstanceSecond, Received: float64(j.bytesReceived) * perInstanceSecond}

	return usage
}

// scheduleNextBooking schedules a booking at a random instance, which schedules the next.
// The gaps between bookings are exponentially distributed.
func (j *journalSimulation) scheduleNextBooking() {
	gap := time.Duration(j.random.ExpFloat64() / j.plan.BookingsPerSecond * float64(time.Second))
	j.schedule(gap, func() {
		j.lastCallID++
		instance := j.instances[j.random.IntN(len(j.instances))]
		j.performActions(instance, instance.journaler.Begin(j.simulatedTime, journaler.Call{
			ID:               j.lastCallID,
			Workspace:        workspaceName(j.random.IntN(j.plan.Workspaces)),
			Key:              fmt.Sprintf("key-%d", j.lastCallID),
			Fingerprint:      fmt.Sprintf("fingerprint-%d", j.lastCallID),
			FirstAttemptTime: j.simulatedTime,
			Attempt:          1,
		}))
		j.scheduleNextBooking()
	})
}

// performActions carries out the actions that a journaler returned: it schedules the
// results of store calls and bookings, and then the next tick.
func (j *journalSimulation) performActions(instance *journalInstance, actions []journaler.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case journaler.Read:
			j.readCount++
			j.schedule(storeLatency, func() { j.completeRead(instance, action) })
		case journaler.Write:
			j.writeCount++
			j.bytesSent += len(action.Contents)
			j.schedule(storeLatency, func() { j.completeWrite(instance, action) })
		case journaler.Forward:
			j.forwardCount++
			j.schedule(bookingDuration, func() {
				result := journaler.Result{State: journaler.Done, Status: 200, Body: make([]byte, answerBodyBytes)}
				j.performActions(instance, instance.journaler.Finish(j.simulatedTime, action.ID, result))
			})
		case journaler.Refuse:
			j.refusalCount++
		case journaler.Replay:
		}
	}
	j.scheduleTick(instance)
}

// scheduleTick schedules the journaler's next tick, if it has one that is not scheduled
// yet. A tick comes no earlier than minJournalTickDelay from now, which is the tick
// interval of internal/recorder.
func (j *journalSimulation) scheduleTick(instance *journalInstance) {
	next := instance.journaler.NextTick()
	if next.IsZero() || next.Equal(instance.scheduledTick) {
		return
	}
	instance.scheduledTick = next
	j.schedule(max(minJournalTickDelay, next.Sub(j.simulatedTime)), func() {
		instance.scheduledTick = time.Time{}
		j.performActions(instance, instance.journaler.Tick(j.simulatedTime))
	})
}

// completeRead gives a journaler the contents of a shard that it read from the store.
func (j *journalSimulation) completeRead(instance *journalInstance, action journaler.Read) {
	stored := j.shardsByName[action.Shard]
	j.bytesReceived += len(stored.contents)
	j.performActions(instance, instance.journaler.OnRead(j.simulatedTime, action.Shard, stored.version, stored.contents))
}

// completeWrite stores a shard if it still has the expected version, and gives the
// journaler the result. The store's answer contains the stored shard in both cases.
func (j *journalSimulation) completeWrite(instance *journalInstance, action journaler.Write) {
	stored := j.shardsByName[action.Shard]
	if stored.version != action.ExpectedVersion {
		j.conflictCount++
		j.bytesReceived += len(stored.contents)
		j.performActions(instance, instance.journaler.OnWriteConflict(j.simulatedTime, action.Shard))

		return
	}
	j.shardsByName[action.Shard] = storedShard{version: stored.version + 1, contents: action.Contents}
	j.bytesReceived += len(action.Contents)
	j.performActions(instance, instance.journaler.OnWritten(j.simulatedTime, action.Shard, stored.version+1))
}
