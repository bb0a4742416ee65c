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

// deploy starts three engines, two plain endpoints and this number of routers.
func deploy(t *testing.T, routers int) *deployer.Deployment {
	t.Helper()

	return deployPlan(t, func(plan *deployer.Plan) { plan.RouterCount = routers })
}

// deployPlan starts a deployment of the tests' usual plan with changes, and closes it
// at the end of the test.
func deployPlan(t *testing.T, change func(*deployer.Plan)) *deployer.Deployment {
	t.Helper()
	plan := deployer.Plan{
		DataCentres:           []string{"north", "south"},
		EngineCount:           3,
		PlainEndpointCount:    2,
		RouterCount:           2,
		EngineSettings:        emulator.Settings{Slots: 8, KVTokens: 100_000, SpeedFactor: 4},
		PlainEndpointSettings: booker.Settings{CallDuration: time.Millisecond},
		ServiceClasses:        []declarer.ServiceClass{{Name: "chat", Deadline: declarer.Duration(time.Minute), MaxRetryRatio: 0.1}},
		Workspaces:            []string{"clinic"},
	}
	change(&plan)
	deployment, err := deployer.New(plan, hclog.NewNullLogger())
	assert.NilError(t, err)
	t.Cleanup(deployment.Close)

	return deployment
}

// reply is what the caller of a request received.
type reply struct {
	status  int
	outcome string
	body    string
	err     error
}

// sendRequest sends a request with the bearer token of the workspace "clinic" and
// reads the whole answer.
func sendRequest(method, url, body string, header map[string]string) reply {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+deployer.BearerToken("clinic"))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)

	return reply{status: response.StatusCode, outcome: response.Header.Get("X-Outcome"), body: string(content), err: err}
}

// idempotencyHeaders returns the headers of one attempt of a non-idempotent call. An
// empty attempt leaves out the header with the attempt's number.
func idempotencyHeaders(key, attempt string) map[string]string {
	header := map[string]string{"Idempotency-Key": key, "Idempotency-First": time.Now().Format(time.RFC3339)}
	if attempt != "" {
		header["Idempotency-Attempt"] = attempt
	}

	return header
}

// sendChat sends a chat request whose answer has this number of tokens.
func sendChat(url string, tokens int, stream bool) reply {
	body := fmt.Sprintf(`{"model":"general","messages":[{"role":"user","content":"hi"}],"max_tokens":%d,"x_tokens":%d,"stream":%t}`,
		4*tokens, tokens, stream)

	return sendRequest(http.MethodPost, url+"/v1/chat/completions", body, nil)
}

// assertCompleteAnswer checks that a chat was answered up to its last token, and that
// it ended with [DONE] exactly if it was streamed.
func assertCompleteAnswer(t *testing.T, got reply, tokens int, stream bool) {
	t.Helper()
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK, got.body)
	assert.Assert(t, strings.Contains(got.body, fmt.Sprintf(" t%d\"", tokens-1)), got.body)
	assert.Equal(t, strings.Contains(got.body, "[DONE]"), stream)
}

func TestChatCompletesOnEveryRouter(t *testing.T) {
	deployment := deploy(t, 2)
	for _, router := range deployment.Routers {
		for _, stream := range []bool{true, false} {
			assertCompleteAnswer(t, sendChat(router.URL, 20, stream), 20, stream)
		}
	}
}

// TestReplacingRoutersCutsOffNoRequest replaces the routers one after another while
// requests run on each, and checks that every request gets its complete answer.
func TestReplacingRoutersCutsOffNoRequest(t *testing.T) {
	const routers, requests, tokens = 3, 6, 60
	deployment := deploy(t, routers)
	for i := range routers {
		old := deployment.Routers[i]
		replies := make([]reply, requests)
		var started, completed sync.WaitGroup
		for request := range requests {
			started.Add(1)
			completed.Go(func() {
				started.Done()
				replies[request] = sendChat(old.URL, tokens, request%2 == 0)
			})
		}
		started.Wait()
		waitFor(t, func() bool { return old.InFlight() == requests })

		_, err := deployment.AddRouter(routers + i)
		assert.NilError(t, err)
		assert.NilError(t, old.Stop())
		completed.Wait()
		for request, got := range replies {
			assertCompleteAnswer(t, got, tokens, request%2 == 0)
		}
		assert.NilError(t, deployment.WaitUntilReady())
	}
	for _, router := range deployment.Routers[routers:] {
		assertCompleteAnswer(t, sendChat(router.URL, 5, true), 5, true)
	}
}

