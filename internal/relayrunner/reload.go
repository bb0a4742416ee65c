package relayrunner

import (
	"runtime/debug"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/oleanderpick/oleanderpick/internal/configurer"
	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

const (
	// keyLeaseMargin is subtracted from the lease on API keys. It covers the time that a
	// request takes to reach an endpoint after its key was checked.
	keyLeaseMargin = 150 * time.Millisecond
	// sendMargin is subtracted from the times in which an endpoint that leaves gets no more
	// requests and in which a change is in force, or a share of that time if it is less. It covers
	// the time in which a request reaches an endpoint.
	sendMargin      = 250 * time.Millisecond
	sendMarginShare = 8
	// goMemoryFraction is the fraction of the process's memory that Go's heap and stacks
	// may use before the garbage collector runs more often.
	goMemoryFraction = 0.5
)

// AddService adds a service to the supervisor.
func (r *Runner) AddService(service suture.Service) {
	r.supervisor.Add(service)
}

// Reload applies new settings to the running instance: the seeds and all limits. New names
// and addresses take effect only at the next start.
func (r *Runner) Reload(settings configurer.RelaySettings) {
	r.gossiper.AddAddresses(settings.SeedAddresses())
	r.dispatcher.Configure(dispatcherSettings(settings))
	limitMemory(settings.MemoryLimitMB)
	r.relayer.SetMemory(memoryBytes(settings))
	r.stopTimeoutNs.Store(int64(settings.StopTimeout))
	r.logger.Info("Settings are reloaded.", "seeds", settings.Seeds, "key lease", settings.KeyLeaseDuration.String(),
		"retry share", settings.RepeatRatio, "retry burst", settings.RepeatBurst, "stop limit", settings.StopTimeout.String(),
		"name from the next start", settings.Name)
}

// dispatcherSettings returns the dispatcher's part of an instance's settings.
func dispatcherSettings(settings configurer.RelaySettings) dispatcher.Settings {
	return dispatcher.Settings{
		Name:                 settings.Name,
		DataCentre:           settings.DataCentre,
		KeyLeaseDuration:     settings.KeyLeaseDuration - keyLeaseMargin,
		ReregistrationWindow: settings.ReregistrationWindow,
		MinOutage:            time.Duration(scaleFor(settings.DrainLimit) * float64(dispatcher.DefaultMinOutage)),
		MaxConfigurationAge:  maxAge(settings.ChangeLimit),
		MaxEndpointsAge:      maxAge(settings.DrainLimit),
		RepeatLimits: retrier.RepeatLimiterSettings{
			Window: settings.RepeatWindow, RepeatRatio: settings.RepeatRatio, Burst: settings.RepeatBurst,
		},
	}
}

// dispatcherSettings returns the dispatcher's part of an instance's settings at its start, with the
// features that the platform calls for.
func (p Platform) dispatcherSettings(settings configurer.RelaySettings) dispatcher.Settings {
	part := dispatcherSettings(settings)
	if p.Features != nil {
		part.Features = p.Features(settings.Features)
	}

	return part
}

// maxAge returns the age from which data is not used if changes must take effect within a limit.
func maxAge(limit time.Duration) time.Duration {
	return limit - min(sendMargin, limit/sendMarginShare)
}

// memoryBytes returns the process's memory in bytes; 0 if the settings state none.
func memoryBytes(settings configurer.RelaySettings) int64 {
	return int64(settings.MemoryLimitMB) << 20
}

// limitMemory sets Go's soft memory limit to a fraction of the process's memory, which is
// given in megabytes; 0 sets no limit.
func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(float64(megabytes) * goMemoryFraction * (1 << 20)))
	}
}
