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

// run sends a mix in virtual time to the routers that build returns by name,
// and hands over the report.
func run(t *testing.T, mix loader.Mix, build func() map[string]http.Handler, then func(loader.Report)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := piper.New()
		client := network.Client()
		defer func() {
			client.CloseIdleConnections()
			network.Close()
			time.Sleep(time.Second) // The server ends a broken connection after a pause.
		}()
		settings := loader.Settings{
			Mix: mix, Arrivals: loader.Arrivals(1, mix, 10*time.Second), Client: client,
			Routers: []string{"http://one", "http://two"},
		}
		for name, handler := range build() {
			network.Serve(name, handler)
		}
		sender, err := loader.New(settings)
		assert.NilError(t, err)
		report := sender.Run(t.Context())
		sent := 0
		for _, class := range report.Classes {
			sent += class.Sent
		}
		assert.Equal(t, sent, len(settings.Arrivals))
		then(report)
	})
}

func TestAnswersOfAnEngineAreWhole(t *testing.T) {
	mix := loader.Standard().WithRate(4)
	mix.Classes[0].Abandon = 0.2
	ask := func(faults emulator.Faults, then func(loader.Report)) {
		var engine *emulator.Emulator
		build := func() map[string]http.Handler {
			engine = emulator.New(emulator.Settings{KVTokens: 200_000, PrefillRate: 1e6})
			engine.SetFaults(faults)

			return map[string]http.Handler{"one": engine.Handler()}
		}
		run(t, mix, build, func(report loader.Report) {
			engine.Close()
			then(report)
		})
	}

	ask(emulator.Faults{}, func(report loader.Report) {
		for _, class := range report.Classes {
			assert.Assert(t, class.Sent > 0)
			assert.Equal(t, class.Whole+class.Abandoned, class.Sent)
			assert.Equal(t, class.Within, class.Whole, class.Class)
			assert.Assert(t, class.Moved > 0 && class.FirstToken.P50 > 0)
		}
		chat, _ := report.Class("chat")
		assert.Assert(t, chat.Abandoned > 0)
	})
	ask(emulator.Faults{Slow: 4}, func(report loader.Report) {
		chat, _ := report.Class("chat")
		assert.Assert(t, chat.Whole > 0)
		assert.Equal(t, chat.Attainment(), 0.0)
	})
	ask(emulator.Faults{LostAnswer: 1}, func(report loader.Report) {
		notes, _ := report.Class("notes")
		assert.Equal(t, notes.Broken, notes.Sent)
	})
}

// stream answers with the given events.
func stream(events ...string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Join(events, "\n\n")+"\n\n")
	})
}

func chunk(content string) string {
	return `data: {"choices":[{"index":0,"delta":{"content":"` + content + `"}}]}`
}

func TestEveryWayThatAnAnswerEnds(t *testing.T) {
	failure := func(outcome string) string {
		return fmt.Sprintf(`{"error":{"kind":"some-kind","message":"m","outcome":%q}}`, outcome)
	}
	refusal := func(outcome string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, failure(outcome), http.StatusServiceUnavailable)
		})
	}
	mix := loader.Standard()
	mix.Classes = mix.Classes[:1]
	mix.Classes[0].Median, mix.Classes[0].Sigma = 3, 0 // Every answer has three tokens.

	cases := []struct {
		name   string
		router http.Handler
		count  func(loader.Summary) int
	}{
		{"whole", stream(chunk(" t0"), chunk(` t1 t2`), "data: [DONE]"),
			func(s loader.Summary) int { return s.Whole }},
		{"escaped", stream(chunk(` t0`), chunk(` t1`), chunk(" t2"), "data: [DONE]"),
			func(s loader.Summary) int { return s.Whole }},
		{"repeated", stream(chunk(" t0"), chunk(" t0"), chunk(" t1"), chunk(" t2"), "data: [DONE]"),
			func(s loader.Summary) int { return s.Garbled }},
		{"gap", stream(chunk(" t0"), chunk(" t2"), "data: [DONE]"),
			func(s loader.Summary) int { return s.Garbled }},
		{"short", stream(chunk(" t0"), "data: [DONE]"),
			func(s loader.Summary) int { return s.Truncated }},
		{"cut", stream(chunk(" t0"), chunk(" t1"), chunk(" t2")),
			func(s loader.Summary) int { return s.Truncated }},
		{"partial", stream(chunk(" t0"), "event: error\ndata: "+failure("partial")),
			func(s loader.Summary) int { return s.Partial["some-kind"] }},
		{"unknown", refusal("unknown"), func(s loader.Summary) int { return s.Unknown["some-kind"] }},
		{"refused", refusal("not-run"), func(s loader.Summary) int { return s.Refused["some-kind"] }},
		{"broken", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }),
			func(s loader.Summary) int { return s.Broken }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			build := func() map[string]http.Handler { return map[string]http.Handler{"one": c.router} }
			run(t, mix, build, func(report loader.Report) {
				assert.Equal(t, c.count(report.Classes[0]), report.Classes[0].Sent)
			})
		})
	}
}

