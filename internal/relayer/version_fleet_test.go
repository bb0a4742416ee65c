package relayer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/internal/connector"
	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/internal/relayer"
	"github.com/oleanderpick/oleanderpick/pkg/pinner"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

// versionFaults are drawn faults of a fleet whose endpoints have several versions.
type versionFaults struct {
	seed            uint64
	restartChance   float64 // of some endpoint in a step; it comes back under its ID
	keepsVersion    float64 // share of the restarts that keep the version
	registryLag     time.Duration
	restoredChance  float64 // of an older copy of the registry in a step
	killChance      float64 // of an instance in a step
	cutChance       float64 // of an instance in a step; it reaches no peer for some steps
	pinLoss         float64
	isolatedFromAll bool // instances that are cut off get no registry either
}

// versionFleet is a fleet whose streams are taken up at random instances under faults.
type versionFleet struct {
	*harness
	faults  versionFaults
	random  *rand.Rand
	members []string

	fleetMutex sync.Mutex
	nodes      map[string]*versionNode
	history    [][]registrar.Endpoint // listings of the registry, the current one last
	epoch      uint64
	peerDraws  atomic.Uint64
}

// drawPeer returns numbers that spread requests evenly over peers.
func (f *versionFleet) drawPeer() uint64 { return f.peerDraws.Add(1) }

// versionNode is one instance of a versionFleet.
type versionNode struct {
	dispatcher *dispatcher.Dispatcher
	stop       func()
	startedAt  time.Time
	cutUntil   time.Time
	hasEnded   atomic.Bool
}

// isInTouch reports whether the instance was neither started nor cut off shortly before.
func (n *versionNode) isInTouch() bool {
	return time.Since(n.startedAt) > 3*time.Second && time.Since(n.cutUntil) > 3*time.Second
}

// peerLink carries requests for pins from one instance of a fleet.
type peerLink struct {
	fleet *versionFleet
	name  string
}

// RequestPin implements dispatcher.PinSource.
func (l peerLink) RequestPin(_ context.Context, holder string, streamID uint64) (pinner.Pin, bool, error) {
	l.fleet.fleetMutex.Lock()
	from, to := l.fleet.nodes[l.name], l.fleet.nodes[holder]
	isCut := from == nil || to == nil || time.Now().Before(from.cutUntil) || time.Now().Before(to.cutUntil)
	l.fleet.fleetMutex.Unlock()
	if isCut {
		return pinner.Pin{}, false, errors.New("cut off")
	}
	pin, ok := to.dispatcher.LocalPin(streamID)

	return pin, ok, nil
}

// start starts an instance, which knows all members at once.
func (f *versionFleet) start(name string) {
	d := dispatcher.New(dispatcher.Settings{
		Name: name, KeyLeaseDuration: time.Hour, ReregistrationWindow: 2 * time.Second,
		RepeatLimits: retrier.RepeatLimiterSettings{Window: 10 * time.Second, RepeatRatio: 1, Burst: 500},
	}, dispatcher.Clock{Now: time.Now, SinceBoot: f.bootClock}, hclog.NewNullLogger())
	connections, peers := connector.New(connector.DefaultSettings(), f.dialFrom(name)), connector.New(connector.DefaultSettings(), f.network.Dial)
	relay := relayer.New(testCodec{}, d, connections, peers, meter.New(), hclog.NewNullLogger(), f.drawPeer)
	f.network.Serve("front-"+name, relay)
	f.network.Serve(name, http.HandlerFunc(relay.ServePassedOn))
	link := peerLink{f, name}
	d.SetPinSource(link)
	d.OnPin(func(pin pinner.Pin, holders []string) { go f.deliver(name, pin, holders) })
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = d.Serve(ctx) }()
	fleetInstance{dispatcher: d}.confirmConfiguration(f.harness)
	d.SetFleet(dispatcher.Fleet{InstanceCount: len(f.members), Members: f.members})
	f.fleetMutex.Lock()
	defer f.fleetMutex.Unlock()
	d.ApplyListing(f.bootClock(), f.epoch, f.history[len(f.history)-1])
	node := &versionNode{dispatcher: d, startedAt: time.Now()}
	f.nodes[name] = node
	node.stop = func() {
		node.hasEnded.Store(true)
		f.network.Stop("front-" + name)
		f.network.Stop(name)
		cancel()
		<-d.Done()
		connections.Close()
		peers.Close()
	}
}

