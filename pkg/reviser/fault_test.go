package reviser_test

import (
	"flag"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
	"github.com/oleanderpick/oleanderpick/pkg/reviser"
)

func init() { _ = flag.Set("rapid.seed", "20261203") }

// take carries out an applier's actions.
func (w *world) take(instance int, actions []reviser.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case reviser.FetchPart:
			w.fetches = append(w.fetches, action)
			w.fetchers = append(w.fetchers, instance)
		case reviser.ApplyRevision:
			number := action.Revision.Number
			if number <= w.applied[instance] {
				w.back++
			}
			assert.Assert(w.t, number > w.applied[instance], "instance %d went back from %d to %d", instance, w.applied[instance], number)
			assert.DeepEqual(w.t, action.Revision.PartHashes(), append([]string{}, w.byNum[number].PartHashes...))
			w.applied[instance] = number
		}
	}
}

// fetch answers one waiting fetch.
func (w *world) fetch(faults bool) {
	if len(w.fetches) == 0 {
		return
	}
	f, instance := w.fetches[0], w.fetchers[0]
	w.fetches, w.fetchers = w.fetches[1:], w.fetchers[1:]
	part, found := w.parts[f.Hash]
	if f.Source != reviser.SourceStore {
		part, found = w.appliers[int(f.Source[0]-'0')].Part(f.Hash)
	}
	fate := "good"
	if faults {
		fate = rapid.SampledFrom([]string{"good", "good", "bad", "lost"}).Draw(w.t, "part")
	}
	switch {
	case !found || fate == "lost" || w.outage && f.Source == reviser.SourceStore:
		w.appliers[instance].OnPartFetchFailed(w.now, f.Hash)
	case fate == "bad":
		broken := reviser.Part{Hash: part.Hash, Contents: append(slices.Clone(part.Contents), ' ')}
		w.take(instance, w.appliers[instance].OnPartFetched(w.now, broken))
	default:
		w.take(instance, w.appliers[instance].OnPartFetched(w.now, part))
	}
}

func (w *world) watch(instance int, s shot) {
	if !w.outage && s.version > 0 {
		w.take(instance, w.appliers[instance].ReceiveHead(w.now, s.head, reviser.SourceStore))
	}
}

func (w *world) gossip(to, from int) {
	if head := w.appliers[from].Head(); head.Number > 0 {
		w.take(to, w.appliers[to].ReceiveHead(w.now, head, string(rune('0'+from))))
	}
}

func (w *world) tick(passed time.Duration) {
	w.now = w.now.Add(passed)
	for i, p := range w.publishers {
		p.OnRevisionApplied(w.appliers[i].Revision())
		w.act(i, p.Tick(w.now))
	}
	for i, a := range w.appliers {
		w.take(i, a.Tick(w.now))
	}
}

// step draws one event. A new holder is not known to the old one, which goes on
// writing as one that was paused past its lease would.
func (w *world) step() {
	publisher := rapid.IntRange(0, 1).Draw(w.t, "publisher")
	instance := rapid.IntRange(0, 2).Draw(w.t, "instance")
	switch rapid.SampledFrom([]string{
		"operate", "operate", "list", "list", "answer", "answer", "answer", "answer", "answer", "answer", "answer",
		"answer", "fetch", "fetch", "fetch", "watch", "watch", "gossip", "tick", "tick", "lead", "stop", "restart", "outage", "crash",
	}).Draw(w.t, "event") {
	case "operate":
		w.operate()
	case "list":
		w.list(publisher, rapid.IntRange(0, 3).Draw(w.t, "anew") == 0, true)
	case "answer":
		w.answer(true)
	case "fetch":
		w.fetch(true)
	case "watch":
		w.watch(instance, w.seen())
	case "gossip":
		w.gossip(instance, (instance+1)%3)
	case "tick":
		w.tick(time.Duration(rapid.IntRange(0, 8000).Draw(w.t, "ms")) * time.Millisecond)
	case "lead":
		w.lead(publisher)
	case "stop":
		w.publishers[publisher].OnLeaseLost()
	case "restart":
		w.appliers[instance], w.applied[instance] = reviser.New(), 0
	case "crash":
		w.crash()
	case "outage":
		w.outage = !w.outage
	}
}

// crash restarts all instances at once; what they had sent may still land.
func (w *world) crash() {
	for i := range w.publishers {
		w.publishers[i] = reviser.NewPublisher()
	}
	for i := range w.appliers {
		w.appliers[i], w.applied[i] = reviser.New(), 0
	}
	for i := range w.calls {
		w.calls[i].orphan = true
	}
	w.fetches, w.fetchers = nil, nil
}

// settle lets all go well for a while with one holder.
func (w *world) settle() {
	w.outage = false
	w.publishers[1].OnLeaseLost()
	w.operate()
	for len(w.calls) > 0 {
		w.answer(false)
	}
	w.lead(0)
	for range 12 {
		w.list(0, false, false)
		for range 200 {
			w.answer(false)
			w.fetch(false)
		}
		for i := range w.appliers {
			w.watch(i, w.latest())
		}
		w.tick(reviser.AnswerTimeout)
	}
}

// Over random sequences of faults no instance applies a lower number, no
// resource steps back, and when the faults end what operators declared is in
// force everywhere, with its status.
func TestNeverBack(t *testing.T) {
	sequences, applied, back := 0, uint64(0), 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.lead(0)
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			w.step()
		}
		w.settle()
		s := w.latest()
		for i, a := range w.appliers {
			assert.Equal(t, a.Number(), s.head.Number, "instance %d", i)
			applied += a.Number()
		}
		w.checkStatuses(s)
		sequences++
		back += w.back
	})
	t.Logf("%d sequences, %d numbers in force at their ends, revisions that went back: %d", sequences, applied, back)
}

func (w *world) checkStatuses(s shot) {
	force := w.appliers[0].Revision()
	inForce := generations(force)
	resources := make([]declarer.Resource, 0, len(s.resources))
	for key, resource := range s.resources {
		status, found := s.statuses[key]
		assert.Assert(w.t, found && status.Generation == resource.Generation, "%s has no status of its generation", key)
		assert.Equal(w.t, status.Accepted, inForce[key] == resource.Generation, "%s", key)
		assert.Assert(w.t, status.Accepted || status.Reason != "", "%s", key)
		resources = append(resources, resource)
	}
	if len(resources) > 0 { // A listing of nothing is not believed.
		again, _ := reviser.Compile(force, resources)
		assert.Equal(w.t, again.Number, force.Number, "what was declared is in force")
	}
}
