package dispatcher

import (
	"hash/fnv"
	"strconv"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/matcher"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// StoredConfiguration is the configuration as the platform keeps it, so that it can be
// passed on to other instances.
type StoredConfiguration struct {
	Spec    []byte
	Version uint64
}

// Registry is the registered endpoints with a digest, by which instances see
// that they know the same.
type Registry struct {
	Endpoints []registrar.Endpoint
	Digest    uint64
	Listed    bool
}

// ApplyConfiguration takes in a configuration that was read by a call sent at the given
// boot time. Lower numbers than the one in force change nothing.
func (d *Dispatcher) ApplyConfiguration(sent time.Duration, configuration *matcher.Matcher, source StoredConfiguration) {
	d.do(func() {
		current := d.current.Load()
		if current != nil && configuration.Number() < current.Number() {
			d.logger.Warn("Configuration went back and is ignored.", "number", configuration.Number(), "in force", current.Number())

			return
		}
		if current == nil || configuration.Number() > current.Number() {
			d.current.Store(configuration)
			d.source = source
			d.logger.Info("Configuration is in force.", "number", configuration.Number(), "age ms", (d.clock.SinceBoot() - sent).Milliseconds())
		}
		d.confirm(sent)
		d.begin()
	})
}

// confirm renews the lease on what is known.
func (d *Dispatcher) confirm(at time.Duration) {
	d.lease.Confirm(at)
	d.share()
}

// share gives traffic a copy of the lease.
func (d *Dispatcher) share() {
	lease := *d.lease
	d.fresh.Store(&lease)
}

// ApplyListing takes in the whole registry of endpoints, read by a call sent at the
// given boot time. An older one than the last changes nothing.
func (d *Dispatcher) ApplyListing(sent time.Duration, endpoints []registrar.Endpoint) {
	d.do(func() {
		if d.registry.HasListing() && sent < d.listedAt {
			return
		}
		d.listedAt = sent
		digest := digestOf(endpoints)
		now := d.clock.Now()
		d.registry.RecordReachable(now)
		if d.registry.HasListing() && digest == d.digest {
			return
		}
		d.digest = digest
		d.read = endpoints
		d.registry.ApplyListing(now, endpoints)
		d.logger.Info("Registry of endpoints changed.", "endpoints", len(endpoints), "age ms", (d.clock.SinceBoot() - sent).Milliseconds())
		d.place()
		d.begin()
	})
}

// digestOf tells registries apart.
func digestOf(endpoints []registrar.Endpoint) uint64 {
	sum := fnv.New64a()
	for _, e := range endpoints {
		for _, field := range []string{
			e.ID, e.Service, e.Address, e.DataCentre,
			strconv.Itoa(e.Slots), strconv.FormatBool(e.Draining), strconv.FormatInt(e.StartedUnixMs, 10),
		} {
			_, _ = sum.Write([]byte(field))
			_, _ = sum.Write([]byte{0})
		}
	}

	return sum.Sum64()
}

// place gives the placer the registered endpoints.
func (d *Dispatcher) place() {
	d.placer.Configure(d.registry.Endpoints())
}

// DataAges returns how old the knowledge of the configuration and of the endpoints
// is; negative: there is none.
func (d *Dispatcher) DataAges() (configuration, endpoints time.Duration) {
	d.do(func() { configuration, endpoints = d.ages() })

	return configuration, endpoints
}

func (d *Dispatcher) ages() (configuration, endpoints time.Duration) {
	now := d.clock.SinceBoot()
	configuration, endpoints = -1, -1
	if age, known := d.lease.Age(now); known && d.current.Load() != nil {
		configuration = max(0, age)
	}
	if d.registry.HasListing() {
		endpoints = max(0, now-d.listedAt)
	}

	return configuration, endpoints
}

// Snapshot returns what to pass on to other instances.
func (d *Dispatcher) Snapshot() (source StoredConfiguration, registry Registry) {
	d.do(func() {
		source = d.source
		registry = Registry{Endpoints: d.read, Digest: d.digest, Listed: d.registry.HasListing()}
	})

	return source, registry
}

// SetInstanceCountAndRank tells how many instances there are and how many live ones come before
// this one.
func (d *Dispatcher) SetInstanceCountAndRank(instances, rank int) {
	d.instances.Store(int64(instances))
	d.do(func() {
		d.retries.SetInstanceCount(instances)
		d.rank = rank
	})
}

// LocalShare returns this instance's part of a limit that all instances share; at
// least 1.
func (d *Dispatcher) LocalShare(limit int) int {
	return max(1, limit/max(1, int(d.instances.Load())))
}

// Rank returns how many live instances come before this one.
func (d *Dispatcher) Rank() (rank int) {
	d.do(func() { rank = d.rank })

	return rank
}
