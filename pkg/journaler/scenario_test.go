package journaler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/journaler"
)

// do makes the named choices; "3s" lets time pass, and "!write" holds that
// there is no such choice.
func (w *world) do(names string) {
	for name := range strings.FieldsSeq(names) {
		if wait, err := time.ParseDuration(name); err == nil {
			w.now = w.now.Add(wait)
			continue
		}
		name, none := strings.CutPrefix(name, "!")
		found := false
		for _, c := range w.choices() {
			if found = c.name == name; found && !none {
				c.do()
			}
			if found {
				break
			}
		}
		assert.Assert(w.t, found != none, "%s is a choice: %t", name, found)
		w.verify()
	}
}

func TestScenarios(t *testing.T) {
	// Each try is "instance key fingerprint attempt", begun in order.
	for _, c := range []struct {
		name, tries, steps, answers string
	}{
		{"alone", "0 k f 0", "begin read write done +1s tick0 write", "ran"},
		{"resend to another", "0 k f 0, 1 k f 0", "begin read write done +1s tick0 write begin read", "ran, replay k"},
		{"resend to the same", "0 k f 0, 0 k f 0", "begin read write done begin", "ran, replay k"},
		{"resend while it runs, then done", "0 k f 0, 0 k f 0", "begin read write begin read done", "ran, replay k"},
		{"both at once", "0 k f 0, 1 k f 0", "begin begin read read write write read done +1s tick0 write tick1 read", "ran, replay k"},
		{"owner dead before the call", "0 k f 0, 1 k f 0", "begin read write crash0 begin read 3s tick1", ", unknown in-progress"},
		{"owner dead long ago", "0 k f 0, 1 k f 0", "begin read write crash0 1m begin read 3s tick1", ", unknown uncertain"},
		{"paused owner wakes too late", "0 k f 0, 1 k f 0", "begin read 3s write", "not-run store-down, "},
		{"lost answer, found again", "0 k f 0", "begin read lost 1s tick0 read done", "ran"},
		{"late write, sent again", "0 k f 0", "begin read late 1s tick0 read write land done", "ran"},
		{"late write lands first", "0 k f 0", "begin read late 1s tick0 read land write read done", "ran"},
		{"late write of a refused call", "0 k f 1, 1 k f 2", "begin read late 3s tick0 land begin read 100ms tick0 read write tick1 read write done", "not-run store-down, ran"},
		{"late write, key taken by another", "0 k f 1, 1 k f 2, 0 k f 3", "begin read late 3s tick0 begin read write tick0 read !write done begin read 1s tick1 write tick0 read",
			"not-run store-down, ran, replay k"},
		{"stale read after a conflict", "0 k f 0, 1 l f 0", "begin begin read read write write stale !write 1s tick1 read write done done", "ran, ran"},
		{"abandoned while its intent is written", "0 k f 0, 1 k f 0", "begin read abandon write 1s tick0 write begin read", "abandoned, not-run refused"},
		{"abandoned before", "0 k f 0, 1 k f 0", "begin abandon read !write begin read write done", "abandoned, ran"},
		{"abandoned, write late", "0 k f 0, 1 k f 0", "begin read abandon late land 1s tick0 read write begin read", "abandoned, not-run refused"},
		{"store down, first attempt", "0 k f 1", "begin unread 3s tick0", "not-run store-down"},
		{"store down, unknown attempt", "0 k f 0", "begin unread 3s tick0", "unknown uncertain"},
		{"store down, later attempt", "0 k f 2", "begin unread 3s tick0", "unknown uncertain"},
		{"store down, first attempt twice", "0 k f 1, 0 k f 1", "begin unread begin 3s tick0", "unknown uncertain, not-run store-down"},
		{"refused, resent", "0 k f 0, 0 k f 0", "begin read write refused begin read", "ran not, not-run refused"},
		{"refused, later attempt", "0 k f 1, 0 k f 2", "begin read write refused begin write done", "ran not, ran"},
		{"stale memory of a refusal", "0 k f 1, 1 k f 1, 0 k f 2, 1 k f 0", "begin read write refused 1s tick0 write begin read begin write begin read done 1s tick0 write tick1 read",
			"ran not, not-run refused, ran, replay k"},
		{"key of another request", "0 k f 0, 0 k g 0", "begin read write done begin read", "ran, not-run key-reused"},
	} {
		t.Run(c.name, func(t *testing.T) {
			texts := strings.Split(c.tries, ", ")
			tries := make([]*try, 0, len(texts))
			for id, text := range texts {
				one := &try{call: journaler.Call{ID: uint64(id), FirstAttemptTime: start}}
				_, err := fmt.Sscan(text, &one.instance, &one.call.Key, &one.call.Fingerprint, &one.call.Attempt)
				assert.NilError(t, err)
				tries = append(tries, one)
			}
			w := newWorld(t, journaler.DefaultSettings(), 2, 9, tries...)
			w.do(c.steps)
			answers := make([]string, 0, len(tries))
			for _, one := range tries {
				text := one.answer
				if one.forwarded && !w.instances[one.instance].dead {
					text = map[bool]string{true: "ran", false: "ran not"}[one.ran]
				}
				answers = append(answers, text)
			}
			assert.Equal(t, strings.Join(answers, ", "), c.answers)
		})
	}
}

