package simulator

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// The simulated calls of a plain service.
const (
	plainEndpoints   = 4
	plainSlots       = 6
	plainWork        = 30 * time.Millisecond
	plainTarget      = 150 * time.Millisecond
	plainInstances   = 68
	plainDuration    = 20 * time.Second
	plainWarmUp      = 4 * time.Second
	plainMessageTime = 100 * time.Millisecond // between two messages of an instance to its data centre
)

// PlainOutcome counts calls of a plain service.
type PlainOutcome struct {
	Calls, Late int
	MeanTime    time.Duration
}

// String returns the counts as one line.
func (o PlainOutcome) String() string {
	return fmt.Sprintf("%d of %d late, mean %.1f ms", o.Late, o.Calls, float64(o.MeanTime)/float64(time.Millisecond))
}

// plainCall is a call that runs or waits at an endpoint.
type plainCall struct {
	instance, endpoint int
	id                 uint64
	sentAt, endsAt     time.Time
}

// plainFleet is a fleet of instances before four endpoints, which state their pace.
type plainFleet struct {
	*Fleet

	slotsFreeAt [plainEndpoints][plainSlots]time.Time // when each slot has done what it was given
	calls       []plainCall                           // in order of their ends
	outcome     PlainOutcome
	totalTime   time.Duration
}

// RunPlain simulates a plain service whose endpoints differ in speed, with so many calls a second. The
// policy's choose is called with the indexes of the endpoints.
func RunPlain(speed Speed, policy Policy, callsPerSecond float64, seed uint64) PlainOutcome {
	f := &plainFleet{Fleet: newFleet(policy, Size{Instances: plainInstances, Engines: plainEndpoints, DataCentres: 4, Slots: plainSlots}, seed)}
	for i := range f.endpoints {
		f.endpoints[i].Service = "plain"
	}
	for _, instance := range f.instances {
		instance.Configure(f.endpoints)
	}
	f.setSpeed(speed, seed)
	f.random = rand.New(rand.NewPCG(seed, secondPCGSeed))
	start, nextMessages := f.now, f.now
	f.measurementStart = start.Add(plainWarmUp)
	for next := f.nextArrival(callsPerSecond); next.Before(start.Add(plainDuration)); next = f.nextArrival(callsPerSecond) {
		for ; nextMessages.Before(next); nextMessages = nextMessages.Add(plainMessageTime) {
			f.finishCalls(nextMessages)
			f.runGossipRound()
		}
		f.finishCalls(next)
		f.place()
	}
	f.outcome.MeanTime = f.totalTime / time.Duration(max(1, f.outcome.Calls))

	return f.outcome
}

// finishCalls records the calls that end before a time.
func (f *plainFleet) finishCalls(until time.Time) {
	for len(f.calls) > 0 && f.calls[0].endsAt.Before(until) {
		call := f.calls[0]
		f.calls, f.now = f.calls[1:], call.endsAt
		instance, e := f.instances[call.instance], f.engines[call.endpoint]
		if e.statedPace != nil && !f.policy.ignoresStatements {
			isNews := instance.RecordStatement(f.now, f.endpoints[call.endpoint].ID, placer.Statement{
				RunningRequests: min(plainSlots, f.requestsAt(call.endpoint)+1), QueuedRequests: max(0, f.requestsAt(call.endpoint)+1-plainSlots),
				Slots: plainSlots, Pace: e.statedPace(f.now),
			})
			if isNews {
				f.sendLoadUpdates(call.instance, e)
			}
		}
		instance.RecordResult(f.now, call.id, placer.Finished)
		if call.sentAt.After(f.measurementStart) {
			f.outcome.Calls++
			f.totalTime += f.now.Sub(call.sentAt)
			if f.now.Sub(call.sentAt) > plainTarget {
				f.outcome.Late++
			}
		}
	}
	f.now = until
}

// requestsAt returns the number of calls at an endpoint.
func (f *plainFleet) requestsAt(endpoint int) (count int) {
	for _, call := range f.calls {
		if call.endpoint == endpoint {
			count++
		}
	}

	return count
}

// place sends a call to the endpoint that the policy chooses.
func (f *plainFleet) place() {
	f.requestCount++
	f.lastSequenceID++
	call := plainCall{instance: f.drawInstance(), id: f.lastSequenceID, sentAt: f.now}
	request := placer.Request{Service: "plain"}
	if f.policy.choose != nil {
		call.endpoint = f.policy.choose(f.Fleet, f.requestCount, request, []int{0, 1, 2, 3})
	} else {
		choice, _ := f.instances[call.instance].Pick(f.now, request)
		f.instances[call.instance].RecordSent(f.now, call.id, choice, request)
		call.endpoint = slices.IndexFunc(f.endpoints, func(e registrar.Endpoint) bool { return e.ID == choice.EndpointID })
	}
	slots := f.slotsFreeAt[call.endpoint][:]
	slices.SortFunc(slots, time.Time.Compare)
	begins := f.now
	if slots[0].After(begins) {
		begins = slots[0]
	}
	slowness := 1.0
	if e := f.engines[call.endpoint]; e.slowness != nil {
		slowness = e.slowness(begins)
	}
	call.endsAt = begins.Add(time.Duration(float64(plainWork) * slowness))
	slots[0] = call.endsAt
	at, _ := slices.BinarySearchFunc(f.calls, call, func(a, b plainCall) int {
		return cmp.Or(a.endsAt.Compare(b.endsAt), cmp.Compare(a.id, b.id))
	})
	f.calls = slices.Insert(f.calls, at, call)
}
