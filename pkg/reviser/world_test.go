package reviser_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
	"github.com/oleanderpick/oleanderpick/pkg/reviser"
)

// shot is the store at one moment, for reads that lag.
type shot struct {
	counter   uint64
	resources map[declarer.Key]declarer.Resource
	statuses  map[declarer.Key]reviser.Status
	head      reviser.Head
	version   uint64
}

// call is something that a publisher asked for and that has not happened yet.
type call struct {
	publisher int
	action    reviser.Action
	// orphan says that the asker was told that it failed.
	orphan bool
}

// world is a store, two instances that may publish and three that apply, with
// all calls between them in the hands of the test.
type world struct {
	t          *rapid.T
	now        time.Time
	shots      []shot // The newest last.
	parts      map[string]reviser.Part
	outage     bool
	fence      uint64
	publishers []*reviser.Publisher
	views      [2]view
	calls      []call
	appliers   []*reviser.Applier
	fetches    []reviser.FetchPart
	fetchers   []int
	// applied is the highest number that each applier put in force.
	applied []uint64
	byNum   map[uint64]reviser.Head
	back    int
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Unix(1000, 0), parts: make(map[string]reviser.Part), byNum: make(map[uint64]reviser.Head)}
	w.shots = []shot{{counter: 1}}
	w.publishers = []*reviser.Publisher{reviser.NewPublisher(), reviser.NewPublisher()}
	for range 3 {
		w.appliers = append(w.appliers, reviser.New())
		w.applied = append(w.applied, 0)
	}
	return w
}

func (w *world) latest() shot { return w.shots[len(w.shots)-1] }

// commit makes the next form of the store.
func (w *world) commit(change func(*shot)) {
	next := w.latest()
	next.counter++
	next.resources = maps.Clone(next.resources)
	next.statuses = maps.Clone(next.statuses)
	if next.resources == nil {
		next.resources = make(map[declarer.Key]declarer.Resource)
		next.statuses = make(map[declarer.Key]reviser.Status)
	}
	change(&next)
	w.shots = append(w.shots, next)
}

// seen draws a form of the store that is up to four writes old.
func (w *world) seen() shot {
	lag := rapid.SampledFrom([]int{0, 0, 0, 1, 2, 4}).Draw(w.t, "lag")
	return w.shots[max(0, len(w.shots)-1-lag)]
}

func (w *world) operate() {
	kind := rapid.SampledFrom([]string{declarer.KindServiceClass, declarer.KindWorkspace}).Draw(w.t, "kind")
	key := declarer.Key{Kind: kind, Name: fmt.Sprintf("r%d", rapid.IntRange(0, 2).Draw(w.t, "name"))}
	w.commit(func(s *shot) {
		if rapid.IntRange(0, 3).Draw(w.t, "delete") == 0 {
			delete(s.resources, key)
			delete(s.statuses, key)
			return
		}
		spec := fmt.Sprintf(`{"tier":%d}`, rapid.IntRange(0, 5).Draw(w.t, "tier"))
		if kind == declarer.KindWorkspace {
			spec = fmt.Sprintf(`{"classes":["r%d"],"parallel":%d}`, rapid.IntRange(0, 2).Draw(w.t, "class"), s.counter)
		}
		s.resources[key] = declarer.Resource{Kind: kind, Name: key.Name, Generation: s.counter, Spec: json.RawMessage(spec)}
	})
}

func (w *world) act(publisher int, actions []reviser.Action) {
	for _, action := range actions {
		if _, refused := action.(reviser.ReportRefusal); !refused {
			w.calls = append(w.calls, call{publisher: publisher, action: action})
		}
	}
}

// view is what a publisher's watches have shown it of each kind under a lease.
type view struct {
	low  uint64
	at   map[string]int
	made bool
}

// list gives a publisher a listing. Under a lease the first may be stale as a
// whole; in those that follow each kind lags by itself but never goes back.
func (w *world) list(publisher int, anew, faults bool) {
	v := &w.views[publisher]
	follows := v.made && !anew
	if !follows {
		*v = view{at: make(map[string]int), made: true}
	}
	listing := reviser.Listing{ContinuesPrevious: follows, Statuses: make(map[declarer.Key]reviser.Status)}
	for _, kind := range []string{declarer.KindServiceClass, declarer.KindWorkspace} {
		last := len(w.shots) - 1
		least := v.at[kind]
		if !follows {
			least = max(0, last-4)
		}
		v.at[kind] = last
		if faults {
			v.at[kind] = rapid.IntRange(least, last).Draw(w.t, "at")
		}
		s := w.shots[v.at[kind]]
		if !follows && (v.low == 0 || s.counter < v.low) {
			v.low = s.counter
		}
		listing.HighestCounter = max(listing.HighestCounter, s.counter)
		for _, key := range slices.SortedFunc(maps.Keys(s.resources), declarer.Key.Compare) {
			if key.Kind == kind {
				listing.Resources = append(listing.Resources, s.resources[key])
			}
		}
		maps.Copy(listing.Statuses, s.statuses)
	}
	listing.LowestCounter = v.low
	w.act(publisher, w.publishers[publisher].OnListing(w.now, listing))
}

