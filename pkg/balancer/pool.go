package balancer

type poolKey struct{ service, model string }

// pool indexes the endpoints that serve one model of one service. Picks shuffle the
// order of its slices.
type pool struct {
	sameDataCentre   []*trackedEndpoint // in this instance's data centre
	otherDataCentres []*trackedEndpoint
}

// addToPools adds the endpoint to the pool of each of its models, or to the pool without
// a model if it belongs to a plain service.
func (b *Balancer) addToPools(e *trackedEndpoint) {
	if len(e.Models) == 0 {
		b.addToPool(e, "")
	}
	for _, model := range e.Models {
		b.addToPool(e, model)
	}
}

func (b *Balancer) addToPool(e *trackedEndpoint, model string) {
	key := poolKey{e.Service, model}
	p := b.pools[key]
	if p == nil {
		p = &pool{}
		b.pools[key] = p
	}
	if e.crossDataCentre {
		p.otherDataCentres = append(p.otherDataCentres, e)
		return
	}
	p.sameDataCentre = append(p.sameDataCentre, e)
}

// poolFor returns the pool for a request, or nil when no endpoint serves it. A plain
// service's endpoints serve any model.
func (b *Balancer) poolFor(request Request) *pool {
	if p := b.pools[poolKey{request.Service, request.Model}]; p != nil {
		return p
	}
	return b.pools[poolKey{request.Service, ""}]
}
