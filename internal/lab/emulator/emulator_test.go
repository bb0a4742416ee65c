package emulator_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/lab/emulator"
	"github.com/oleanderpick/oleanderpick/internal/lab/piper"
)

// bench is one engine and a client in virtual time.
type bench struct {
	*testing.T
	engine *emulator.Emulator
	client *http.Client
}

func engine(t *testing.T, settings emulator.Settings, test func(bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		engine := emulator.New(settings)
		network := piper.New()
		network.Serve("engine", engine.Handler())
		client := network.Client()
		defer func() {
			engine.Close()
			client.CloseIdleConnections()
			network.Close()
			time.Sleep(time.Second) // The server ends a broken connection after a pause.
		}()
		test(bench{T: t, engine: engine, client: client})
	})
}

// ask sends a request for an answer of the given length.
func (b bench) ask(id string, priority, prompt, tokens int) *http.Response {
	b.Helper()
	body := fmt.Sprintf(`{"messages":[{"content":%q}],"max_tokens":2000,"stream":true,"x_tokens":%d}`,
		strings.Repeat("p", prompt), tokens)

	return b.do(http.MethodPost, "/v1/chat/completions", body, id, priority)
}

func (b bench) do(method, path, body, id string, priority int) *http.Response {
	b.Helper()
	request, err := http.NewRequestWithContext(b.Context(), method, "http://engine"+path, strings.NewReader(body))
	assert.NilError(b, err)
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Priority", fmt.Sprint(priority))
	response, err := b.client.Do(request)
	assert.NilError(b, err)
	b.Cleanup(func() { response.Body.Close() })

	return response
}

// read reads an answer's text until it ends or has so many chunks.
func read(response *http.Response, most int) (text string, chunks int, done bool, err error) {
	lines := bufio.NewScanner(response.Body)
	for chunks < most && lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, chunks, true, nil
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) == 0 {
			return text, chunks, false, fmt.Errorf("event %q: %w", data, err)
		}
		text += chunk.Choices[0].Delta.Content
		chunks++
	}

	return text, chunks, false, lines.Err()
}

func (b bench) get(path string, value any) {
	b.Helper()
	assert.NilError(b, json.NewDecoder(b.do(http.MethodGet, path, "", "", 0).Body).Decode(value))
}

func whole(tokens int) string {
	var text strings.Builder
	for i := range tokens {
		fmt.Fprintf(&text, " t%d", i)
	}

	return text.String()
}

func TestAnswerIsWholeAndResumes(t *testing.T) {
	engine(t, emulator.Settings{}, func(b bench) {
		text, _, done, err := read(b.ask("a", 0, 1000, 50), 1000)
		assert.NilError(b, err)
		assert.Assert(b, done)
		assert.Equal(b, text, whole(50))

		broken := b.ask("b", 0, 10, 50)
		first, chunks, _, _ := read(broken, 20)
		assert.NilError(b, broken.Body.Close())
		rest, _, done, _ := read(b.do(http.MethodGet, fmt.Sprintf("/v1/streams/b?offset=%d", chunks), "", "", 0), 1000)
		assert.Assert(b, done)
		assert.Equal(b, first+rest, whole(50))
		assert.Equal(b, b.ask("b", 0, 10, 50).StatusCode, http.StatusConflict)
		assert.Equal(b, b.engine.Audit().GeneratedTokens, 100)
	})
}

func TestCancelAndTombstone(t *testing.T) {
	engine(t, emulator.Settings{}, func(b bench) {
		answer := b.ask("a", 0, 10, 1000)
		_, _, _, _ = read(answer, 5)
		var state struct {
			State   string
			Started bool
		}
		assert.NilError(b, json.NewDecoder(b.do(http.MethodDelete, "/v1/streams/a", "", "", 0).Body).Decode(&state))
		assert.Equal(b, state.State, "cancelled")
		_, _, done, err := read(answer, 2000)
		assert.Assert(b, !done && err != nil)
		var load struct{ Running, Tokens int }
		b.get("/v1/load", &load)
		assert.Equal(b, load.Running+load.Tokens, 0)

		b.do(http.MethodDelete, "/v1/streams/late", "", "", 0)
		assert.Equal(b, b.ask("late", 0, 10, 5).StatusCode, http.StatusConflict)
		b.get("/v1/streams/late/state", &state)
		assert.Assert(b, !state.Started)
	})
}

func TestCrashBreaksAndForgets(t *testing.T) {
	engine(t, emulator.Settings{}, func(b bench) {
		answer := b.ask("a", 0, 10, 1000)
		_, _, _, _ = read(answer, 5)
		b.engine.SetFaults(emulator.Faults{Crash: time.Second, Poison: "bad"})
		_, _, done, err := read(answer, 2000)
		assert.Assert(b, !done && err != nil)
		_, err = b.client.Get("http://engine/healthz")
		assert.Assert(b, err != nil)
		time.Sleep(time.Second)
		assert.Equal(b, b.do(http.MethodGet, "/v1/streams/a?offset=5", "", "", 0).StatusCode, http.StatusNotFound)

		poisoned := b.do(http.MethodPost, "/v1/completions", `{"prompt":"bad","stream":true}`, "c", 0)
		_, err = io.ReadAll(poisoned.Body)
		assert.Assert(b, err != nil)
		assert.Equal(b, b.engine.Audit().Crashes, 2)
	})
}

func TestSilentConnectionAndSlowEngine(t *testing.T) {
	engine(t, emulator.Settings{}, func(b bench) {
		answer := b.ask("a", 0, 10, 100)
		_, got, _, _ := read(answer, 5)
		b.engine.SetFaults(emulator.Faults{Silent: true, Slow: 5})
		go func() {
			time.Sleep(time.Minute)
			answer.Body.Close()
		}()
		resumed := b.do(http.MethodGet, fmt.Sprintf("/v1/streams/a?offset=%d", got), "", "", 0)
		_, more, done, _ := read(resumed, 1000)
		assert.Assert(b, done)
		assert.Equal(b, got+more, 100)
		start := time.Now()
		_, _, done, _ = read(answer, 1000)
		assert.Assert(b, !done && time.Since(start) > 30*time.Second)
	})
}

func TestPriorityAndMemory(t *testing.T) {
	settings := emulator.Settings{Slots: 4, KVTokens: 3000}
	engine(t, settings, func(b bench) {
		ends := make(chan int)
		for i := range 8 {
			answer := b.ask(fmt.Sprint(i), 4-i/2, 40, 900)
			go func() {
				_, chunks, _, _ := read(answer, 1000)
				assert.Check(b, chunks == 900)
				ends <- i
			}()
		}
		order := make([]int, 0, 8)
		for range 8 {
			order = append(order, <-ends)
		}
		audit := b.engine.Audit()
		assert.Assert(b, audit.Preemptions > 0 && audit.RecomputedTokens > 0)
		assert.Equal(b, audit.GeneratedTokens, 8*900)
		assert.Equal(b, order[7], 1, "the lowest priority's last is served last: %v", order)
	})
}
