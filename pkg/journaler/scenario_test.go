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

// runSteps runs the named steps in order; see possibleSteps for their names. A
// duration such as "3s" advances the time, and a name after "!" requires that this
// step is not possible.
func (s *simulation) runSteps(steps string) {
	for name := range strings.FieldsSeq(steps) {
		if wait, err := time.ParseDuration(name); err == nil {
			s.now = s.now.Add(wait)
			continue
		}
		name, mustNotExist := strings.CutPrefix(name, "!")
		exists := false
		for _, step := range s.possibleSteps() {
			if exists = step.name == name; exists && !mustNotExist {
				step.run()
			}
			if exists {
				break
			}
		}
		assert.Assert(s.t, exists != mustNotExist, "step %s is possible: %t", name, exists)
		s.verifyGuarantees()
	}
}

// TestScenarioEndsInExpectedAnswers runs fixed orders of events and checks the
// answer of each attempt: the one that its caller got or, if the call was forwarded,
// whether it ran.
func TestScenarioEndsInExpectedAnswers(t *testing.T) {
	// Each attempt is "instance key fingerprint number"; the attempts begin in
	// this order.
	for _, scenario := range []struct {
		name, attempts, steps, answers string
	}{
		{"single attempt", "0 k f 0", "begin read write done +1s tick0 write", "ran"},
		{"duplicate at another instance", "0 k f 0, 1 k f 0", "begin read write done +1s tick0 write begin read", "ran, replay k"},
		{"duplicate at the same instance", "0 k f 0, 0 k f 0", "begin read write done begin", "ran, replay k"},
		{"duplicate while the call runs", "0 k f 0, 0 k f 0", "begin read write begin read done", "ran, replay k"},
		{"two attempts at the same time", "0 k f 0, 1 k f 0", "begin begin read read write write read done +1s tick0 write tick1 read", "ran, replay k"},
		{"instance crashed with the intent written", "0 k f 0, 1 k f 0", "begin read write crash0 begin read 3s tick1", ", unknown in-progress"},
		{"instance crashed long ago with the intent written", "0 k f 0, 1 k f 0", "begin read write crash0 1m begin read 3s tick1", ", unknown uncertain"},
		{"write answered after the forward timeout", "0 k f 0, 1 k f 0", "begin read 3s write", "not-run store-down, "},
		{"write took effect, answer lost", "0 k f 0", "begin read lost 1s tick0 read done", "ran"},
		{"delayed write repeated, then without effect", "0 k f 0", "begin read late 1s tick0 read write land done", "ran"},
		{"delayed write takes effect before it is repeated", "0 k f 0", "begin read late 1s tick0 read land write read done", "ran"},
		{"delayed write takes effect after the call was refused", "0 k f 1, 1 k f 2", "begin read late 3s tick0 land begin read 100ms tick0 read write tick1 read write done", "not-run store-down, ran"},
		{"delayed write, then a write of another attempt", "0 k f 1, 1 k f 2, 0 k f 3", "begin read late 3s tick0 begin read write tick0 read !write done begin read 1s tick1 write tick0 read",
			"not-run store-down, ran, replay k"},
		{"stale read after a conflict", "0 k f 0, 1 l f 0", "begin begin read read write write stale !write 1s tick1 read write done done", "ran, ran"},
		{"abandoned while its intent is written", "0 k f 0, 1 k f 0", "begin read abandon write 1s tick0 write begin read", "abandoned, not-run refused"},
		{"abandoned before its intent is written", "0 k f 0, 1 k f 0", "begin abandon read !write begin read write done", "abandoned, ran"},
		{"abandoned, delayed write takes effect", "0 k f 0, 1 k f 0", "begin read abandon late land 1s tick0 read write begin read", "abandoned, not-run refused"},
		{"store down, first attempt", "0 k f 1", "begin unread 3s tick0", "not-run store-down"},
		{"store down, unknown attempt", "0 k f 0", "begin unread 3s tick0", "unknown uncertain"},
		{"store down, later attempt", "0 k f 2", "begin unread 3s tick0", "unknown uncertain"},
		{"store down, first attempt twice", "0 k f 1, 0 k f 1", "begin unread begin 3s tick0", "unknown uncertain, not-run store-down"},
		{"refused by the endpoint, then repeated", "0 k f 0, 0 k f 0", "begin read write refused begin read", "did not run, not-run refused"},
		{"refused by the endpoint, then a later attempt", "0 k f 1, 0 k f 2", "begin read write refused begin write done", "did not run, ran"},
		{"refusal in memory out of date", "0 k f 1, 1 k f 1, 0 k f 2, 1 k f 0", "begin read write refused 1s tick0 write begin read begin write begin read done 1s tick0 write tick1 read",
			"did not run, not-run refused, ran, replay k"},
		{"key of another request", "0 k f 0, 0 k g 0", "begin read write done begin read", "ran, not-run key-reused"},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			attemptTexts := strings.Split(scenario.attempts, ", ")
			attempts := make([]*callerAttempt, 0, len(attemptTexts))
			for id, attemptText := range attemptTexts {
				attempt := &callerAttempt{call: journaler.Call{ID: uint64(id), FirstAttemptTime: startTime}}
				_, err := fmt.Sscan(attemptText, &attempt.instanceIndex, &attempt.call.Key, &attempt.call.Fingerprint, &attempt.call.Attempt)
				assert.NilError(t, err)
				attempts = append(attempts, attempt)
			}
			s := newSimulation(t, journaler.DefaultSettings(), 2, 9, attempts...)
			s.runSteps(scenario.steps)
			answers := make([]string, 0, len(attempts))
			for _, attempt := range attempts {
				attemptText := attempt.answer
				if attempt.forwarded && !s.instances[attempt.instanceIndex].crashed {
					attemptText = map[bool]string{true: "ran", false: "did not run"}[attempt.ran]
				}
				answers = append(answers, attemptText)
			}
			assert.Equal(t, strings.Join(answers, ", "), scenario.answers)
		})
	}
}

