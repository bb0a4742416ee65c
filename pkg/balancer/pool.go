package balancer

type poolKey struct{ service, model string }

// pool indexes the endpoints that serve one model of one service. The order
// inside is shuffled by picks.
type pool struct {
	local  []*engine
	remote []*engine
}

func (b *Balancer) enlist(e *engine) {
	if len(e.Models) == 0 {
		b.enlistFor(e, "")
	}
	for _, model := range e.Models {
		b.enlistFor(e, model)
	}
}

func (b *Balancer) enlistFor(e *engine, model string) {
	key := poolKey{e.Service, model}
	p := b.pools[key]
	if p == nil {
		p = &pool{}
		b.pools[key] = p
	}
	if e.away {
		p.remote = append(p.remote, e)
		return
	}
	p.local = append(p.local, e)
}

// pool returns the endpoints for a request; a plain service's serve any model.
func (b *Balancer) pool(ask Request) *pool {
	if p := b.pools[poolKey{ask.Service, ask.Model}]; p != nil {
		return p
	}
	return b.pools[poolKey{ask.Service, ""}]
}
