package server_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/controller"
	"github.com/oleanderpick/oleanderpick/internal/forwarder"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/internal/resolver"
	"github.com/oleanderpick/oleanderpick/internal/server"
	"github.com/oleanderpick/oleanderpick/pkg/declarer"
	"github.com/oleanderpick/oleanderpick/pkg/joiner"
	"github.com/oleanderpick/oleanderpick/pkg/tracker"
)

const (
	streamCount   = 256
	tokenInterval = 5 * time.Millisecond
	// workspaceCount is the number of workspaces among which the requests are spread,
	// since the waiting requests of one workspace are limited.
	workspaceCount = 16
)

// newStreamingEngine returns an engine that streams tokenCount tokens at a fixed
// interval, each as one event that is flushed at once.
func newStreamingEngine(tokenCount int, interval time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		flusher := http.NewResponseController(w)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := range tokenCount {
			<-ticker.C
			fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"x\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\" t%d\"}}]}\n\n", i, i)
			_ = flusher.Flush()
		}
		fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", tokenCount)
	})
}

// newMinimalProxy returns a proxy that does as little as possible, for comparison: it
// copies and flushes what it reads.
func newMinimalProxy(engineURL string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streamCount}}

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		request, _ := http.NewRequest(r.Method, engineURL+r.URL.Path, strings.NewReader(string(body)))
		response, err := client.Do(request)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)

			return
		}
		defer response.Body.Close()
		w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
		flusher := http.NewResponseController(w)
		buffer := make([]byte, 32<<10)
		for {
			n, err := response.Body.Read(buffer)
			_, _ = w.Write(buffer[:n])
			_ = flusher.Flush()
			if err != nil {
				return
			}
		}
	})
}

// newRouter returns a router with one engine, without peers or a platform.
func newRouter(b *testing.B, engineURL string, slots int) http.Handler {
	counters := meter.New()
	control := controller.New(controller.Settings{
		Self: tracker.Instance{Name: "entry-1", DataCentre: "north"}, MaxWaiting: 4096, ExchangeInterval: 100 * time.Millisecond, Seed: 1,
	}, hclog.NewNullLogger(), counters)
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go func() { _ = control.Serve(ctx) }()
	resources := newTestResolver().Resources()
	resources.Endpoints = map[string]declarer.Endpoint{"engine": {
		Name: "engine", Service: "pool", Address: engineURL, DataCentre: "north", Models: []string{"general"}, Slots: slots, TokenCapacity: 1 << 30,
	}}
	for i := range workspaceCount {
		sum := sha256.Sum256([]byte(bearerToken(i)))
		name := strconv.Itoa(i)
		resources.Workspaces[name] = declarer.Workspace{Name: name, BearerTokenDigests: []string{hex.EncodeToString(sum[:])}, Classes: []string{"chat"}}
	}
	resolved := resolver.New(2, resources)
	control.Configure(resolved.ControllerConfiguration())
	settings := server.Settings{StreamIDPrefix: "entry-1", MaxBodyBytes: 1000}

	return server.New(settings, fixedResolverProvider{resolved}, control, forwarder.New(joiner.DefaultSettings()), nil, counters, hclog.NewNullLogger())
}

// bearerToken returns the bearer token of a workspace, given its number.
func bearerToken(workspace int) string {
	return "secret-" + strconv.Itoa(workspace)
}

// BenchmarkCPUTimePerToken reports the CPU time that a proxy takes for one token: the
// CPU time of client, proxy and engine less that of client and engine without a proxy.
// The router is compared with a minimal proxy; both use the same engine.
func BenchmarkCPUTimePerToken(b *testing.B) {
	tokensPerStream := max(20, b.N/streamCount)
	engine := httptest.NewServer(newStreamingEngine(tokensPerStream, tokenInterval))
	defer engine.Close()
	direct := measureCPUTime(b, engine.URL, tokensPerStream)

	for name, handler := range map[string]http.Handler{"bare": newMinimalProxy(engine.URL), "router": newRouter(b, engine.URL, 2*streamCount)} {
		proxy := httptest.NewServer(handler)
		cpuTime := measureCPUTime(b, proxy.URL, tokensPerStream) - direct
		proxy.Close()
		b.ReportMetric(float64(cpuTime.Nanoseconds())/float64(tokensPerStream*streamCount), name+"-ns/token")
	}
	b.ReportMetric(float64(direct.Nanoseconds())/float64(tokensPerStream*streamCount), "direct-ns/token")
}

// measureCPUTime returns the CPU time that the process takes for streamCount concurrent
// streams, each read to its end.
func measureCPUTime(b *testing.B, baseURL string, tokensPerStream int) time.Duration {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streamCount}}
	defer client.CloseIdleConnections()
	before := processCPUTime()
	var streams sync.WaitGroup
	for range streamCount {
		streams.Go(func() {
			body := `{"model":"general","stream":true,"max_tokens":100000,"messages":[{"role":"user","content":"hi"}]}`
			request, _ := http.NewRequest(http.MethodPost, baseURL+"/v1/chat/completions", strings.NewReader(body))
			request.Header.Set("Authorization", "Bearer secret")
			response, err := client.Do(request)
			if err != nil {
				b.Error(err)

				return
			}
			defer response.Body.Close()
			answer, _ := io.ReadAll(response.Body)
			if lastToken := fmt.Sprintf(" t%d\"", tokensPerStream-1); !strings.Contains(string(answer), lastToken) {
				b.Errorf("no %s in an answer of %d bytes: %.200s", lastToken, len(answer), answer)
			}
		})
	}
	streams.Wait()

	return processCPUTime() - before
}

// processCPUTime returns the user and system CPU time used by the process so far.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)

	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
