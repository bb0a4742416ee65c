package deployer_test

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/lab/booker"
	"github.com/oleanderpick/oleanderpick/internal/lab/deployer"
	"github.com/oleanderpick/oleanderpick/internal/lab/emulator"
	"github.com/oleanderpick/oleanderpick/internal/lab/keeper"
	"github.com/oleanderpick/oleanderpick/internal/lab/loader"
	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

const (
	bookingsPerSecond   = 350
	faultChangeInterval = 2 * time.Second
)

// BenchmarkBookings sends about b.N non-idempotent calls to seven routers, with and
// without faults of the platform and of the plain service. It fails if a call ran
// more than once, or ran although its answer said that it had not.
func BenchmarkBookings(b *testing.B) {
	for name, withFaults := range map[string]bool{"calm": false, "faulty": true} {
		b.Run(name, func(b *testing.B) { benchmarkBookings(b, withFaults) })
	}
}

// benchmarkBookings sends calls at a fixed rate to a new deployment and checks what
// the plain service ran.
func benchmarkBookings(b *testing.B, withFaults bool) {
	plan := deployer.Plan{
		DataCentres:           []string{"north", "south", "east"},
		PlainEndpointCount:    3,
		RouterCount:           7,
		EngineSettings:        emulator.Settings{},
		PlainEndpointSettings: booker.Settings{CallDuration: time.Millisecond},
		ServiceClasses:        []declarer.ServiceClass{{Name: "booking", Deadline: declarer.Duration(20 * time.Second), MaxRetryRatio: 0.1}},
		Workspaces:            []string{"clinic"},
	}
	deployment, err := deployer.New(plan, hclog.NewNullLogger())
	if err != nil {
		b.Fatal(err)
	}
	defer deployment.Close()
	deployment.Platform.SetFaults(keeper.Faults{Slow: 5 * time.Millisecond})
	writesBefore := journalWriteCount(deployment)

	mix := loader.RequestMix{
		ArrivalRate: bookingsPerSecond,
		Classes:     []loader.Class{{Name: "booking", RequestType: loader.Booking, Weight: 1, Deadline: 20 * time.Second}},
		Workspaces:  []loader.Workspace{{APIKey: deployer.BearerToken("clinic"), Weight: 1}},
	}
	routerURLs := make([]string, 0, len(deployment.Routers))
	for _, router := range deployment.Routers {
		routerURLs = append(routerURLs, router.URL)
	}
	duration := time.Duration(b.N) * time.Second / bookingsPerSecond
	loadGenerator, err := loader.New(loader.Settings{
		RouterURLs: routerURLs, RequestMix: mix, Arrivals: loader.GenerateArrivals(1, mix, duration), PlainServiceName: deployer.PlainServiceName,
	})
	if err != nil {
		b.Fatal(err)
	}
	if withFaults {
		stopFaults := changeFaultsPeriodically(deployment)
		defer stopFaults()
	}
	b.ResetTimer()
	report := loadGenerator.Run(context.Background())
	b.StopTimer()
	checkAndReportBookings(b, deployment, report, journalWriteCount(deployment)-writesBefore)
}

// changeFaultsPeriodically sets the next faults of a fixed sequence at each interval,
// until stop is called. In every second step the platform is only slow; in the steps
// between, it also loses writes, fails, serves stale reads or leaves calls unanswered.
// The plain endpoints lose some answers, refuse some calls and crash in turn, and one
// router is killed.
func changeFaultsPeriodically(deployment *deployer.Deployment) (stop func()) {
	slowPlatform := keeper.Faults{Slow: 5 * time.Millisecond}
	faultSequence := []keeper.Faults{
		{Slow: slowPlatform.Slow, LostWrites: 0.2}, slowPlatform, {Outage: true}, slowPlatform,
		{Slow: slowPlatform.Slow, StaleReads: 500 * time.Millisecond, LostWrites: 0.1}, slowPlatform, {Slow: 300 * time.Millisecond}, slowPlatform, {Mute: true}, slowPlatform,
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		ticker := time.NewTicker(faultChangeInterval)
		defer ticker.Stop()
		for step := 0; ; step++ {
			deployment.Platform.SetFaults(faultSequence[step%len(faultSequence)])
			for i, plainEndpoint := range deployment.PlainEndpoints {
				faults := booker.Faults{LostAnswer: 0.05, Refuse: 0.05}
				if (step+i)%len(faultSequence) == 0 {
					faults.Crash = faultChangeInterval / 2
				}
				plainEndpoint.SetFaults(faults)
			}
			if step == 3 {
				deployment.Routers[2].Kill()
			}
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()

	return cancel
}

// checkAndReportBookings compares the calls that the plain service ran with the
// results that callers saw, fails on a contradiction and reports the metrics.
// journalWrites is the number of journal writes during the run.
func checkAndReportBookings(b *testing.B, deployment *deployer.Deployment, report loader.Report, journalWrites int) {
	b.Helper()
	runsByKey := map[string]int{}
	for _, plainEndpoint := range deployment.PlainEndpoints {
		for key, count := range plainEndpoint.Audit().RunsByKey {
			runsByKey[key] += count
		}
	}
	runMoreThanOnce, wronglyReportedNotRun := 0, 0
	for _, count := range runsByKey {
		if count > 1 {
			runMoreThanOnce++
		}
	}
	for _, key := range report.BookingKeysNotRun {
		if runsByKey[key] > 0 {
			wronglyReportedNotRun++
		}
	}
	if runMoreThanOnce > 0 || wronglyReportedNotRun > 0 {
		b.Errorf("%d calls ran more than once, %d ran but were reported as not run", runMoreThanOnce, wronglyReportedNotRun)
	}
	sentCount := len(report.BookingKeysRun) + len(report.BookingKeysNotRun) + len(report.BookingKeysInDoubt)
	b.ReportMetric(float64(runMoreThanOnce), "run-twice")
	b.ReportMetric(float64(wronglyReportedNotRun), "told-not-run-that-ran")
	b.ReportMetric(float64(len(report.BookingKeysInDoubt))/float64(sentCount), "unknown-share")
	b.ReportMetric(float64(len(report.BookingKeysNotRun))/float64(sentCount), "not-run-share")
	b.ReportMetric(float64(journalWrites)/float64(sentCount), "writes/call")
	summary, _ := report.ClassSummary("booking")
	b.ReportMetric(float64(summary.CompletionTime.P50.Milliseconds()), "p50-ms")
	b.ReportMetric(float64(report.LongestSendDelay.Milliseconds()), "loader-late-ms")
}

// journalWriteCount returns how many writes of journal objects the platform received.
func journalWriteCount(deployment *deployer.Deployment) int {
	return deployment.Platform.Audit()["PUT Journal"]
}
