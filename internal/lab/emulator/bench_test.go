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

// BenchmarkLoop streams from twelve full engines, each with one loop.
func BenchmarkLoop(b *testing.B) {
	measure(b, func(name string) http.Handler {
		engine := emulator.New(emulator.Settings{Name: name, Slots: benchSlots, KVTokens: 10_000_000})
		b.Cleanup(engine.Close)

		return engine.Handler()
	})
}

// BenchmarkTimers streams from twelve naive engines, in which each sequence
// has a timer of its own and no knowledge of the batch.
func BenchmarkTimers(b *testing.B) {
	event := "id: 1\ndata: " + strings.Repeat("x", 150) + "\n\n"
	step := 12*time.Millisecond + benchSlots*400*time.Microsecond
	measure(b, func(string) http.Handler {
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

// measure streams over loopback to readers in the same process that only
// count events, and reports the tokens a second and the processor time of
// engines and readers together.
func measure(b *testing.B, engine func(name string) http.Handler) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchSlots}}
	var read atomic.Int64
	var readers sync.WaitGroup
	stop := make(chan struct{})
	for i := range benchEngines {
		server := httptest.NewServer(engine(fmt.Sprint(i)))
		b.Cleanup(server.Close)
		for range benchSlots {
			readers.Go(func() { count(client, server.URL, &read, stop) })
		}
	}

	var before, after syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &before))
	start, first := time.Now(), read.Load()
	b.ResetTimer()
	for read.Load()-first < int64(b.N) {
		time.Sleep(time.Millisecond)
	}
	b.StopTimer()
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &after))
	took, tokens := time.Since(start).Seconds(), float64(read.Load()-first)
	used := float64(after.Utime.Nano()+after.Stime.Nano()-before.Utime.Nano()-before.Stime.Nano()) / 1e9
	b.ReportMetric(tokens/took, "tokens/s")
	b.ReportMetric(used/took, "cores")
	b.ReportMetric(used/tokens*1e6, "µs-cpu/token")
	close(stop)
	readers.Wait()
	client.CloseIdleConnections()
}

// count counts events, which all end by an empty line.
func count(client *http.Client, base string, read *atomic.Int64, stop chan struct{}) {
	buffer := make([]byte, 16<<10)
	for {
		response, err := client.Post(base+"/v1/completions", "application/json",
			strings.NewReader(`{"prompt":"p","stream":true,"max_tokens":4000,"x_tokens":4000}`))
		if err != nil {
			return
		}
		for err == nil {
			var n int
			n, err = response.Body.Read(buffer)
			read.Add(int64(bytes.Count(buffer[:n], []byte("\n\n"))))
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
