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

// write writes a resource as an operator would and returns the deployment's
// view of its status once it was judged.
func write(t *testing.T, deployment *deployer.Deployment, kind, name, spec string) string {
	t.Helper()
	object, err := deployment.Keeper.PutSpec(kind, name, json.RawMessage(spec))
	assert.NilError(t, err)
	status := ""
	waitFor(t, func() bool {
		judged, _ := deployment.Keeper.Object(kind, name)
		status = string(judged.Status)
		var told struct {
			Acceptance struct{ Generation uint64 }
		}

		return json.Unmarshal(judged.Status, &told) == nil && told.Acceptance.Generation == object.Generation
	})

	return status
}

// TestChangeOfConfiguration: an accepted change is in force on every router, a
// bad one is rejected by field and reason and changes nothing.
func TestChangeOfConfiguration(t *testing.T) {
	deployment := deploy(t, 3)
	number := deployment.Routers[0].RevisionNumber()

	status := write(t, deployment, declarer.KindServiceClass, "chat", `{"tier":1,"deadline":"50s"}`)
	assert.Assert(t, strings.Contains(status, `"accepted":true`), status)
	for _, router := range deployment.Routers {
		waitFor(t, func() bool { return router.RevisionNumber() > number })
	}

	number = deployment.Routers[0].RevisionNumber()
	status = write(t, deployment, declarer.KindServiceClass, "chat", `{"tier":9,"deadline":"50s"}`)
	assert.Assert(t, strings.Contains(status, `"accepted":false`), status)
	assert.Assert(t, strings.Contains(status, `"field":"tier"`), status)
	assertWhole(t, chat(deployment.Routers[1].URL, 5, true), 5, true)
	for _, router := range deployment.Routers {
		assert.Assert(t, router.RevisionNumber() >= number)
	}
}

// TestLeavingEndpoint: an endpoint declared leaving gets nothing new and
// finishes what runs there; one that says so itself is left too, also while
// the platform is down.
func TestLeavingEndpoint(t *testing.T) {
	const tokens = 60
	deployment := deploy(t, 2)
	running := make(chan reply, 1)
	go func() { running <- chat(deployment.Routers[0].URL, tokens, true) }()
	engine := -1
	waitFor(t, func() bool {
		for i := range deployment.Engines {
			if deployment.Engines[i].Audit().Started > 0 {
				engine = i
			}
		}

		return engine >= 0
	})

	name := deployer.EngineName(engine)
	object, found := deployment.Keeper.Object(declarer.KindEndpoint, name)
	assert.Assert(t, found)
	number := deployment.Routers[0].RevisionNumber()
	write(t, deployment, declarer.KindEndpoint, name, strings.Replace(string(object.Spec), "{", `{"state":"leaving",`, 1))
	for _, router := range deployment.Routers {
		waitFor(t, func() bool { return router.RevisionNumber() > number })
	}
	accepted := deployment.Engines[engine].Audit().Accepted
	sendTo(t, deployment, 12)
	assert.Equal(t, deployment.Engines[engine].Audit().Accepted, accepted)
	assertWhole(t, <-running, tokens, true)

	deployment.Keeper.SetFaults(keeper.Faults{Outage: true})
	draining := (engine + 1) % len(deployment.Engines)
	drain(t, deployment, deployer.EngineName(draining))
	for _, router := range deployment.Routers {
		waitFor(t, func() bool { return router.IsEndpointLeaving(deployer.EngineName(draining)) })
	}
	refused := deployment.Engines[draining].Audit().Refused
	sendTo(t, deployment, 12)
	assert.Equal(t, deployment.Engines[draining].Audit().Refused, refused)
}

// drain orders an engine to drain; it says so in its load reports from then on.
func drain(t *testing.T, deployment *deployer.Deployment, name string) {
	t.Helper()
	object, _ := deployment.Keeper.Object(declarer.KindEndpoint, name)
	var endpoint declarer.Endpoint
	assert.NilError(t, json.Unmarshal(object.Spec, &endpoint))
	order := fmt.Sprintf(`{"fence":1,"holder":"test","model":%q,"role":"draining","until":%q}`,
		deployer.Model, time.Now().Add(time.Hour).Format(time.RFC3339))
	answered := call(http.MethodPost, endpoint.Address+"/v1/orders", order, nil)
	assert.Equal(t, answered.status, http.StatusOK, answered.body)
}

func sendTo(t *testing.T, deployment *deployer.Deployment, count int) {
	t.Helper()
	for i := range count {
		assertWhole(t, chat(deployment.Routers[i%len(deployment.Routers)].URL, 5, true), 5, true)
	}
}

// TestConditionsAreReported: an operator who only has the object API reads how
// a class fares.
func TestConditionsAreReported(t *testing.T) {
	deployment := deployPlan(t, func(plan *deployer.Plan) { plan.Options.ReportInterval = 200 * time.Millisecond })
	sendTo(t, deployment, 6)
	waitFor(t, func() bool {
		object, _ := deployment.Keeper.Object(declarer.KindServiceClass, "chat")
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