// TestBeginRefusesInvalidAndExcessCalls checks which calls are refused on arrival
// and with which error kind.
func TestBeginRefusesInvalidAndExcessCalls(t *testing.T) {
	settings := journaler.DefaultSettings()
	settings.MaxCalls = 1
	for _, testCase := range []struct {
		call journaler.Call
		want answerer.Kind
	}{
		{journaler.Call{Key: "k"}, answerer.KindKeyExpired},
		{journaler.Call{Key: "k", Attempt: 1}, answerer.KindKeyExpired},
		{journaler.Call{Key: "k", FirstAttemptTime: startTime.Add(-2 * time.Hour), Attempt: 1}, answerer.KindKeyExpired},
		{journaler.Call{Key: "k", FirstAttemptTime: startTime.Add(time.Hour)}, answerer.KindUncertain},
		{journaler.Call{Key: "k", FirstAttemptTime: startTime.Add(time.Hour), Attempt: 1}, answerer.KindMalformed},
		{journaler.Call{Key: "018f8b1e-0000-7000-8000-000000000000", FirstAttemptTime: startTime}, answerer.KindKeyExpired},
	} {
		actions := journaler.New(settings, "a", nil).Begin(startTime, testCase.call)
		assert.Equal(t, len(actions), 1)
		assert.Equal(t, actions[0].(journaler.Refuse).Error.Kind, testCase.want, "%+v", testCase.call)
	}

	j := journaler.New(settings, "a", func() string { return "t" })
	assert.Equal(t, len(j.Begin(startTime, journaler.Call{ID: 1, Key: "k", FirstAttemptTime: startTime})), 1)
	refusal := j.Begin(startTime, journaler.Call{ID: 2, Key: "l", FirstAttemptTime: startTime, Attempt: 1})[0].(journaler.Refuse)
	assert.Equal(t, refusal.Error.Kind, answerer.KindLimited)
}

// TestKeyOfAnOlderEpochIsRefused checks that a key whose records were dropped for a
// newer epoch does not run again, not even at an instance whose clock is so far
// behind that the key seems valid there.
func TestKeyOfAnOlderEpochIsRefused(t *testing.T) {
	settings := journaler.DefaultSettings()
	settings.EpochDuration = time.Minute
	settings.KeyTTL = 10 * time.Minute
	ringDuration := time.Duration(13) * settings.EpochDuration // 13 is the ringSize of these settings.
	attempts := []*callerAttempt{
		{call: journaler.Call{ID: 0, Key: "old", FirstAttemptTime: startTime, Attempt: 1}},
		{call: journaler.Call{ID: 1, Key: "new", FirstAttemptTime: startTime.Add(ringDuration), Attempt: 1}},
		{call: journaler.Call{ID: 2, Key: "old", FirstAttemptTime: startTime, Attempt: 2}, instanceIndex: 1},
	}
	s := newSimulation(t, settings, 2, 0, attempts...)
	s.instances[1].clockSkew = -ringDuration
	s.runSteps("begin read write done 1s tick0 write 13m begin write done 1s tick0 write begin read")
	assert.Equal(t, len(s.objects), 1)
	assert.Equal(t, attempts[2].answer, "unknown key-expired")
}

// TestUnsetSettingsAreRaisedToWorkingMinimums checks that a call can be run and
// recorded with nearly all settings zero.
func TestUnsetSettingsAreRaisedToWorkingMinimums(t *testing.T) {
	s := newSimulation(t, journaler.Settings{ForwardTimeout: time.Second, MaxShardBytes: 4096}, 1, 0, &callerAttempt{call: journaler.Call{Key: "k", FirstAttemptTime: startTime}})
	s.runSteps("begin read write done 1s tick0 write")
	assert.Assert(t, s.attempts[0].ran && !s.hasPendingWork())
}

// TestShardStaysWithinMaxShardBytes checks that a full shard refuses calls instead
// of growing beyond its limit.
func TestShardStaysWithinMaxShardBytes(t *testing.T) {
	settings := journaler.DefaultSettings()
	settings.MaxShardBytes = 4 << 10
	settings.MaxAnswerBytes = 1 << 10
	settings.MaxUnbatchedRate = 1e6
	s := newSimulation(t, settings, 1, 0)
	refusedCount := 0
	for id := range uint64(20) {
		attempt := &callerAttempt{call: journaler.Call{ID: id, Key: strings.Repeat("k", 900) + fmt.Sprint(id), FirstAttemptTime: startTime, Attempt: 1}}
		s.attempts = append(s.attempts, attempt)
		s.runSteps("begin")
		for s.hasPendingWork() {
			runNextStep(s)
		}
		if attempt.answer == "not-run limited" {
			refusedCount++
			continue
		}
		s.runSteps("done")
		for s.hasPendingWork() {
			runNextStep(s)
		}
		for _, object := range s.objects {
			assert.Assert(t, len(object.data) <= settings.MaxShardBytes, "%d bytes", len(object.data))
		}
	}
	assert.Assert(t, refusedCount > 0 && refusedCount < 15, "%d refused", refusedCount)
}
