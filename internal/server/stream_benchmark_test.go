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
	benchStreams = 256
	benchGap     = 5 * time.Millisecond
	// benchWorkspaces share the waiting, since one may not wait with all.
	benchWorkspaces = 16
)

// engine streams count tokens, one event each, flushed each, at a steady pace.
func engine(count int, gap time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		flusher := http.NewResponseController(w)
		ticker := time.NewTicker(gap)
		defer ticker.Stop()
		for i := range count {
			<-ticker.C
			fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"x\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\" t%d\"}}]}\n\n", i, i)
			_ = flusher.Flush()
		}
		fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", count)
	})
}

// bare is the least that a proxy can do: it copies and flushes what it reads.
func bare(target string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchStreams}}

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		request, _ := http.NewRequest(r.Method, target+r.URL.Path, strings.NewReader(string(body)))
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

// router is a whole router but for its peers and the platform.
func router(b *testing.B, target string, slots int) http.Handler {
	counters := meter.New()
	control := controller.New(controller.Settings{
		Self: tracker.Instance{Name: "entry-1", DataCentre: "north"}, MaxWaiting: 4096, ExchangeInterval: 100 * time.Millisecond, Seed: 1,
	}, hclog.NewNullLogger(), counters)
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go func() { _ = control.Serve(ctx) }()
	set := known().Resources()
	set.Endpoints = map[string]declarer.Endpoint{"engine": {
		Name: "engine", Service: "pool", Address: target, DataCentre: "north", Models: []string{"general"}, Slots: slots, TokenCapacity: 1 << 30,
	}}
	for i := range benchWorkspaces {
		sum := sha256.Sum256([]byte(benchToken(i)))
		name := strconv.Itoa(i)
		set.Workspaces[name] = declarer.Workspace{Name: name, BearerTokenDigests: []string{hex.EncodeToString(sum[:])}, Classes: []string{"chat"}}
	}
	resolved := resolver.New(2, set)
	control.Configure(resolved.ControllerConfiguration())
	settings := server.Settings{StreamIDPrefix: "entry-1", MaxBodyBytes: 1000}

	return server.New(settings, configured{resolved}, control, forwarder.New(joiner.DefaultSettings()), nil, counters, hclog.NewNullLogger())
}

func benchToken(workspace int) string {
	return "secret-" + strconv.Itoa(workspace)
}

// BenchmarkStream reports the processor time of a token, less what client and
// engine spend without a proxy. Both proxies run beside the same engine.
func BenchmarkStream(b *testing.B) {
	tokens := max(20, b.N/benchStreams)
	target := httptest.NewServer(engine(tokens, benchGap))
	defer target.Close()
	direct := cost(b, target.URL, tokens)

	for name, handler := range map[string]http.Handler{"bare": bare(target.URL), "router": router(b, target.URL, 2*benchStreams)} {
		proxy := httptest.NewServer(handler)
		spent := cost(b, proxy.URL, tokens) - direct
		proxy.Close()
		b.ReportMetric(float64(spent.Nanoseconds())/float64(tokens*benchStreams), name+"-ns/token")
	}
	b.ReportMetric(float64(direct.Nanoseconds())/float64(tokens*benchStreams), "direct-ns/token")
}

// cost returns the process's processor time for benchStreams whole streams.
func cost(b *testing.B, address string, tokens int) time.Duration {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchStreams}}
	defer client.CloseIdleConnections()
	before := processorTime()
	var streams sync.WaitGroup
	for range benchStreams {
		streams.Go(func() {
			body := `{"model":"general","stream":true,"max_tokens":100000,"messages":[{"role":"user","content":"hi"}]}`
			request, _ := http.NewRequest(http.MethodPost, address+"/v1/chat/completions", strings.NewReader(body))
			request.Header.Set("Authorization", "Bearer secret")
			response, err := client.Do(request)
			if err != nil {
				b.Error(err)

				return
			}
			defer response.Body.Close()
			text, _ := io.ReadAll(response.Body)
			if want := fmt.Sprintf(" t%d\"", tokens-1); !strings.Contains(string(text), want) {
				b.Errorf("no %s in an answer of %d bytes: %.200s", want, len(text), text)
			}
		})
	}
	streams.Wait()

	return processorTime() - before
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)

	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
