package loader_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/lab/booker"
	"github.com/oleanderpick/oleanderpick/internal/lab/emulator"
	"github.com/oleanderpick/oleanderpick/internal/lab/loader"
	"github.com/oleanderpick/oleanderpick/internal/lab/piper"
)

// runAgainstRouters sends the requests of a mix in virtual time to the routers that
// buildRouters returns by host name, and calls checkReport with the report. It uses the
// hosts one and two; a host that buildRouters leaves out can't be reached.
func runAgainstRouters(t *testing.T, mix loader.RequestMix, buildRouters func() map[string]http.Handler, checkReport func(loader.Report)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := piper.New()
		client := network.Client()
		defer func() {
			client.CloseIdleConnections()
			network.Close()
			time.Sleep(time.Second) // The server closes a broken connection after a delay.
		}()
		settings := loader.Settings{
			RequestMix: mix, Arrivals: loader.GenerateArrivals(1, mix, 10*time.Second), HTTPClient: client,
			RouterURLs: []string{"http://one", "http://two"},
		}
		for name, handler := range buildRouters() {
			network.Serve(name, handler)
		}
		load, err := loader.New(settings)
		assert.NilError(t, err)
		report := load.Run(t.Context())
		sentCount := 0
		for _, class := range report.Classes {
			sentCount += class.Sent
		}
		assert.Equal(t, sentCount, len(settings.Arrivals))
		checkReport(report)
	})
}

func TestEngineAnswersAreCountedByResultAndTarget(t *testing.T) {
	mix := loader.StandardRequestMix().WithArrivalRate(4)
	mix.Classes[0].AbandonFraction = 0.2
	runWithFaults := func(faults emulator.Faults, checkReport func(loader.Report)) {
		var engine *emulator.Emulator
		buildRouters := func() map[string]http.Handler {
			engine = emulator.New(emulator.Settings{KVTokens: 200_000, PrefillRate: 1e6})
			engine.SetFaults(faults)

			return map[string]http.Handler{"one": engine.Handler()}
		}
		runAgainstRouters(t, mix, buildRouters, func(report loader.Report) {
			engine.Close()
			checkReport(report)
		})
	}

	runWithFaults(emulator.Faults{}, func(report loader.Report) {
		for _, class := range report.Classes {
			assert.Assert(t, class.Sent > 0)
			assert.Equal(t, class.Complete+class.Abandoned, class.Sent)
			assert.Equal(t, class.WithinTargets, class.Complete, class.ClassName)
			assert.Assert(t, class.SkippedRouters > 0 && class.FirstToken.P50 > 0)
		}
		chat, _ := report.ClassSummary("chat")
		assert.Assert(t, chat.Abandoned > 0)
	})
	runWithFaults(emulator.Faults{Slow: 4}, func(report loader.Report) {
		chat, _ := report.ClassSummary("chat")
		assert.Assert(t, chat.Complete > 0)
		assert.Equal(t, chat.TargetAttainment(), 0.0)
	})
	runWithFaults(emulator.Faults{LostAnswer: 1}, func(report loader.Report) {
		notes, _ := report.ClassSummary("notes")
		assert.Equal(t, notes.BrokenConnections, notes.Sent)
	})
}

// streamHandler answers every request with the given server-sent events.
func streamHandler(events ...string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Join(events, "\n\n")+"\n\n")
	})
}

// chunkEvent returns the event of one chunk of a chat completion.
func chunkEvent(content string) string {
	return `data: {"choices":[{"index":0,"delta":{"content":"` + content + `"}}]}`
}

