package dispatcher

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/quarantiner"
)

// Message is what instances tell each other.
type Message struct {
	// Brief messages leave loads, reads and demands out.
	Brief bool
	// Loads are the teller's requests by endpoint.
	Loads map[string]placer.Load
	// Reads are the shared parts of prompts that endpoints read for the teller.
	Reads map[string][]uint64
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
	// Number is the configuration's; 0: none.
	Number uint64
	Age    time.Duration
	// Digest is the registry's; 0: none.
	Digest       uint64
	EndpointsAge time.Duration
}

// Wants says what a peer knows better.
type Wants struct {
	Configuration, Endpoints bool
}

// Boot reads the clock that freshness is measured by.
func (d *Dispatcher) Boot() time.Duration {
	return d.clock.Boot()
}

// Message returns what to tell other instances.
func (d *Dispatcher) Message() (message Message) {
	d.do(func() {
		now := d.clock.Now()
		message.Loads = d.placer.LocalLoads()
		message.Reads = d.placer.LocalPrefills(now)
		message.Demands = d.placer.LocalDemands(now)
		message.Suspects = d.suspected(now)
		configuration, endpoints := d.ages()
		if configuration >= 0 {
			message.Versions.Number, message.Versions.Age = d.current.Load().Number(), configuration
		}
		if endpoints >= 0 {
			message.Versions.Digest, message.Versions.EndpointsAge = d.digest, endpoints
		}
	})

	return message
}

// Heard takes in a peer's message.
func (d *Dispatcher) Heard(peer string, message Message) {
	d.do(func() {
		if !message.Brief {
			d.placer.ReceiveLoads(d.clock.Now(), peer, message.Loads, message.Demands)
			d.placer.ReceivePrefills(message.Reads)
		}
		d.suspect(d.clock.Now(), message.Suspects)
	})
}

// HeardLoad takes in what a peer has at one endpoint.
func (d *Dispatcher) HeardLoad(peer, endpoint string, load placer.Load) {
	d.do(func() { d.placer.ReceiveLoadUpdate(peer, endpoint, load) })
}

// ConfirmedBy takes in what a peer knows, as an answer to a question that was sent
// at the given boot time, and returns what to ask it for. What the peer's read
// confirmed was so at the latest when the question was sent, less the read's
// age.
func (d *Dispatcher) ConfirmedBy(sent time.Duration, versions Versions) (wants Wants) {
	d.do(func() {
		current := d.current.Load()
		switch {
		case versions.Number == 0:
		case current == nil || versions.Number > current.Number():
			wants.Configuration = true
		case versions.Number == current.Number():
			d.confirm(sent - versions.Age)
		}
		at := sent - versions.EndpointsAge
		switch {
		case versions.Digest == 0 || (d.registry.HasListing() && at <= d.listedAt):
		case d.registry.HasListing() && versions.Digest == d.digest:
			d.listedAt = at
			d.registry.RecordReachable(d.clock.Now())
		default:
			wants.Endpoints = true
		}
	})

	return wants
}
