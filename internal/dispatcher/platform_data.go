package dispatcher

import (
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/matcher"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// StoredConfiguration is the configuration as the platform stores it. It is sent to other
// instances unchanged.
type StoredConfiguration struct {
	// Spec is the content of the stored object, and Version the object's version in
	// the store.
	Spec    []byte
	Version uint64
}

// RegistrySnapshot is the last listing of the registered endpoints. Instances with equal
// digests have the same listing.
type RegistrySnapshot struct {
	Endpoints []registrar.Endpoint
	Digest    uint64
	// Epoch is the epoch of the store in which the listing was read.
	Epoch uint64
	// HasListing is false if the endpoints have never been listed.
	HasListing bool
}

// ApplyConfiguration makes a configuration the current one if its number is higher, and renews
// the lease on API keys. The read that returned it was sent at the given time since
// boot. A configuration with a lower number than the current one is ignored.
func (d *Dispatcher) ApplyConfiguration(sentAt time.Duration, configuration *matcher.Matcher, stored StoredConfiguration) {
	d.withState(func() {
		current := d.currentMatcher.Load()
		if current != nil && configuration.Number() < current.Number() {
			d.logger.Warn("Older configuration is ignored.", "number", configuration.Number(), "in force", current.Number())

			return
		}
		if current == nil || configuration.Number() > current.Number() {
			d.currentMatcher.Store(configuration)
			d.storedConfiguration = stored
			d.updateScaledServices()
			d.logger.Info("Configuration is in force.", "number", configuration.Number(), "age ms", (d.clock.SinceBoot() - sentAt).Milliseconds())
		}
		d.confirmLease(sentAt)
		d.signalInitialized()
	})
}

// confirmLease renews the lease on API keys: a read sent at the given time since boot
// confirmed the current configuration.
func (d *Dispatcher) confirmLease(sentAt time.Duration) {
	d.lease.Confirm(sentAt)
	d.publishLease()
	d.signalData()
}

// publishLease copies the lease for the goroutines that relay requests.
func (d *Dispatcher) publishLease() {
	lease := *d.lease
	d.sharedLease.Store(&lease)
}

// ApplyListing replaces the registered endpoints by a complete listing of the given epoch of
// the store. The read that returned the listing was sent at the given time since boot. A
// listing that is older than the last one, or of an earlier epoch, is ignored.
func (d *Dispatcher) ApplyListing(sentAt time.Duration, epoch uint64, endpoints []registrar.Endpoint) {
	d.withState(func() {
		d.recordEpoch(epoch)
		if d.isOlderListing(sentAt, epoch) {
			return
		}
		d.listingReadAt, d.listingEpoch = sentAt, epoch
		digest := digestEndpoints(endpoints)
		now := d.clock.Now()
		silence := d.recordReachable(now, sentAt)
		if d.registry.HasListing() && digest == d.listingDigest && !d.hasDepartures {
			return
		}
		d.listingDigest, d.hasDepartures = digest, false
		d.listedEndpoints = endpoints
		d.logListing(len(endpoints), d.clock.SinceBoot()-sentAt, silence, d.registry.ApplyListing(now, endpoints))
		d.updatePlacer()
		d.signalInitialized()
	})
}

// isOlderListing reports whether a listing is older than the last one.
func (d *Dispatcher) isOlderListing(sentAt time.Duration, epoch uint64) bool {
	return d.registry.HasListing() && (epoch < d.listingEpoch || (epoch == d.listingEpoch && sentAt < d.listingReadAt))
}

// ApplyDepartures applies what a complete listing says of endpoints in use that leave or are gone,
// as ApplyListing does. Its new endpoints may not be used yet, so it does not become the last listing.
func (d *Dispatcher) ApplyDepartures(sentAt time.Duration, epoch uint64, endpoints []registrar.Endpoint) {
	d.withState(func() {
		d.recordEpoch(epoch)
		if !d.registry.HasListing() || d.isOlderListing(sentAt, epoch) {
			return
		}
		d.departuresReadAt = max(d.departuresReadAt, sentAt)
		now := d.clock.Now()
		silence := d.recordReachable(now, sentAt)
		changes := d.registry.ApplyDepartures(now, endpoints)
		if len(changes.Draining)+len(changes.Removed)+len(changes.Kept) == 0 {
			return
		}
		d.hasDepartures = true
		d.logListing(len(endpoints), d.clock.SinceBoot()-sentAt, silence, changes)
		d.updatePlacer()
	})
}

// recordReachable records that the registry answered a read sent at a time since boot, and logs an
// outage before that. It returns how long the registry had been silent.
func (d *Dispatcher) recordReachable(now time.Time, sentAt time.Duration) time.Duration {
	d.signalData()
	silence, isOutage := d.registry.RecordReachable(now, d.timeOf(sentAt))
	if isOutage {
		d.logger.Info("The registry was silent; entries that are missing are kept for a while.", "silent ms", silence.Milliseconds())
	}

	return silence
}

// maxLoggedEndpoints limits the endpoints of each list in a log line.
const maxLoggedEndpoints = 8

// logListing logs what a listing changed.
func (d *Dispatcher) logListing(endpointCount int, age, silence time.Duration, changes registrar.Changes) {
	few := func(ids []string) []string { return ids[:min(len(ids), maxLoggedEndpoints)] }
	d.logger.Info("Registry of endpoints changed.", "endpoints", endpointCount, "age ms", age.Milliseconds(), "silent ms", silence.Milliseconds(),
		"draining", few(changes.Draining), "removed", few(changes.Removed), "kept", few(changes.Kept))
}

// IsListed reports whether the last listing has the same incarnation of an endpoint.
func (d *Dispatcher) IsListed(endpoint registrar.Endpoint) (listed bool) {
	d.withState(func() {
		listed = slices.ContainsFunc(d.listedEndpoints, func(known registrar.Endpoint) bool {
			return known.ID == endpoint.ID && known.StartedUnixMs == endpoint.StartedUnixMs && known.Version == endpoint.Version
		})
	})

	return listed
}

// recordEpoch notices that the store came back from an older copy.
func (d *Dispatcher) recordEpoch(epoch uint64) {
	if epoch <= d.storeEpoch {
		return
	}
	if d.storeEpoch > 0 {
		number := uint64(0)
		if current := d.currentMatcher.Load(); current != nil {
			number = current.Number()
		}
		d.logger.Warn("The store came back from an older copy.", "epoch", epoch, "epoch before", d.storeEpoch,
			"configuration", number, "endpoints", len(d.registry.Endpoints()))
		d.registry.RecordRestored(d.clock.Now())
	}
	d.storeEpoch = epoch
}

// digestEndpoints returns a hash of a listing: of the fields of its endpoints, in the order in
// which they are listed. LeavesIn is left out, since it decreases from read to read, and Spot unless
// it is set, so that an older build has the same digest where no endpoint is a spot one.
func digestEndpoints(endpoints []registrar.Endpoint) uint64 {
	hash := fnv.New64a()
	for _, e := range endpoints {
		for _, field := range []string{
			e.ID, e.Service, e.Address, e.DataCentre, e.Version,
			strconv.Itoa(e.Slots), strconv.FormatBool(e.Draining), strconv.FormatInt(e.StartedUnixMs, 10),
		} {
			_, _ = hash.Write([]byte(field))
			_, _ = hash.Write([]byte{0})
		}
		if e.Spot {
			_, _ = hash.Write([]byte("spot\x00"))
		}
	}

	return hash.Sum64()
}

// updatePlacer replaces the placer's endpoints by the registered ones.
func (d *Dispatcher) updatePlacer() {
	d.placer.Configure(d.registry.Endpoints())
	d.throttler.Retain(d.placer.HasEndpoint)
	d.pauser.Retain(d.placer.HasEndpoint)
	d.protector.SetEndpoints(d.clock.Now(), d.registry.Endpoints())
	d.hasBrittle.Store(d.protector.HasBrittle())
	d.hasLimits.Store(d.throttler.HasRecords())
	d.publishReach()
}

// DataAges returns the times since the reads that last confirmed the configuration and the
// endpoints were sent. They are negative where there is no data yet.
func (d *Dispatcher) DataAges() (configuration, endpoints time.Duration) {
	d.withState(func() { configuration, endpoints = d.dataAges() })

	return configuration, endpoints
}

// dataAges is DataAges for callers that hold the lock.
func (d *Dispatcher) dataAges() (configuration, endpoints time.Duration) {
	now := d.clock.SinceBoot()
	configuration, endpoints = -1, -1
	if age, confirmed := d.lease.Age(now); confirmed && d.currentMatcher.Load() != nil {
		configuration = max(0, age)
	}
	if d.registry.HasListing() {
		endpoints = max(0, now-d.listingReadAt)
	}

	return configuration, endpoints
}

// Snapshot returns the stored configuration and the listing of the endpoints, to be sent to
// other instances.
func (d *Dispatcher) Snapshot() (stored StoredConfiguration, registry RegistrySnapshot) {
	d.withState(func() {
		stored = d.storedConfiguration
		registry = RegistrySnapshot{Endpoints: d.listedEndpoints, Digest: d.listingDigest, Epoch: d.listingEpoch, HasListing: d.registry.HasListing()}
	})

	return stored, registry
}

// Fleet is what an instance knows of all instances.
type Fleet struct {
	// InstanceCount is the number of instances, including this one.
	InstanceCount int
	// Rank is the number of live instances that come before this one.
	Rank int
	// IsDivided reports whether instances share their loads only within their data
	// centres.
	IsDivided bool
	// Members are the sorted names of the live instances that are not leaving. The homes
	// of limited endpoints are chosen from them.
	Members []string
	// PeerReaches are those of the live peers that are not leaving.
	PeerReaches []PeerReach
}

// SetFleet sets what is known of all instances.
func (d *Dispatcher) SetFleet(fleet Fleet) {
	d.instanceCount.Store(int64(fleet.InstanceCount))
	d.peerReaches.Store(&fleet.PeerReaches)
	d.members.Store(&fleet.Members)
	d.withState(func() {
		d.repeatLimiter.SetInstanceCount(fleet.InstanceCount)
		d.rank = fleet.Rank
		if d.sharer != nil {
			d.sharer.SetFleet(fleet.InstanceCount)
		}
		if len(fleet.Members) > 0 {
			d.throttler.SetMembers(d.clock.Now(), fleet.Members)
			d.protector.SetMembers(d.clock.Now(), fleet.Members)
			d.pinner.SetMembers(fleet.Members)
		}
		if d.placer.SetFleetDivided(fleet.IsDivided) {
			d.logger.Info("Scope of placement changed.", "own data centre first", fleet.IsDivided, "instances", fleet.InstanceCount)
		}
	})
}

// Members returns the sorted names of the live instances that are not leaving.
func (d *Dispatcher) Members() []string {
	if members := d.members.Load(); members != nil {
		return *members
	}

	return nil
}

// LocalShare returns this instance's equal share of a limit that all instances keep together;
// at least 1.
func (d *Dispatcher) LocalShare(limit int) int {
	return max(1, limit/max(1, int(d.instanceCount.Load())))
}

// Rank returns the number of live instances that come before this one.
func (d *Dispatcher) Rank() (rank int) {
	d.withState(func() { rank = d.rank })

	return rank
}
