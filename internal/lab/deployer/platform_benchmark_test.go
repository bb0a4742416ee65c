package deployer_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/lab/deployer"
	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

const idleMeasurementDuration = 30 * time.Second

// deploySevenRouters starts seven routers and three engines in three data centres.
func deploySevenRouters(b *testing.B) *deployer.Deployment {
	b.Helper()
	deployment, err := deployer.New(deployer.Plan{
		DataCentres:    []string{"north", "south", "east"},
		EngineCount:    3,
		RouterCount:    7,
		ServiceClasses: []declarer.ServiceClass{{Name: "chat", Deadline: declarer.Duration(time.Minute), MaxRetryRatio: 0.1}},
		Workspaces:     []string{"clinic"},
	}, hclog.NewNullLogger())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(deployment.Close)

	return deployment
}

// BenchmarkConfigurationPropagation reports the longest time from the write of a
// resource until it is in force on all seven routers.
func BenchmarkConfigurationPropagation(b *testing.B) {
	deployment := deploySevenRouters(b)
	longestDelay := time.Duration(0)
	for i := range b.N {
		revisionBefore := deployment.Routers[0].RevisionNumber()
		writtenAt := time.Now()
		spec := fmt.Sprintf(`{"tier":0,"deadline":"%ds","share":0.1}`, 61+i)
		if _, err := deployment.Platform.PutSpec(declarer.KindServiceClass, "chat", json.RawMessage(spec)); err != nil {
			b.Fatal(err)
		}
		for _, router := range deployment.Routers {
			for router.RevisionNumber() <= revisionBefore {
				time.Sleep(time.Millisecond)
			}
		}
		longestDelay = max(longestDelay, time.Since(writtenAt))
	}
	b.ReportMetric(float64(longestDelay.Milliseconds()), "longest-ms")
}

// BenchmarkIdlePlatformCalls reports how many reads and writes per second each router
// sends to the platform while there are no requests. A watch that waits for a change
// counts as one read each time that it is called.
func BenchmarkIdlePlatformCalls(b *testing.B) {
	deployment := deploySevenRouters(b)
	time.Sleep(5 * time.Second)
	countsBefore := deployment.Platform.Audit()
	time.Sleep(idleMeasurementDuration)
	reads, writes := 0, 0
	for call, count := range deployment.Platform.Audit() {
		count -= countsBefore[call]
		if strings.HasPrefix(call, "PUT") || strings.HasPrefix(call, "DELETE") {
			writes += count
		} else {
			reads += count
		}
		if count > 0 {
			b.Logf("%s: %d", call, count)
		}
	}
	routerSeconds := float64(len(deployment.Routers)) * idleMeasurementDuration.Seconds()
	b.ReportMetric(float64(reads)/routerSeconds, "reads/s/instance")
	b.ReportMetric(float64(writes)/routerSeconds, "writes/s/instance")
}
