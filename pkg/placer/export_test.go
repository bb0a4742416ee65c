package placer

// Others returns what other instances have at an endpoint.
func (p *Placer) Others(id string) Load {
	return p.endpoints[id].others
}
