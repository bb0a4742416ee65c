package isolator_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/isolator"
)

// step is something that happens at an instance, some seconds after the start.
type step struct {
	at        float64
	crash     []isolator.Prompt
	completed []uint64
}

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// unbegun and begun return a request that ran at a crash.
func unbegun(blocks ...uint64) isolator.Prompt { return isolator.Prompt{Blocks: blocks} }
func begun(blocks ...uint64) isolator.Prompt {
	return isolator.Prompt{Blocks: blocks, HasBegun: true}
}

func TestVerdictFollowsCrashesAndCompletions(t *testing.T) {
	const quarantined, allowed = isolator.Quarantined, isolator.Allowed
	crash := func(seconds float64, prompts ...isolator.Prompt) step { return step{at: seconds, crash: prompts} }
	complete := func(seconds float64, blocks ...uint64) step { return step{at: seconds, completed: blocks} }
	for name, test := range map[string]struct {
		steps  []step
		prompt []uint64
		want   isolator.Verdict
	}{
		"nothing happened":            {nil, []uint64{1}, allowed},
		"one crash":                   {[]step{crash(1, unbegun(1, 7))}, []uint64{1, 7}, allowed},
		"two crashes":                 {[]step{crash(1, unbegun(1, 7)), crash(2, unbegun(2, 7))}, []uint64{3, 7}, quarantined},
		"at the same time":            {[]step{crash(1, unbegun(1, 7)), crash(1.2, unbegun(2, 7))}, []uint64{3, 7}, allowed},
		"two crashes after it began":  {[]step{crash(1, begun(7)), crash(2, begun(7))}, []uint64{7}, allowed},
		"four crashes after it began": {[]step{crash(1, begun(7)), crash(2, begun(7)), crash(3, begun(7)), crash(4, begun(7))}, []uint64{7}, quarantined},
		"completed in between":        {[]step{crash(1, unbegun(7)), complete(1.5, 7), crash(2, unbegun(7)), crash(3, unbegun(7))}, []uint64{7}, allowed},
		"completed before":            {[]step{complete(0, 7), crash(1, unbegun(7)), crash(2, unbegun(7)), crash(3, unbegun(7))}, []uint64{7}, allowed},
		"four since it completed":     {[]step{complete(0, 7), crash(1, unbegun(7)), crash(2, unbegun(7)), crash(3, unbegun(7)), crash(4, unbegun(7))}, []uint64{7}, quarantined},
		"completed afterwards":        {[]step{crash(1, unbegun(7)), crash(2, unbegun(7)), complete(3, 7)}, []uint64{7}, allowed},
		"accompanied in all crashes":  {[]step{crash(1, unbegun(1, 7)), crash(2, unbegun(1, 7))}, []uint64{1}, allowed},
		"both together":               {[]step{crash(1, unbegun(1, 7)), crash(2, unbegun(1, 7))}, []uint64{1, 7}, quarantined},
		"alone, not told apart":       {[]step{crash(1, unbegun(1, 7)), crash(2, unbegun(1, 7))}, []uint64{7}, allowed},
		"companion completed":         {[]step{crash(1, unbegun(1, 7)), crash(2, unbegun(1, 7)), complete(3, 1)}, []uint64{7}, quarantined},
		"bystanders of one cause":     {[]step{crash(1, unbegun(1, 7), begun(5)), crash(2, unbegun(2, 7), begun(5)), crash(3, unbegun(7), begun(5)), crash(4, unbegun(7), begun(5))}, []uint64{5}, allowed},
		"two causes in the same crashes": {[]step{
			crash(1, unbegun(7), unbegun(8)), crash(2, unbegun(7), unbegun(8)), crash(3, unbegun(7), unbegun(8)), crash(4, unbegun(7), unbegun(8)),
		}, []uint64{8}, quarantined},
		"a bystander that had begun, with more crashes": {[]step{
			crash(1, unbegun(7), unbegun(5)), crash(2, unbegun(7), unbegun(5)), crash(3, unbegun(5), begun(5)), crash(4, begun(5)), crash(5, unbegun(5)),
		}, []uint64{7}, quarantined},
		"one of them had begun once": {[]step{
			crash(1, unbegun(7), unbegun(8)), crash(2, unbegun(7), unbegun(8)), crash(3, unbegun(7), begun(8)), crash(4, unbegun(7), unbegun(8)),
		}, []uint64{8}, allowed},
		"two causes":                   {[]step{crash(1, unbegun(7)), crash(2, unbegun(8)), crash(3, unbegun(7)), crash(4, unbegun(8))}, []uint64{1, 8}, quarantined},
		"listed twice in one prompt":   {[]step{crash(1, unbegun(7, 7)), crash(2, unbegun(7, 7))}, []uint64{7}, quarantined},
		"no blocks":                    {[]step{crash(1, unbegun()), crash(2, unbegun())}, nil, allowed},
		"a request without the block":  {[]step{crash(1, unbegun(7)), crash(2, unbegun(7))}, []uint64{1, 2}, allowed},
		"long ago, with one crash now": {[]step{crash(1, unbegun(7)), crash(700, unbegun(7))}, []uint64{7}, allowed},
	} {
		t.Run(name, func(t *testing.T) {
			i := isolator.New(isolator.DefaultSettings(), "instance")
			now := start
			for n, s := range test.steps {
				now = at(s.at)
				if s.crash != nil {
					i.RecordCrash(now, now, fmt.Sprint("endpoint-", n), s.crash)
				}
				i.RecordCompletion(now, s.completed)
				i.RecordsToShare(now)
			}
			assert.Equal(t, i.Decide(now, test.prompt), test.want)
		})
	}
}

