package tracker_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/tracker"
)

func init() { _ = flag.Set("rapid.seed", "20261203") }

var start = time.Unix(1000, 0)

func listed(names ...string) []tracker.Instance {
	instances := make([]tracker.Instance, 0, len(names))
	for _, name := range names {
		instances = append(instances, tracker.Instance{Name: strings.TrimSuffix(name, "-"), Leaving: strings.HasSuffix(name, "-")})
	}
	return instances
}

func self(name string) *tracker.Tracker {
	return tracker.New(tracker.Settings{}, tracker.Instance{Name: name})
}

func Example() {
	t := self("a")
	t.ApplyListing(start, listed("a", "b", "c-"))
	for range 3 {
		t.RecordMissedExchange(start.Add(5*time.Second), "b")
	}
	for _, member := range t.Members() {
		fmt.Println(member.Name, member.State, member.Reachable)
	}
	// Output:
	// a live true
	// b suspect false
	// c leaving true
}

func show(t *tracker.Tracker) string {
	members := t.Members()
	words := make([]string, 0, len(members))
	for _, member := range members {
		word := member.Name + ":" + member.State.String()
		if !member.Reachable {
			word += "!"
		}
		words = append(words, word)
	}
	return strings.Join(words, " ")
}

// Each line: events by second, and the members after them. Events: "list a b-"
// (- is leaving), "hear b", "leave b" (by its own word), "miss b", "told b 2"
// (c heard it 2 s ago), "old b" (an older incarnation), "tick".
func TestMembers(t *testing.T) {
	for name, row := range map[string]struct{ script, want string }{
		"alone":                        {"0 tick", "a:live"},
		"listed is live":               {"0 list a b", "a:live b:live"},
		"one miss is nothing":          {"0 list a b; 90 miss b", "a:live b:live"},
		"three misses, never heard":    {"0 list a b; 1 miss b; 2 miss b; 3 miss b", "a:live b:suspect!"},
		"three misses but heard late":  {"0 list a b; 5 hear b; 6 miss b; 7 miss b; 8 miss b", "a:live b:live!"},
		"time makes it suspect":        {"0 list a b; 5 hear b; 6 miss b; 7 miss b; 8 miss b; 9 tick", "a:live b:suspect!"},
		"another has heard it":         {"0 list a b c; 5 hear b; 6 miss b; 7 miss b; 8 miss b; 10 told b 2; 11 tick", "a:live b:live! c:live"},
		"another heard it long ago":    {"0 list a b c; 5 hear b; 6 miss b; 7 miss b; 8 miss b; 10 told b 9; 11 tick", "a:live b:suspect! c:live"},
		"heard again":                  {"0 list a b; 1 miss b; 2 miss b; 3 miss b; 4 hear b", "a:live b:live"},
		"leaving by list":              {"0 list a b-; 1 hear b", "a:live b:leaving"},
		"leaving by its own word":      {"0 list a b; 1 leave b; 2 list a b", "a:live b:leaving"},
		"restarted after leaving":      {"0 list a b; 1 leave b; 9 hear b", "a:live b:live"},
		"older incarnation is ignored": {"0 list a b; 1 hear b; 2 leave b; 3 old b", "a:live b:leaving"},
		"older one, clock set back":    {"0 list a b; 1 hear b; 2 leave b; 60 old b", "a:live b:live"},
		"not yet listed but heard":     {"0 list a; 1 hear b", "a:live b:live"},
		"delisted but heard":           {"0 list a b; 1 hear b; 50 hear b; 51 list a", "a:live b:live"},
		"delisted and unheard":         {"0 list a b; 1 hear b; 2 list a; 62 tick", "a:live"},
		"delisted and silent":          {"0 list a b; 1 list a; 1 miss b; 2 miss b; 9 miss b", "a:live"},
		"an empty list is not said":    {"0 list a b; 1 list", "a:live b:live"},
		"an hour without a list":       {"0 list a b; 3600 tick", "a:live b:live"},
		"not listed itself":            {"0 list b", "a:live b:live"},
	} {
		a := self("a")
		incarnation := uint64(100)
		for _, event := range strings.Split(row.script, "; ") {
			words := strings.Fields(event)
			var second, age int
			_, _ = fmt.Sscan(words[0], &second)
			now := start.Add(time.Duration(second) * time.Second)
			incarnation++
			switch words[1] {
			case "list":
				a.ApplyListing(now, listed(words[2:]...))
			case "hear", "leave":
				a.RecordExchange(now, tracker.Instance{Name: words[2]}, incarnation, words[1] == "leave", nil)
			case "old":
				a.RecordExchange(now, tracker.Instance{Name: words[2]}, 1, false, nil)
			case "miss":
				a.RecordMissedExchange(now, words[2])
			case "told":
				_, _ = fmt.Sscan(words[3], &age)
				a.RecordExchange(now, tracker.Instance{Name: "c"}, incarnation, false, []tracker.LivenessReport{{Name: words[2], Incarnation: incarnation, Age: time.Duration(age) * time.Second}})
			case "tick":
				a.Tick(now)
			}
		}
		assert.Equal(t, show(a), row.want, name)
	}
}

