package deployer_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/lab/deployer"
	"github.com/oleanderpick/oleanderpick/internal/lab/keeper"
	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

// writeAndAwaitStatus writes a resource to the platform, waits until the routers
// have accepted or rejected this generation of it, and returns its status.
func writeAndAwaitStatus(t *testing.T, deployment *deployer.Deployment, kind, name, spec string) string {
	t.Helper()
	written, err := deployment.Platform.PutSpec(kind, name, json.RawMessage(spec))
	assert.NilError(t, err)
	status := ""
	waitFor(t, func() bool {
		current, _ := deployment.Platform.Object(kind, name)
		status = string(current.Status)
		var decoded struct {
			Acceptance struct{ Generation uint64 }
		}

		return json.Unmarshal(current.Status, &decoded) == nil && decoded.Acceptance.Generation == written.Generation
	})

	return status
}

// TestAcceptedChangeReachesAllRoutersAndInvalidChangeIsRejected checks that a valid
// change takes effect on every router, and that the status of an invalid one names
// the rejected field while requests are still served.
func TestAcceptedChangeReachesAllRoutersAndInvalidChangeIsRejected(t *testing.T) {
	deployment := deploy(t, 3)
	revisionBefore := deployment.Routers[0].RevisionNumber()

	status := writeAndAwaitStatus(t, deployment, declarer.KindServiceClass, "chat", `{"tier":1,"deadline":"50s"}`)
	assert.Assert(t, strings.Contains(status, `"accepted":true`), status)
	for _, router := range deployment.Routers {
		waitFor(t, func() bool { return router.RevisionNumber() > revisionBefore })
	}

	revisionBefore = deployment.Routers[0].RevisionNumber()
	status = writeAndAwaitStatus(t, deployment, declarer.KindServiceClass, "chat", `{"tier":9,"deadline":"50s"}`)
	assert.Assert(t, strings.Contains(status, `"accepted":false`), status)
	assert.Assert(t, strings.Contains(status, `"field":"tier"`), status)
	assertCompleteAnswer(t, sendChat(deployment.Routers[1].URL, 5, true), 5, true)
	for _, router := range deployment.Routers {
		assert.Assert(t, router.RevisionNumber() >= revisionBefore)
	}
}

// TestLeavingEndpointGetsNoNewRequests checks that an engine declared as leaving
// finishes its running request and gets no new ones. An engine whose own load report
// says that it is draining gets no new ones either, even during a platform outage.
func TestLeavingEndpointGetsNoNewRequests(t *testing.T) {
	const tokens = 60
	deployment := deploy(t, 2)
	runningReply := make(chan reply, 1)
	go func() { runningReply <- sendChat(deployment.Routers[0].URL, tokens, true) }()
	leaving := -1
	waitFor(t, func() bool {
		for i := range deployment.Engines {
			if deployment.Engines[i].Audit().Started > 0 {
				leaving = i
			}
		}

		return leaving >= 0
	})

	name := deployer.EngineName(leaving)
	object, found := deployment.Platform.Object(declarer.KindEndpoint, name)
	assert.Assert(t, found)
	revisionBefore := deployment.Routers[0].RevisionNumber()
	writeAndAwaitStatus(t, deployment, declarer.KindEndpoint, name, strings.Replace(string(object.Spec), "{", `{"state":"leaving",`, 1))
	for _, router := range deployment.Routers {
		waitFor(t, func() bool { return router.RevisionNumber() > revisionBefore })
	}
	acceptedBefore := deployment.Engines[leaving].Audit().Accepted
	assertChatsComplete(t, deployment, 12)
	assert.Equal(t, deployment.Engines[leaving].Audit().Accepted, acceptedBefore)
	assertCompleteAnswer(t, <-runningReply, tokens, true)

	deployment.Platform.SetFaults(keeper.Faults{Outage: true})
	draining := (leaving + 1) % len(deployment.Engines)
	orderToDrain(t, deployment, deployer.EngineName(draining))
	for _, router := range deployment.Routers {
		waitFor(t, func() bool { return router.IsEndpointLeaving(deployer.EngineName(draining)) })
	}
	refusedBefore := deployment.Engines[draining].Audit().Refused
	assertChatsComplete(t, deployment, 12)
	assert.Equal(t, deployment.Engines[draining].Audit().Refused, refusedBefore)
}

// orderToDrain sends an engine the order to drain, which its load reports then state.
func orderToDrain(t *testing.T, deployment *deployer.Deployment, name string) {
	t.Helper()
	object, _ := deployment.Platform.Object(declarer.KindEndpoint, name)
	var endpoint declarer.Endpoint
	assert.NilError(t, json.Unmarshal(object.Spec, &endpoint))
	order := fmt.Sprintf(`{"fence":1,"holder":"test","model":%q,"role":"draining","until":%q}`,
		deployer.ModelName, time.Now().Add(time.Hour).Format(time.RFC3339))
	answer := sendRequest(http.MethodPost, endpoint.Address+"/v1/orders", order, nil)
	assert.Equal(t, answer.status, http.StatusOK, answer.body)
}

// assertChatsComplete sends streamed chat requests to the routers in turn, one after
// another, and checks that each gets its complete answer.
func assertChatsComplete(t *testing.T, deployment *deployer.Deployment, count int) {
	t.Helper()
	for i := range count {
		assertCompleteAnswer(t, sendChat(deployment.Routers[i%len(deployment.Routers)].URL, 5, true), 5, true)
	}
}

// TestClassConditionIsReportedInStatus checks that the status of a service class in
// the object API states whether its requests meet their targets, so that operators
// without access to metrics can read it there.
func TestClassConditionIsReportedInStatus(t *testing.T) {
	deployment := deployPlan(t, func(plan *deployer.Plan) { plan.RouterOptions.ReportInterval = 200 * time.Millisecond })
	assertChatsComplete(t, deployment, 6)
	waitFor(t, func() bool {
		object, _ := deployment.Platform.Object(declarer.KindServiceClass, "chat")
		var status struct {
			Acceptance struct{ Accepted bool }
			Condition  struct {
				Attainment float64
				Requests   int
				Reason     string
			}
		}
		_ = json.Unmarshal(object.Status, &status)

		return status.Acceptance.Accepted && status.Condition.Requests > 0 && status.Condition.Reason == "On target."
	})
}
