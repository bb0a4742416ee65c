package profiler

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/exchanger/peerwire"
	"github.com/oleanderpick/oleanderpick/pkg/granter"
	"github.com/oleanderpick/oleanderpick/pkg/tracker"
)

// callingPeer is a simulated peer that sends exchanges to the measured instance. They
// are either credit requests to a home or gossip.
type callingPeer struct {
	instance tracker.Instance
	// requestedEndpoints are the endpoints for which this peer requests credit from the
	// measured instance as their home. If there are none, it only gossips.
	requestedEndpoints []string
	// exchangeOffset shifts the time of this peer's exchanges within the exchange
	// interval, so that the peers do not all send at once.
	exchangeOffset time.Duration
}

// newCallingPeers returns one calling peer for each instance but the first, which is the
// measured one. A borrower is run for each peer to find out which endpoints it requests
// from the measured instance, as a real instance would decide it.
func newCallingPeers(plan Plan, endpoints []granter.Endpoint, instances []tracker.Instance) []*callingPeer {
	dataCentreByInstance := map[string]string{}
	members := make([]string, 0, len(instances))
	for _, instance := range instances {
		dataCentreByInstance[instance.Name] = instance.DataCentre
		members = append(members, instance.Name)
	}
	self := instances[0].Name
	peers := make([]*callingPeer, 0, plan.Instances)
	for i, instance := range instances[1:] {
		borrower := granter.NewBorrower(granter.Settings{}, instance.Name)
		borrower.SetDataCentres(dataCentreByInstance)
		borrower.Configure(simulationStart, endpoints, members)
		peer := &callingPeer{instance: instance, exchangeOffset: time.Duration(i) * 7 * time.Millisecond % exchangeInterval}
		if slices.Contains(borrower.Homes(), self) {
			for _, request := range borrower.CreateCreditRequests(simulationStart, self) {
				peer.requestedEndpoints = append(peer.requestedEndpoints, request.Endpoint)
			}
		}
		peers = append(peers, peer)
	}

	return peers
}

// peerCaller sends the exchanges of all simulated peers to the measured instance.
type peerCaller struct {
	instance            *measuredInstance
	peers               []*callingPeer
	clientsByDataCentre map[string]*http.Client
	// sentGossipCount is the number of gossip exchanges sent. The peers take turns by it.
	sentGossipCount int
	// callCount is the number of exchanges sent, gossip included.
	callCount int
}

// newPeerCaller returns a caller with one HTTP client per data centre, so that bytes are
// counted by the data centre of the calling peer.
func newPeerCaller(instance *measuredInstance, peers []*callingPeer) *peerCaller {
	c := &peerCaller{instance: instance, peers: peers, clientsByDataCentre: map[string]*http.Client{}}
	for i := range instance.plan.DataCentres {
		dataCentre := instance.plan.dataCentreName(i)
		c.clientsByDataCentre[dataCentre] = &http.Client{Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
				return instance.inboundNetwork.dial(ctx, network, dataCentre)
			},
		}}
	}

	return c
}

// sendRound sends the credit requests that fall into one round of the measured instance,
// and gossipCount gossip exchanges. Callers pass the number that the measured instance
// itself sends in a round, since over a fleet as much gossip is received as sent.
func (c *peerCaller) sendRound(ctx context.Context, now time.Time, gossipCount int) error {
	for _, peer := range c.peers {
		sinceDue := (now.Sub(simulationStart) + peer.exchangeOffset) % exchangeInterval
		if len(peer.requestedEndpoints) > 0 && sinceDue < roundInterval {
			if err := c.sendExchange(ctx, now, peer); err != nil {
				return err
			}
		}
	}
	for range gossipCount {
		c.sentGossipCount++
		peer := c.peers[c.sentGossipCount%len(c.peers)]
		if err := c.sendExchange(ctx, now, &callingPeer{instance: peer.instance}); err != nil {
			return err
		}
	}

	return nil
}

// sendExchange sends one exchange from a peer, with a credit request for each endpoint
// that the peer requests.
func (c *peerCaller) sendExchange(ctx context.Context, now time.Time, peer *callingPeer) error {
	request := &peerwire.Message{Sender: newSender(peer.instance), Revision: 1}
	for _, endpoint := range peer.requestedEndpoints {
		request.Wants = append(request.Wants, &peerwire.Want{
			Endpoint: endpoint,
			Held:     &peerwire.Credit{Slots: 1, Tokens: promptTokens + meanAnswerTokens},
			Credit:   &peerwire.Credit{Slots: grantSlots, Tokens: grantTokens},
			Epoch:    uint64(now.UnixNano()),
			Asked:    int64(now.Sub(simulationStart)),
		})
	}
	c.callCount++
	client := peerwire.NewPeerProtobufClient("http://"+c.instance.identity.PeerAddress, c.clientsByDataCentre[peer.instance.DataCentre])
	_, err := client.Exchange(ctx, request)

	return err
}
