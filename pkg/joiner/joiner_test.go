package joiner_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/joiner"
)

func init() { _ = flag.Set("rapid.seed", "20261203") }

var startTime = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

// formatActions returns the actions as text: an emitted chunk as its data, an
// error as its kind, a resumption as "resume CONNECTION@CHUNK"; for instance
// "a b done" or "resume 1@2".
func formatActions(actions []joiner.Action) string {
	words := make([]string, 0, len(actions))
	for _, action := range actions {
		switch action.Type {
		case joiner.Emit:
			words = append(words, string(action.Data))
		case joiner.Resume:
			words = append(words, fmt.Sprintf("resume %d@%d", action.Connection, action.FirstChunk))
		case joiner.Fail:
			words = append(words, action.ErrorKind.String())
		default:
			words = append(words, map[joiner.ActionType]string{joiner.Done: "done", joiner.Probe: "probe"}[action.Type])
		}
	}
	return strings.Join(words, " ")
}

// Each event is a call at a time in milliseconds, with the actions that it must
// return. Streams have the chunks "a" to "d".
func TestEventSequencesReturnExpectedActions(t *testing.T) {
	type event struct {
		milliseconds time.Duration
		call         func(j *joiner.Joiner, now time.Time) []joiner.Action
		wantActions  string
	}
	chunk := func(connection, number int) func(*joiner.Joiner, time.Time) []joiner.Action {
		return func(j *joiner.Joiner, now time.Time) []joiner.Action {
			return j.OnChunk(now, connection, number, []byte{'a' + byte(number)}, number == 3)
		}
	}
	probeReply := func(state joiner.StreamState, producedChunks int) func(*joiner.Joiner, time.Time) []joiner.Action {
		return func(j *joiner.Joiner, now time.Time) []joiner.Action {
			return j.OnProbeReply(now, state, state >= joiner.StateRunning, producedChunks)
		}
	}
	disconnect := func(connection int) func(*joiner.Joiner, time.Time) []joiner.Action {
		return func(j *joiner.Joiner, now time.Time) []joiner.Action { return j.OnDisconnect(now, connection) }
	}
	resumeReply := func(ok bool) func(*joiner.Joiner, time.Time) []joiner.Action {
		return func(j *joiner.Joiner, now time.Time) []joiner.Action { return j.OnResumeReply(now, 1, ok) }
	}
	tick := (*joiner.Joiner).Tick
	endpointLost, truncated := answerer.KindEndpointLost.String(), answerer.KindTruncated.String()
	for name, events := range map[string][]event{
		"in order":            {{0, chunk(0, 0), "a"}, {1, chunk(0, 1), "b"}, {2, chunk(0, 2), "c"}, {3, chunk(0, 3), "d done"}, {4, disconnect(0), ""}},
		"chunks out of order": {{0, chunk(0, 2), ""}, {1, chunk(0, 0), "a"}, {2, chunk(0, 0), ""}, {3, chunk(1, 3), ""}, {4, chunk(0, 1), "b c d done"}},
		"connection ends":     {{0, chunk(0, 0), "a"}, {1, disconnect(0), "resume 1@1"}, {2, disconnect(0), ""}, {3, resumeReply(true), ""}, {4, chunk(1, 1), "b"}},
		"silent connection":   {{0, chunk(0, 0), "a"}, {499, tick, ""}, {500, tick, "probe"}, {501, probeReply(joiner.StateRunning, 2), "resume 1@1"}, {502, chunk(0, 1), "b"}},
		"slow endpoint":       {{0, chunk(0, 0), "a"}, {500, tick, "probe"}, {501, probeReply(joiner.StateRunning, 1), ""}, {1500, tick, ""}, {1501, tick, "probe"}},
		"chunk arrives before the probe's answer":  {{0, chunk(0, 0), "a"}, {500, tick, "probe"}, {501, chunk(0, 1), "b"}, {502, probeReply(joiner.StateNotFound, 0), ""}, {503, chunk(0, 2), "c"}},
		"stream is queued":                         {{10000, tick, "probe"}, {10001, probeReply(joiner.StateQueued, 0), ""}, {20000, tick, ""}, {20001, tick, "probe"}},
		"stream is finished":                       {{0, chunk(0, 0), "a"}, {500, tick, "probe"}, {501, probeReply(joiner.StateFinished, 4), "resume 1@1"}},
		"stream is unknown before its first chunk": {{10000, tick, "probe"}, {10001, probeReply(joiner.StateNotFound, 0), endpointLost}, {10002, chunk(0, 0), ""}},
		"stream is canceled after its first chunk": {{0, chunk(0, 0), "a"}, {500, tick, "probe"}, {501, probeReply(joiner.StateCanceled, 1), truncated}},
		"resumption is refused":                    {{0, chunk(0, 0), "a"}, {1, disconnect(0), "resume 1@1"}, {2, resumeReply(false), "probe"}, {3, probeReply(joiner.StateNotFound, 0), truncated}},
		"resumption is not answered": {{0, chunk(0, 0), "a"}, {1, disconnect(0), "resume 1@1"}, {1001, tick, "probe"}, {2001, tick, "probe"}, {3001, tick, "probe"},
			{4001, tick, "probe"}, {5001, tick, "probe"}, {6001, tick, truncated}},
		"each connection ends": {{0, chunk(0, 0), "a"}, {1, disconnect(0), "resume 1@1"}, {2, disconnect(1), "resume 2@1"}, {3, disconnect(2), "resume 3@1"},
			{4, disconnect(3), "resume 4@1"}, {5, disconnect(4), "resume 5@1"}, {6, disconnect(5), truncated}},
	} {
		j := joiner.New(joiner.DefaultSettings())
		j.Tick(startTime)
		for _, event := range events {
			assert.Equal(t, formatActions(event.call(j, startTime.Add(event.milliseconds*time.Millisecond))), event.wantActions, "%s at %d ms", name, event.milliseconds)
		}
	}
}

