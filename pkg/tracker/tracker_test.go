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

var startTime = time.Unix(1000, 0)

// instancesOf returns instances with the given names; those whose name ends in "-"
// are leaving.
func instancesOf(names ...string) []tracker.Instance {
	instances := make([]tracker.Instance, 0, len(names))
	for _, name := range names {
		instances = append(instances, tracker.Instance{Name: strings.TrimSuffix(name, "-"), Leaving: strings.HasSuffix(name, "-")})
	}
	return instances
}

func newTracker(name string) *tracker.Tracker {
	return tracker.New(tracker.Settings{}, tracker.Instance{Name: name})
}

func Example() {
	t := newTracker("a")
	t.ApplyListing(startTime, instancesOf("a", "b", "c-"))
	for range 3 {
		t.RecordMissedExchange(startTime.Add(5*time.Second), "b")
	}
	for _, member := range t.Members() {
		fmt.Println(member.Name, member.State, member.Reachable)
	}
	// Output:
	// a live true
	// b suspect false
	// c leaving true
}

// formatMembers returns the members as "NAME:STATE"; "!" marks unreachable ones.
func formatMembers(t *tracker.Tracker) string {
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

// Each case holds events with their times in seconds and the members after them,
// with "!" for one that is not reachable. Events: "list a b-" is the platform's
// list ("-" marks b as leaving), "exchange b" a successful exchange, "leave b" one
// in which b announces that it is leaving, "old b" one with an older incarnation,
// "miss b" a missed exchange, "report b 2" a report by c of an exchange with b 2 s
// ago, and "tick" a call of Tick.
func TestEventSequencesGiveExpectedMembers(t *testing.T) {
	for name, test := range map[string]struct{ events, wantMembers string }{
		"alone":                                               {"0 tick", "a:live"},
		"listed, no exchange":                                 {"0 list a b", "a:live b:live"},
		"one missed exchange":                                 {"0 list a b; 90 miss b", "a:live b:live"},
		"three missed exchanges, none before":                 {"0 list a b; 1 miss b; 2 miss b; 3 miss b", "a:live b:suspect!"},
		"three missed exchanges soon after one":               {"0 list a b; 5 exchange b; 6 miss b; 7 miss b; 8 miss b", "a:live b:live!"},
		"three missed exchanges, then time passes":            {"0 list a b; 5 exchange b; 6 miss b; 7 miss b; 8 miss b; 9 tick", "a:live b:suspect!"},
		"a peer reports a recent exchange":                    {"0 list a b c; 5 exchange b; 6 miss b; 7 miss b; 8 miss b; 10 report b 2; 11 tick", "a:live b:live! c:live"},
		"a peer reports an exchange long ago":                 {"0 list a b c; 5 exchange b; 6 miss b; 7 miss b; 8 miss b; 10 report b 9; 11 tick", "a:live b:suspect! c:live"},
		"exchange after suspicion":                            {"0 list a b; 1 miss b; 2 miss b; 3 miss b; 4 exchange b", "a:live b:live"},
		"listed as leaving":                                   {"0 list a b-; 1 exchange b", "a:live b:leaving"},
		"announces that it is leaving":                        {"0 list a b; 1 leave b; 2 list a b", "a:live b:leaving"},
		"restarted after leaving":                             {"0 list a b; 1 leave b; 9 exchange b", "a:live b:live"},
		"older incarnation is ignored":                        {"0 list a b; 1 exchange b; 2 leave b; 3 old b", "a:live b:leaving"},
		"older incarnation later, after a clock was set back": {"0 list a b; 1 exchange b; 2 leave b; 60 old b", "a:live b:live"},
		"not yet listed, exchange":                            {"0 list a; 1 exchange b", "a:live b:live"},
		"no longer listed, recent exchange":                   {"0 list a b; 1 exchange b; 50 exchange b; 51 list a", "a:live b:live"},
		"no longer listed, no recent exchange":                {"0 list a b; 1 exchange b; 2 list a; 62 tick", "a:live"},
		"no longer listed, suspect":                           {"0 list a b; 1 list a; 1 miss b; 2 miss b; 9 miss b", "a:live"},
		"empty list is ignored":                               {"0 list a b; 1 list", "a:live b:live"},
		"an hour without a list":                              {"0 list a b; 3600 tick", "a:live b:live"},
		"this instance is not listed":                         {"0 list b", "a:live b:live"},
	} {
		trackerA := newTracker("a")
		incarnation := uint64(100)
		for _, event := range strings.Split(test.events, "; ") {
			words := strings.Fields(event)
			var seconds, ageSeconds int
			_, _ = fmt.Sscan(words[0], &seconds)
			now := startTime.Add(time.Duration(seconds) * time.Second)
			incarnation++
			switch words[1] {
			case "list":
				trackerA.ApplyListing(now, instancesOf(words[2:]...))
			case "exchange", "leave":
				trackerA.RecordExchange(now, tracker.Instance{Name: words[2]}, incarnation, words[1] == "leave", nil)
			case "old":
				trackerA.RecordExchange(now, tracker.Instance{Name: words[2]}, 1, false, nil)
			case "miss":
				trackerA.RecordMissedExchange(now, words[2])
			case "report":
				_, _ = fmt.Sscan(words[3], &ageSeconds)
				trackerA.RecordExchange(now, tracker.Instance{Name: "c"}, incarnation, false, []tracker.LivenessReport{{Name: words[2], Incarnation: incarnation, Age: time.Duration(ageSeconds) * time.Second}})
			case "tick":
				trackerA.Tick(now)
			}
		}
		assert.Equal(t, formatMembers(trackerA), test.wantMembers, name)
	}
}

func TestVersionGrowsOnChangeAndReportsAreSortedAndLimited(t *testing.T) {
	trackerA := newTracker("a")
	initialVersion := trackerA.Version()
	trackerA.ApplyListing(startTime, instancesOf("a", "b", "c"))
	assert.Equal(t, trackerA.Version(), initialVersion+1)
	trackerA.ApplyListing(startTime, instancesOf("a", "c", "b"))
	assert.Equal(t, trackerA.Version(), initialVersion+1, "nothing changed")
	trackerA.SetLeaving()
	assert.DeepEqual(t, trackerA.LiveNames(), []string{"b", "c"})
	trackerA.RecordExchange(startTime, tracker.Instance{Name: "b"}, 1, false, nil)
	trackerA.RecordExchange(startTime.Add(time.Second), tracker.Instance{Name: "c"}, 1, true, nil)
	now := startTime.Add(3 * time.Second)
	assert.DeepEqual(t, trackerA.LivenessReports(now, nil), []tracker.LivenessReport{{Name: "c", Incarnation: 1, Age: 2 * time.Second, Leaving: true}, {Name: "b", Incarnation: 1, Age: 3 * time.Second}})
	assert.Equal(t, trackerA.LivenessReports(now, []string{"b"})[0].Name, "b")
	for range 3 {
		trackerA.RecordMissedExchange(now, "b")
	}
	assert.DeepEqual(t, trackerA.UnreachableMembers(), []string{"b"})
	for number := range tracker.MaxMembers + 10 {
		trackerA.RecordExchange(now, tracker.Instance{Name: fmt.Sprint("x", number)}, 1, false, nil)
	}
	assert.Equal(t, len(trackerA.Members()), tracker.MaxMembers+1)
	assert.Equal(t, len(trackerA.LivenessReports(now, nil)), tracker.MaxLivenessReports)
}

// simulatedNetwork has seven instances in three data centres, each pair of which
// has an exchange once a second in each direction.
type simulatedNetwork struct {
	names       []string
	random      *rand.Rand
	trackers    map[string]*tracker.Tracker
	down        map[string]bool
	brokenPaths map[[2]string]bool
}

func newSimulatedNetwork(t *rapid.T) *simulatedNetwork {
	network := &simulatedNetwork{random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), names: []string{"a1", "a2", "a3", "b1", "b2", "c1", "c2"}, trackers: make(map[string]*tracker.Tracker), down: make(map[string]bool), brokenPaths: make(map[[2]string]bool)}
	for _, name := range network.names {
		network.trackers[name] = newTracker(name)
		network.trackers[name].ApplyListing(startTime, instancesOf(network.names...))
	}
	return network
}