func TestEachAnswerEndingIsCountedAsItsResult(t *testing.T) {
	errorJSON := func(outcome string) string {
		return fmt.Sprintf(`{"error":{"kind":"some-kind","message":"m","outcome":%q}}`, outcome)
	}
	errorHandler := func(outcome string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, errorJSON(outcome), http.StatusServiceUnavailable)
		})
	}
	mix := loader.StandardRequestMix()
	mix.Classes = mix.Classes[:1]
	mix.Classes[0].MedianAnswerTokens, mix.Classes[0].AnswerTokensSigma = 3, 0 // Every answer has three tokens.

	cases := []struct {
		name   string
		router http.Handler
		count  func(loader.ClassSummary) int
	}{
		{"whole", streamHandler(chunkEvent(" t0"), chunkEvent(` t1 t2`), "data: [DONE]"),
			func(s loader.ClassSummary) int { return s.Complete }},
		{"escaped", streamHandler(chunkEvent(` t0`), chunkEvent(` t1`), chunkEvent(" t2"), "data: [DONE]"),
			func(s loader.ClassSummary) int { return s.Complete }},
		{"repeated", streamHandler(chunkEvent(" t0"), chunkEvent(" t0"), chunkEvent(" t1"), chunkEvent(" t2"), "data: [DONE]"),
			func(s loader.ClassSummary) int { return s.Garbled }},
		{"gap", streamHandler(chunkEvent(" t0"), chunkEvent(" t2"), "data: [DONE]"),
			func(s loader.ClassSummary) int { return s.Garbled }},
		{"short", streamHandler(chunkEvent(" t0"), "data: [DONE]"),
			func(s loader.ClassSummary) int { return s.Truncated }},
		{"cut", streamHandler(chunkEvent(" t0"), chunkEvent(" t1"), chunkEvent(" t2")),
			func(s loader.ClassSummary) int { return s.Truncated }},
		{"partial", streamHandler(chunkEvent(" t0"), "event: error\ndata: "+errorJSON("partial")),
			func(s loader.ClassSummary) int { return s.PartialByKind["some-kind"] }},
		{"unknown", errorHandler("unknown"), func(s loader.ClassSummary) int { return s.UnknownByKind["some-kind"] }},
		{"refused", errorHandler("not-run"), func(s loader.ClassSummary) int { return s.RefusedByKind["some-kind"] }},
		{"broken", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }),
			func(s loader.ClassSummary) int { return s.BrokenConnections }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			buildRouters := func() map[string]http.Handler { return map[string]http.Handler{"one": c.router} }
			runAgainstRouters(t, mix, buildRouters, func(report loader.Report) {
				assert.Equal(t, c.count(report.Classes[0]), report.Classes[0].Sent)
			})
		})
	}
}

func TestBookingsInDoubtAreResentAndEachKeyReportedOnce(t *testing.T) {
	mix := loader.RequestMix{
		ArrivalRate: 10,
		Classes:     []loader.Class{{Name: "bookings", RequestType: loader.Booking, Weight: 1}},
		Workspaces:  []loader.Workspace{{APIKey: "token-0", Weight: 1}},
	}
	var service *booker.Booker
	buildRouters := func() map[string]http.Handler {
		service = booker.New(booker.Settings{Seed: 1})
		service.SetFaults(booker.Faults{LostAnswer: 0.5, Refuse: 0.5})

		return map[string]http.Handler{"one": service.Handler(), "two": service.Handler()}
	}
	runAgainstRouters(t, mix, buildRouters, func(report loader.Report) {
		bookings := report.Classes[0]
		assert.Assert(t, bookings.Resends > 0 && bookings.Complete > 0)
		assert.Equal(t, len(report.BookingKeysRun)+len(report.BookingKeysNotRun)+len(report.BookingKeysInDoubt), bookings.Sent)
		runs := service.Audit().RunsByKey
		for _, key := range report.BookingKeysRun {
			assert.Assert(t, runs[key] > 0)
		}
		// No router between the loader and the service removes duplicates, so some bookings
		// run twice.
		assert.Assert(t, slices.ContainsFunc(report.BookingKeysRun, func(key string) bool { return runs[key] > 1 }))
	})
}

func TestArrivalsMatchRequestMix(t *testing.T) {
	mix := loader.StandardRequestMix().WithArrivalRate(200).WithMaxTokensFactor(4)
	mix.Workspaces = []loader.Workspace{{APIKey: "a", Weight: 3}, {APIKey: "b", Weight: 1}}
	mix.Bursts = []loader.Burst{{ClassName: "chat", StartOffset: 10 * time.Second, EndOffset: 20 * time.Second, RateFactor: 3}}
	arrivals := loader.GenerateArrivals(7, mix, 40*time.Second)
	assert.DeepEqual(t, arrivals, loader.GenerateArrivals(7, mix, 40*time.Second))
	assert.Assert(t, slices.IsSortedFunc(arrivals, func(a, b loader.Arrival) int { return int(a.SendOffset - b.SendOffset) }))

	var chats, chatsInBurst, fromFirstWorkspace, answerTokens, maxTokens float64
	for _, arrival := range arrivals {
		assert.Assert(t, arrival.AnswerTokens > 0 && arrival.AnswerTokens <= arrival.MaxTokens)
		answerTokens += float64(arrival.AnswerTokens)
		maxTokens += float64(arrival.MaxTokens)
		if arrival.WorkspaceIndex == 0 {
			fromFirstWorkspace++
		}
		if mix.Classes[arrival.ClassIndex].Name == "chat" {
			chats++
			if arrival.SendOffset >= 10*time.Second && arrival.SendOffset < 20*time.Second {
				chatsInBurst++
			}
		}
	}
	assertNear := func(got, want, tolerance float64) {
		t.Helper()
		assert.Assert(t, got > want*(1-tolerance) && got < want*(1+tolerance), "got %v, want about %v", got, want)
	}
	assertNear(float64(len(arrivals)), 200*40+80*2*10, 0.05)
	assertNear(chatsInBurst/(chats-chatsInBurst), 1, 0.1)
	assertNear(fromFirstWorkspace/float64(len(arrivals)), 0.75, 0.05)
	assertNear(maxTokens/answerTokens, 4, 0.1)
}
