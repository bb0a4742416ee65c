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

type events struct {
	Events []struct {
		Seq  uint64
		Kind string
	}
	Next uint64
}

func TestPrefixCache(t *testing.T) {
	settings := emulator.Settings{CacheTokens: 640, CacheEventLag: time.Second, PrefillRate: 1000}
	engine(t, settings, func(b bench) {
		first := func(id string, prompt int) time.Duration {
			start := time.Now()
			_, _, _, _ = read(b.ask(id, 0, prompt, 2), 1)

			return time.Since(start)
		}
		cold := first("a", 2048)
		assert.Assert(b, first("b", 2048) < cold/4)
		assert.Equal(b, b.engine.Audit().Cached, 511)

		var got events
		b.get("/v1/cache?after=0", &got)
		assert.Equal(b, len(got.Events), 0)
		time.Sleep(time.Second)
		b.get("/v1/cache?after=0", &got)
		assert.Equal(b, len(got.Events), 8)
		b.engine.SetFaults(emulator.Faults{CacheGap: 0.5})
		first("c", 16384)
		time.Sleep(time.Second)
		var gapped events
		b.get("/v1/cache?after=8", &gapped)
		assert.Assert(b, gapped.Next > 60, "64 blocks do not fit: %v", gapped.Next)
		assert.Assert(b, len(gapped.Events) > 0 && uint64(len(gapped.Events)) < gapped.Next-8)
	})
}

func TestLoadReportsAreLate(t *testing.T) {
	engine(t, emulator.Settings{ReportLag: time.Second}, func(b bench) {
		var load struct {
			Time    time.Time
			Running int
			Rate    float64
		}
		time.Sleep(2 * time.Second)
		b.ask("a", 0, 10, 1000)
		time.Sleep(500 * time.Millisecond)
		b.get("/v1/load", &load)
		assert.Equal(b, load.Running, 0)
		time.Sleep(time.Second)
		b.get("/v1/load", &load)
		assert.Equal(b, load.Running, 1)
		assert.Assert(b, load.Rate > 0)
		age := time.Since(load.Time)
		assert.Assert(b, age >= time.Second && age < 1100*time.Millisecond, "age %v", age)
		b.engine.SetFaults(emulator.Faults{StaleReports: true})
		time.Sleep(time.Minute)
		b.get("/v1/load", &load)
		assert.Equal(b, load.Running, 1)
	})
}

func TestOrders(t *testing.T) {
	weights := emulator.NewWeights(1)
	assert.Assert(t, weights != nil)
	for _, fenced := range []bool{true, false} {
		settings := emulator.Settings{ChecksFencingToken: fenced, LoadTime: 10 * time.Second, Weights: weights, Model: "m1"}
		engine(t, settings, func(b bench) {
			order := func(fence int, model string) int {
				body := fmt.Sprintf(`{"fence":%d,"model":%q,"holder":"h"}`, fence, model)

				return b.do(http.MethodPost, "/v1/orders", body, "", 0).StatusCode
			}
			running := b.do(http.MethodPost, "/v1/completions", `{"model":"m1","prompt":"p","stream":true,"x_tokens":200}`, "a", 0)
			assert.Equal(b, order(5, "m2"), http.StatusOK)
			assert.Equal(b, b.ask("b", 0, 10, 10).Header.Get("X-Started"), "false")
			body, _ := io.ReadAll(running.Body)
			assert.Assert(b, strings.Contains(string(body), "[DONE]"))
			var state struct {
				Fence    int
				Model    string
				Loading  bool
				Progress float64
			}
			time.Sleep(5 * time.Second)
			b.get("/v1/orders", &state)
			assert.Assert(b, state.Loading && state.Progress > 0.3 && state.Progress < 0.7)
			time.Sleep(6 * time.Second)
			b.get("/v1/orders", &state)
			assert.Assert(b, !state.Loading && state.Model == "m2" && state.Fence == 5)

			stale := map[bool]int{true: http.StatusConflict, false: http.StatusOK}[fenced]
			assert.Equal(b, order(4, "m1"), stale)
			assert.Equal(b, order(6, "m2"), http.StatusOK)
			time.Sleep(time.Minute)
			b.get("/v1/orders", &state)
			assert.Equal(b, state.Model, "m2")
		})
	}
}

func TestFaultSwitches(t *testing.T) {
	engine(t, emulator.Settings{OrphanAfter: 5 * time.Second}, func(b bench) {
		post := func(body string) int {
			return b.do(http.MethodPost, "/faults", body, "", 0).StatusCode
		}
		assert.Equal(b, post(`{"refuse":true,"reportLag":"2s"}`), http.StatusOK)
		assert.Equal(b, b.ask("a", 0, 10, 10).Header.Get("X-Started"), "false")
		assert.Equal(b, post(`{"refuse":false,"lostAnswer":1}`), http.StatusOK)
		assert.Equal(b, b.engine.Faults(), emulator.Faults{LostAnswer: 1, ReportLag: 2 * time.Second})
		assert.Equal(b, post(`{"refused":false}`), http.StatusBadRequest)

		_, err := b.client.Post("http://engine/v1/completions", "", strings.NewReader(`{"prompt":"p","stream":true,"x_tokens":1000}`))
		assert.Assert(b, err != nil)
		time.Sleep(time.Second)
		assert.Equal(b, b.engine.Audit().Started, 1)
		time.Sleep(6 * time.Second)
		assert.Equal(b, b.engine.Audit().Orphaned, 1)

		b.engine.SetFaults(emulator.Faults{})
		answer := b.ask("c", 0, 10, 200)
		b.engine.SetFaults(emulator.Faults{Outage: true})
		_, err = io.ReadAll(answer.Body)
		assert.Assert(b, err != nil)
		_, err = b.client.Get("http://engine/healthz")
		assert.Assert(b, err != nil)
		time.Sleep(time.Second)
		b.engine.SetFaults(emulator.Faults{})
		text, _, done, _ := read(b.do(http.MethodGet, "/v1/streams/c?offset=0", "", "", 0), 1000)
		assert.Assert(b, done && text == whole(200))
	})
}
