package dispatcher

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/quarantiner"
)

// Message is what instances tell each other.
type Message struct {
	// OmitsLoads messages leave loads, reads and demands out.
	OmitsLoads bool
	// Loads are the teller's requests by endpoint.
	Loads map[string]placer.Load
	// Prefills are the shared parts of prompts that endpoints read for the teller.
	Prefills map[string][]uint64
	// Demands are what arrives at the teller by service.
	Demands map[string]placer.Demand
	// Suspects are requests that crashed endpoints.
	Suspects []quarantiner.Entry
	// Versions is what the teller knows from the platform.
	Versions Versions
}

// Versions says which configuration and registry an instance knows, and how old
// the reads are that confirmed them.
type Versions struct {
	// ConfigurationNumber is the configuration's; 0: none.
	ConfigurationNumber uint64
	ConfigurationAge    time.Duration
	// EndpointsDigest is the registry's; 0: none.
	EndpointsDigest uint64
	EndpointsAge    time.Duration
}

// FetchPlan says what a peer knows better.
type FetchPlan struct {
	Configuration, Endpoints bool
}

// SinceBoot reads the clock that freshness is measured by.
func (d *Dispatcher) SinceBoot() time.Duration {
	return d.clock.SinceBoot()
}

// BuildMessage returns what to tell other instances.
func (d *Dispatcher) BuildMessage() (message Message) {
	d.do(func() {
		now := d.clock.Now()
		message.Loads = d.placer.LocalLoads()
		message.Prefills = d.placer.LocalPrefills(now)
		message.Demands = d.placer.LocalDemands(now)
		message.Suspects = d.suspected(now)
		configuration, endpoints := d.ages()
		if configuration >= 0 {
			message.Versions.ConfigurationNumber, message.Versions.ConfigurationAge = d.current.Load().Number(), configuration
		}
		if endpoints >= 0 {
			message.Versions.EndpointsDigest, message.Versions.EndpointsAge = d.digest, endpoints
		}
	})

	return message
}

// ReceiveMessage takes in a peer's message.
func (d *Dispatcher) ReceiveMessage(peer string, message Message) {
	d.do(func() {
		if !message.OmitsLoads {
			d.placer.ReceiveLoads(d.clock.Now(), peer, message.Loads, message.Demands)
			d.placer.ReceivePrefills(message.Prefills)
		}
		d.suspect(d.clock.Now(), message.Suspects)
	})
}

// HeardLoad takes in what a peer has at one endpoint.
func (d *Dispatcher) HeardLoad(peer, endpoint string, load placer.Load) {
	d.do(func() { d.placer.ReceiveLoadUpdate(peer, endpoint, load) })
}

// ReceiveVersions takes in what a peer knows, as an answer to a question that was sent
// at the given boot time, and returns what to ask it for. What the peer's read
// confirmed was so at the latest when the question was sent, less the read's
// age.
func (d *Dispatcher) ReceiveVersions(sent time.Duration, versions Versions) (wants FetchPlan) {
	d.do(func() {
		current := d.current.Load()
		switch {
		case versions.ConfigurationNumber == 0:
		case current == nil || versions.ConfigurationNumber > current.Number():
			wants.Configuration = true
		case versions.ConfigurationNumber == current.Number():
			d.confirm(sent - versions.ConfigurationAge)
		}
		at := sent - versions.EndpointsAge
		switch {
		case versions.EndpointsDigest == 0 || (d.registry.HasListing() && at <= d.listedAt):
		case d.registry.HasListing() && versions.EndpointsDigest == d.digest:
			d.listedAt = at
			d.registry.RecordReachable(d.clock.Now())
		default:
			wants.Endpoints = true
		}
	})

	return wants
}
