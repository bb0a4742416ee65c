package profiler

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/controller"
	"github.com/oleanderpick/oleanderpick/internal/poller"
	"github.com/oleanderpick/oleanderpick/internal/storer"
	"github.com/oleanderpick/oleanderpick/pkg/granter"
)

const (
	defaultWarmUpDuration   = 20 * time.Second
	defaultMeasuredDuration = 10 * time.Second
)

// Settings configure a run of the profiler.
type Settings struct {
	// Plan is the deployment of full size. ScaleFactors are the sizes to measure, as
	// fractions of it.
	Plan         Plan
	ScaleFactors []float64
	// Seed makes the arrivals and the random choices of a run repeatable.
	Seed uint64
	// WarmUpDuration is the simulated time before the measurement, MeasuredDuration the
	// simulated time of the measurement. Zero means the default.
	WarmUpDuration, MeasuredDuration time.Duration
}

func (s Settings) withDefaults() Settings {
	if s.WarmUpDuration == 0 {
		s.WarmUpDuration = defaultWarmUpDuration
	}
	if s.MeasuredDuration == 0 {
		s.MeasuredDuration = defaultMeasuredDuration
	}

	return s
}

// Run measures one instance in a deployment of each size, and fits lines to the
// metrics. It fails if no sizes are given.
func Run(ctx context.Context, settings Settings) (Report, error) {
	report := Report{Seed: settings.Seed}
	if len(settings.ScaleFactors) == 0 {
		return report, errors.New("no sizes to measure")
	}
	for _, scaleFactor := range settings.ScaleFactors {
		sample, err := measureAtScale(ctx, settings.withDefaults(), scaleFactor)
		if err != nil {
			return report, errors.Wrapf(err, "size %g", scaleFactor)
		}
		report.Samples = append(report.Samples, sample)
	}
	report.fitMetrics()

	return report, nil
}

// measureAtScale measures one instance in a deployment of one size.
func measureAtScale(ctx context.Context, settings Settings, scaleFactor float64) (Sample, error) {
	plan, seed := settings.Plan.Scaled(scaleFactor), settings.Seed
	sample := Sample{ScaleFactor: scaleFactor, Plan: plan}
	resources, err := plan.resources()
	if err != nil {
		return sample, err
	}
	measurement, resolver, err := measureConfiguration(ctx, plan, resources)
	if err != nil {
		return sample, err
	}
	defer measurement.close()
	sample.Components = append(sample.Components, measurement.followerUsage)
	sample.LeaseHolder = measurement.leaseHolderUsage

	sim := newSimulation(ctx, plan, resolver.ControllerConfiguration(), measurement.platform, seed)
	defer sim.instance.close()
	if err := sim.warmUpAndMeasure(ctx, settings); err != nil {
		return sample, err
	}
	sample.Components = append(sample.Components, sim.controlUsage, sim.exchangeUsage, sim.instanceListUsage, newJournalSimulation(plan, seed).measure())
	sim.recordRoleCounts(&sample)

	return sample, nil
}

// simulation runs the measured instance with its requests, its peers and the platform in
// simulated time, and measures what its components need.
type simulation struct {
	instance         *measuredInstance
	configuration    controller.Configuration
	platform         *countingPlatform
	requestGenerator *requestGenerator
	peerCaller       *peerCaller
	homedEndpoints   []controller.Endpoint
	roundTimer       intervalTimer
	loadReportTimer  intervalTimer

	controlUsage, exchangeUsage, instanceListUsage ComponentUsage
}

// newSimulation starts the measured instance with a configuration and the list of all
// instances. The instance must be closed.
func newSimulation(ctx context.Context, plan Plan, configuration controller.Configuration, platform *countingPlatform, seed uint64) *simulation {
	clock := &simulatedClock{}
	s := &simulation{
		configuration:     configuration,
		platform:          platform,
		roundTimer:        intervalTimer{interval: roundInterval},
		loadReportTimer:   intervalTimer{interval: loadReportInterval},
		controlUsage:      ComponentUsage{Name: "control"},
		exchangeUsage:     ComponentUsage{Name: "exchange"},
		instanceListUsage: ComponentUsage{Name: "instance list"},
	}
	instances := plan.instances()
	callingPeers := newCallingPeers(plan, granterEndpoints(configuration), instances)
	for _, instance := range instances {
		platform.keeper.RegisterInstance(storer.Instance{
			Name:        instance.Name,
			Address:     instance.Address,
			PeerAddress: instance.PeerAddress,
			DataCentre:  instance.DataCentre,
		})
	}
	heapBefore := heapInUse()
	s.instance = newMeasuredInstance(ctx, plan, clock, seed)
	s.peerCaller = newPeerCaller(s.instance, callingPeers)
	s.requestGenerator = newRequestGenerator(plan, s.instance.controller, seed)
	s.instance.controller.Configure(configuration)
	s.instance.controller.ApplyInstanceList(instances)
	s.instance.tick()
	s.homedEndpoints = s.instance.controller.HomedEndpoints()
	s.controlUsage.HeapBytes = heapInUse() - heapBefore

	return s
}

// granterEndpoints converts the endpoints of a configuration to those of the granter.
func granterEndpoints(configuration controller.Configuration) []granter.Endpoint {
	endpoints := make([]granter.Endpoint, 0, len(configuration.Endpoints))
	for _, endpoint := range configuration.Endpoints {
		endpoints = append(endpoints, granter.Endpoint{
			Name:       endpoint.Name,
			Group:      endpoint.Service + "/" + endpoint.Models[0],
			DataCentre: endpoint.DataCentre,
			Slots:      endpoint.Slots,
			Tokens:     endpoint.TokenCapacity,
		})
	}

	return endpoints
}

