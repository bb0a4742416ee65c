package dispatcher

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/quarantiner"
)

// Word is what instances tell each other.
type Word struct {
	// Brief words leave loads, reads and demands out.
	Brief bool
	// Loads are the teller's requests by endpoint.
	Loads map[string]placer.Load
	// Reads are the shared parts of prompts that endpoints read for the teller.
	Reads map[string][]uint64
	// Demands are what arrives at the teller by service.
	Demands map[string]placer.Demand
	// Suspects are requests that crashed endpoints.
	Suspects []quarantiner.Entry
	// Vouch is what the teller knows from the platform.
	Vouch Vouch
}

// Vouch says which configuration and registry an instance knows, and how old
// the reads are that confirmed them.
type Vouch struct {
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

// Tells returns what to tell other instances.
func (d *Dispatcher) Tells() (word Word) {
	d.do(func() {
		now := d.clock.Now()
		word.Loads = d.placer.Loads()
		word.Reads = d.placer.Reads(now)
		word.Demands = d.placer.Demands(now)
		word.Suspects = d.suspected(now)
		configuration, endpoints := d.ages()
		if configuration >= 0 {
			word.Vouch.Number, word.Vouch.Age = d.current.Load().Number(), configuration
		}
		if endpoints >= 0 {
			word.Vouch.Digest, word.Vouch.EndpointsAge = d.digest, endpoints
		}
	})

	return word
}

// Heard takes in a peer's word.
func (d *Dispatcher) Heard(peer string, word Word) {
	d.do(func() {
		if !word.Brief {
			d.placer.Heard(d.clock.Now(), peer, word.Loads, word.Demands)
			d.placer.HeardReads(word.Reads)
		}
		d.suspect(d.clock.Now(), word.Suspects)
	})
}

// Vouched takes in what a peer knows, as an answer to a question that was sent
// at the given boot time, and returns what to ask it for. What the peer's read
// confirmed was so at the latest when the question was sent, less the read's
// age.
func (d *Dispatcher) Vouched(sent time.Duration, vouch Vouch) (wants Wants) {
	d.do(func() {
		current := d.current.Load()
		switch {
		case vouch.Number == 0:
		case current == nil || vouch.Number > current.Number():
			wants.Configuration = true
		case vouch.Number == current.Number():
			d.confirm(sent - vouch.Age)
		}
		at := sent - vouch.EndpointsAge
		switch {
		case vouch.Digest == 0 || (d.registry.Listed() && at <= d.listedAt):
		case d.registry.Listed() && vouch.Digest == d.digest:
			d.listedAt = at
			d.registry.Reached(d.clock.Now())
		default:
			wants.Endpoints = true
		}
	})

	return wants
}
