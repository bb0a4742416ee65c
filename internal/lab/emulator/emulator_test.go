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

// fixture is one engine and an HTTP client of it, in virtual time.
type fixture struct {
	*testing.T
	engine *emulator.Emulator
	client *http.Client
}

// runWithEngine runs a test against a new engine in virtual time.
func runWithEngine(t *testing.T, settings emulator.Settings, test func(fixture)) {
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
			time.Sleep(time.Second) // The server closes a broken connection after a delay.
		}()
		test(fixture{T: t, engine: engine, client: client})
	})
}

// complete sends a completion request for an answer of the given length.
func (f fixture) complete(id string, priority, promptBytes, answerTokens int) *http.Response {
	f.Helper()
	body := fmt.Sprintf(`{"messages":[{"content":%q}],"max_tokens":2000,"stream":true,"x_tokens":%d}`,
		strings.Repeat("p", promptBytes), answerTokens)

	return f.call(http.MethodPost, "/v1/chat/completions", body, id, priority)
}

func (f fixture) call(method, path, body, id string, priority int) *http.Response {
	f.Helper()
	request, err := http.NewRequestWithContext(f.Context(), method, "http://engine"+path, strings.NewReader(body))
	assert.NilError(f, err)
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Priority", fmt.Sprint(priority))
	response, err := f.client.Do(request)
	assert.NilError(f, err)
	f.Cleanup(func() { response.Body.Close() })

	return response
}

// readAnswer reads the text of an answer until it ends or maxChunks were read.
func readAnswer(response *http.Response, maxChunks int) (text string, chunks int, done bool, err error) {
	lines := bufio.NewScanner(response.Body)
	for chunks < maxChunks && lines.Scan() {
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

func (f fixture) getJSON(path string, value any) {
	f.Helper()
	assert.NilError(f, json.NewDecoder(f.call(http.MethodGet, path, "", "", 0).Body).Decode(value))
}

// expectedAnswer returns the text of a complete answer with so many tokens.
func expectedAnswer(tokens int) string {
	var text strings.Builder
	for i := range tokens {
		fmt.Fprintf(&text, " t%d", i)
	}

	return text.String()
}

func TestStreamIsCompleteAndResumesAtOffset(t *testing.T) {
	runWithEngine(t, emulator.Settings{}, func(f fixture) {
		text, _, done, err := readAnswer(f.complete("a", 0, 1000, 50), 1000)
		assert.NilError(f, err)
		assert.Assert(f, done)
		assert.Equal(f, text, expectedAnswer(50))

		broken := f.complete("b", 0, 10, 50)
		first, chunks, _, _ := readAnswer(broken, 20)
		assert.NilError(f, broken.Body.Close())
		rest, _, done, _ := readAnswer(f.call(http.MethodGet, fmt.Sprintf("/v1/streams/b?offset=%d", chunks), "", "", 0), 1000)
		assert.Assert(f, done)
		assert.Equal(f, first+rest, expectedAnswer(50))
		assert.Equal(f, f.complete("b", 0, 10, 50).StatusCode, http.StatusConflict)
		assert.Equal(f, f.engine.Audit().GeneratedTokens, 100)
	})
}

func TestCancelEndsStreamAndRefusesItsID(t *testing.T) {
	runWithEngine(t, emulator.Settings{}, func(f fixture) {
		answer := f.complete("a", 0, 10, 1000)
		_, _, _, _ = readAnswer(answer, 5)
		var state struct {
			State   string
			Started bool
		}
		assert.NilError(f, json.NewDecoder(f.call(http.MethodDelete, "/v1/streams/a", "", "", 0).Body).Decode(&state))
		assert.Equal(f, state.State, "cancelled")
		_, _, done, err := readAnswer(answer, 2000)
		assert.Assert(f, !done && err != nil)
		var load struct{ Running, Tokens int }
		f.getJSON("/v1/load", &load)
		assert.Equal(f, load.Running+load.Tokens, 0)

		f.call(http.MethodDelete, "/v1/streams/late", "", "", 0)
		assert.Equal(f, f.complete("late", 0, 10, 5).StatusCode, http.StatusConflict)
		f.getJSON("/v1/streams/late/state", &state)
		assert.Assert(f, !state.Started)
	})
}

func TestCrashBreaksConnectionsAndLosesStreams(t *testing.T) {
	runWithEngine(t, emulator.Settings{}, func(f fixture) {
		answer := f.complete("a", 0, 10, 1000)
		_, _, _, _ = readAnswer(answer, 5)
		f.engine.SetFaults(emulator.Faults{Crash: time.Second, Poison: "bad"})
		_, _, done, err := readAnswer(answer, 2000)
		assert.Assert(f, !done && err != nil)
		_, err = f.client.Get("http://engine/healthz")
		assert.Assert(f, err != nil)
		time.Sleep(time.Second)
		assert.Equal(f, f.call(http.MethodGet, "/v1/streams/a?offset=5", "", "", 0).StatusCode, http.StatusNotFound)

		poisoned := f.call(http.MethodPost, "/v1/completions", `{"prompt":"bad","stream":true}`, "c", 0)
		_, err = io.ReadAll(poisoned.Body)
		assert.Assert(f, err != nil)
		assert.Equal(f, f.engine.Audit().Crashes, 2)
	})
}

func TestStreamResumesWhileItsOldConnectionIsSilent(t *testing.T) {
	runWithEngine(t, emulator.Settings{}, func(f fixture) {
		answer := f.complete("a", 0, 10, 100)
		_, received, _, _ := readAnswer(answer, 5)
		f.engine.SetFaults(emulator.Faults{Silent: true, Slow: 5})
		go func() {
			time.Sleep(time.Minute)
			answer.Body.Close()
		}()
		resumed := f.call(http.MethodGet, fmt.Sprintf("/v1/streams/a?offset=%d", received), "", "", 0)
		_, resumedChunks, done, _ := readAnswer(resumed, 1000)
		assert.Assert(f, done)
		assert.Equal(f, received+resumedChunks, 100)
		start := time.Now()
		_, _, done, _ = readAnswer(answer, 1000)
		assert.Assert(f, !done && time.Since(start) > 30*time.Second)
	})
}

func TestFullMemoryPreemptsLowestPriority(t *testing.T) {
	settings := emulator.Settings{Slots: 4, KVTokens: 3000}
	runWithEngine(t, settings, func(f fixture) {
		finished := make(chan int)
		for i := range 8 {
			answer := f.complete(fmt.Sprint(i), 4-i/2, 40, 900)
			go func() {
				_, chunks, _, _ := readAnswer(answer, 1000)
				assert.Check(f, chunks == 900)
				finished <- i
			}()
		}
		finishOrder := make([]int, 0, 8)
		for range 8 {
			finishOrder = append(finishOrder, <-finished)
		}
		audit := f.engine.Audit()
		assert.Assert(f, audit.Preemptions > 0 && audit.RecomputedTokens > 0)
		assert.Equal(f, audit.GeneratedTokens, 8*900)
		assert.Equal(f, finishOrder[7], 1, "the lowest priority's last is served last: %v", finishOrder)
	})
}
