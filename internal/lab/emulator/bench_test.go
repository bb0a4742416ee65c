package emulator_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/lab/emulator"
)

const (
	benchEngines = 12
	benchSlots   = 64
)

// BenchmarkLoop streams from benchEngines emulators with a full batch each. One loop
// per engine serves all of its sequences.
func BenchmarkLoop(b *testing.B) {
	measureStreaming(b, func(name string) http.Handler {
		engine := emulator.New(emulator.Settings{Name: name, Slots: benchSlots, KVTokens: 10_000_000})
		b.Cleanup(engine.Close)

		return engine.Handler()
	})
}

// BenchmarkTimers is the naive baseline: every sequence has a ticker of its own,
// whose interval doesn't depend on the batch.
func BenchmarkTimers(b *testing.B) {
	event := "id: 1\ndata: " + strings.Repeat("x", 150) + "\n\n"
	step := 12*time.Millisecond + benchSlots*400*time.Microsecond
	measureStreaming(b, func(string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			ticker := time.NewTicker(step)
			defer ticker.Stop()
			for range 4000 {
				select {
				case <-ticker.C:
				case <-r.Context().Done():
					return
				}
				_, _ = io.WriteString(w, event)
				_ = http.NewResponseController(w).Flush()
			}
		})
	})
}

// measureStreaming streams over loopback to readers in the same process that only
// count events. It reports the tokens per second and the processor time of engines
// and readers together.
func measureStreaming(b *testing.B, newEngine func(name string) http.Handler) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchSlots}}
	var eventCount atomic.Int64
	var readers sync.WaitGroup
	stop := make(chan struct{})
	for i := range benchEngines {
		server := httptest.NewServer(newEngine(fmt.Sprint(i)))
		b.Cleanup(server.Close)
		for range benchSlots {
			readers.Go(func() { countEvents(client, server.URL, &eventCount, stop) })
		}
	}

	var usageBefore, usageAfter syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usageBefore))
	start, firstCount := time.Now(), eventCount.Load()
	b.ResetTimer()
	for eventCount.Load()-firstCount < int64(b.N) {
		time.Sleep(time.Millisecond)
	}
	b.StopTimer()
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usageAfter))
	elapsedSeconds, tokenCount := time.Since(start).Seconds(), float64(eventCount.Load()-firstCount)
	cpuSeconds := float64(usageAfter.Utime.Nano()+usageAfter.Stime.Nano()-
		usageBefore.Utime.Nano()-usageBefore.Stime.Nano()) / 1e9
	b.ReportMetric(tokenCount/elapsedSeconds, "tokens/s")
	b.ReportMetric(cpuSeconds/elapsedSeconds, "cores")
	b.ReportMetric(cpuSeconds/tokenCount*1e6, "µs-cpu/token")
	close(stop)
	readers.Wait()
	client.CloseIdleConnections()
}

// countEvents streams one answer after another until stop and counts the events,
// each of which ends with an empty line.
func countEvents(client *http.Client, baseURL string, eventCount *atomic.Int64, stop chan struct{}) {
	buffer := make([]byte, 16<<10)
	for {
		response, err := client.Post(baseURL+"/v1/completions", "application/json",
			strings.NewReader(`{"prompt":"p","stream":true,"max_tokens":4000,"x_tokens":4000}`))
		if err != nil {
			return
		}
		for err == nil {
			var n int
			n, err = response.Body.Read(buffer)
			eventCount.Add(int64(bytes.Count(buffer[:n], []byte("\n\n"))))
			select {
			case <-stop:
				response.Body.Close()

				return
			default:
			}
		}
		response.Body.Close()
	}
}
