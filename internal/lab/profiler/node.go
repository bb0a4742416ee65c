package profiler

import (
	"context"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/controller"
	"github.com/oleanderpick/oleanderpick/internal/exchanger"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/pkg/balancer"
	"github.com/oleanderpick/oleanderpick/pkg/tracker"
)

// The settings of a router as it is run.
const (
	exchangeInterval  = 500 * time.Millisecond
	roundInterval     = exchangeInterval / 2
	instancesInterval = 5 * time.Second
	loadsInterval     = 500 * time.Millisecond
	progressInterval  = 100 * time.Millisecond
	queueLimit        = 4096
	peerTimeout       = 10 * time.Second
)

// start is when model time begins.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Revisions of the node's exchanges: it and its peers are up to date.
type revisions struct{}

func (revisions) RevisionNumber() uint64                                   { return 1 }
func (revisions) RecordPeerRevision(tracker.Instance, uint64)              {}
func (revisions) HeadAndParts([]string) (head []byte, _ map[string][]byte) { return nil, nil }

// node is one real node's control parts in model time.
type node struct {
	plan      Plan
	self      tracker.Instance
	instances []tracker.Instance
	model     *clock
	ticks     chan time.Time
	control   *controller.Controller
	exchange  *exchanger.Exchanger
	peers     *peers
	outbound  *network
	inbound   *network
	servers   []*http.Server
	cancel    context.CancelFunc
}

// newNode starts a node without configuration.
func newNode(ctx context.Context, plan Plan, model *clock, seed uint64) *node {
	instances := plan.instances()
	n := &node{
		plan:      plan,
		self:      instances[0],
		instances: instances,
		model:     model,
		ticks:     make(chan time.Time),
		peers:     newPeers(instances, model.Now),
		inbound:   newNetwork(func(address string) string { return address }),
	}
	ctx, n.cancel = context.WithCancel(ctx)
	n.outbound = newNetwork(n.peers.place)
	counters := meter.New()
	n.control = controller.New(controller.Settings{
		Self:             n.self,
		MaxWaiting:       queueLimit,
		ExchangeInterval: exchangeInterval,
		Seed:             seed,
		Clock:            &controller.Clock{Now: model.Now, Ticks: n.ticks},
	}, hclog.NewNullLogger(), counters)
	client := &http.Client{Transport: &http.Transport{DialContext: n.outbound.dial}}
	n.exchange = exchanger.New(exchanger.Settings{
		Self:            n.self,
		Incarnation:     uint64(start.UnixNano()),
		RoundInterval:   roundInterval,
		ExchangeTimeout: peerTimeout,
		Scheme:          "http",
		Now:             model.Now,
	}, n.control, revisions{}, client, counters, hclog.NewNullLogger())
	n.servers = []*http.Server{
		serve(n.outbound, n.peers.handler()),
		serve(n.inbound, n.exchange.Handler()),
	}
	go func() { _ = n.control.Serve(ctx) }()

	return n
}

// tick lets the controller make one tick, and waits for it.
func (n *node) tick() {
	n.ticks <- n.model.Now()
	n.control.InFlight()
}

// report feeds the load reports of the endpoints whose home the node is.
func (n *node) report(homed []controller.Endpoint) {
	for _, endpoint := range homed {
		n.control.RecordLoadReport(controller.EndpointLoadReport{Endpoint: endpoint.Name, Load: balancer.LoadReport{
			MeasuredAt:      n.model.Now(),
			Running:         slotsPerEndpoint / 2,
			UsedTokens:      tokensPerEndpoint / 2,
			TokenCapacity:   tokensPerEndpoint,
			Slots:           slotsPerEndpoint,
			TokensPerSecond: 1300,
		}})
	}
	n.control.InFlight()
}

func (n *node) close() {
	n.cancel()
	<-n.control.Done()
	for _, server := range n.servers {
		_ = server.Close()
	}
}
