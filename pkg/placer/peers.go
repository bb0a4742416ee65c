package placer

import (
	"maps"
	"time"
)

const (
	// minPeerLoadTTL is the shortest time for which a peer's last message stays
	// valid.
	minPeerLoadTTL = time.Second
	// maxMissedMessages is the number of average intervals without a message
	// after which a peer's last message is no longer valid.
	maxMissedMessages = 3
	// intervalSmoothingFactor is the weight of a new interval in the average time
	// between two messages of a peer.
	intervalSmoothingFactor = 0.3
	// expiryCheckInterval is the time between two searches for expired messages.
	expiryCheckInterval = 100 * time.Millisecond
)

// peerID identifies a sender of loads: an instance, or all instances of another data
// centre together.
type peerID struct {
	name         string
	isDataCentre bool
}

// peerLoads holds the last message of each peer. The sums of their loads are kept at each
// endpoint, so that choosing an endpoint does not take longer in a larger fleet.
type peerLoads struct {
	messages        map[peerID]*peerMessage
	lastExpiryCheck time.Time
}

// peerMessage is a peer's last message with its loads at all endpoints.
type peerMessage struct {
	receivedAt   time.Time
	meanInterval time.Duration   // average time between two messages
	loads        map[string]Load // by endpoint ID
	isSummary    bool            // whether the loads are those of a data centre
}

// receive replaces a peer's last message.
func (p *peerLoads) receive(now time.Time, peer peerID, loads map[string]Load, endpoints map[string]*endpoint) {
	if p.messages == nil {
		p.messages = map[peerID]*peerMessage{}
	}
	message := p.messages[peer]
	if message == nil {
		message = &peerMessage{receivedAt: now, isSummary: peer.isDataCentre}
		p.messages[peer] = message
	}
	message.addTo(endpoints, -1)
	message.meanInterval += time.Duration(intervalSmoothingFactor * float64(now.Sub(message.receivedAt)-message.meanInterval))
	message.receivedAt, message.loads = now, maps.Clone(loads)
	message.addTo(endpoints, 1)
}

// receiveUpdate changes a peer's load at one endpoint between two messages. It
// ignores a peer or endpoint that is not known yet: the peer's next message will
// contain the load.
func (p *peerLoads) receiveUpdate(peer peerID, id string, load Load, endpoints map[string]*endpoint) {
	message, e := p.messages[peer], endpoints[id]
	if message == nil || e == nil {
		return
	}
	if message.loads == nil {
		message.loads = map[string]Load{}
	}
	message.addLoad(e, message.loads[id], -1)
	message.addLoad(e, load, 1)
	message.loads[id] = load
}

// removeExpired removes messages that are too old.
func (p *peerLoads) removeExpired(now time.Time, endpoints map[string]*endpoint) {
	if now.Sub(p.lastExpiryCheck) < expiryCheckInterval {
		return
	}
	p.lastExpiryCheck = now
	for peer, message := range p.messages {
		if now.Sub(message.receivedAt) > max(minPeerLoadTTL, maxMissedMessages*message.meanInterval) {
			message.addTo(endpoints, -1)
			delete(p.messages, peer)
		}
	}
}

// addTo adds the loads of all messages to endpoints whose sums are zero.
func (p *peerLoads) addTo(endpoints map[string]*endpoint) {
	for _, message := range p.messages {
		message.addTo(endpoints, 1)
	}
}

// addTo adds factor times the message's loads to the sums of the endpoints.
func (m *peerMessage) addTo(endpoints map[string]*endpoint, factor int) {
	for id, load := range m.loads {
		if e := endpoints[id]; e != nil {
			m.addLoad(e, load, factor)
		}
	}
}

// addLoad adds factor times a load to the sum of an endpoint that the message belongs to.
func (m *peerMessage) addLoad(e *endpoint, load Load, factor int) {
	if m.isSummary {
		e.summarizedLoad = e.summarizedLoad.plus(load, factor)
	} else {
		e.peerLoad = e.peerLoad.plus(load, factor)
	}
}
