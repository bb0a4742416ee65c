package placer

import "time"

// RemoteLoad returns the load of all peers at an endpoint.
func (p *Placer) RemoteLoad(id string) Load {
	e := p.endpoints[id]

	return e.peerLoad.plus(e.summarizedLoad, 1)
}

// IsSilent reports whether an endpoint has been silent for too long although it runs
// streams.
func (p *Placer) IsSilent(now time.Time, id string) bool { return p.endpoints[id].isSilent(now) }
