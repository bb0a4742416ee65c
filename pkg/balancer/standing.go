package balancer

import (
	"slices"
	"time"
)

const (
	// assessEvery is the time between comparisons of an endpoint with its peers.
	assessEvery = 200 * time.Millisecond
	// stallAfter is the silence of running streams that counts as slowness.
	stallAfter = time.Second
	// failuresMost is the failures in a row that eject an endpoint.
	failuresMost = 3
	// failureEcho is how long tokens sent before a crash may still arrive.
	failureEcho = 300 * time.Millisecond
	// recoverFactor is the share of Settings.SlowFactor at which a slow
	// endpoint is healthy again.
	recoverFactor = 0.6
	// ejectMost is the longest ejection.
	ejectMost = 30 * time.Second
	// slowPause is how many times longer a slow endpoint is ejected than a
	// failing one: each probe of it is a slow answer.
	slowPause = 4
	// ejectMemory is the healthy time after which ejections no longer count
	// as in a row.
	ejectMemory = time.Minute
	// probeTier is the highest tier whose requests are used as probes at once.
	probeTier = 2
	// probePatience is how long a probe waits for a request of a lower tier.
	probePatience = time.Second
)

// standing is an endpoint's place in the circuit: healthy, suspect (half-open)
// or ejected (open).
type standing struct {
	status    Status
	slow      bool // else failing
	failures  int  // in a row
	failed    time.Time
	ejections int // in a row
	due       time.Time
	restored  time.Time
	probe     uint64 // request that probes it
	probing   bool
}

// tick compares endpoints with their peers and opens due probes.
func (b *Balancer) tick(now time.Time) {
	if now.Before(b.assess) {
		return
	}
	b.assess = now.Add(assessEvery)
	for _, g := range b.groups {
		g.observe(now)
		for _, e := range g.engines {
			b.judge(now, e)
			e.relax(now)
		}
	}
	for _, e := range slices.Clone(b.ejected) {
		if !now.Before(e.standing.due) {
			b.suspect(e, e.standing.due)
		}
	}
}

// judge ejects a slow endpoint and restores one that is no longer slow.
func (b *Balancer) judge(now time.Time, e *engine) {
	own, known := e.observed(now)
	if !known {
		return
	}
	peers, known := e.group.peers(own)
	if !known {
		return
	}
	switch {
	case own > peers*b.settings.SlowFactor:
		if e.standing.status != Ejected {
			b.eject(now, e, true)
		}
	case own < peers*b.settings.SlowFactor*recoverFactor:
		if e.standing.status != Healthy && e.standing.slow {
			b.restore(now, e)
		}
	}
}

// eject stops traffic to the endpoint for a while, unless the share of its
// peers that are ejected is at the cap.
func (b *Balancer) eject(now time.Time, e *engine, slow bool) {
	s := &e.standing
	if s.status != Ejected && e.group.ejected >= b.mostEjected(e.group) {
		b.spare(now, e, slow)
		return
	}
	s.slow = slow
	if now.Sub(s.restored) > ejectMemory && s.status == Healthy {
		s.ejections = 0
	}
	pause := b.settings.EjectFor
	if slow {
		pause *= slowPause
	}
	pause = min(ejectMost, pause<<min(s.ejections, 10))
	s.ejections++
	s.due = now.Add(pause)
	b.move(e, Ejected)
}

// relieve lets ejected endpoints be probed at once where their group has
// shrunk and the cap with it.
func (b *Balancer) relieve(now time.Time) {
	for _, e := range slices.Clone(b.ejected) {
		if e.group.ejected > b.mostEjected(e.group) {
			b.suspect(e, now)
		}
	}
}

// spare handles an endpoint that the cap saves from ejection: a slow one keeps
// what its limit allows, a failing one takes one request at a time.
func (b *Balancer) spare(now time.Time, e *engine, slow bool) {
	s := &e.standing
	if s.status == Suspect {
		s.due = now.Add(b.settings.EjectFor)
		return
	}
	if !slow {
		s.slow = false
		b.suspect(e, now)
	}
}

func (b *Balancer) mostEjected(g *group) int {
	if len(g.engines) < 2 {
		return 0
	}
	return max(1, int(b.settings.MaxEjected*float64(len(g.engines))))
}

// suspect lets one request at a time through, from the time due on.
func (b *Balancer) suspect(e *engine, due time.Time) {
	e.standing.due = due
	e.standing.probing = false
	if e.standing.slow {
		e.meter.reset()
	}
	b.move(e, Suspect)
}

func (b *Balancer) restore(now time.Time, e *engine) {
	e.standing.failures = 0
	e.standing.probing = false
	e.standing.restored = now
	e.limit = e.slots
	b.move(e, Healthy)
}

// move changes an endpoint's status and keeps the lists by status.
func (b *Balancer) move(e *engine, status Status) {
	same := func(other *engine) bool { return other == e }
	switch e.standing.status {
	case Ejected:
		e.group.ejected--
		b.ejected = slices.DeleteFunc(b.ejected, same)
	case Suspect:
		b.suspects = slices.DeleteFunc(b.suspects, same)
	default:
	}
	e.standing.status = status
	switch status {
	case Ejected:
		e.group.ejected++
		b.ejected = append(b.ejected, e)
	case Suspect:
		b.suspects = append(b.suspects, e)
	default:
	}
}

// failed takes in that a request crashed with the endpoint or broke off. The
// cache is not trusted after it.
func (b *Balancer) failed(now time.Time, e *engine, probe bool) {
	s := &e.standing
	s.failures++
	s.failed = now
	e.epoch++
	if s.status == Ejected {
		return
	}
	if s.failures >= failuresMost || probe {
		b.eject(now, e, false)
		return
	}
	if s.status == Healthy {
		s.slow = false
		b.suspect(e, now)
	}
}

// alive takes in that the endpoint made tokens or finished a request.
func (b *Balancer) alive(now time.Time, e *engine, probe bool) {
	s := &e.standing
	if !probe && now.Sub(s.failed) < failureEcho {
		return
	}
	s.failures = 0
	if s.status != Healthy && !s.slow {
		b.restore(now, e)
	}
}

// probes tells whether the request may probe a suspect endpoint. Requests that
// failed before aren't used, and lower tiers go first.
func (e *engine) probes(now time.Time, ask *Request) bool {
	s := &e.standing
	if s.probing || ask.Isolated || len(ask.TriedEndpoints) > 0 || now.Before(s.due) {
		return false
	}
	return ask.Tier >= probeTier || now.Sub(s.due) >= probePatience
}
