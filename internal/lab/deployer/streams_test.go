package deployer_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/lab/deployer"
	"github.com/oleanderpick/oleanderpick/internal/lab/emulator"
)

// start sends streams and waits until the engines have made tokens for all.
func start(t *testing.T, deployment *deployer.Deployment, count, tokens int, stream bool) (wait func() []reply) {
	t.Helper()
	replies := make([]reply, count)
	var ended sync.WaitGroup
	for k := range count {
		ended.Go(func() {
			replies[k] = chat(deployment.Routers[k%len(deployment.Routers)].URL, tokens, stream)
		})
	}
	waitFor(t, func() bool {
		started := 0
		for _, engine := range deployment.Engines {
			started += engine.Audit().Started
		}

		return started == count
	})

	return func() []reply {
		ended.Wait()

		return replies
	}
}

// TestSilentConnections: streams whose connections go silent for good are
// resumed on new ones, whole, and nothing is made twice.
func TestSilentConnections(t *testing.T) {
	const streams, tokens = 9, 150
	deployment := deploy(t, 2)
	wait := start(t, deployment, streams, tokens, true)
	for _, engine := range deployment.Engines {
		engine.SetFaults(emulator.Faults{Silent: true})
	}
	for _, got := range wait() {
		assertWhole(t, got, tokens, true)
		assert.Equal(t, strings.Count(got.body, "data: "), tokens+1)
	}
	made := 0
	for _, engine := range deployment.Engines {
		made += engine.Audit().GeneratedTokens
	}
	assert.Equal(t, made, streams*tokens)
}

// TestCrashOfAnEngine: callers that do not stream get their whole answer from
// another engine; those that stream get it whole or are told that it is not.
func TestCrashOfAnEngine(t *testing.T) {
	const streams, tokens = 6, 150
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprintf("stream %t", stream), func(t *testing.T) {
			deployment := deploy(t, 2)
			wait := start(t, deployment, streams, tokens, stream)
			deployment.Engines[0].SetFaults(emulator.Faults{Crash: time.Second})
			for _, got := range wait() {
				if stream && strings.Contains(got.body, "event: error") {
					assert.Assert(t, strings.Contains(got.body, `"outcome":"partial"`), got.body)
					assert.Assert(t, !strings.Contains(got.body, "[DONE]"))
					continue
				}
				assertWhole(t, got, tokens, stream)
			}
		})
	}
}

// TestPoisonRequest: a request that crashes each engine that runs it, and that
// its caller sends again and again, crashes two at the most; others are served.
func TestPoisonRequest(t *testing.T) {
	const poison = "arsenic"
	deployment := deploy(t, 2)
	for _, engine := range deployment.Engines {
		engine.SetFaults(emulator.Faults{Poison: poison})
	}
	body := fmt.Sprintf(`{"model":"general","messages":[{"role":"user","content":%q}],"max_tokens":10}`, poison)
	quarantined := 0
	for i := range 8 {
		got := call(http.MethodPost, deployment.Routers[i%2].URL+"/v1/chat/completions", body, nil)
		assert.NilError(t, got.err)
		assert.Assert(t, got.status >= http.StatusBadRequest, got.body)
		if strings.Contains(got.body, "quarantined") {
			quarantined++
		}
		sendTo(t, deployment, 2)
	}
	assert.Assert(t, quarantined > 0)
	crashes := 0
	for _, engine := range deployment.Engines {
		crashes += engine.Audit().Crashes
	}
	assert.Assert(t, crashes <= 2, "%d crashes", crashes)
}
