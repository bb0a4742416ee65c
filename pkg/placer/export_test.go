package placer

import "time"

// RemoteLoad returns the load of all peers at an endpoint.
func (p *Placer) RemoteLoad(id string) Load {
	return p.endpoints[id].remoteLoad
}

// IsSilent reports whether an endpoint has been silent for too long although it runs
// streams.
func (p *Placer) IsSilent(now time.Time, id string) bool { return p.endpoints[id].isSilent(now) }