func TestBookingsAreSentAgainOnlyWhileUncertain(t *testing.T) {
	mix := loader.Mix{
		Rate:       10,
		Classes:    []loader.Class{{Name: "bookings", Work: loader.Booking, Share: 1}},
		Workspaces: []loader.Workspace{{Token: "token-0", Share: 1}},
	}
	var service *booker.Booker
	build := func() map[string]http.Handler {
		service = booker.New(booker.Settings{Seed: 1})
		service.SetFaults(booker.Faults{LostAnswer: 0.5, Refuse: 0.5})

		return map[string]http.Handler{"one": service.Handler(), "two": service.Handler()}
	}
	run(t, mix, build, func(report loader.Report) {
		bookings := report.Classes[0]
		assert.Assert(t, bookings.Resends > 0 && bookings.Whole > 0)
		assert.Equal(t, len(report.Ran)+len(report.NotRun)+len(report.Uncertain), bookings.Sent)
		runs := service.Audit().RunsByKey
		for _, key := range report.Ran {
			assert.Assert(t, runs[key] > 0)
		}
		// Without a router between, a booking that is sent again runs again.
		assert.Assert(t, slices.ContainsFunc(report.Ran, func(key string) bool { return runs[key] > 1 }))
	})
}

func TestArrivalsFollowTheMix(t *testing.T) {
	mix := loader.Standard().WithRate(200).WithReserve(4)
	mix.Workspaces = []loader.Workspace{{Token: "a", Share: 3}, {Token: "b", Share: 1}}
	mix.Bursts = []loader.Burst{{Class: "chat", From: 10 * time.Second, Until: 20 * time.Second, Factor: 3}}
	arrivals := loader.Arrivals(7, mix, 40*time.Second)
	assert.DeepEqual(t, arrivals, loader.Arrivals(7, mix, 40*time.Second))
	assert.Assert(t, slices.IsSortedFunc(arrivals, func(a, b loader.Arrival) int { return int(a.At - b.At) }))

	var chats, burst, first, tokens, limits float64
	for _, arrival := range arrivals {
		assert.Assert(t, arrival.Tokens > 0 && arrival.Tokens <= arrival.Limit)
		tokens += float64(arrival.Tokens)
		limits += float64(arrival.Limit)
		if arrival.Workspace == 0 {
			first++
		}
		if mix.Classes[arrival.Class].Name == "chat" {
			chats++
			if arrival.At >= 10*time.Second && arrival.At < 20*time.Second {
				burst++
			}
		}
	}
	near := func(got, want, share float64) {
		t.Helper()
		assert.Assert(t, got > want*(1-share) && got < want*(1+share), "got %v, want about %v", got, want)
	}
	near(float64(len(arrivals)), 200*40+80*2*10, 0.05)
	near(burst/(chats-burst), 1, 0.1)
	near(first/float64(len(arrivals)), 0.75, 0.05)
	near(limits/tokens, 4, 0.1)
}
