package dispatcher

import (
	"github.com/oleanderpick/oleanderpick/pkg/matcher"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// ScaledService is what is known of a service whose endpoints are ordered.
type ScaledService struct {
	matcher.Service

	// Endpoints are the registered ones.
	Endpoints []registrar.Endpoint
	// Demands are the demands by data centre.
	Demands map[string]placer.WantedDemand
	// HasCurrentRegistry is false if the registry is older than it may be.
	HasCurrentRegistry bool
}

// OrderEndpoints makes the demand for services that the configuration scales known to all
// instances. Call it before Serve, on every instance of a deployment that orders endpoints.
func (d *Dispatcher) OrderEndpoints() {
	d.withState(func() {
		d.ordersEndpoints = true
		d.updateScaledServices()
	})
}

// updateScaledServices tells the placer the services whose endpoints are ordered.
func (d *Dispatcher) updateScaledServices() {
	current := d.currentMatcher.Load()
	if !d.ordersEndpoints || current == nil {
		return
	}
	var names []string
	for _, service := range current.ScaledServices() {
		names = append(names, service.Name)
	}
	d.placer.SetScaledServices(names)
}

// ScaledServices returns what is known of the services whose endpoints are ordered. It returns none
// unless OrderEndpoints was called and the registry has been listed.
func (d *Dispatcher) ScaledServices() (services []ScaledService) {
	d.withState(func() {
		current := d.currentMatcher.Load()
		if !d.ordersEndpoints || current == nil || !d.registry.HasListing() {
			return
		}
		now := d.clock.Now()
		for _, service := range current.ScaledServices() {
			scaled := ScaledService{Service: service, Demands: d.placer.WantedDemands(now, service.Name), HasCurrentRegistry: d.isRegistryCurrent()}
			for _, endpoint := range d.registry.Endpoints() {
				if endpoint.Service == service.Name {
					scaled.Endpoints = append(scaled.Endpoints, endpoint)
				}
			}
			services = append(services, scaled)
		}
	})

	return services
}
