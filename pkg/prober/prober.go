package prober

import (
	"slices"
	"time"
)

const (
	// probesPerRound is the number of endpoints probed at the same time.
	probesPerRound = 3
	// minFailedRounds is the number of rounds without success after which the instance
	// counts as cut off.
	minFailedRounds = 2
	// roundInterval is the shortest time between two rounds, unless the first one failed and
	// the second one decides whether the instance is cut off.
	roundInterval = 300 * time.Millisecond
)

// Prober is what one instance knows of its reach to the endpoints of one service.
type Prober struct {
	isSuspected bool // there is a reason to probe
	// failed are the endpoints that could not be reached since one could, in order.
	failed       []string
	failedRounds int
	isProbing    bool
	lastRoundAt  time.Time
	next         int // position in the listed endpoints at which the next round begins
}

// New returns the prober of an instance that reaches its endpoints.
func New() *Prober {
	return &Prober{}
}

// RecordFailure records that no connection to an endpoint could be opened, or that nothing came
// from it.
func (p *Prober) RecordFailure(endpoint string) {
	p.isSuspected = true
	if !slices.Contains(p.failed, endpoint) {
		p.failed = append(p.failed, endpoint)
	}
}

// RecordSuccess records that a connection to an endpoint was opened.
func (p *Prober) RecordSuccess() {
	p.isSuspected, p.failed, p.failedRounds = false, nil, 0
}

// Suspect makes it uncertain whether any endpoint can be reached.
func (p *Prober) Suspect() {
	p.isSuspected = true
}

// IsSuspected reports whether it is uncertain that an endpoint can be reached, or certain that
// none can.
func (p *Prober) IsSuspected() bool {
	return p.isSuspected
}

// IsCutOff reports whether the instance reaches no endpoint of the service.
func (p *Prober) IsCutOff() bool {
	return p.failedRounds >= minFailedRounds
}

// StartRound returns which of the endpoints to probe now; none if there is no reason to, or a
// round is in progress. Pass the result of the round to EndRound. Endpoints that have not
// failed yet go first.
func (p *Prober) StartRound(now time.Time, endpoints []string) []string {
	isSecondRound := p.failedRounds > 0 && !p.IsCutOff()
	if p.isProbing || !p.isSuspected || len(endpoints) == 0 || (!isSecondRound && now.Sub(p.lastRoundAt) < roundInterval) {
		return nil
	}
	p.isProbing, p.lastRoundAt = true, now
	var untried, tried []string
	for i := range endpoints {
		endpoint := endpoints[(p.next+i)%len(endpoints)]
		if slices.Contains(p.failed, endpoint) {
			tried = append(tried, endpoint)
		} else {
			untried = append(untried, endpoint)
		}
	}
	p.next = (p.next + probesPerRound) % len(endpoints)
	candidates := slices.Concat(untried, tried)

	return candidates[:min(probesPerRound, len(candidates))]
}

// EndRound records whether one of the probed endpoints accepted a connection.
func (p *Prober) EndRound(probed []string, succeeded bool) {
	p.isProbing = false
	if succeeded {
		p.RecordSuccess()

		return
	}
	for _, endpoint := range probed {
		p.RecordFailure(endpoint)
	}
	p.failedRounds++
}
