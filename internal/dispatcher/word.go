package dispatcher

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// Word is what instances tell each other.
type Word struct {
	// Loads are the teller's requests by endpoint.
	Loads map[string]placer.Load
	// Reads are the shared parts of prompts that endpoints read for the teller.
	Reads map[string][]uint64
	// Demands are what arrives at the teller by service.
	Demands map[string]placer.Demand
	// Number is that of the teller's configuration; 0: none. Age is the age
	// of its last confirmation.
	Number uint64
	Age    time.Duration
}

// Boot reads the clock that freshness is measured by.
func (d *Dispatcher) Boot() time.Duration {
	return d.clock.Boot()
}

// Tells returns what to tell other instances.
func (d *Dispatcher) Tells() (word Word) {
	d.do(func() {
		word.Loads = d.placer.Loads()
		word.Reads = d.placer.Reads(d.clock.Now())
		word.Demands = d.placer.Demands(d.clock.Now())
		age, known := d.lease.Age(d.clock.Boot())
		if current := d.current.Load(); current != nil && known && age >= 0 {
			word.Number, word.Age = current.Number(), age
		}
	})

	return word
}

// Heard takes in a peer's word.
func (d *Dispatcher) Heard(peer string, word Word) {
	d.do(func() {
		d.placer.Heard(d.clock.Now(), peer, word.Loads, word.Demands)
		d.placer.HeardReads(word.Reads)
	})
}

// Vouched takes in that a peer has a configuration confirmed. It was so at the
// latest when the question was sent, less the confirmation's age.
func (d *Dispatcher) Vouched(sent time.Duration, number uint64, age time.Duration) {
	d.do(func() {
		if current := d.current.Load(); current != nil && number > 0 && number == current.Number() {
			d.confirm(sent - age)
		}
	})
}
