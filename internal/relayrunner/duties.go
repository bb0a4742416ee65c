package relayrunner

import (
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/thejerf/suture/v4"

	"github.com/oleanderpick/oleanderpick/internal/cloudcaller"
	"github.com/oleanderpick/oleanderpick/internal/dutyholder"
	"github.com/oleanderpick/oleanderpick/internal/storer"
	"github.com/oleanderpick/oleanderpick/internal/usagereporter"
	"github.com/oleanderpick/oleanderpick/pkg/usagecounter"
)

// CloudFormat is the format of the platform's cloud API.
type CloudFormat interface {
	cloudcaller.Format
	// Duties returns the duties with the platform's names, separated by commas.
	Duties(names string) []dutyholder.Duty
	// LeaseKind returns the kind of the objects that hold the leases of duties.
	LeaseKind() string
}

// newDuties returns the services of the duties that the settings name; none without a cloud API.
func (r *Runner) newDuties(format CloudFormat, store *storer.Client, logger hclog.Logger) []suture.Service {
	settings := r.settings.Duties
	if settings.CloudURL == "" || format == nil {
		return nil
	}
	client, err := cloudcaller.New(cloudcaller.Settings{URL: settings.CloudURL, Instance: r.settings.Name, CallsPerSecond: settings.CallsPerSecond}, format, r.host.Dial, r.host.SinceBoot)
	if err != nil {
		r.logger.Error("Duties are off.", "error", err)

		return nil
	}
	var services []suture.Service
	if slices.Contains(format.Duties(settings.Names), dutyholder.UsageReport) && settings.UsageWindow > 0 && settings.UsageDelay > 0 {
		holder := r.newHolder(dutyholder.UsageReport, format, store, logger)
		r.usage = r.newUsageReporter(holder, client, logger.Named("usagereporter"))
		services = append(services, holder, r.usage)
	}
	if slices.Contains(format.Duties(settings.Names), dutyholder.Autoscale) {
		holder := r.newHolder(dutyholder.Autoscale, format, store, logger)
		services = append(services, holder, r.newScaler(holder, client, logger.Named("scaler")))
	}

	return services
}

// newHolder returns the holder of a duty.
func (r *Runner) newHolder(duty dutyholder.Duty, format CloudFormat, store *storer.Client, logger hclog.Logger) *dutyholder.Holder {
	return dutyholder.New(dutyholder.Settings{
		Duty: duty, Kind: format.LeaseKind(), Instance: r.settings.Name, Incarnation: r.incarnation,
		LeaseDuration: r.settings.Duties.LeaseDuration, ThawTime: r.settings.Duties.ThawTime, FirstStart: r.settings.FirstStart,
	}, store, r.dispatcher, r.host.SinceBoot, r.counters, logger.Named("dutyholder"))
}

// newUsageReporter returns the reporter of usage, which counts the relayer's requests and gets the
// counts of peers.
func (r *Runner) newUsageReporter(holder *dutyholder.Holder, client *cloudcaller.Client, logger hclog.Logger) *usagereporter.Reporter {
	now := r.host.Now
	if now == nil {
		now = time.Now
	}
	reporter := usagereporter.New(usagereporter.Settings{
		Settings: usagecounter.Settings{Window: r.settings.Duties.UsageWindow, Delay: r.settings.Duties.UsageDelay},
		Instance: r.settings.Name, Incarnation: r.incarnation, FirstStart: r.settings.FirstStart,
	}, usagereporter.Clocks{
		SinceBoot: r.host.SinceBoot, TimeOfDay: func() time.Duration { return time.Duration(now().UnixNano()) },
	}, r.dispatcher.Members, holder, client, r.gossiper, r.counters, logger)
	r.relayer.SetUsageCounter(reporter)
	r.gossiper.SetUsage(reporter)

	return reporter
}
