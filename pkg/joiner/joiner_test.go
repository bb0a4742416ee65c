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

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

// text writes actions down, such as "a b done" or "resume 1@2".
func text(actions []joiner.Action) string {
	words := make([]string, 0, len(actions))
	for _, a := range actions {
		switch a.Type {
		case joiner.Emit:
			words = append(words, string(a.Data))
		case joiner.Resume:
			words = append(words, fmt.Sprintf("resume %d@%d", a.Connection, a.FirstChunk))
		case joiner.Fail:
			words = append(words, a.ErrorKind.String())
		default:
			words = append(words, map[joiner.ActionType]string{joiner.Done: "done", joiner.Probe: "probe"}[a.Type])
		}
	}
	return strings.Join(words, " ")
}

func TestScripts(t *testing.T) {
	type step struct {
		at   time.Duration
		do   func(j *joiner.Joiner, now time.Time) []joiner.Action
		want string
	}
	chunk := func(connection, number int) func(*joiner.Joiner, time.Time) []joiner.Action {
		return func(j *joiner.Joiner, now time.Time) []joiner.Action {
			return j.OnChunk(now, connection, number, []byte{'a' + byte(number)}, number == 3)
		}
	}
	probed := func(state joiner.StreamState, made int) func(*joiner.Joiner, time.Time) []joiner.Action {
		return func(j *joiner.Joiner, now time.Time) []joiner.Action {
			return j.OnProbeReply(now, state, state >= joiner.StateRunning, made)
		}
	}
	broken := func(connection int) func(*joiner.Joiner, time.Time) []joiner.Action {
		return func(j *joiner.Joiner, now time.Time) []joiner.Action { return j.OnDisconnect(now, connection) }
	}
	resumed := func(ok bool) func(*joiner.Joiner, time.Time) []joiner.Action {
		return func(j *joiner.Joiner, now time.Time) []joiner.Action { return j.OnResumeReply(now, 1, ok) }
	}
	tick := (*joiner.Joiner).Tick
	lost, truncated := answerer.KindEndpointLost.String(), answerer.KindTruncated.String()
	for name, steps := range map[string][]step{
		"in order":       {{0, chunk(0, 0), "a"}, {1, chunk(0, 1), "b"}, {2, chunk(0, 2), "c"}, {3, chunk(0, 3), "d done"}, {4, broken(0), ""}},
		"early and late": {{0, chunk(0, 2), ""}, {1, chunk(0, 0), "a"}, {2, chunk(0, 0), ""}, {3, chunk(1, 3), ""}, {4, chunk(0, 1), "b c d done"}},
		"broken":         {{0, chunk(0, 0), "a"}, {1, broken(0), "resume 1@1"}, {2, broken(0), ""}, {3, resumed(true), ""}, {4, chunk(1, 1), "b"}},
		"silent":         {{0, chunk(0, 0), "a"}, {499, tick, ""}, {500, tick, "probe"}, {501, probed(joiner.StateRunning, 2), "resume 1@1"}, {502, chunk(0, 1), "b"}},
		"slow":           {{0, chunk(0, 0), "a"}, {500, tick, "probe"}, {501, probed(joiner.StateRunning, 1), ""}, {1500, tick, ""}, {1501, tick, "probe"}},
		"slow, then on":  {{0, chunk(0, 0), "a"}, {500, tick, "probe"}, {501, chunk(0, 1), "b"}, {502, probed(joiner.StateNotFound, 0), ""}, {503, chunk(0, 2), "c"}},
		"queued":         {{10000, tick, "probe"}, {10001, probed(joiner.StateQueued, 0), ""}, {20000, tick, ""}, {20001, tick, "probe"}},
		"finished":       {{0, chunk(0, 0), "a"}, {500, tick, "probe"}, {501, probed(joiner.StateFinished, 4), "resume 1@1"}},
		"endpoint lost":  {{10000, tick, "probe"}, {10001, probed(joiner.StateNotFound, 0), lost}, {10002, chunk(0, 0), ""}},
		"stream lost":    {{0, chunk(0, 0), "a"}, {500, tick, "probe"}, {501, probed(joiner.StateCanceled, 1), truncated}},
		"no resumption":  {{0, chunk(0, 0), "a"}, {1, broken(0), "resume 1@1"}, {2, resumed(false), "probe"}, {3, probed(joiner.StateNotFound, 0), truncated}},
		"resumption silent": {{0, chunk(0, 0), "a"}, {1, broken(0), "resume 1@1"}, {1001, tick, "probe"}, {2001, tick, "probe"}, {3001, tick, "probe"},
			{4001, tick, "probe"}, {5001, tick, "probe"}, {6001, tick, truncated}},
		"breaks for ever": {{0, chunk(0, 0), "a"}, {1, broken(0), "resume 1@1"}, {2, broken(1), "resume 2@1"}, {3, broken(2), "resume 3@1"},
			{4, broken(3), "resume 4@1"}, {5, broken(4), "resume 5@1"}, {6, broken(5), truncated}},
	} {
		j := joiner.New(joiner.DefaultSettings())
		j.Tick(start)
		for _, s := range steps {
			assert.Equal(t, text(s.do(j, start.Add(s.at*time.Millisecond))), s.want, "%s at %d", name, s.at)
		}
	}
}

