package gossiper

import (
	"context"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/gossiper/gossipwire"
)

// DatagramSender sends a message in a datagram to the peer with an address. It reports false if
// the message does not fit or cannot be sent.
type DatagramSender interface {
	SendMessage(address string, message *gossipwire.Message) bool
}

const (
	// maxUnansweredShift limits how many exchanges with a peer are calls after it has not answered
	// datagrams: one after the first, and twice as many and one more after each further one.
	maxUnansweredShift = 4
	// maxDatagramMembers limits the addresses of members in an answer that does not fit in a
	// datagram with all of them, and maxFewMembers those for a peer that knows nearly all.
	maxDatagramMembers = 24
	maxFewMembers      = 4
	// callsAfterLarge is the number of exchanges with a peer that are calls after its reply did not
	// fit in a datagram, the one that shows it included.
	callsAfterLarge = 2
)

// askedExchange is an exchange that a datagram of this instance began.
type askedExchange struct {
	peer    *peer
	askedAt time.Time
	// finish processes the answer.
	finish func(answer *gossipwire.Message)
}

// UseDatagrams sets the sender of the datagrams by which exchanges take place if the peer answers
// these and the messages fit. A call costs several times as much. Call UseDatagrams before Serve,
// and pass the datagrams that arrive to ReceiveDatagram.
func (g *Gossiper) UseDatagrams(sender DatagramSender) {
	g.datagrams = sender
}

// ask begins an exchange by datagram. It reports false if the exchange takes a call. A peer that has
// not sent a message yet is taken to answer datagrams if others do.
func (g *Gossiper) ask(ctx context.Context, p *peer, message *gossipwire.Message) bool {
	sent := g.timeOfSending()
	g.mu.Lock()
	answersAsked := p.answersAsked || (p.name == "" && g.view.hasAnswering)
	if g.datagrams == nil || !answersAsked || p.callsLeft > 0 {
		p.callsLeft = max(0, p.callsLeft-1)
		g.mu.Unlock()

		return false
	}
	g.lastAsked = max(1, g.lastAsked+1)
	number := g.lastAsked
	g.asked[number] = askedExchange{peer: p, askedAt: sent.at, finish: func(answer *gossipwire.Message) {
		g.finishAsked(ctx, p, sent, answer)
	}}
	g.mu.Unlock()
	message.Asks = number
	if g.datagrams.SendMessage(p.address, message) {
		return true
	}
	message.Asks = 0
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.asked, number)

	return false
}

// finishAsked processes the answer to a datagram.
func (g *Gossiper) finishAsked(ctx context.Context, p *peer, sent sendingTime, answer *gossipwire.Message) {
	if answer.GetTooLarge() {
		g.meter.Add("gossip.large", 1)
		g.mu.Lock()
		p.callsLeft, p.exchanging = callsAfterLarge-1, true
		g.mu.Unlock()
		go g.call(ctx, p, g.buildRequest(p))

		return
	}
	g.meter.Add("gossip.answered", 1)
	if plan := g.receiveReply(sent, answer); plan != (dispatcher.FetchPlan{}) {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, g.settings.ExchangeTimeout)
			defer cancel()
			g.fetchFromPeer(ctx, p.address, plan)
		}()
	}
}

// forgetUnanswered ends the exchanges by datagram that had no answer within the time limit.
func (g *Gossiper) forgetUnanswered(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for number, exchange := range g.asked {
		if now.Sub(exchange.askedAt) < g.settings.ExchangeTimeout {
			continue
		}
		delete(g.asked, number)
		p := exchange.peer
		p.exchanging, p.unanswered = false, min(p.unanswered+1, maxUnansweredShift)
		p.callsLeft = 1<<p.unanswered - 1
		if p.name == "" {
			p.lastAttemptAt = time.Time{} // It may be of an older build; it is called in the next round.
		}
		g.meter.Add("gossip.missed", 1)
	}
}

// ReceiveDatagram processes a datagram that begins an exchange, answers one or has counts
// of usage. Others it ignores.
func (g *Gossiper) ReceiveDatagram(message *gossipwire.Message) {
	switch {
	case message.GetAsks() != 0:
		g.receiveMessage(message)
		g.answer(message)
	case message.GetAnswers() != 0:
		g.mu.Lock()
		exchange, ok := g.asked[message.GetAnswers()]
		ok = ok && exchange.peer.address == message.GetAddress()
		if ok {
			delete(g.asked, message.GetAnswers())
			exchange.peer.exchanging, exchange.peer.unanswered = false, 0
		}
		g.mu.Unlock()
		if ok {
			exchange.finish(message)
		}
	case len(message.GetUsage()) > 0:
		g.receiveUsage(message)
	}
}

// answer answers a datagram that begins an exchange.
func (g *Gossiper) answer(message *gossipwire.Message) {
	if g.datagrams == nil {
		return
	}
	reply := g.buildReply(message)
	reply.Answers = message.GetAsks()
	isSent := g.datagrams.SendMessage(message.GetAddress(), reply)
	if !isSent && len(reply.GetMembers()) > maxDatagramMembers {
		reply.Members = someOf(reply.GetMembers(), maxDatagramMembers)
		isSent = g.datagrams.SendMessage(message.GetAddress(), reply)
	}
	if !isSent {
		g.datagrams.SendMessage(message.GetAddress(), &gossipwire.Message{Address: g.settings.Address, Answers: message.GetAsks(), TooLarge: true})
	}
}
