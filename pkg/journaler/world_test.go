package journaler_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/journaler"
)

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

// cell is an object of the store; ghost is a write whose answer was lost and
// that has not taken effect yet.
type cell struct {
	version uint64
	data    []byte
}

// try is one attempt of a caller, and all that came of it.
type try struct {
	call      journaler.Call
	instance  int
	begun     bool
	forwarded bool
	ran       bool
	answer    string
}

type instance struct {
	*journaler.Journaler
	number   int
	skew     time.Duration
	tokens   int
	ops      []journaler.Action
	forwards []uint64
	// history identifies all that was fed, and so the state.
	history uint64
	dead    bool
}

func (in *instance) token() string {
	in.tokens++
	return fmt.Sprintf("%d/%d", in.number, in.tokens)
}

// world is a few instances, a store that fails and the callers' tries. Every
// step is one of the choices.
type world struct {
	t         reporter
	settings  journaler.Settings
	now       time.Time
	counter   uint64
	cells     map[string]cell
	old       map[string]cell
	ghosts    []journaler.Write
	instances []*instance
	tries     []*try
	faults    int
	// plain leaves out the faults that random runs cover.
	plain bool
}

// reporter is a *testing.T or a *rapid.T.
type reporter interface {
	assert.TestingT
	Fatalf(format string, arguments ...any)
}

type choice struct {
	name string
	do   func()
}

func newWorld(t reporter, settings journaler.Settings, instances, faults int, tries ...*try) *world {
	w := &world{t: t, settings: settings, now: start, cells: map[string]cell{}, old: map[string]cell{}, faults: faults, tries: tries}
	for i := range instances {
		in := &instance{number: i, skew: time.Duration(i) * 7 * time.Second}
		in.Journaler = journaler.New(settings, fmt.Sprint(i), in.token)
		w.instances = append(w.instances, in)
	}
	return w
}

// clone returns a copy that shares nothing that changes.
func (w *world) clone() *world {
	copied := *w
	copied.cells, copied.old = maps.Clone(w.cells), maps.Clone(w.old)
	copied.ghosts = slices.Clone(w.ghosts)
	copied.instances, copied.tries = nil, nil
	for _, in := range w.instances {
		other := *in
		other.ops, other.forwards = slices.Clone(in.ops), slices.Clone(in.forwards)
		other.Journaler = in.Clone(other.token)
		copied.instances = append(copied.instances, &other)
	}
	for _, t := range w.tries {
		other := *t
		copied.tries = append(copied.tries, &other)
	}
	return &copied
}

// at returns the time by an instance's clock.
func (w *world) at(in *instance) time.Time { return w.now.Add(in.skew) }

// act carries out what an instance asks for after an event.
func (w *world) act(in *instance, event string, actions []journaler.Action) {
	sum := fnv.New64a()
	fmt.Fprint(sum, in.history, event, w.now.Sub(start))
	in.history = sum.Sum64()
	for _, action := range actions {
		switch a := action.(type) {
		case journaler.Read, journaler.Write:
			in.ops = append(in.ops, a)
		case journaler.Forward:
			assert.Assert(w.t, !w.tries[a.ID].forwarded && w.tries[a.ID].answer == "" && w.at(in).Before(a.SendDeadline))
			w.tries[a.ID].forwarded = true
			in.forwards = append(in.forwards, a.ID)
		case journaler.Replay:
			w.answer(a.ID, "replay "+w.body(a))
		case journaler.Refuse:
			w.answer(a.ID, answerer.Lookup(a.Error.Kind).Outcome.String()+" "+a.Error.Kind.String())
		}
	}
}

func (w *world) answer(id uint64, text string) {
	assert.Equal(w.t, w.tries[id].answer, "")
	assert.Assert(w.t, !w.tries[id].forwarded)
	w.tries[id].answer = text
}

// body returns the replayed body, for an omitted one the key of its digest.
func (w *world) body(a journaler.Replay) string {
	key := w.tries[a.ID].call.Key
	if a.Result.BodyOmitted && a.Result.BodyDigest == fmt.Sprintf("%x", sha256.Sum256([]byte(key))) {
		return key
	}
	return string(a.Result.Body)
}

// put carries out a conditional write and says whether it took effect.
func (w *world) put(a journaler.Write) bool {
	if w.cells[a.Shard].version != a.ExpectedVersion {
		return false
	}
	w.counter++
	w.old[a.Shard] = w.cells[a.Shard]
	w.cells[a.Shard] = cell{version: w.counter, data: a.Contents}
	return true
}

func (w *world) choices() []choice {
	var all []choice
	add := func(name string, fault bool, do func()) {
		if !fault {
			all = append(all, choice{name: name, do: do})
		} else if w.faults > 0 {
			all = append(all, choice{name: name, do: func() { w.faults--; do() }})
		}
	}
	for id, one := range w.tries {
		in := w.instances[one.instance]
		switch {
		case in.dead:
		case !one.begun:
			add("begin", false, func() {
				one.begun = true
				w.act(in, fmt.Sprint("b", id), in.Begin(w.at(in), one.call))
			})
		case !one.forwarded && one.answer == "":
			add("abandon", true, func() {
				one.answer = "abandoned"
				w.act(in, fmt.Sprint("a", id), in.Abandon(w.at(in), uint64(id)))
			})
		}
	}
	for k, ghost := range w.ghosts {
		add("land", false, func() {
			w.ghosts = append(w.ghosts[:k:k], w.ghosts[k+1:]...)
			w.put(ghost)
		})
	}
	for i, in := range w.instances {
		if !in.dead {
			w.operations(in, add)
			w.ends(in, add)
			w.passing(i, in, add)
		}
	}
	return all
}