func TestSilenceFollowsTheStream(t *testing.T) {
	for gap, want := range map[time.Duration]time.Duration{
		10 * time.Millisecond:  500 * time.Millisecond,
		200 * time.Millisecond: 1600 * time.Millisecond,
		5 * time.Second:        10 * time.Second,
	} {
		j := joiner.New(joiner.DefaultSettings())
		now := start
		j.Tick(now)
		for number := range 100 {
			now = now.Add(gap)
			j.OnChunk(now, 0, number, []byte("x"), false)
		}
		assert.Equal(t, j.NextTick().Sub(now).Round(10*time.Millisecond), want)
	}
}

func TestEarlyChunksAreBounded(t *testing.T) {
	settings := joiner.DefaultSettings()
	settings.Ahead = 2
	j := joiner.New(settings)
	for number := 3; number >= 0; number-- {
		want := map[int]string{0: "a"}[number] // Chunk 1 came over the bound.
		assert.Equal(t, text(j.OnChunk(start, 0, number, []byte{'a' + byte(number)}, false)), want)
	}
	assert.Equal(t, text(j.OnChunk(start, 0, 1, []byte("b"), false)), "b c d")
}

// TestLikeNaive compares what is emitted with the longest gapless run of all
// chunks that came, whatever connections do.
func TestLikeNaive(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		settings := joiner.DefaultSettings()
		settings.Tries = 1000
		j := joiner.New(settings)
		now := start
		j.Tick(now)
		size := rapid.IntRange(1, 12).Draw(r, "size")
		came := map[int]bool{}
		out, done := 0, false
		for range rapid.IntRange(0, 60).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(r, "wait")) * time.Millisecond)
			var actions []joiner.Action
			switch rapid.IntRange(0, 5).Draw(r, "step") {
			case 0:
				actions = j.OnDisconnect(now, rapid.IntRange(0, 3).Draw(r, "connection"))
			case 1:
				actions = j.Tick(now)
			case 2:
				actions = j.OnProbeReply(now, joiner.StateRunning, true, size)
			case 3:
				actions = j.OnResumeReply(now, rapid.IntRange(0, 3).Draw(r, "connection"), rapid.Bool().Draw(r, "ok"))
			default:
				number := rapid.IntRange(0, size-1).Draw(r, "number")
				came[number] = true
				actions = j.OnChunk(now, rapid.IntRange(0, 3).Draw(r, "connection"), number, []byte{byte(number)}, number == size-1)
			}
			for _, a := range actions {
				assert.Assert(r, !done, "an action after the end")
				switch a.Type {
				case joiner.Emit:
					assert.Equal(r, int(a.Data[0]), out)
					out++
				case joiner.Resume:
					assert.Equal(r, a.FirstChunk, out)
				default:
					done = a.Type == joiner.Done
				}
			}
			want := 0
			for came[want] {
				want++
			}
			assert.Equal(r, out, want)
			assert.Equal(r, done, want == size)
		}
	})
}

// TestSilentConnections runs 1,000 streams, a tenth of whose connections go
// silent for good, over an endpoint that stalls at times.
func TestSilentConnections(t *testing.T) {
	const streams, size, step = 1000, 200, 10 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	sent, probes, resumptions := 0, 0, 0
	for range streams {
		j := joiner.New(joiner.DefaultSettings())
		j.Tick(start)
		from, connection, silentAt := 0, 0, size+1
		draw := func() {
			silentAt = size + 1
			if random.IntN(10) == 0 {
				silentAt = from + random.IntN(size-from)
			}
		}
		draw()
		made, out, whole, stalled := 0.0, 0, false, 0
		for tick := 1; !whole; tick++ {
			now := start.Add(time.Duration(tick) * step)
			if tick == 10_000 {
				t.Fatal("a stream does not end")
			}
			if stalled--; stalled <= 0 {
				made = min(made+0.3, size)
			}
			if random.IntN(1000) == 0 {
				stalled = 100
			}
			var actions []joiner.Action
			for ; from < int(made); from++ {
				sent++ // Also into the silence.
				if from < silentAt {
					actions = append(actions, j.OnChunk(now, connection, from, []byte{byte(from)}, from == size-1)...)
				}
			}
			if next := j.NextTick(); !next.IsZero() && !now.Before(next) {
				actions = append(actions, j.Tick(now)...)
			}
			for k := 0; k < len(actions); k++ {
				switch a := actions[k]; a.Type {
				case joiner.Emit:
					if a.Data[0] != byte(out) {
						t.Fatalf("chunk %d instead of %d", a.Data[0], out)
					}
					out++
				case joiner.Probe:
					probes++
					state := map[bool]joiner.StreamState{true: joiner.StateFinished, false: joiner.StateRunning}[int(made) == size]
					actions = append(actions, j.OnProbeReply(now, state, made >= 1, int(made))...)
				case joiner.Resume:
					resumptions++
					from, connection = a.FirstChunk, a.Connection
					draw()
					actions = append(actions, j.OnResumeReply(now, connection, true)...)
				case joiner.Done:
					whole = true
				case joiner.Fail:
					t.Fatalf("a stream failed after %d chunks", out)
				}
			}
		}
		assert.Equal(t, out, size)
	}
	wasted := float64(sent-streams*size) / (streams * size)
	t.Logf("%d probes, %d resumptions, %.4f of the chunks sent twice", probes, resumptions, wasted)
	assert.Assert(t, resumptions >= streams/20 && wasted < 0.01)
}

func BenchmarkChunk(b *testing.B) {
	j := joiner.New(joiner.DefaultSettings())
	now, data, number := start, []byte("token"), 0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		j.OnChunk(now, 0, number, data, false)
		number++
	}
}