// exchangeOnce lets each instance start an exchange with each other one. Of ten
// exchanges, lostInTen are lost on average.
func (network *simulatedNetwork) exchangeOnce(now time.Time, lostInTen int) {
	for _, from := range network.names {
		for _, to := range network.names {
			if from == to || network.down[from] {
				continue
			}
			fromTracker, toTracker := network.trackers[from], network.trackers[to]
			if network.down[to] || network.brokenPaths[[2]string{from, to}] || network.brokenPaths[[2]string{to, from}] || network.random.IntN(10) < lostInTen {
				fromTracker.RecordMissedExchange(now, to)
				continue
			}
			toTracker.RecordExchange(now, tracker.Instance{Name: from}, 1, false, fromTracker.LivenessReports(now, toTracker.UnreachableMembers()))
			fromTracker.RecordExchange(now, tracker.Instance{Name: to}, 1, false, toTracker.LivenessReports(now, fromTracker.UnreachableMembers()))
		}
	}
}

// exchangeForSeconds calls exchangeOnce for each of the given seconds, counted from
// startTime, and returns the time of the last call.
func (network *simulatedNetwork) exchangeForSeconds(firstSecond, seconds, lostInTen int) time.Time {
	now := startTime
	for second := range seconds {
		now = startTime.Add(time.Duration(firstSecond+second) * time.Second)
		network.exchangeOnce(now, lostInTen)
	}
	return now
}

