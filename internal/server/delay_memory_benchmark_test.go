package server_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"
)

const chatRequestBody = `{"model":"general","stream":true,"max_tokens":64,"messages":[{"role":"user","content":"hi"}]}`

// BenchmarkAddedFirstTokenDelay reports how much later the first token arrives through a
// router than directly from the engine, at the 99th percentile. The requests are sent
// one after another.
func BenchmarkAddedFirstTokenDelay(b *testing.B) {
	engine := httptest.NewServer(newStreamingEngine(1, time.Microsecond))
	defer engine.Close()
	proxy := httptest.NewServer(newRouter(b, engine.URL, 2*streamCount))
	defer proxy.Close()
	direct, proxied := measureP99Delay(b, engine.URL), measureP99Delay(b, proxy.URL)
	b.ReportMetric(float64((proxied - direct).Microseconds()), "added-p99-us")
	b.ReportMetric(float64(direct.Microseconds()), "direct-p99-us")
}

// measureP99Delay returns the 99th percentile of the time to the first byte of an
// answer, from b.N consecutive requests.
func measureP99Delay(b *testing.B, baseURL string) time.Duration {
	b.Helper()
	delays := make([]time.Duration, 0, b.N)
	for range b.N {
		request, _ := http.NewRequest(http.MethodPost, baseURL+"/v1/chat/completions", strings.NewReader(chatRequestBody))
		request.Header.Set("Authorization", "Bearer secret")
		start := time.Now()
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.ReadFull(response.Body, make([]byte, 1))
		delays = append(delays, time.Since(start))
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	slices.Sort(delays)

	return delays[len(delays)*99/100]
}

// BenchmarkMemoryPerWaitingRequest reports the memory that a waiting request takes in
// the router, without that of net/http's connection and of the body that the caller
// sent.
func BenchmarkMemoryPerWaitingRequest(b *testing.B) {
	const requestCount = 2000
	// The engine has one slot and never answers, so that all other requests wait.
	stuckEngine := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer stuckEngine.CloseClientConnections()
	handler := newRouter(b, stuckEngine.URL, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	before := memoryInUse()
	finished := make(chan struct{}, requestCount)
	for i := range requestCount {
		request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(chatRequestBody)).WithContext(ctx)
		request.Header.Set("Authorization", "Bearer "+bearerToken(i%workspaceCount))
		go func() {
			handler.ServeHTTP(httptest.NewRecorder(), request)
			finished <- struct{}{}
		}()
	}
	time.Sleep(time.Second)
	b.ReportMetric(float64(memoryInUse()-before)/requestCount, "bytes/waiting")
	b.ReportMetric(float64(requestCount-len(finished)), "still-waiting")
	cancel()
}

// memoryInUse returns the heap and stack memory in use after a garbage collection, in
// bytes.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)

	return stats.HeapInuse + stats.StackInuse
}
