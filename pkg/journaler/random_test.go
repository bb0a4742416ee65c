package journaler_test

import (
	"flag"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/journaler"
)

func init() {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "3000")
}

// TestRandomFaults runs more instances, keys, tries and faults than can be
// explored in full, stale reads among them.
func TestRandomFaults(t *testing.T) {
	ends := map[string]int{}
	rapid.Check(t, func(r *rapid.T) {
		settings := journaler.DefaultSettings()
		settings.ShardBytes = rapid.SampledFrom([]int{1 << 10, 1 << 19}).Draw(r, "bytes")
		settings.Calm = rapid.SampledFrom([]float64{0, 10}).Draw(r, "calm")
		settings.Cached = rapid.IntRange(1, 4).Draw(r, "cached")
		stated := rapid.Bool().Draw(r, "stated")
		attempts := map[string]int{}
		count := rapid.IntRange(2, 9).Draw(r, "tries")
		tries := make([]*try, 0, count)
		for id := range count {
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "key")
			attempts[key]++
			call := journaler.Call{ID: uint64(id), Workspace: "w", Key: key, Fingerprint: "f", FirstAttemptTime: start}
			if stated && rapid.IntRange(0, 4).Draw(r, "tells") > 0 {
				call.Attempt = attempts[key]
			}
			tries = append(tries, &try{instance: rapid.IntRange(0, 2).Draw(r, "instance"), call: call})
		}
		w := newWorld(r, settings, 3, rapid.IntRange(0, 8).Draw(r, "faults"), tries...)
		for range rapid.IntRange(10, 80).Draw(r, "steps") {
			if all := w.choices(); len(all) > 0 {
				all[rapid.IntRange(0, len(all)-1).Draw(r, "choice")].do()
				w.verify()
			}
		}
		drain(r, w)
		for _, try := range w.tries {
			ends[strings.SplitN(try.answer+" ", " ", 2)[0]]++
		}
	})
	for _, end := range []string{"", "replay", "unknown", "not-run"} {
		assert.Assert(t, ends[end] > 0, "no try ended as %q", end)
	}
}

// naive is the journal as a map under one lock.
type naive map[string]*naiveRecord

type naiveRecord struct {
	fingerprint string
	first       time.Time
	attempt     int
	state       journaler.State
	// refused is the latest attempt that was not run.
	refused int
}

func (n naive) begin(now time.Time, retention time.Duration, call journaler.Call) string {
	r := n[call.Key]
	switch {
	case now.Sub(call.FirstAttemptTime) > retention:
		return "unknown"
	case r == nil:
		n[call.Key] = &naiveRecord{fingerprint: call.Fingerprint, first: call.FirstAttemptTime, attempt: call.Attempt}
		return ""
	case r.fingerprint != call.Fingerprint:
		return "not-run key-reused"
	case r.state == journaler.Done:
		return "replay " + call.Key
	case r.state == journaler.NotRun && r.attempt > 0 && call.Attempt > r.attempt:
		*r = naiveRecord{fingerprint: call.Fingerprint, first: call.FirstAttemptTime, attempt: call.Attempt, refused: r.attempt}
		return ""
	case r.state == journaler.NotRun && (r.attempt == 0 || call.Attempt > 0):
		return "not-run refused"
	default:
		return "unknown"
	}
}

// TestLikeNaive compares answers without faults, over a ring of few shards.
func TestLikeNaive(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		settings := journaler.DefaultSettings()
		settings.Width = 10 * time.Minute
		w := newWorld(r, settings, 3, 0)
		model := naive{}
		firsts := map[string]time.Time{}
		for range rapid.IntRange(1, 30).Draw(r, "steps") {
			switch rapid.IntRange(0, 9).Draw(r, "step") {
			case 0:
				w.now = w.now.Add(25 * time.Minute)
			case 1, 2, 3:
				finishOne(r, w, model)
			default:
				key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(r, "key")
				if firsts[key].IsZero() {
					firsts[key] = w.now
				}
				call := journaler.Call{
					ID: uint64(len(w.tries)), Key: key, FirstAttemptTime: firsts[key],
					Fingerprint: rapid.SampledFrom([]string{"f", "f", "f", "g"}).Draw(r, "fingerprint"),
					Attempt:     rapid.IntRange(0, 3).Draw(r, "attempt"),
				}
				one := &try{call: call, instance: rapid.IntRange(0, 2).Draw(r, "instance")}
				w.tries = append(w.tries, one)
				want := model.begin(w.now, settings.Retention, call)
				for one.answer == "" && !one.forwarded {
					step(w)
				}
				assert.Equal(r, one.forwarded, want == "")
				// An attempt that came late may hear that it was not run,
				// whatever became of the later ones.
				old := call.Attempt > 0 && call.Attempt <= model[key].refused && one.answer == "not-run refused"
				assert.Assert(r, old || strings.HasPrefix(one.answer, want), "%s instead of %s", one.answer, want)
			}
		}
	})
}

// step does the first choice that does not end a forwarded call; if every
// instance waits, the one that is due first goes on.
func step(w *world) {
	for _, c := range w.choices() {
		if c.name != "done" && c.name != "refused" && !strings.HasPrefix(c.name, "tick") {
			c.do()
			return
		}
	}
	var first *instance
	due := func(in *instance) time.Time { return in.NextTick().Add(-in.skew) }
	for _, in := range w.instances {
		if !in.NextTick().IsZero() && (first == nil || due(in).Before(due(first))) {
			first = in
		}
	}
	if at := due(first); at.After(w.now) {
		w.now = at
	}
	w.act(first, "t", first.Tick(w.at(first)))
}

func finishOne(r *rapid.T, w *world, model naive) {
	for _, in := range w.instances {
		if len(in.forwards) == 0 {
			continue
		}
		id := in.forwards[0]
		in.forwards = in.forwards[1:]
		state := rapid.SampledFrom([]journaler.State{journaler.Done, journaler.NotRun, journaler.Uncertain}).Draw(r, "state")
		key := w.tries[id].call.Key
		w.act(in, "f", in.Finish(w.at(in), id, journaler.Result{State: state, Body: []byte(key)}))
		model[key].state = state
		for w.pendingWork() {
			step(w)
		}
		return
	}
}

func (w *world) pendingWork() bool {
	for _, in := range w.instances {
		if len(in.ops) > 0 || !in.NextTick().IsZero() {
			return true
		}
	}
	return false
}