func TestRefusedAtOnce(t *testing.T) {
	settings := journaler.DefaultSettings()
	settings.Calls = 1
	for _, c := range []struct {
		call journaler.Call
		want answerer.Kind
	}{
		{journaler.Call{Key: "k"}, answerer.KindKeyExpired},
		{journaler.Call{Key: "k", Attempt: 1}, answerer.KindKeyExpired},
		{journaler.Call{Key: "k", FirstAttemptTime: start.Add(-2 * time.Hour), Attempt: 1}, answerer.KindKeyExpired},
		{journaler.Call{Key: "k", FirstAttemptTime: start.Add(time.Hour)}, answerer.KindUncertain},
		{journaler.Call{Key: "k", FirstAttemptTime: start.Add(time.Hour), Attempt: 1}, answerer.KindMalformed},
		{journaler.Call{Key: "018f8b1e-0000-7000-8000-000000000000", FirstAttemptTime: start}, answerer.KindKeyExpired},
	} {
		actions := journaler.New(settings, "a", nil).Begin(start, c.call)
		assert.Equal(t, len(actions), 1)
		assert.Equal(t, actions[0].(journaler.Refuse).Error.Kind, c.want, "%+v", c.call)
	}

	j := journaler.New(settings, "a", func() string { return "t" })
	assert.Equal(t, len(j.Begin(start, journaler.Call{ID: 1, Key: "k", FirstAttemptTime: start})), 1)
	refusal := j.Begin(start, journaler.Call{ID: 2, Key: "l", FirstAttemptTime: start, Attempt: 1})[0].(journaler.Refuse)
	assert.Equal(t, refusal.Error.Kind, answerer.KindLimited)
}

// TestForgotten shows that a key whose records gave way to newer ones is
// refused, also by an instance whose clock does not call it old.
func TestForgotten(t *testing.T) {
	settings := journaler.DefaultSettings()
	settings.Width = time.Minute
	settings.Retention = 10 * time.Minute
	round := time.Duration(13) * settings.Width // The ring's slots.
	tries := []*try{
		{call: journaler.Call{ID: 0, Key: "old", FirstAttemptTime: start, Attempt: 1}},
		{call: journaler.Call{ID: 1, Key: "new", FirstAttemptTime: start.Add(round), Attempt: 1}},
		{call: journaler.Call{ID: 2, Key: "old", FirstAttemptTime: start, Attempt: 2}, instance: 1},
	}
	w := newWorld(t, settings, 2, 0, tries...)
	w.instances[1].skew = -round
	w.do("begin read write done 1s tick0 write 13m begin write done 1s tick0 write begin read")
	assert.Equal(t, len(w.cells), 1)
	assert.Equal(t, tries[2].answer, "unknown key-expired")
}

func TestEmptySettingsWork(t *testing.T) {
	w := newWorld(t, journaler.Settings{HandOver: time.Second, ShardBytes: 4096}, 1, 0, &try{call: journaler.Call{Key: "k", FirstAttemptTime: start}})
	w.do("begin read write done 1s tick0 write")
	assert.Assert(t, w.tries[0].ran && !w.pendingWork())
}

func TestBounds(t *testing.T) {
	settings := journaler.DefaultSettings()
	settings.ShardBytes = 4 << 10
	settings.AnswerBytes = 1 << 10
	settings.Calm = 1e6
	w := newWorld(t, settings, 1, 0)
	refused := 0
	for id := range uint64(20) {
		one := &try{call: journaler.Call{ID: id, Key: strings.Repeat("k", 900) + fmt.Sprint(id), FirstAttemptTime: start, Attempt: 1}}
		w.tries = append(w.tries, one)
		w.do("begin")
		for w.pendingWork() {
			step(w)
		}
		if one.answer == "not-run limited" {
			refused++
			continue
		}
		w.do("done")
		for w.pendingWork() {
			step(w)
		}
		for _, c := range w.cells {
			assert.Assert(t, len(c.data) <= settings.ShardBytes, "%d bytes", len(c.data))
		}
	}
	assert.Assert(t, refused > 0 && refused < 15, "%d refused", refused)
}
