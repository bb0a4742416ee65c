package dispatcher

import (
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/prober"
)

// PeerReach is what is known of a peer's reach.
type PeerReach struct {
	// Address is where the peer gets requests that are passed on.
	Address string
	// CutOffFrom are the names of the services of which it reaches no endpoint.
	CutOffFrom []string
}

// ProbeTarget is an endpoint to open a connection to.
type ProbeTarget struct {
	EndpointID, Address string
}

// serviceReach is what this instance knows of its reach to the endpoints of one service.
type serviceReach struct {
	prober      *prober.Prober
	cutOffSince time.Time
	wasCutOff   bool // as it was logged last
}

// reachSummary is a copy of the reach to all services for other goroutines. It does not change.
type reachSummary struct {
	cutOffFrom     []string // names of services, sorted
	hasUnreachable bool     // some endpoint could not be reached since one of its service could
}

// IsCutOffFrom reports whether this instance reaches no endpoint of a service. It takes
// no lock.
func (d *Dispatcher) IsCutOffFrom(service string) bool {
	return slices.Contains(d.reach.Load().cutOffFrom, service)
}

// CutOffFrom returns the names of the services of which this instance reaches no endpoint. The
// slice must not be changed.
func (d *Dispatcher) CutOffFrom() []string {
	return d.reach.Load().cutOffFrom
}

// HelpfulPeers returns the addresses of the peers to which requests for a service can be passed
// on, because they reach endpoints of it, as far as is known.
func (d *Dispatcher) HelpfulPeers(service string) []string {
	peers := d.peerReaches.Load()
	if peers == nil {
		return nil
	}
	addresses := make([]string, 0, len(*peers))
	for _, peer := range *peers {
		if !slices.Contains(peer.CutOffFrom, service) {
			addresses = append(addresses, peer.Address)
		}
	}

	return addresses
}

// RecordUnreachable records that no connection to an endpoint of a service could be opened, or
// that nothing came from it for long.
func (d *Dispatcher) RecordUnreachable(service, endpoint string) {
	d.withState(func() {
		d.reachOf(service).prober.RecordFailure(endpoint)
		d.recordReach(service, "attempt")
	})
}

// SuspectOthers makes the reach to all other services uncertain, because the instance is cut off
// from one. It returns their names.
func (d *Dispatcher) SuspectOthers(service string) (others []string) {
	d.withState(func() {
		for _, other := range d.registeredServices() {
			if other != service && !d.reachOf(other).prober.IsCutOff() {
				d.reachOf(other).prober.Suspect()
				others = append(others, other)
			}
		}
		d.publishReach()
	})

	return others
}

// RecordConnected records that a connection to an endpoint of a service was opened.
func (d *Dispatcher) RecordConnected(service string) {
	if d.reach.Load().hasUnreachable {
		d.withState(func() {
			d.reachOf(service).prober.RecordSuccess()
			d.recordReach(service, "attempt")
		})
	}
}

// StartProbes returns the endpoints of a service to probe now; none if there is no reason to.
// Pass them to EndProbes.
func (d *Dispatcher) StartProbes(service string) (targets []ProbeTarget) {
	d.withState(func() {
		addresses := map[string]string{}
		var ids []string
		for _, endpoint := range d.registry.Endpoints() {
			if endpoint.Service == service && !endpoint.Draining {
				addresses[endpoint.ID] = endpoint.Address
				ids = append(ids, endpoint.ID)
			}
		}
		for _, id := range d.reachOf(service).prober.StartRound(d.clock.Now(), ids) {
			targets = append(targets, ProbeTarget{EndpointID: id, Address: addresses[id]})
		}
	})

	return targets
}

// EndProbes records whether one of the probed endpoints of a service accepted a connection.
func (d *Dispatcher) EndProbes(service string, targets []ProbeTarget, succeeded bool) {
	d.withState(func() {
		ids := make([]string, 0, len(targets))
		for _, target := range targets {
			ids = append(ids, target.EndpointID)
		}
		d.reachOf(service).prober.EndRound(ids, succeeded)
		d.recordReach(service, "probe")
	})
}

func (d *Dispatcher) reachOf(service string) *serviceReach {
	r := d.reaches[service]
	if r == nil {
		r = &serviceReach{prober: prober.New()}
		d.reaches[service] = r
	}

	return r
}

// registeredServices returns the sorted names of the services that have registered endpoints.
func (d *Dispatcher) registeredServices() []string {
	endpoints := d.registry.Endpoints()
	services := make([]string, 0, len(endpoints))
	for _, endpoint := range endpoints {
		services = append(services, endpoint.Service)
	}
	slices.Sort(services)

	return slices.Compact(services)
}

// publishReach copies the reach to the registered services for other goroutines.
func (d *Dispatcher) publishReach() {
	summary := &reachSummary{}
	for _, service := range d.registeredServices() {
		reach := d.reaches[service]
		if reach == nil {
			continue
		}
		summary.hasUnreachable = summary.hasUnreachable || reach.prober.IsSuspected()
		if reach.prober.IsCutOff() {
			summary.cutOffFrom = append(summary.cutOffFrom, service)
		}
	}
	d.reach.Store(summary)
}

// recordReach publishes the reach to a service and logs whether it has changed.
func (d *Dispatcher) recordReach(service, source string) {
	d.publishReach()
	reach := d.reachOf(service)
	isCutOff := reach.prober.IsCutOff()
	if isCutOff == reach.wasCutOff {
		return
	}
	now := d.clock.Now()
	reach.wasCutOff = isCutOff
	if isCutOff {
		reach.cutOffSince = now
		d.logger.Warn("Instance reaches no endpoint of a service.", "service", service, "cut off from", d.CutOffFrom(), "helpful peers", len(d.HelpfulPeers(service)))

		return
	}
	d.logger.Warn("Instance reaches endpoints of a service again.", "service", service, "source", source, "after ms", now.Sub(reach.cutOffSince).Milliseconds())
}
