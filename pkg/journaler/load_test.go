package journaler_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/journaler"
)

const (
	storeDelay = 5 * time.Millisecond
	runTime    = 30 * time.Millisecond
	loadTime   = 7 * time.Second
	// warmUp is the time before anything is counted.
	warmUp = 4 * time.Second
)

// load is an open-loop run of several instances on one store in virtual time.
type load struct {
	*world
	events []event
	delays []time.Duration
	begun  []time.Time
	reads  int
	writes int
	fails  int
	bytes  int
}

type event struct {
	at time.Time
	do func()
}

func (l *load) counting() bool {
	return l.now.Sub(start) > warmUp
}

func (l *load) count(what *int) {
	if l.counting() {
		*what++
	}
}

func (l *load) after(wait time.Duration, do func()) {
	e := event{at: l.now.Add(wait), do: do}
	k, _ := slices.BinarySearchFunc(l.events, e, func(a, b event) int { return cmp.Or(a.at.Compare(b.at), -1) })
	l.events = slices.Insert(l.events, k, e)
}

func (l *load) take(in *instance, actions []journaler.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case journaler.Read:
			l.count(&l.reads)
			l.after(storeDelay/2, func() {
				c := l.cells[a.Shard]
				l.after(storeDelay/2, func() { l.take(in, in.OnRead(l.now, a.Shard, c.version, c.data)) })
			})
		case journaler.Write:
			l.count(&l.writes)
			l.bytes = max(l.bytes, len(a.Contents))
			l.after(storeDelay/2, func() { l.settle(in, a, l.put(a), l.counter) })
		case journaler.Forward:
			if l.counting() {
				l.delays = append(l.delays, l.now.Sub(l.begun[a.ID]))
			}
			l.after(runTime, func() {
				l.take(in, in.Finish(l.now, a.ID, journaler.Result{State: journaler.Done, Status: 200, Body: []byte(`{"ok":true}`)}))
			})
		}
	}
	if next := in.NextTick(); !next.IsZero() {
		l.after(max(next.Sub(l.now), 0), func() {
			if due := in.NextTick(); !due.IsZero() && !l.now.Before(due) {
				l.take(in, in.Tick(l.now))
			}
		})
	}
}

func (l *load) settle(in *instance, a journaler.Write, effect bool, version uint64) {
	l.after(storeDelay/2, func() {
		if effect {
			l.take(in, in.OnWritten(l.now, a.Shard, version))
			return
		}
		l.count(&l.fails)
		l.take(in, in.OnWriteConflict(l.now, a.Shard))
	})
}

func run(t testing.TB, settings journaler.Settings, instances int, rate float64) *load {
	l := &load{world: newWorld(t, settings, instances, 0)}
	random := rand.New(rand.NewPCG(1, 2))
	for _, in := range l.instances {
		for at := time.Duration(0); at < loadTime; at += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
			l.after(at, func() {
				id := uint64(len(l.begun))
				l.begun = append(l.begun, l.now)
				call := journaler.Call{ID: id, Key: in.token(), FirstAttemptTime: l.now, Fingerprint: "f"}
				l.take(in, in.Begin(l.now, call))
			})
		}
	}
	for len(l.events) > 0 {
		next := l.events[0]
		l.events = l.events[1:]
		l.now = next.at
		next.do()
	}
	for _, in := range l.instances {
		assert.Assert(t, in.NextTick().IsZero(), "something is left to do")
	}
	slices.Sort(l.delays)
	return l
}

// point is a way to set the journal, and the load on it.
type point struct {
	name       string
	instances  int
	rate, calm float64
	linger     time.Duration
	perCall    float64
	shards     int
	width      time.Duration
}

// figures are a run's store operations for each call and its added delays in
// store round trips.
type figures struct{ writes, reads, conflicts, middle, worst, kilobytes float64 }

func (p point) run(t testing.TB) figures {
	settings := journaler.DefaultSettings()
	settings.Calm, settings.Linger, settings.WritesPerCall, settings.Shards = p.calm, p.linger, p.perCall, p.shards
	settings.Width = p.width
	l := run(t, settings, p.instances, p.rate)
	calls := float64(len(l.delays))
	trips := func(share float64) float64 { return float64(l.delays[int(share*calls)]) / float64(storeDelay) }
	return figures{float64(l.writes) / calls, float64(l.reads) / calls, float64(l.fails) / calls, trips(0.5), trips(0.99), float64(l.bytes) / 1000}
}

var (
	usual = journaler.DefaultSettings()
	many  = point{"default, 50 calls/s", 7, 50, usual.Calm, usual.Linger, usual.WritesPerCall, usual.Shards, usual.Width}
	few   = point{"default, 5 calls/s", 7, 5, usual.Calm, usual.Linger, usual.WritesPerCall, usual.Shards, usual.Width}
)

// TestLoad holds the writes of many calls and the added delay of few.
func TestLoad(t *testing.T) {
	busy := many.run(t)
	assert.Assert(t, busy.writes <= 0.2, "%+v", busy)
	calm := few.run(t)
	assert.Assert(t, calm.middle <= 2, "%+v", calm)
}

// BenchmarkLoad shows what writes and delay cost each other.
func BenchmarkLoad(b *testing.B) {
	for _, p := range []point{
		many,
		few,
		{"no lingering, 50 calls/s", 7, 50, 1e9, 0, 1, 1, usual.Width},
		{"half the lingering, 50 calls/s", 7, 50, 10, 75 * time.Millisecond, 0.3, 1, usual.Width},
		{"two shards, 50 calls/s", 7, 50, 10, usual.Linger, usual.WritesPerCall, 2, usual.Width},
		{"twice the width, 50 calls/s", 7, 50, 10, usual.Linger, usual.WritesPerCall, 1, 2 * usual.Width},
		{"half the width, 50 calls/s", 7, 50, 10, usual.Linger, usual.WritesPerCall, 1, usual.Width / 2},
		{"one instance, 350 calls/s", 1, 350, 10, usual.Linger, 0.2, 1, usual.Width},
	} {
		b.Run(p.name, func(b *testing.B) {
			for b.Loop() {
				f := p.run(b)
				b.ReportMetric(f.writes, "writes/call")
				b.ReportMetric(f.reads, "reads/call")
				b.ReportMetric(f.conflicts, "conflicts/call")
				b.ReportMetric(f.middle, "trips-median")
				b.ReportMetric(f.worst, "trips-p99")
				b.ReportMetric(f.kilobytes, "largest-KB")
			}
		})
	}
}
