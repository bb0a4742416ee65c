package dispatcher

import "github.com/oleanderpick/oleanderpick/pkg/placer"

// RecordStatement records what an endpoint's answer states of its load and pace. If the pace is news,
// the peers that get load updates are told at once.
func (d *Dispatcher) RecordStatement(placement Placement, statement placer.Statement) {
	d.withState(func() {
		if d.placer.RecordStatement(d.clock.Now(), placement.EndpointID, statement) {
			d.onLoadChange(placement.EndpointID, d.placer.LocalLoad(placement.EndpointID))
		}
	})
}
