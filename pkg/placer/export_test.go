package placer

import "time"

// Others returns what other instances have at an endpoint.
func (p *Placer) Others(id string) Load {
	return p.endpoints[id].others
}

// Silent reports whether an endpoint's streams have all stopped.
func (p *Placer) Silent(now time.Time, id string) bool { return p.endpoints[id].silent(now) }