func TestProbeDelayAdaptsToGapBetweenChunks(t *testing.T) {
	for gap, wantDelay := range map[time.Duration]time.Duration{
		10 * time.Millisecond:  500 * time.Millisecond,
		200 * time.Millisecond: 1600 * time.Millisecond,
		5 * time.Second:        10 * time.Second,
	} {
		j := joiner.New(joiner.DefaultSettings())
		now := startTime
		j.Tick(now)
		for number := range 100 {
			now = now.Add(gap)
			j.OnChunk(now, 0, number, []byte("x"), false)
		}
		assert.Equal(t, j.NextTick().Sub(now).Round(10*time.Millisecond), wantDelay)
	}
}

func TestEarlyChunksOverLimitAreDroppedAndAcceptedLater(t *testing.T) {
	settings := joiner.DefaultSettings()
	settings.MaxEarlyChunks = 2
	j := joiner.New(settings)
	for number := 3; number >= 0; number-- {
		wantActions := map[int]string{0: "a"}[number] // Chunk 1 is dropped: chunks 3 and 2 are stored.
		assert.Equal(t, formatActions(j.OnChunk(startTime, 0, number, []byte{'a' + byte(number)}, false)), wantActions)
	}
	assert.Equal(t, formatActions(j.OnChunk(startTime, 0, 1, []byte("b"), false)), "b c d")
}

// Compares the emitted chunks with the longest gapless prefix of all received
// chunks, for random chunks, disconnections, probes and resumptions.
func TestRandomEventsEmitSameChunksAsNaiveReassembly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := joiner.DefaultSettings()
		settings.MaxAttempts = 1000
		j := joiner.New(settings)
		now := startTime
		j.Tick(now)
		chunkCount := rapid.IntRange(1, 12).Draw(t, "size")
		received := map[int]bool{}
		emittedChunks, done := 0, false
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait")) * time.Millisecond)
			var actions []joiner.Action
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				actions = j.OnDisconnect(now, rapid.IntRange(0, 3).Draw(t, "connection"))
			case 1:
				actions = j.Tick(now)
			case 2:
				actions = j.OnProbeReply(now, joiner.StateRunning, true, chunkCount)
			case 3:
				actions = j.OnResumeReply(now, rapid.IntRange(0, 3).Draw(t, "connection"), rapid.Bool().Draw(t, "ok"))
			default:
				number := rapid.IntRange(0, chunkCount-1).Draw(t, "number")
				received[number] = true
				actions = j.OnChunk(now, rapid.IntRange(0, 3).Draw(t, "connection"), number, []byte{byte(number)}, number == chunkCount-1)
			}
			for _, action := range actions {
				assert.Assert(t, !done, "an action after the end")
				switch action.Type {
				case joiner.Emit:
					assert.Equal(t, int(action.Data[0]), emittedChunks)
					emittedChunks++
				case joiner.Resume:
					assert.Equal(t, action.FirstChunk, emittedChunks)
				default:
					done = action.Type == joiner.Done
				}
			}
			wantChunks := 0
			for received[wantChunks] {
				wantChunks++
			}
			assert.Equal(t, emittedChunks, wantChunks)
			assert.Equal(t, done, wantChunks == chunkCount)
		}
	})
}

