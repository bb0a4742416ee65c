package dispatcher

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/matcher"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// Confirmed takes in a configuration that was read by a call sent at the given
// boot time. Lower numbers than the one in force change nothing.
func (d *Dispatcher) Confirmed(sent time.Duration, configuration *matcher.Matcher) {
	d.do(func() {
		current := d.current.Load()
		if current != nil && configuration.Number() < current.Number() {
			d.logger.Warn("Configuration went back and is ignored.", "number", configuration.Number(), "in force", current.Number())

			return
		}
		if current == nil || configuration.Number() > current.Number() {
			d.current.Store(configuration)
			d.logger.Info("Configuration is in force.", "number", configuration.Number())
		}
		d.confirm(sent)
	})
}

// confirm renews the lease on what is known.
func (d *Dispatcher) confirm(at time.Duration) {
	d.lease.Confirm(at)
	if age, known := d.lease.Age(at); known {
		d.freshUntil.Store(int64(at - age + d.lifetime))
	}
}

// Listed takes in the whole registry of endpoints.
func (d *Dispatcher) Listed(endpoints []registrar.Endpoint) {
	d.do(func() {
		now := d.clock.Now()
		d.registry.Reached(now)
		d.registry.List(now, endpoints)
		d.place()
	})
}

// place gives the placer the registered endpoints.
func (d *Dispatcher) place() {
	d.placer.Configure(d.registry.Endpoints())
}

// Shared tells how many instances there are.
func (d *Dispatcher) Shared(instances int) {
	d.do(func() {
		d.instances = instances
		d.retries.Shared(instances)
	})
}