// tellReach tells each instance which endpoints the others reach.
func (f *versionFleet) tellReach() {
	f.fleetMutex.Lock()
	defer f.fleetMutex.Unlock()
	reaches := make([]dispatcher.PeerReach, 0, len(f.members))
	for _, name := range f.members {
		reaches = append(reaches, dispatcher.PeerReach{Address: name + ":80", CutOffFrom: f.nodes[name].dispatcher.CutOffFrom()})
	}
	for i, name := range f.members {
		others := slices.Concat(reaches[:i], reaches[i+1:])
		f.nodes[name].dispatcher.SetFleet(dispatcher.Fleet{InstanceCount: len(f.members), Members: f.members, PeerReaches: others})
	}
}

// deliver passes an instance's pin to its holders, unless it is lost.
func (f *versionFleet) deliver(from string, pin pinner.Pin, holders []string) {
	for _, holder := range holders {
		f.fleetMutex.Lock()
		sender, receiver := f.nodes[from], f.nodes[holder]
		isLost := f.random.Float64() < f.faults.pinLoss || sender == nil || receiver == nil ||
			time.Now().Before(sender.cutUntil) || time.Now().Before(receiver.cutUntil)
		f.fleetMutex.Unlock()
		if !isLost {
			receiver.dispatcher.ReceivePin(pin)
		}
	}
}

// step plays the faults of one step of 100 ms and gives the instances their listings.
func (f *versionFleet) step() {
	f.fleetMutex.Lock()
	roll := func(chance float64) bool { return f.random.Float64() < chance }
	restart, restore := roll(f.faults.restartChance), roll(f.faults.restoredChance)
	victim := f.members[f.random.IntN(len(f.members))]
	kill, cut := roll(f.faults.killChance), roll(f.faults.cutChance)
	if cut {
		f.nodes[victim].cutUntil = time.Now().Add(time.Second)
	}
	if restore && len(f.history) > 3 {
		f.epoch++
		f.history = append(f.history, f.history[len(f.history)-3])
	}
	f.fleetMutex.Unlock()
	if kill {
		f.nodes[victim].stop()
		f.start(victim)
	}
	if restart {
		f.restartEndpoint()
	}
	f.fleetMutex.Lock()
	defer f.fleetMutex.Unlock()
	for _, node := range f.nodes {
		if !f.faults.isolatedFromAll || !time.Now().Before(node.cutUntil) {
			node.dispatcher.ApplyListing(f.bootClock(), f.epoch, f.history[len(f.history)-1])
		}
	}
}

// restartEndpoint restarts an endpoint under its ID. The registry follows later.
func (f *versionFleet) restartEndpoint() {
	f.fleetMutex.Lock()
	index := f.random.IntN(len(f.registered))
	endpoint := &f.registered[index]
	endpoint.StartedUnixMs++
	if f.random.Float64() >= f.faults.keepsVersion {
		endpoint.Version = fmt.Sprint("v", 1+f.random.IntN(3))
	}
	restarted := *endpoint
	f.fleetMutex.Unlock()
	f.network.Stop(restarted.ID)
	f.network.Serve(restarted.ID, versionedEndpoint(restarted.Version, int(restarted.StartedUnixMs), 0))
	time.AfterFunc(f.faults.registryLag, func() {
		f.fleetMutex.Lock()
		defer f.fleetMutex.Unlock()
		f.history = append(f.history, append([]registrar.Endpoint(nil), f.registered...))
	})
}

// streamTally counts streams by what became of them at instances in touch.
type streamTally struct {
	mixed, begun, tried, resumed, resumable int
}

// node returns the instance of a name that runs now.
func (f *versionFleet) node(name string) *versionNode {
	f.fleetMutex.Lock()
	defer f.fleetMutex.Unlock()

	return f.nodes[name]
}

// drawHosts returns the instances that a caller reaches one after the other.
func (f *versionFleet) drawHosts() []string {
	f.fleetMutex.Lock()
	defer f.fleetMutex.Unlock()
	hosts := make([]string, 4)
	for i := range hosts {
		hosts[i] = f.members[f.random.IntN(len(f.members))]
	}

	return hosts
}

func (t *streamTally) add(other streamTally) {
	t.mixed += other.mixed
	t.begun += other.begun
	t.tried += other.tried
	t.resumed += other.resumed
	t.resumable += other.resumable
}