// One crash that two instances notice, each at its own time, counts once.
func TestCrashNoticedByTwoInstancesCountsOnce(t *testing.T) {
	here, there := isolator.New(isolator.DefaultSettings(), "a"), isolator.New(isolator.DefaultSettings(), "b")
	here.RecordCrash(at(1), at(1), "e1", []isolator.Prompt{unbegun(7)})
	there.RecordCrash(at(2), at(2), "e1", []isolator.Prompt{unbegun(7)})
	here.Merge(at(2), there.RecordsToShare(at(2)))
	assert.Equal(t, here.Decide(at(2), []uint64{7}), isolator.Allowed)
	here.RecordCrash(at(3), at(3), "e2", []isolator.Prompt{unbegun(7)})
	assert.Equal(t, here.Decide(at(3), []uint64{7}), isolator.Quarantined)
}

// While requests keep coming, trials are made by one instance after the other, and after
// two that failed only once a day.
func TestTrialsOfAQuarantinedBlockAreFew(t *testing.T) {
	settings := isolator.DefaultSettings()
	i := isolator.New(settings, "instance")
	for n := range 2 {
		i.RecordCrash(at(float64(n)), at(float64(n)), fmt.Sprint("e", n), []isolator.Prompt{unbegun(7)})
	}
	trials, trialsInFirstHours := 0, 0
	const days = 3
	for minute := range days * 24 * 60 {
		now := at(float64(60 * (minute + 1)))
		if i.Decide(now, []uint64{1, 7}) != isolator.Trial {
			continue
		}
		trials++
		if minute < 20*60 {
			trialsInFirstHours++
		}
		assert.Equal(t, i.Decide(now.Add(time.Millisecond), []uint64{7}), isolator.Quarantined, "one at a time")
		i.RecordCrash(now.Add(time.Second), now.Add(time.Second), fmt.Sprint("t", minute), []isolator.Prompt{unbegun(7)})
	}
	assert.Equal(t, trialsInFirstHours, 2)
	assert.Equal(t, trials, 2+days-1)
}

// A trial that runs to completion ends the quarantine, here and at a peer.
func TestCompletedTrialEndsTheQuarantine(t *testing.T) {
	i, peer := isolator.New(isolator.DefaultSettings(), "a"), isolator.New(isolator.DefaultSettings(), "b")
	for n := range 2 {
		i.RecordCrash(at(float64(n)), at(float64(n)), fmt.Sprint("e", n), []isolator.Prompt{unbegun(7)})
	}
	peer.Merge(at(2), i.RecordsToShare(at(2)))
	assert.Equal(t, peer.Decide(at(2), []uint64{7}), isolator.Quarantined)
	assert.Equal(t, i.Decide(at(100), []uint64{7}), isolator.Trial)
	i.RecordCompletion(at(103), []uint64{7})
	assert.Equal(t, i.Decide(at(104), []uint64{7}), isolator.Allowed)
	peer.Merge(at(104), i.RecordsToShare(at(104)))
	assert.Equal(t, peer.Decide(at(104), []uint64{7}), isolator.Allowed)
	assert.Assert(t, len(i.CauseRecords(at(104))) == 0 && len(peer.Causes(at(104))) == 0)
}

// A request whose endpoint crashed is repeated only if all of its blocks have completed.
func TestRepeatOfASuspectIsNotAllowed(t *testing.T) {
	i := isolator.New(isolator.DefaultSettings(), "instance")
	i.RecordCompletion(at(0), []uint64{1})
	i.RecordCrash(at(1), at(1), "e", []isolator.Prompt{unbegun(1, 7)})
	assert.Assert(t, !i.MayRepeat([]uint64{1, 7}))
	assert.Assert(t, i.MayRepeat([]uint64{1}))
	assert.Assert(t, i.MayRepeat([]uint64{2}))
	i.RecordCompletion(at(2), []uint64{7})
	assert.Assert(t, i.MayRepeat([]uint64{1, 7}))
}

