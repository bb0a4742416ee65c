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
	bookingRate   = 350
	bookingFaults = 2 * time.Second
)

// BenchmarkBookings sends b.N non-idempotent calls to seven routers, with and
// without faults of the platform and the services, and counts what ran.
func BenchmarkBookings(b *testing.B) {
	for name, faulty := range map[string]bool{"calm": false, "faulty": true} {
		b.Run(name, func(b *testing.B) { bookings(b, faulty) })
	}
}

func bookings(b *testing.B, faulty bool) {
	plan := deployer.Plan{
		DataCentres: []string{"north", "south", "east"},
		Services:    3,
		Routers:     7,
		Engine:      emulator.Settings{},
		Service:     booker.Settings{CallDuration: time.Millisecond},
		Classes:     []declarer.ServiceClass{{Name: "booking", Deadline: declarer.Duration(20 * time.Second), MaxRetryRatio: 0.1}},
		Workspaces:  []string{"clinic"},
	}
	deployment, err := deployer.New(plan, hclog.NewNullLogger())
	if err != nil {
		b.Fatal(err)
	}
	defer deployment.Close()
	deployment.Keeper.SetFaults(keeper.Faults{Slow: 5 * time.Millisecond})
	before := writes(deployment)

	mix := loader.RequestMix{
		ArrivalRate: bookingRate,
		Classes:     []loader.Class{{Name: "booking", RequestType: loader.Booking, Weight: 1, Deadline: 20 * time.Second}},
		Workspaces:  []loader.Workspace{{APIKey: deployer.Token("clinic"), Weight: 1}},
	}
	addresses := make([]string, 0, len(deployment.Routers))
	for _, router := range deployment.Routers {
		addresses = append(addresses, router.URL)
	}
	duration := time.Duration(b.N) * time.Second / bookingRate
	load, err := loader.New(loader.Settings{
		RouterURLs: addresses, RequestMix: mix, Arrivals: loader.GenerateArrivals(1, mix, duration), PlainServiceName: deployer.PlainService,
	})
	if err != nil {
		b.Fatal(err)
	}
	if faulty {
		stop := disturb(deployment)
		defer stop()
	}
	b.ResetTimer()
	report := load.Run(context.Background())
	b.StopTimer()
	judge(b, deployment, report, writes(deployment)-before)
}

// disturb switches faults on and off in turn until it is stopped.
func disturb(deployment *deployer.Deployment) (stop func()) {
	slow := keeper.Faults{Slow: 5 * time.Millisecond}
	turns := []keeper.Faults{
		{Slow: slow.Slow, LostWrites: 0.2}, slow, {Outage: true}, slow,
		{Slow: slow.Slow, StaleReads: 500 * time.Millisecond, LostWrites: 0.1}, slow, {Slow: 300 * time.Millisecond}, slow, {Mute: true}, slow,
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		ticker := time.NewTicker(bookingFaults)
		defer ticker.Stop()
		for turn := 0; ; turn++ {
			deployment.Keeper.SetFaults(turns[turn%len(turns)])
			for i, service := range deployment.Services {
				faults := booker.Faults{LostAnswer: 0.05, Refuse: 0.05}
				if (turn+i)%len(turns) == 0 {
					faults.Crash = bookingFaults / 2
				}
				service.SetFaults(faults)
			}
			if turn == 3 {
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

func judge(b *testing.B, deployment *deployer.Deployment, report loader.Report, written int) {
	b.Helper()
	runs := map[string]int{}
	for _, service := range deployment.Services {
		for key, count := range service.Audit().RunsByKey {
			runs[key] += count
		}
	}
	twice, deceived := 0, 0
	for _, count := range runs {
		if count > 1 {
			twice++
		}
	}
	for _, key := range report.BookingKeysNotRun {
		if runs[key] > 0 {
			deceived++
		}
	}
	if twice > 0 || deceived > 0 {
		b.Errorf("%d keys run twice, %d told not run that ran", twice, deceived)
	}
	sent := len(report.BookingKeysRun) + len(report.BookingKeysNotRun) + len(report.BookingKeysInDoubt)
	b.ReportMetric(float64(twice), "run-twice")
	b.ReportMetric(float64(deceived), "told-not-run-that-ran")
	b.ReportMetric(float64(len(report.BookingKeysInDoubt))/float64(sent), "unknown-share")
	b.ReportMetric(float64(len(report.BookingKeysNotRun))/float64(sent), "not-run-share")
	b.ReportMetric(float64(written)/float64(sent), "writes/call")
	summary, _ := report.ClassSummary("booking")
	b.ReportMetric(float64(summary.CompletionTime.P50.Milliseconds()), "p50-ms")
	b.ReportMetric(float64(report.LongestSendDelay.Milliseconds()), "loader-late-ms")
}

func writes(deployment *deployer.Deployment) int {
	return deployment.Keeper.Audit()["PUT Journal"]
}