// playStream begins a stream at one instance and takes it up at others.
func (f *versionFleet) playStream(id int, hosts []string, tally *streamTally) {
	stream, first := &receivedStream{}, fmt.Sprint("r", id)
	for attempt, host := range hosts {
		before := stream.lastID
		f.fleetMutex.Lock()
		wasInTouch := f.nodes[host].isInTouch()
		f.fleetMutex.Unlock()
		status := f.receive(stream, "front-"+host, fmt.Sprint(first, "-", attempt), first+"-0", min(versionedStreamLength, before+4))
		f.fleetMutex.Lock()
		wentOn := stream.lastID > before
		switch {
		case !wasInTouch:
		case before == 0 && attempt == 0:
			tally.tried++
			if wentOn {
				tally.begun++
			}
		case before > 0:
			tally.resumable++
			if wentOn || status == http.StatusOK {
				tally.resumed++
			}
		}
		f.fleetMutex.Unlock()
		if stream.lastID == 0 || stream.isComplete() {
			break
		}
	}
	f.fleetMutex.Lock()
	defer f.fleetMutex.Unlock()
	if len(stream.versions) > 1 {
		tally.mixed++
	}
}

// playVersions plays streams for some seconds while faults happen.
func playVersions(t *testing.T, instanceCount int, faults versionFaults) (tally streamTally) {
	t.Helper()
	runWithHarness(t, func(_ *testing.T, h *harness) {
		h.serveVersions(0, "v1", "v2", "v3", "v1", "v2", "v3", "v1", "v2", "v3")
		f := h.startVersionFleet(instanceCount, faults)
		var streams sync.WaitGroup
		for n := range 100 {
			f.step()
			for k := range 2 {
				hosts := f.drawHosts()
				streams.Go(func() { f.playStream(10*n+k, hosts, &tally) })
			}
			time.Sleep(100 * time.Millisecond)
		}
		streams.Wait()
		f.stop()
	})

	return tally
}

// startVersionFleet starts so many instances.
func (h *harness) startVersionFleet(instanceCount int, faults versionFaults) *versionFleet {
	f := &versionFleet{harness: h, faults: faults, random: rand.New(rand.NewPCG(faults.seed, 1)), nodes: map[string]*versionNode{}}
	f.history = [][]registrar.Endpoint{append([]registrar.Endpoint(nil), h.registered...)}
	for n := range instanceCount {
		f.members = append(f.members, instanceNumber(n))
	}
	for _, name := range f.members {
		f.start(name)
	}

	return f
}

func (f *versionFleet) stop() {
	for _, node := range f.nodes {
		node.stop()
	}
}

func instanceNumber(n int) string { return fmt.Sprintf("n%02d", n) }

func drawVersionFaults(t *rapid.T) versionFaults {
	return versionFaults{
		seed:            rapid.Uint64().Draw(t, "seed"),
		restartChance:   rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "restarts"),
		keepsVersion:    rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "keepsVersion"),
		registryLag:     time.Duration(rapid.IntRange(0, 3000).Draw(t, "registryLagMs")) * time.Millisecond,
		restoredChance:  rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "restored"),
		killChance:      rapid.SampledFrom([]float64{0, 0.05, 0.1}).Draw(t, "kills"),
		cutChance:       rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "cuts"),
		pinLoss:         rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "pinLoss"),
		isolatedFromAll: rapid.Bool().Draw(t, "isolatedFromAll"),
	}
}

// Guards against streams of two versions, and against streams that do not go on when they are
// taken up, while endpoints come back under their IDs with other versions, the registry is old
// or restored, instances restart or are cut off, and pins are lost.
func TestStreamsTakenUpKeepTheirVersionUnderFaults(t *testing.T) {
	for name, instanceCount := range map[string]int{"7 instances": 7, "83 instances": 83} {
		t.Run(name, func(t *testing.T) {
			draw, total := 0, streamTally{}
			rapid.Check(t, func(rt *rapid.T) {
				if draw++; draw > 350/instanceCount {
					return
				}
				faults := drawVersionFaults(rt)
				tally := playVersions(t, instanceCount, faults)
				assert.Equal(t, tally.mixed, 0, "%+v: %+v", faults, tally)
				total.add(tally)
				if tally.resumable >= 12 && faults.restartChance == 0 {
					assert.Assert(t, 2*tally.resumed*tally.tried >= tally.begun*tally.resumable, "%+v: %+v", faults, tally)
				}
			})
			t.Logf("%+v", total)
		})
	}
}
