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
	// leaseMargin covers the way of a request to an endpoint after the check.
	leaseMargin = 150 * time.Millisecond
	// memoryShare is the part of the process's memory that Go's heap and
	// stacks may take before the collector works harder.
	memoryShare = 0.5
)

// AddService adds a service to the supervisor tree.
func (r *Runner) AddService(service suture.Service) {
	r.tree.Add(service)
}

// Reload takes in new settings: the seeds and all limits. Names and addresses
// hold from the next start.
func (r *Runner) Reload(settings configurer.Relay) {
	r.gossip.Meet(settings.PeerAddresses())
	r.control.Configure(limits(settings))
	limitMemory(settings.Memory)
	r.stopLimit.Store(int64(settings.StopLimit))
	r.logger.Info("Settings are reloaded.", "seeds", settings.Seeds, "key lease", settings.KeyLease.String(),
		"retry share", settings.RetryShare, "retry burst", settings.RetryBurst, "stop limit", settings.StopLimit.String(),
		"name from the next start", settings.Name)
}

// limits are the control state's.
func limits(settings configurer.Relay) dispatcher.Settings {
	return dispatcher.Settings{
		Name:                 settings.Name,
		DataCentre:           settings.DataCentre,
		KeyLeaseDuration:     settings.KeyLease - leaseMargin,
		ReregistrationWindow: settings.EndpointReturn,
		RepeatLimits: retrier.RepeatLimiterSettings{
			Window: settings.RetryWindow, RepeatRatio: settings.RetryShare, Burst: settings.RetryBurst,
		},
	}
}

// limitMemory has the collector keep within a share of the process's megabytes;
// 0: no limit.
func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(float64(megabytes) * memoryShare * (1 << 20)))
	}
}