// warmUpAndMeasure runs the simulation for the warm-up, and then measures the control
// and exchange components over MeasuredDuration, and the instance list. The heap of the
// exchange is the growth over the warm-up and the measurement.
func (s *simulation) warmUpAndMeasure(ctx context.Context, settings Settings) error {
	heapBefore := heapInUse()
	if err := s.advance(ctx, settings.WarmUpDuration); err != nil {
		return err
	}
	s.controlUsage.CPUSeconds, s.exchangeUsage.CPUSeconds = 0, 0
	exchangesBefore, encodedBefore := s.instance.peerServer.exchangeCounts()
	outboundBefore, inboundBefore, callsBefore := s.instance.outboundNetwork.byteCountsByGroup(), s.instance.inboundNetwork.byteCountsByGroup(), s.peerCaller.callCount
	if err := s.advance(ctx, settings.MeasuredDuration); err != nil {
		return err
	}

	seconds := settings.MeasuredDuration.Seconds()
	s.controlUsage.CPUSeconds /= seconds
	s.exchangeUsage.CPUSeconds /= seconds
	exchanges, encoded := s.instance.peerServer.exchangeCounts()
	s.exchangeUsage.MessagesPerSecond = float64(exchanges-exchangesBefore+s.peerCaller.callCount-callsBefore) / seconds
	s.exchangeUsage.EncodedBytesPerSecond = float64(encoded-encodedBefore) / seconds
	s.exchangeUsage.PeerBytesPerSecond = peerByteRates(outboundBefore, s.instance.outboundNetwork.byteCountsByGroup(), inboundBefore, s.instance.inboundNetwork.byteCountsByGroup(), seconds)
	s.exchangeUsage.HeapBytes = heapInUse() - heapBefore

	return s.measureInstanceList(ctx)
}

// peerByteRates returns the bytes per second exchanged with peers, by data centre, from
// the byte counts before and after a number of seconds. The instance sends the bytes
// sent on its outbound connections and those that its callers received on the inbound
// ones.
func peerByteRates(outboundBefore, outbound, inboundBefore, inbound map[string]ByteCounts, seconds float64) map[string]ByteCounts {
	rates := map[string]ByteCounts{}
	for dataCentre, bytes := range outbound {
		rates[dataCentre] = rates[dataCentre].add(bytes.subtract(outboundBefore[dataCentre]).perSecond(seconds))
	}
	for dataCentre, bytes := range inbound {
		rate := bytes.subtract(inboundBefore[dataCentre]).perSecond(seconds)
		rates[dataCentre] = rates[dataCentre].add(ByteCounts{Sent: rate.Received, Received: rate.Sent})
	}

	return rates
}

// advance runs the simulation for a duration of simulated time, one controller tick at
// a time.
func (s *simulation) advance(ctx context.Context, duration time.Duration) error {
	clock := s.instance.clock
	end := clock.Now().Add(duration)
	for clock.Now().Before(end) {
		clock.advance(controller.TickInterval)
		now := clock.Now()
		addCPUTime(&s.controlUsage, func() {
			s.requestGenerator.step(ctx, now)
			if s.loadReportTimer.fireIfDue(now) {
				s.instance.reportLoads(s.homedEndpoints)
			}
			s.instance.tick()
		})
		if s.roundTimer.fireIfDue(now) {
			var err error
			addCPUTime(&s.exchangeUsage, func() {
				s.instance.exchanger.RunRound(ctx)
				err = s.peerCaller.sendRound(ctx, now, 1)
			})
			if err != nil {
				return errors.Wrap(err, "send exchanges to the measured instance")
			}
		}
	}

	return nil
}

// measureInstanceList reads the instance list once and applies it, and divides the cost
// by the interval at which the poller does so.
func (s *simulation) measureInstanceList(ctx context.Context) error {
	intervalSeconds := poller.Settings{InstanceListInterval: instanceListInterval}.ListInterval(s.instance.plan.Instances).Seconds()
	readsBefore, bytesBefore := s.platform.readCount.Load(), s.platform.byteCounts()
	var err error
	addCPUTime(&s.instanceListUsage, func() {
		_, err = s.platform.Instances(ctx)
		s.instance.controller.ApplyInstanceList(s.instance.instances)
		s.instance.controller.InFlight()
	})
	if err != nil {
		return errors.Wrap(err, "list instances")
	}
	s.instanceListUsage.CPUSeconds /= intervalSeconds
	s.instanceListUsage.ReadsPerSecond = float64(s.platform.readCount.Load()-readsBefore) / intervalSeconds
	s.instanceListUsage.PlatformBytesPerSecond = s.platform.byteCounts().subtract(bytesBefore).perSecond(intervalSeconds)

	return nil
}

// recordRoleCounts sets the numbers of homes, endpoints and running requests of a sample.
func (s *simulation) recordRoleCounts(sample *Sample) {
	homes := map[string]bool{}
	for _, status := range s.instance.controller.EndpointStatuses() {
		homes[status.Home] = true
	}
	sample.HomeCount = len(homes)
	sample.UsedEndpointCount = len(s.instance.controller.EndpointStatuses())
	sample.HomedEndpointCount = len(s.homedEndpoints)
	sample.RunningRequestCount = len(s.requestGenerator.runningRequests)
}
