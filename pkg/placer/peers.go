package placer

import (
	"maps"
	"time"
)

const (
	// peerMemory is the least time that the message of another instance counts.
	peerMemory = time.Second
	// messagesMissed is how many messages of an instance may be missed before its
	// last one counts no more.
	messagesMissed = 3
	// gapMemory is the weight of one more gap between two messages.
	gapMemory = 0.3
	// expireInterval is the time between two looks for old messages.
	expireInterval = 100 * time.Millisecond
)

// peers are the other instances by name. What they have at endpoints is kept as
// a sum at each endpoint, so that a pick does not take longer in a larger fleet.
type peers struct {
	messages map[string]*message
	expired  time.Time
}

// message is the last message of an instance.
type message struct {
	at    time.Time
	gap   time.Duration // usual time between two messages
	loads map[string]Load
}

// hear takes in a message.
func (p *peers) hear(now time.Time, name string, loads map[string]Load, endpoints map[string]*endpoint) {
	if p.messages == nil {
		p.messages = map[string]*message{}
	}
	m := p.messages[name]
	if m == nil {
		m = &message{at: now}
		p.messages[name] = m
	}
	m.add(endpoints, -1)
	m.gap += time.Duration(gapMemory * float64(now.Sub(m.at)-m.gap))
	m.at, m.loads = now, maps.Clone(loads)
	m.add(endpoints, 1)
}

// note takes in what an instance has at one endpoint since its last message. An
// instance or endpoint that is not known yet is left to the next message.
func (p *peers) note(name, id string, load Load, endpoints map[string]*endpoint) {
	m, e := p.messages[name], endpoints[id]
	if m == nil || e == nil {
		return
	}
	if m.loads == nil {
		m.loads = map[string]Load{}
	}
	e.others = e.others.plus(m.loads[id], -1).plus(load, 1)
	m.loads[id] = load
}

// expire forgets messages that are too old.
func (p *peers) expire(now time.Time, endpoints map[string]*endpoint) {
	if now.Sub(p.expired) < expireInterval {
		return
	}
	p.expired = now
	for name, m := range p.messages {
		if now.Sub(m.at) > max(peerMemory, messagesMissed*m.gap) {
			m.add(endpoints, -1)
			delete(p.messages, name)
		}
	}
}

// count adds all messages to endpoints whose sums are empty.
func (p *peers) count(endpoints map[string]*endpoint) {
	for _, m := range p.messages {
		m.add(endpoints, 1)
	}
}

// add adds a multiple of the message to the endpoints' sums.
func (m *message) add(endpoints map[string]*endpoint, factor int) {
	for id, load := range m.loads {
		if e := endpoints[id]; e != nil {
			e.others = e.others.plus(load, factor)
		}
	}
}
