// Package pauser decides which endpoints get no requests for a while because they have
// asked this instance for a pause.
//
// A pause holds for the instance that was asked, and ends by itself. Of several pauses of
// an endpoint the one that ends last counts. A Pauser is not safe for concurrent use.
package pauser

import "time"

// MaxPause is the longest pause that is granted to an endpoint at once.
const MaxPause = 10 * time.Minute

// Pauser stores the ends of the endpoints' pauses.
type Pauser struct {
	ends map[string]time.Time // by endpoint ID
}

// New returns a Pauser without pauses.
func New() *Pauser {
	return &Pauser{ends: map[string]time.Time{}}
}

// Record records that an endpoint asked for a pause, and returns when its pauses end.
func (p *Pauser) Record(now time.Time, endpoint string, pause time.Duration) time.Time {
	end := now.Add(min(max(0, pause), MaxPause))
	if known := p.ends[endpoint]; known.After(end) {
		end = known
	}
	p.ends[endpoint] = end

	return end
}

// Ends returns the ends of the pauses that have not ended, by endpoint ID; nil if there are
// none.
func (p *Pauser) Ends(now time.Time) map[string]time.Time {
	var ends map[string]time.Time
	for endpoint, end := range p.ends {
		if !end.After(now) {
			delete(p.ends, endpoint)

			continue
		}
		if ends == nil {
			ends = make(map[string]time.Time, len(p.ends))
		}
		ends[endpoint] = end
	}

	return ends
}

// Retain forgets the pauses of endpoints that are not registered any more.
func (p *Pauser) Retain(isRegistered func(endpoint string) bool) {
	for endpoint := range p.ends {
		if !isRegistered(endpoint) {
			delete(p.ends, endpoint)
		}
	}
}
