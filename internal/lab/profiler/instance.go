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

// Settings of the measured instance, and the times at which the simulation calls it.
const (
	exchangeInterval     = 500 * time.Millisecond
	roundInterval        = exchangeInterval / 2
	instanceListInterval = 5 * time.Second
	loadReportInterval   = 500 * time.Millisecond
	progressInterval     = 100 * time.Millisecond
	maxWaitingRequests   = 4096
	peerCallTimeout      = 10 * time.Second
)

// simulationStart is the simulated time at which each simulation begins.
var simulationStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// upToDateRevisions implements exchanger.RevisionStore for an instance whose configuration is
// as new as that of its peers, so that no revision is fetched.
type upToDateRevisions struct{}

func (upToDateRevisions) RevisionNumber() uint64                                   { return 1 }
func (upToDateRevisions) RecordPeerRevision(tracker.Instance, uint64)              {}
func (upToDateRevisions) HeadAndParts([]string) (head []byte, _ map[string][]byte) { return nil, nil }

// measuredInstance is an instance whose controller and exchanger are real and run in
// simulated time. It reaches its peers over in-memory networks.
type measuredInstance struct {
	plan            Plan
	identity        tracker.Instance
	instances       []tracker.Instance
	clock           *simulatedClock
	ticks           chan time.Time
	controller      *controller.Controller
	exchanger       *exchanger.Exchanger
	peerServer      *peerServer
	outboundNetwork *pipeNetwork
	inboundNetwork  *pipeNetwork
	httpServers     []*http.Server
	cancel          context.CancelFunc
}

// newMeasuredInstance starts the first instance of the plan, without a configuration. It
// must be closed.
func newMeasuredInstance(ctx context.Context, plan Plan, clock *simulatedClock, seed uint64) *measuredInstance {
	instances := plan.instances()
	m := &measuredInstance{
		plan:           plan,
		identity:       instances[0],
		instances:      instances,
		clock:          clock,
		ticks:          make(chan time.Time),
		peerServer:     newPeerServer(instances, clock.Now),
		inboundNetwork: newPipeNetwork(func(address string) string { return address }),
	}
	ctx, m.cancel = context.WithCancel(ctx)
	m.outboundNetwork = newPipeNetwork(m.peerServer.dataCentreOf)
	counters := meter.New()
	m.controller = controller.New(controller.Settings{
		Self:             m.identity,
		MaxWaiting:       maxWaitingRequests,
		ExchangeInterval: exchangeInterval,
		Seed:             seed,
		Clock:            &controller.Clock{Now: clock.Now, Ticks: m.ticks},
	}, hclog.NewNullLogger(), counters)
	client := &http.Client{Transport: &http.Transport{DialContext: m.outboundNetwork.dial}}
	m.exchanger = exchanger.New(exchanger.Settings{
		Self:            m.identity,
		Incarnation:     uint64(simulationStart.UnixNano()),
		RoundInterval:   roundInterval,
		ExchangeTimeout: peerCallTimeout,
		Scheme:          "http",
		Now:             clock.Now,
	}, m.controller, upToDateRevisions{}, client, counters, hclog.NewNullLogger())
	m.httpServers = []*http.Server{
		serve(m.outboundNetwork, m.peerServer.handler()),
		serve(m.inboundNetwork, m.exchanger.Handler()),
	}
	go func() { _ = m.controller.Serve(ctx) }()

	return m
}

// tick makes the controller process one tick, and waits until it is done.
func (m *measuredInstance) tick() {
	m.ticks <- m.clock.Now()
	m.controller.InFlight()
}

// reportLoads gives the controller a load report of each endpoint whose home it is. Every
// endpoint is half loaded. It returns when the controller has applied them.
func (m *measuredInstance) reportLoads(homedEndpoints []controller.Endpoint) {
	for _, endpoint := range homedEndpoints {
		m.controller.RecordLoadReport(controller.EndpointLoadReport{Endpoint: endpoint.Name, Load: balancer.LoadReport{
			MeasuredAt:      m.clock.Now(),
			Running:         slotsPerEndpoint / 2,
			UsedTokens:      tokenCapacityPerEndpoint / 2,
			TokenCapacity:   tokenCapacityPerEndpoint,
			Slots:           slotsPerEndpoint,
			TokensPerSecond: 1300,
		}})
	}
	m.controller.InFlight()
}

func (m *measuredInstance) close() {
	m.cancel()
	<-m.controller.Done()
	for _, server := range m.httpServers {
		_ = server.Close()
	}
}
