package dispatcher

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/protector"
	"github.com/oleanderpick/oleanderpick/pkg/throttler"
)

// Rejection is the last one by a brittle endpoint.
type Rejection struct {
	EndpointID string
	At         time.Time
}

// OnRejection sets the function that is called when a brittle endpoint rejects a request of this
// instance. The function must not block. Call OnRejection before Serve.
func (d *Dispatcher) OnRejection(callback func(endpoint string)) {
	d.onRejection = callback
}

// HasBrittleEndpoints reports whether the endpoints of any service are brittle. It takes
// no lock.
func (d *Dispatcher) HasBrittleEndpoints() bool {
	return d.hasBrittle.Load()
}

// RecordMaxRejections records what an answer says of the rejections a second that the endpoints
// of a service bear. The request was sent at sentAt.
func (d *Dispatcher) RecordMaxRejections(service string, sentAt time.Time, maxRejections throttler.Limit) {
	d.withState(func() {
		if d.protector.RecordAnswer(d.clock.Now(), sentAt, service, maxRejections) {
			d.logBrittle(service, "answer")
		}
	})
}

// logBrittle logs that the endpoints of a service have become brittle or are not any more.
func (d *Dispatcher) logBrittle(service, source string) {
	d.hasBrittle.Store(d.protector.HasBrittle())
	d.logger.Info("Brittleness of endpoints changed.", "service", service, "brittle", d.protector.IsBrittle(service), "source", source)
}

// BrittleServices returns what to tell a peer of services whose endpoints are or were brittle;
// nothing if none are now.
func (d *Dispatcher) BrittleServices() (statements []throttler.Statement) {
	if d.HasBrittleEndpoints() {
		d.withState(func() { statements = d.protector.Statements(d.clock.Now()) })
	}

	return statements
}

// ReceiveBrittleServices records what a peer knows of services whose endpoints are or were
// brittle.
func (d *Dispatcher) ReceiveBrittleServices(statements []throttler.Statement) {
	if len(statements) == 0 {
		return
	}
	d.withState(func() {
		for _, statement := range statements {
			wasBrittle := d.protector.IsBrittle(statement.Endpoint)
			d.protector.ReceiveStatements(d.clock.Now(), []throttler.Statement{statement})
			if d.protector.IsBrittle(statement.Endpoint) != wasBrittle {
				d.logBrittle(statement.Endpoint, "peer")
			}
		}
	})
}

// RecordRejection records that the placement's endpoint rejected a request.
func (d *Dispatcher) RecordRejection(placement Placement) {
	if !d.HasBrittleEndpoints() {
		return
	}
	d.withState(func() {
		if d.protector.RecordRejection(d.clock.Now(), placement.EndpointID, placement.KnownLoad.RunningRequests) {
			d.logger.Info("Brittle endpoint rejected a request.", "endpoint", placement.EndpointID, "known running", placement.KnownLoad.RunningRequests)
			d.onRejection(placement.EndpointID)
		}
	})
}

// ReceiveRejections records rejections that a peer knows of.
func (d *Dispatcher) ReceiveRejections(rejections []Rejection) {
	if len(rejections) == 0 {
		return
	}
	d.withState(func() { d.recordRejections(rejections) })
}

// recordRejections is ReceiveRejections for callers that hold the lock.
func (d *Dispatcher) recordRejections(rejections []Rejection) {
	for _, rejection := range rejections {
		running, _ := d.placer.Occupancy(rejection.EndpointID)
		d.protector.RecordRejection(rejection.At, rejection.EndpointID, running)
	}
}

// recentRejections returns the rejections to tell peers.
func (d *Dispatcher) recentRejections(now time.Time) (rejections []Rejection) {
	if !d.HasBrittleEndpoints() {
		return nil
	}
	for endpoint, at := range d.protector.Rejections(now) {
		rejections = append(rejections, Rejection{EndpointID: endpoint, At: at})
	}

	return rejections
}

// needsProtection reports whether a request of a tier may go to an endpoint only with a permit,
// because the endpoint is brittle and may reject the request.
func (d *Dispatcher) needsProtection(now time.Time, endpoint string, tier int) bool {
	return d.HasBrittleEndpoints() && d.protector.NeedsPermit(now, endpoint, tier, d.occupancy(endpoint))
}

func (d *Dispatcher) occupancy(endpoint string) protector.Occupancy {
	running, slots := d.placer.Occupancy(endpoint)

	return protector.Occupancy{Running: running, Slots: slots}
}

// addProtected adds the brittle endpoints that a request of a tier may not go to now.
func (d *Dispatcher) addProtected(now time.Time, blocked map[string]time.Time, tier int, mayRequest bool) map[string]time.Time {
	if !d.HasBrittleEndpoints() {
		return blocked
	}
	for endpoint, end := range d.protector.Blocked(now, tier, mayRequest) {
		if !d.needsProtection(now, endpoint, tier) {
			continue
		}
		if blocked == nil {
			blocked = map[string]time.Time{}
		}
		if end.After(blocked[endpoint]) {
			blocked[endpoint] = end
		}
	}

	return blocked
}