// Checks the live members while the store gives no further list. With 30% of the
// exchanges lost and the path between two instances broken, no instance is suspect;
// a crashed instance is suspect for all others within ten seconds; and a data
// centre that is cut off keeps its own instances as members.
func TestLiveMembersDuringLossCrashAndPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		network := newSimulatedNetwork(t)
		crashed := rapid.SampledFrom(network.names).Draw(t, "a")
		unconnected := rapid.SampledFrom(network.names).Filter(func(name string) bool { return name != crashed }).Draw(t, "b")
		network.brokenPaths[[2]string{crashed, unconnected}] = true
		network.exchangeForSeconds(0, 30, 3)
		for _, name := range network.names {
			assert.DeepEqual(t, network.trackers[name].LiveNames(), network.names)
		}
		network.down[crashed] = true
		network.exchangeForSeconds(30, 10, 0)
		survivors := slices.DeleteFunc(slices.Clone(network.names), func(name string) bool { return name == crashed })
		for _, name := range survivors {
			assert.DeepEqual(t, network.trackers[name].LiveNames(), survivors)
		}
		network.down[crashed] = false
		clear(network.brokenPaths) // Else the two instances of a data centre that is cut off may not reach each other.
		network.exchangeForSeconds(40, 3, 0)
		for _, cutOff := range []string{"c1", "c2"} {
			for _, other := range network.names[:5] {
				network.brokenPaths[[2]string{cutOff, other}] = true
			}
		}
		network.exchangeForSeconds(43, 10, 0)
		assert.DeepEqual(t, network.trackers["c1"].LiveNames(), []string{"c1", "c2"})
		assert.DeepEqual(t, network.trackers["a1"].LiveNames(), network.names[:5])
		clear(network.brokenPaths)
		network.exchangeForSeconds(53, 2, 0)
		for _, name := range network.names {
			assert.DeepEqual(t, network.trackers[name].LiveNames(), network.names)
		}
	})
}