func TestLeaveVersionAndView(t *testing.T) {
	a := self("a")
	before := a.Version()
	a.ApplyListing(start, listed("a", "b", "c"))
	assert.Equal(t, a.Version(), before+1)
	a.ApplyListing(start, listed("a", "c", "b"))
	assert.Equal(t, a.Version(), before+1, "nothing changed")
	a.SetLeaving()
	assert.DeepEqual(t, a.LiveNames(), []string{"b", "c"})
	a.RecordExchange(start, tracker.Instance{Name: "b"}, 1, false, nil)
	a.RecordExchange(start.Add(time.Second), tracker.Instance{Name: "c"}, 1, true, nil)
	now := start.Add(3 * time.Second)
	assert.DeepEqual(t, a.LivenessReports(now, nil), []tracker.LivenessReport{{Name: "c", Incarnation: 1, Age: 2 * time.Second, Leaving: true}, {Name: "b", Incarnation: 1, Age: 3 * time.Second}})
	assert.Equal(t, a.LivenessReports(now, []string{"b"})[0].Name, "b")
	for range 3 {
		a.RecordMissedExchange(now, "b")
	}
	assert.DeepEqual(t, a.UnreachableMembers(), []string{"b"})
	for number := range tracker.MaximumMembers + 10 {
		a.RecordExchange(now, tracker.Instance{Name: fmt.Sprint("x", number)}, 1, false, nil)
	}
	assert.Equal(t, len(a.Members()), tracker.MaximumMembers+1)
	assert.Equal(t, len(a.LivenessReports(now, nil)), tracker.MaxLivenessReports)
}

// network is seven instances in three data centres that exchange once a second.
type network struct {
	names    []string
	random   *rand.Rand
	trackers map[string]*tracker.Tracker
	down     map[string]bool
	cut      map[[2]string]bool
}

func newNetwork(t *rapid.T) *network {
	n := &network{random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), names: []string{"a1", "a2", "a3", "b1", "b2", "c1", "c2"}, trackers: make(map[string]*tracker.Tracker), down: make(map[string]bool), cut: make(map[[2]string]bool)}
	for _, name := range n.names {
		n.trackers[name] = self(name)
		n.trackers[name].ApplyListing(start, listed(n.names...))
	}
	return n
}

// second lets each pair exchange; each exchange is lost with the given chance
// of one in ten.
func (n *network) second(now time.Time, loss int) {
	for _, from := range n.names {
		for _, to := range n.names {
			if from == to || n.down[from] {
				continue
			}
			ours, theirs := n.trackers[from], n.trackers[to]
			if n.down[to] || n.cut[[2]string{from, to}] || n.cut[[2]string{to, from}] || n.random.IntN(10) < loss {
				ours.RecordMissedExchange(now, to)
				continue
			}
			theirs.RecordExchange(now, tracker.Instance{Name: from}, 1, false, ours.LivenessReports(now, theirs.UnreachableMembers()))
			ours.RecordExchange(now, tracker.Instance{Name: to}, 1, false, theirs.LivenessReports(now, ours.UnreachableMembers()))
		}
	}
}

func (n *network) run(from, seconds, loss int) time.Time {
	now := start
	for second := range seconds {
		now = start.Add(time.Duration(from+second) * time.Second)
		n.second(now, loss)
	}
	return now
}

// With 30% of the exchanges lost nobody is suspected while the store is silent;
// a killed one is suspected by all within ten seconds; one broken path between
// two makes neither suspect; a data centre that is cut off keeps its own.
func TestNetworkFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t)
		a := rapid.SampledFrom(n.names).Draw(t, "a")
		b := rapid.SampledFrom(n.names).Filter(func(name string) bool { return name != a }).Draw(t, "b")
		n.cut[[2]string{a, b}] = true
		n.run(0, 30, 3)
		for _, name := range n.names {
			assert.DeepEqual(t, n.trackers[name].LiveNames(), n.names)
		}
		n.down[a] = true
		n.run(30, 10, 0)
		rest := slices.DeleteFunc(slices.Clone(n.names), func(name string) bool { return name == a })
		for _, name := range rest {
			assert.DeepEqual(t, n.trackers[name].LiveNames(), rest)
		}
		n.down[a] = false
		clear(n.cut) // Else a data centre of two may be cut in itself.
		n.run(40, 3, 0)
		for _, c := range []string{"c1", "c2"} {
			for _, other := range n.names[:5] {
				n.cut[[2]string{c, other}] = true
			}
		}
		n.run(43, 10, 0)
		assert.DeepEqual(t, n.trackers["c1"].LiveNames(), []string{"c1", "c2"})
		assert.DeepEqual(t, n.trackers["a1"].LiveNames(), n.names[:5])
		clear(n.cut)
		n.run(53, 2, 0)
		for _, name := range n.names {
			assert.DeepEqual(t, n.trackers[name].LiveNames(), n.names)
		}
	})
}
