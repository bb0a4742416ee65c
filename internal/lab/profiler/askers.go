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

// asker is another instance that calls the node: as the home of its endpoints,
// or to hear of it.
type asker struct {
	instance tracker.Instance
	// wants are the node's endpoints that the asker uses; none: it only gossips.
	wants []string
	phase time.Duration
}

// newAskers returns all other instances. Those that use an endpoint of the node
// are found by their own decisions.
func newAskers(plan Plan, endpoints []granter.Endpoint, instances []tracker.Instance) []*asker {
	places := map[string]string{}
	members := make([]string, 0, len(instances))
	for _, instance := range instances {
		places[instance.Name] = instance.DataCentre
		members = append(members, instance.Name)
	}
	self := instances[0].Name
	askers := make([]*asker, 0, plan.Instances)
	for i, instance := range instances[1:] {
		borrower := granter.NewBorrower(granter.Settings{}, instance.Name)
		borrower.SetDataCentres(places)
		borrower.Configure(start, endpoints, members)
		a := &asker{instance: instance, phase: time.Duration(i) * 7 * time.Millisecond % exchangeInterval}
		if slices.Contains(borrower.Homes(), self) {
			for _, want := range borrower.CreateCreditRequests(start, self) {
				a.wants = append(a.wants, want.Endpoint)
			}
		}
		askers = append(askers, a)
	}

	return askers
}

// callers make the other instances' calls to the node.
type callers struct {
	node    *node
	askers  []*asker
	clients map[string]*http.Client
	gossip  int
	made    int
}

func newCallers(n *node, askers []*asker) *callers {
	c := &callers{node: n, askers: askers, clients: map[string]*http.Client{}}
	for i := range n.plan.DataCentres {
		place := n.plan.dataCentre(i)
		c.clients[place] = &http.Client{Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
				return n.inbound.dial(ctx, network, place)
			},
		}}
	}

	return c
}

// round makes the calls that fall into one round of the node, with as many
// that only gossip as the node itself makes.
func (c *callers) round(ctx context.Context, now time.Time, gossips int) error {
	for _, a := range c.askers {
		since := (now.Sub(start) + a.phase) % exchangeInterval
		if len(a.wants) > 0 && since < roundInterval {
			if err := c.call(ctx, now, a); err != nil {
				return err
			}
		}
	}
	for range gossips {
		c.gossip++
		a := c.askers[c.gossip%len(c.askers)]
		if err := c.call(ctx, now, &asker{instance: a.instance}); err != nil {
			return err
		}
	}

	return nil
}

func (c *callers) call(ctx context.Context, now time.Time, a *asker) error {
	request := &peerwire.Message{Sender: sender(a.instance), Revision: 1}
	for _, endpoint := range a.wants {
		request.Wants = append(request.Wants, &peerwire.Want{
			Endpoint: endpoint,
			Held:     &peerwire.Credit{Slots: 1, Tokens: promptTokens + answerTokens},
			Credit:   &peerwire.Credit{Slots: grantSlots, Tokens: grantTokens},
			Epoch:    uint64(now.UnixNano()),
			Asked:    int64(now.Sub(start)),
		})
	}
	c.made++
	peer := peerwire.NewPeerProtobufClient("http://"+c.node.self.PeerAddress, c.clients[a.instance.DataCentre])
	_, err := peer.Exchange(ctx, request)

	return err
}