// TestPlatformOutageRefusesOnlyNonIdempotentCalls checks that model requests and
// idempotent calls are served during an outage of the platform. The first attempt of
// a non-idempotent call is refused and must not run; the answer to a later attempt says
// that an earlier one may have run. Calls are served again after the outage.
func TestPlatformOutageRefusesOnlyNonIdempotentCalls(t *testing.T) {
	deployment := deploy(t, 2)
	deployment.Platform.SetFaults(keeper.Faults{Outage: true})
	url := deployment.Routers[0].URL

	assertCompleteAnswer(t, sendChat(url, 20, true), 20, true)
	quote := sendRequest(http.MethodGet, url+"/services/ledger/quotes", "", nil)
	assert.Equal(t, quote.status, http.StatusOK, quote.body)

	firstAttempt := sendRequest(http.MethodPost, url+"/services/ledger/bookings", "{}", idempotencyHeaders("a", "1"))
	assert.Equal(t, firstAttempt.outcome, "not-run", firstAttempt.body)
	secondAttempt := sendRequest(http.MethodPost, url+"/services/ledger/bookings", "{}", idempotencyHeaders("b", "2"))
	assert.Equal(t, secondAttempt.outcome, "unknown", secondAttempt.body)
	for _, plainEndpoint := range deployment.PlainEndpoints {
		assert.Equal(t, len(plainEndpoint.Audit().RunsByKey), 0)
	}

	deployment.Platform.SetFaults(keeper.Faults{})
	afterOutage := sendRequest(http.MethodPost, url+"/services/ledger/bookings", "{}", idempotencyHeaders("c", ""))
	assert.Equal(t, afterOutage.status, http.StatusOK, afterOutage.body)
}

// TestConcurrentResendsOfOneKeyRunOnce sends a call with one idempotency key to two
// routers at the same time and once more later. It must run once, and the same key
// with another body must be refused.
func TestConcurrentResendsOfOneKeyRunOnce(t *testing.T) {
	const attempts = 6
	deployment := deploy(t, 2)
	header := idempotencyHeaders("once", "")
	replies := make([]reply, attempts)
	var completed sync.WaitGroup
	for attempt := range attempts {
		completed.Go(func() {
			replies[attempt] = sendRequest(http.MethodPost, deployment.Routers[attempt%2].URL+"/services/ledger/credits", "{}", header)
		})
	}
	completed.Wait()
	replayed := sendRequest(http.MethodPost, deployment.Routers[1].URL+"/services/ledger/credits", "{}", header)
	assert.Equal(t, replayed.status, http.StatusOK, replayed.body)
	otherBody := sendRequest(http.MethodPost, deployment.Routers[0].URL+"/services/ledger/credits", `{"other":1}`, header)
	assert.Equal(t, otherBody.status, answerer.Lookup(answerer.KindKeyReused).Status, otherBody.body)

	runs := 0
	for _, plainEndpoint := range deployment.PlainEndpoints {
		runs += plainEndpoint.Audit().RunsByKey["once"]
	}
	assert.Equal(t, runs, 1)
	for _, got := range replies {
		assert.Assert(t, got.status == http.StatusOK || got.outcome == "unknown", got.body)
	}
}

// waitFor polls a condition every millisecond until it holds, and fails the test
// after 10,000 polls.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for range 10_000 {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("timed out waiting for a condition")
}
