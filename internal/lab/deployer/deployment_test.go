package deployer_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/lab/booker"
	"github.com/oleanderpick/oleanderpick/internal/lab/deployer"
	"github.com/oleanderpick/oleanderpick/internal/lab/emulator"
	"github.com/oleanderpick/oleanderpick/internal/lab/keeper"
	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

func deploy(t *testing.T, routers int) *deployer.Deployment {
	t.Helper()

	return deployPlan(t, func(plan *deployer.Plan) { plan.Routers = routers })
}

func deployPlan(t *testing.T, change func(*deployer.Plan)) *deployer.Deployment {
	t.Helper()
	plan := deployer.Plan{
		DataCentres: []string{"north", "south"},
		Engines:     3,
		Services:    2,
		Routers:     2,
		Engine:      emulator.Settings{Slots: 8, KVTokens: 100_000, SpeedFactor: 4},
		Service:     booker.Settings{CallDuration: time.Millisecond},
		Classes:     []declarer.ServiceClass{{Name: "chat", Deadline: declarer.Duration(time.Minute), MaxRetryRatio: 0.1}},
		Workspaces:  []string{"clinic"},
	}
	change(&plan)
	deployment, err := deployer.New(plan, hclog.NewNullLogger())
	assert.NilError(t, err)
	t.Cleanup(deployment.Close)

	return deployment
}

type reply struct {
	status  int
	outcome string
	body    string
	err     error
}

func call(method, url, body string, header map[string]string) reply {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+deployer.Token("clinic"))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)

	return reply{status: response.StatusCode, outcome: response.Header.Get("X-Outcome"), body: string(text), err: err}
}

// keyed returns the headers of a try of a non-idempotent call.
func keyed(key, attempt string) map[string]string {
	header := map[string]string{"Idempotency-Key": key, "Idempotency-First": time.Now().Format(time.RFC3339)}
	if attempt != "" {
		header["Idempotency-Attempt"] = attempt
	}

	return header
}

func chat(url string, tokens int, stream bool) reply {
	body := fmt.Sprintf(`{"model":"general","messages":[{"role":"user","content":"hi"}],"max_tokens":%d,"x_tokens":%d,"stream":%t}`,
		4*tokens, tokens, stream)

	return call(http.MethodPost, url+"/v1/chat/completions", body, nil)
}

func assertWhole(t *testing.T, got reply, tokens int, stream bool) {
	t.Helper()
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK, got.body)
	assert.Assert(t, strings.Contains(got.body, fmt.Sprintf(" t%d\"", tokens-1)), got.body)
	assert.Equal(t, strings.Contains(got.body, "[DONE]"), stream)
}

func TestChatFromEndToEnd(t *testing.T) {
	deployment := deploy(t, 2)
	for _, router := range deployment.Routers {
		for _, stream := range []bool{true, false} {
			assertWhole(t, chat(router.URL, 20, stream), 20, stream)
		}
	}
}

// TestReplaceEveryRouter replaces the routers one after another while requests
// run on each: none is cut off.
func TestReplaceEveryRouter(t *testing.T) {
	const routers, streams, tokens = 3, 6, 60
	deployment := deploy(t, routers)
	for i := range routers {
		old := deployment.Routers[i]
		replies := make([]reply, streams)
		var begun, ended sync.WaitGroup
		for k := range streams {
			begun.Add(1)
			ended.Go(func() {
				begun.Done()
				replies[k] = chat(old.URL, tokens, k%2 == 0)
			})
		}
		begun.Wait()
		waitFor(t, func() bool { return old.InFlight() == streams })

		_, err := deployment.AddRouter(routers + i)
		assert.NilError(t, err)
		assert.NilError(t, old.Stop())
		ended.Wait()
		for k, got := range replies {
			assertWhole(t, got, tokens, k%2 == 0)
		}
		assert.NilError(t, deployment.Ready())
	}
	for _, router := range deployment.Routers[routers:] {
		assertWhole(t, chat(router.URL, 5, true), 5, true)
	}
}

// TestOutageOfThePlatform: model requests and idempotent calls go on; a first
// try of a non-idempotent call is refused and truly does not run, a resend is
// told that it may have run.
func TestOutageOfThePlatform(t *testing.T) {
	deployment := deploy(t, 2)
	deployment.Keeper.SetFaults(keeper.Faults{Outage: true})
	url := deployment.Routers[0].URL

	assertWhole(t, chat(url, 20, true), 20, true)
	quote := call(http.MethodGet, url+"/services/ledger/quotes", "", nil)
	assert.Equal(t, quote.status, http.StatusOK, quote.body)

	first := call(http.MethodPost, url+"/services/ledger/bookings", "{}", keyed("a", "1"))
	assert.Equal(t, first.outcome, "not-run", first.body)
	resend := call(http.MethodPost, url+"/services/ledger/bookings", "{}", keyed("b", "2"))
	assert.Equal(t, resend.outcome, "unknown", resend.body)
	for _, service := range deployment.Services {
		assert.Equal(t, len(service.Audit().RunsByKey), 0)
	}

	deployment.Keeper.SetFaults(keeper.Faults{})
	later := call(http.MethodPost, url+"/services/ledger/bookings", "{}", keyed("c", ""))
	assert.Equal(t, later.status, http.StatusOK, later.body)
}

// TestResendsRunOnce sends one key to two routers at once, and again later.
func TestResendsRunOnce(t *testing.T) {
	const tries = 6
	deployment := deploy(t, 2)
	header := keyed("once", "")
	replies := make([]reply, tries)
	var ended sync.WaitGroup
	for k := range tries {
		ended.Go(func() {
			replies[k] = call(http.MethodPost, deployment.Routers[k%2].URL+"/services/ledger/credits", "{}", header)
		})
	}
	ended.Wait()
	last := call(http.MethodPost, deployment.Routers[1].URL+"/services/ledger/credits", "{}", header)
	assert.Equal(t, last.status, http.StatusOK, last.body)
	other := call(http.MethodPost, deployment.Routers[0].URL+"/services/ledger/credits", `{"other":1}`, header)
	assert.Equal(t, other.status, answerer.Lookup(answerer.KindKeyReused).Status, other.body)

	runs := 0
	for _, service := range deployment.Services {
		runs += service.Audit().RunsByKey["once"]
	}
	assert.Equal(t, runs, 1)
	for _, got := range replies {
		assert.Assert(t, got.status == http.StatusOK || got.outcome == "unknown", got.body)
	}
}

// waitFor polls a condition that is sure to come true.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for range 10_000 {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("a condition did not come true")
}