// Whatever comes, the numbers of records and of records sent stay within the settings, and a
// cause is kept while others are evicted.
func TestStateIsBounded(t *testing.T) {
	settings := isolator.DefaultSettings()
	settings.MaxRecords, settings.MaxSharedRecords, settings.MaxCompletedBlocks = 50, 10, 20
	i := isolator.New(settings, "instance")
	for n := range 2 {
		i.RecordCrash(at(float64(n)), at(float64(n)), fmt.Sprint("e", n), []isolator.Prompt{unbegun(7)})
	}
	for n := range uint64(1000) {
		now := at(3 + float64(n)/100)
		i.RecordCrash(now, now, fmt.Sprint("f", n), []isolator.Prompt{unbegun(1000+3*n, 1001+3*n), begun(1002 + 3*n)})
		i.RecordCompletion(now, []uint64{5000 + n})
		assert.Assert(t, i.RecordCount() <= settings.MaxRecords && i.CompletedCount() <= settings.MaxCompletedBlocks)
		assert.Assert(t, len(i.RecordsToShare(now)) <= settings.MaxSharedRecords)
	}
	assert.Equal(t, i.Decide(at(14), []uint64{7}), isolator.Quarantined)
	for _, record := range i.RecordsToShare(at(14)) {
		assert.Assert(t, len(record.Crashes) <= 32 && len(record.Companions) <= 64)
	}
}

// Records lead to the same causes in whatever order and however often they are merged.
func TestMergingIsIndependentOfOrderAndRepetition(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		sources := make([]*isolator.Isolator, 4)
		for n := range sources {
			sources[n] = isolator.New(isolator.DefaultSettings(), fmt.Sprint(n))
		}
		now := start
		for range rapid.IntRange(1, 30).Draw(r, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(r, "pause ms")) * time.Millisecond)
			source := rapid.SampledFrom(sources).Draw(r, "source")
			blocks := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 5), 1, 3, rapid.ID).Draw(r, "blocks")
			if rapid.IntRange(0, 4).Draw(r, "kind") == 0 {
				source.RecordCompletion(now, blocks)

				continue
			}
			prompt := isolator.Prompt{Blocks: blocks, HasBegun: rapid.Bool().Draw(r, "begun")}
			source.RecordCrash(now, now, fmt.Sprint("e", rapid.IntRange(0, 9).Draw(r, "endpoint")), []isolator.Prompt{prompt})
		}
		order := rapid.Permutation([]int{0, 1, 2, 3}).Draw(r, "order")
		forward, backward := isolator.New(isolator.DefaultSettings(), "f"), isolator.New(isolator.DefaultSettings(), "b")
		for range 2 { // A completion is learned only after a crash of the same block.
			for n := range order {
				forward.Merge(now, sources[order[n]].RecordsToShare(now))
				forward.Merge(now, sources[order[n]].RecordsToShare(now))
				backward.Merge(now, sources[order[len(order)-1-n]].RecordsToShare(now))
			}
		}
		assert.DeepEqual(r, sortedCauses(forward, now), sortedCauses(backward, now))
	})
}

// sortedCauses returns the blocks that are causes in ascending order.
func sortedCauses(i *isolator.Isolator, now time.Time) []uint64 {
	records := i.CauseRecords(now)
	causes := make([]uint64, 0, len(records))
	for _, record := range records {
		causes = append(causes, record.Block)
	}

	return causes
}

// Guards against a quarantine that an instance keeps on, and tells the others of, because it was
// cut off when a request with the block completed elsewhere.
func TestOldCompletionEndsTheQuarantineOfAnInstanceThatWasCutOff(t *testing.T) {
	cutOff, peer := isolator.New(isolator.DefaultSettings(), "a"), isolator.New(isolator.DefaultSettings(), "b")
	for n := range 2 {
		cutOff.RecordCrash(at(float64(n)), at(float64(n)), fmt.Sprint("e", n), []isolator.Prompt{unbegun(7)})
	}
	peer.RecordCompletion(at(5), []uint64{7})
	now := at(40) // The peer's completion is old, but later than the crashes.
	for range 2 {
		peer.Merge(now, cutOff.RecordsToShare(now))
		cutOff.Merge(now, peer.RecordsToShare(now))
	}
	assert.Equal(t, peer.Decide(now, []uint64{7}), isolator.Allowed)
	assert.Equal(t, cutOff.Decide(now, []uint64{7}), isolator.Allowed)
	assert.Assert(t, !peer.IsEmpty())
	peer.RecordsToShare(now.Add(time.Minute))
	cutOff.RecordsToShare(now.Add(time.Minute))
	assert.Assert(t, peer.IsEmpty() && cutOff.IsEmpty(), "the records are not passed around for ever")
}
