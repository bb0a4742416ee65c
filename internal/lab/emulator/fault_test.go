package emulator_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/lab/emulator"
)

type cacheEvents struct {
	Events []struct {
		Seq  uint64
		Kind string
	}
	Next uint64
}

func TestPrefixCacheSavesPrefillAndPublishesEvents(t *testing.T) {
	settings := emulator.Settings{CacheTokens: 640, CacheEventLag: time.Second, PrefillRate: 1000}
	runWithEngine(t, settings, func(f fixture) {
		timeToFirstToken := func(id string, promptBytes int) time.Duration {
			start := time.Now()
			_, _, _, _ = readAnswer(f.complete(id, 0, promptBytes, 2), 1)

			return time.Since(start)
		}
		uncachedTime := timeToFirstToken("a", 2048)
		assert.Assert(f, timeToFirstToken("b", 2048) < uncachedTime/4)
		assert.Equal(f, f.engine.Audit().CachedTokens, 511)

		var published cacheEvents
		f.getJSON("/v1/cache?after=0", &published)
		assert.Equal(f, len(published.Events), 0)
		time.Sleep(time.Second)
		f.getJSON("/v1/cache?after=0", &published)
		assert.Equal(f, len(published.Events), 8)
		f.engine.SetFaults(emulator.Faults{CacheGap: 0.5})
		timeToFirstToken("c", 16384)
		time.Sleep(time.Second)
		var afterLoss cacheEvents
		f.getJSON("/v1/cache?after=8", &afterLoss)
		assert.Assert(f, afterLoss.Next > 60, "too few events for 64 blocks in a cache of 10: next is %v", afterLoss.Next)
		assert.Assert(f, len(afterLoss.Events) > 0 && uint64(len(afterLoss.Events)) < afterLoss.Next-8)
	})
}

func TestLoadReportsArePublishedWithLag(t *testing.T) {
	runWithEngine(t, emulator.Settings{ReportLag: time.Second}, func(f fixture) {
		var load struct {
			Time    time.Time
			Running int
			Rate    float64
		}
		time.Sleep(2 * time.Second)
		f.complete("a", 0, 10, 1000)
		time.Sleep(500 * time.Millisecond)
		f.getJSON("/v1/load", &load)
		assert.Equal(f, load.Running, 0)
		time.Sleep(time.Second)
		f.getJSON("/v1/load", &load)
		assert.Equal(f, load.Running, 1)
		assert.Assert(f, load.Rate > 0)
		age := time.Since(load.Time)
		assert.Assert(f, age >= time.Second && age < 1100*time.Millisecond, "age %v", age)
		f.engine.SetFaults(emulator.Faults{StaleReports: true})
		time.Sleep(time.Minute)
		f.getJSON("/v1/load", &load)
		assert.Equal(f, load.Running, 1)
	})
}

func TestOrderLoadsModelAndOldFenceIsRefused(t *testing.T) {
	store := emulator.NewWeightStore(1)
	assert.Assert(t, store != nil)
	for _, checksFence := range []bool{true, false} {
		settings := emulator.Settings{ChecksFencingToken: checksFence, ModelLoadTime: 10 * time.Second, WeightStore: store, Model: "m1"}
		runWithEngine(t, settings, func(f fixture) {
			sendOrder := func(fence int, model string) int {
				body := fmt.Sprintf(`{"fence":%d,"model":%q,"holder":"h"}`, fence, model)

				return f.call(http.MethodPost, "/v1/orders", body, "", 0).StatusCode
			}
			answer := f.call(http.MethodPost, "/v1/completions", `{"model":"m1","prompt":"p","stream":true,"x_tokens":200}`, "a", 0)
			assert.Equal(f, sendOrder(5, "m2"), http.StatusOK)
			assert.Equal(f, f.complete("b", 0, 10, 10).Header.Get("X-Started"), "false")
			body, _ := io.ReadAll(answer.Body)
			assert.Assert(f, strings.Contains(string(body), "[DONE]"))
			var state struct {
				Fence    int
				Model    string
				Loading  bool
				Progress float64
			}
			time.Sleep(5 * time.Second)
			f.getJSON("/v1/orders", &state)
			assert.Assert(f, state.Loading && state.Progress > 0.3 && state.Progress < 0.7)
			time.Sleep(6 * time.Second)
			f.getJSON("/v1/orders", &state)
			assert.Assert(f, !state.Loading && state.Model == "m2" && state.Fence == 5)

			oldFenceStatus := map[bool]int{true: http.StatusConflict, false: http.StatusOK}[checksFence]
			assert.Equal(f, sendOrder(4, "m1"), oldFenceStatus)
			assert.Equal(f, sendOrder(6, "m2"), http.StatusOK)
			time.Sleep(time.Minute)
			f.getJSON("/v1/orders", &state)
			assert.Equal(f, state.Model, "m2")
		})
	}
}

func TestFaultsTakeEffectAndStreamsSurviveOutage(t *testing.T) {
	runWithEngine(t, emulator.Settings{OrphanTimeout: 5 * time.Second}, func(f fixture) {
		postFaults := func(body string) int {
			return f.call(http.MethodPost, "/faults", body, "", 0).StatusCode
		}
		assert.Equal(f, postFaults(`{"refuse":true,"reportLag":"2s"}`), http.StatusOK)
		assert.Equal(f, f.complete("a", 0, 10, 10).Header.Get("X-Started"), "false")
		assert.Equal(f, postFaults(`{"refuse":false,"lostAnswer":1}`), http.StatusOK)
		assert.Equal(f, f.engine.Faults(), emulator.Faults{LostAnswer: 1, ReportLag: 2 * time.Second})
		assert.Equal(f, postFaults(`{"refused":false}`), http.StatusBadRequest)

		_, err := f.client.Post("http://engine/v1/completions", "", strings.NewReader(`{"prompt":"p","stream":true,"x_tokens":1000}`))
		assert.Assert(f, err != nil)
		time.Sleep(time.Second)
		assert.Equal(f, f.engine.Audit().Started, 1)
		time.Sleep(6 * time.Second)
		assert.Equal(f, f.engine.Audit().Orphaned, 1)

		f.engine.SetFaults(emulator.Faults{})
		answer := f.complete("c", 0, 10, 200)
		f.engine.SetFaults(emulator.Faults{Outage: true})
		_, err = io.ReadAll(answer.Body)
		assert.Assert(f, err != nil)
		_, err = f.client.Get("http://engine/healthz")
		assert.Assert(f, err != nil)
		time.Sleep(time.Second)
		f.engine.SetFaults(emulator.Faults{})
		text, _, done, _ := readAnswer(f.call(http.MethodGet, "/v1/streams/c?offset=0", "", "", 0), 1000)
		assert.Assert(f, done && text == expectedAnswer(200))
	})
}
