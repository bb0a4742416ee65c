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

const restTime = 30 * time.Second

func seven(b *testing.B) *deployer.Deployment {
	b.Helper()
	deployment, err := deployer.New(deployer.Plan{
		DataCentres: []string{"north", "south", "east"},
		Engines:     3,
		Routers:     7,
		Classes:     []declarer.ServiceClass{{Name: "chat", Deadline: declarer.Duration(time.Minute), MaxRetryRatio: 0.1}},
		Workspaces:  []string{"clinic"},
	}, hclog.NewNullLogger())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(deployment.Close)

	return deployment
}

// BenchmarkChange reports the longest time from the write of a resource until
// it is in force on seven instances.
func BenchmarkChange(b *testing.B) {
	deployment := seven(b)
	longest := time.Duration(0)
	for i := range b.N {
		number := deployment.Routers[0].RevisionNumber()
		written := time.Now()
		spec := fmt.Sprintf(`{"tier":0,"deadline":"%ds","share":0.1}`, 61+i)
		if _, err := deployment.Keeper.PutSpec(declarer.KindServiceClass, "chat", json.RawMessage(spec)); err != nil {
			b.Fatal(err)
		}
		for _, router := range deployment.Routers {
			for router.RevisionNumber() <= number {
				time.Sleep(time.Millisecond)
			}
		}
		longest = max(longest, time.Since(written))
	}
	b.ReportMetric(float64(longest.Milliseconds()), "longest-ms")
}

// BenchmarkRest reports the calls of the platform a second an instance at
// rest. A watch that waits counts once each time that it is called.
func BenchmarkRest(b *testing.B) {
	deployment := seven(b)
	time.Sleep(5 * time.Second)
	before := deployment.Keeper.Audit()
	time.Sleep(restTime)
	reads, writes := 0, 0
	for call, count := range deployment.Keeper.Audit() {
		count -= before[call]
		if strings.HasPrefix(call, "PUT") || strings.HasPrefix(call, "DELETE") {
			writes += count
		} else {
			reads += count
		}
		if count > 0 {
			b.Logf("%s: %d", call, count)
		}
	}
	perSecond := float64(len(deployment.Routers)) * restTime.Seconds()
	b.ReportMetric(float64(reads)/perSecond, "reads/s/instance")
	b.ReportMetric(float64(writes)/perSecond, "writes/s/instance")
}