// Runs 1,000 streams from an endpoint that stalls at times. One in ten
// connections stops delivering chunks without ending, which only probes can show.
func TestStreamsOverSilentConnectionsCompleteWithFewDuplicates(t *testing.T) {
	const streamCount, chunkCount, step = 1000, 200, 10 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	sentChunks, probes, resumptions := 0, 0, 0
	for range streamCount {
		j := joiner.New(joiner.DefaultSettings())
		j.Tick(startTime)
		nextToSend, connection, silentFrom := 0, 0, chunkCount+1
		drawSilentFrom := func() {
			silentFrom = chunkCount + 1
			if random.IntN(10) == 0 {
				silentFrom = nextToSend + random.IntN(chunkCount-nextToSend)
			}
		}
		drawSilentFrom()
		producedChunks, emittedChunks, isComplete, stalledTicks := 0.0, 0, false, 0
		for tick := 1; !isComplete; tick++ {
			now := startTime.Add(time.Duration(tick) * step)
			if tick == 10_000 {
				t.Fatal("a stream does not end within 10,000 ticks")
			}
			if stalledTicks--; stalledTicks <= 0 {
				producedChunks = min(producedChunks+0.3, chunkCount)
			}
			if random.IntN(1000) == 0 {
				stalledTicks = 100
			}
			var actions []joiner.Action
			for ; nextToSend < int(producedChunks); nextToSend++ {
				sentChunks++ // Also counts chunks that a silent connection loses.
				if nextToSend < silentFrom {
					actions = append(actions, j.OnChunk(now, connection, nextToSend, []byte{byte(nextToSend)}, nextToSend == chunkCount-1)...)
				}
			}
			if nextTick := j.NextTick(); !nextTick.IsZero() && !now.Before(nextTick) {
				actions = append(actions, j.Tick(now)...)
			}
			for i := 0; i < len(actions); i++ {
				switch action := actions[i]; action.Type {
				case joiner.Emit:
					if action.Data[0] != byte(emittedChunks) {
						t.Fatalf("emitted chunk %d instead of %d", action.Data[0], emittedChunks)
					}
					emittedChunks++
				case joiner.Probe:
					probes++
					state := map[bool]joiner.StreamState{true: joiner.StateFinished, false: joiner.StateRunning}[int(producedChunks) == chunkCount]
					actions = append(actions, j.OnProbeReply(now, state, producedChunks >= 1, int(producedChunks))...)
				case joiner.Resume:
					resumptions++
					nextToSend, connection = action.FirstChunk, action.Connection
					drawSilentFrom()
					actions = append(actions, j.OnResumeReply(now, connection, true)...)
				case joiner.Done:
					isComplete = true
				case joiner.Fail:
					t.Fatalf("a stream failed after %d chunks", emittedChunks)
				}
			}
		}
		assert.Equal(t, emittedChunks, chunkCount)
	}
	duplicateFraction := float64(sentChunks-streamCount*chunkCount) / (streamCount * chunkCount)
	t.Logf("%d probes, %d resumptions, a fraction of %.4f of the chunks sent twice", probes, resumptions, duplicateFraction)
	assert.Assert(t, resumptions >= streamCount/20 && duplicateFraction < 0.01)
}

func BenchmarkChunk(b *testing.B) {
	j := joiner.New(joiner.DefaultSettings())
	now, data, number := startTime, []byte("token"), 0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		j.OnChunk(now, 0, number, data, false)
		number++
	}
}