// operations adds the answers that the store may give.
func (w *world) operations(in *instance, add func(string, bool, func())) {
	for k, op := range in.ops {
		take := func() { in.ops = append(in.ops[:k:k], in.ops[k+1:]...) }
		switch a := op.(type) {
		case journaler.Read:
			read := func(c cell) func() {
				return func() { take(); w.act(in, fmt.Sprint("r", c.version), in.OnRead(w.at(in), a.Shard, c.version, c.data)) }
			}
			add("read", false, read(w.cells[a.Shard]))
			if !w.plain {
				add("stale", true, read(w.old[a.Shard]))
			}
			add("unread", true, func() { take(); w.act(in, "u", in.OnReadFailed(w.at(in), a.Shard)) })
		case journaler.Write:
			fail := func(event string, uncertain bool) {
				take()
				w.act(in, event, in.OnWriteFailed(w.at(in), a.Shard, uncertain))
			}
			add("write", false, func() {
				if take(); w.put(a) {
					w.act(in, fmt.Sprint("w", w.counter), in.OnWritten(w.at(in), a.Shard, w.counter))
					return
				}
				w.act(in, "c", in.OnWriteConflict(w.at(in), a.Shard))
			})
			add("down", true, func() { fail("d", false) })
			add("lost", true, func() { w.put(a); fail("l", true) })
			add("late", true, func() { w.ghosts = append(w.ghosts, a); fail("l", true) })
		}
	}
}

// ends adds the ends that a forwarded call may come to.
func (w *world) ends(in *instance, add func(string, bool, func())) {
	for k, id := range in.forwards {
		finish := func(state journaler.State, ran bool) func() {
			return func() {
				in.forwards = append(in.forwards[:k:k], in.forwards[k+1:]...)
				w.tries[id].ran = ran
				result := journaler.Result{State: state, Status: 200, Body: []byte(w.tries[id].call.Key)}
				w.act(in, fmt.Sprint("f", state), in.Finish(w.at(in), id, result))
			}
		}
		add("done", false, finish(journaler.Done, true))
		add("refused", false, finish(journaler.NotRun, false))
		add("cut", true, finish(journaler.Uncertain, true))
	}
}

// passing adds that time goes on, as a fault while something is in flight,
// and that the instance crashes.
func (w *world) passing(i int, in *instance, add func(string, bool, func())) {
	if next := in.NextTick(); !next.IsZero() {
		add(fmt.Sprint("tick", i), len(in.ops)+len(in.forwards) > 0, func() {
			if at := next.Add(-in.skew); at.After(w.now) {
				w.now = at
			}
			w.act(in, "t", in.Tick(w.at(in)))
		})
	}
	add(fmt.Sprint("crash", i), true, func() {
		in.dead = true
		for _, id := range in.forwards {
			w.tries[id].ran = true
		}
	})
}

// verify checks the promises: at most one run of a key, and none for a try
// that was told so, nor for an earlier one of its key.
func (w *world) verify() {
	runs := map[string]int{}
	for _, try := range w.tries {
		if try.ran {
			runs[try.call.Key]++
		}
	}
	for _, try := range w.tries {
		key := try.call.Key
		if runs[key] > 1 {
			w.t.Fatalf("key %s ran %d times", key, runs[key])
		}
		if strings.HasPrefix(try.answer, "replay") && (runs[key] != 1 || try.answer != "replay "+key) {
			w.t.Fatalf("%s after %d runs", try.answer, runs[key])
		}
		if !strings.HasPrefix(try.answer, "not-run") || strings.HasSuffix(try.answer, "key-reused") {
			continue
		}
		for _, other := range w.tries {
			// The first attempt says that every other one is later.
			later := try.call.Attempt == 1 || try.call.Attempt > 0 && other.call.Attempt > try.call.Attempt
			later = later && other != try
			same := other.call.Key == key && other.call.Fingerprint == try.call.Fingerprint
			if same && other.ran && !later {
				w.t.Fatalf("%q was a lie: try %d ran", try.answer, other.call.ID)
			}
		}
	}
}

// state identifies the world: each part's history fixes its state.
func (w *world) state() string {
	var b bytes.Buffer
	for _, in := range w.instances {
		fmt.Fprint(&b, in.history, " ", in.dead, len(in.forwards), "|")
	}
	for _, ghost := range w.ghosts {
		fmt.Fprint(&b, "g", ghost.ExpectedVersion, string(ghost.Contents))
	}
	for name, c := range w.cells {
		fmt.Fprint(&b, name, c.version, string(c.data), w.old[name].version)
	}
	fmt.Fprint(&b, w.now.UnixMilli(), w.faults)
	return b.String()
}