func (w *world) lead(publisher int) {
	w.fence++
	w.views[publisher] = view{}
	w.act(publisher, w.publishers[publisher].OnLeaseAcquired(w.now, w.fence))
}

// load opens the head of a form of the store, if its parts are there.
func (w *world) load(s shot) (reviser.StoredHead, bool) {
	if s.version == 0 {
		return reviser.StoredHead{}, true
	}
	var parts []reviser.Part
	for _, hash := range s.head.PartHashes {
		parts = append(parts, w.parts[hash])
	}
	revision, err := reviser.Assemble(reviser.Revision{}, s.head, parts)
	return reviser.StoredHead{Version: s.version, Head: s.head, Revision: revision}, err == nil
}

// perform lets a call take effect and returns how to tell its asker.
func (w *world) perform(c call) func(*reviser.Publisher) []reviser.Action {
	switch action := c.action.(type) {
	case reviser.LoadHead:
		stored, found := w.load(w.seen())
		return func(p *reviser.Publisher) []reviser.Action {
			if !found {
				p.OnHeadLoadFailed(w.now)
				return nil
			}
			return p.OnHeadLoaded(w.now, stored)
		}
	case reviser.WritePart:
		w.parts[action.Part.Hash] = action.Part
		return func(p *reviser.Publisher) []reviser.Action { return p.OnPartWritten(w.now, action.Part.Hash) }
	case reviser.WriteHead:
		return w.performHead(action)
	case reviser.WriteStatus:
		if _, found := w.latest().resources[action.Key]; !found {
			return func(p *reviser.Publisher) []reviser.Action {
				p.OnStatusWriteFailed(w.now, action.Key, true)
				return nil
			}
		}
		w.commit(func(s *shot) { s.statuses[action.Key] = action.Status })
		return func(p *reviser.Publisher) []reviser.Action {
			return p.OnStatusWritten(w.now, action.Key, action.Status)
		}
	}
	w.t.Fatalf("unexpected %T", c.action)
	return nil
}

func (w *world) performHead(action reviser.WriteHead) func(*reviser.Publisher) []reviser.Action {
	before := w.latest()
	if before.version != action.ExpectedVersion {
		return func(p *reviser.Publisher) []reviser.Action { return p.OnHeadWriteConflict(w.now) }
	}
	assert.Assert(w.t, action.Head.Number > before.head.Number, "the head's number only grows")
	w.commit(func(s *shot) { s.head, s.version = action.Head, s.counter })
	w.checkHead(before, w.latest())
	version := w.latest().version
	return func(p *reviser.Publisher) []reviser.Action {
		return p.OnHeadWritten(w.now, action.Head.Number, version)
	}
}

// checkHead holds a new revision against the one before: its parts are in the
// store and no resource is in force in an older form.
func (w *world) checkHead(before, after shot) {
	w.byNum[after.head.Number] = after.head
	next, complete := w.load(after)
	assert.Assert(w.t, complete, "a head names parts that are not in the store")
	previous, _ := w.load(before)
	old := generations(previous.Revision)
	for key, generation := range generations(next.Revision) {
		assert.Assert(w.t, generation >= old[key], "%s went back from generation %d to %d", key, old[key], generation)
	}
}

func generations(revision reviser.Revision) map[declarer.Key]uint64 {
	found := make(map[declarer.Key]uint64)
	for _, part := range revision.Parts {
		var resources []declarer.Resource
		_ = json.Unmarshal(part.Contents, &resources)
		for _, resource := range resources {
			found[resource.Key()] = resource.Generation
		}
	}
	return found
}

// fail tells the asker that its call failed or may have.
func (w *world) fail(c call) {
	p := w.publishers[c.publisher]
	switch action := c.action.(type) {
	case reviser.LoadHead:
		p.OnHeadLoadFailed(w.now)
	case reviser.WritePart:
		p.OnPartWriteFailed(w.now, action.Part.Hash)
	case reviser.WriteHead:
		w.act(c.publisher, p.OnHeadWriteFailed(w.now))
	case reviser.WriteStatus:
		p.OnStatusWriteFailed(w.now, action.Key, false)
	}
}

// answer takes one waiting call and draws what becomes of it.
func (w *world) answer(faults bool) {
	if len(w.calls) == 0 {
		return
	}
	at := rapid.IntRange(0, len(w.calls)-1).Draw(w.t, "call")
	c := w.calls[at]
	w.calls = slices.Delete(w.calls, at, at+1)
	fate := "done"
	if faults {
		fate = rapid.SampledFrom([]string{"done", "done", "done", "lost request", "lost answer", "late"}).Draw(w.t, "fate")
	}
	switch {
	case c.orphan && fate == "lost request":
	case c.orphan:
		w.perform(c)
	case w.outage || fate == "lost request":
		w.fail(c)
	case fate == "lost answer":
		w.perform(c)
		w.fail(c)
	case fate == "late": // Told as failed, takes effect at some later time.
		w.fail(c)
		w.calls = append(w.calls, call{publisher: c.publisher, action: c.action, orphan: true})
	default:
		tell := w.perform(c)
		w.act(c.publisher, tell(w.publishers[c.publisher]))
	}
}
