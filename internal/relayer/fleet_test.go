package relayer_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/connector"
	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/gossiper"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/internal/relayer"
	"github.com/oleanderpick/oleanderpick/pkg/matcher"
	"github.com/oleanderpick/oleanderpick/pkg/pinner"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

// fleetInstance is one of several instances on a harness's network that exchange messages.
type fleetInstance struct {
	dispatcher *dispatcher.Dispatcher
	stop       func()
}

// startInstance starts an instance that callers reach at front-NUMBER.
func (h *harness) startInstance(number int) fleetInstance {
	name := fmt.Sprint("i", number)
	d := dispatcher.New(dispatcher.Settings{
		Name: name, DataCentre: "dc", KeyLeaseDuration: keyLease, ReregistrationWindow: 2 * time.Second,
		RepeatLimits: retrier.RepeatLimiterSettings{Window: 10 * time.Second, RepeatRatio: 0.2, Burst: 50},
	}, dispatcher.Clock{Now: time.Now, SinceBoot: h.bootClock}, hclog.NewNullLogger())
	settings := gossiper.DefaultSettings()
	settings.Name, settings.Address, settings.DataCentre = name, name+":80", "dc"
	settings.Incarnation, settings.Seeds = uint64(time.Now().UnixNano()), []string{"i0:80", "i1:80"}
	g := gossiper.New(settings, d, nil, h.network.Client(), meter.New(), hclog.NewNullLogger())
	connections := connector.New(connector.DefaultSettings(), h.dialFrom(name))
	peers := connector.New(connector.DefaultSettings(), h.network.Dial)
	relay := relayer.New(testCodec{}, d, connections, peers, meter.New(), hclog.NewNullLogger(), func() uint64 { return 0 })
	h.network.Serve(fmt.Sprint("front-", number), relay)
	h.network.Serve(name, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if relayer.IsPassedOn(request) {
			relay.ServePassedOn(w, request)
		} else {
			g.Handler().ServeHTTP(w, request)
		}
	}))
	d.SetPinSource(g)
	d.SetPermitSource(g)
	d.OnPin(h.deliverPin)
	datagrams := make(chan datagram, 4096)
	go h.deliverDatagrams(name, datagrams)
	d.OnLoadChange(func(endpoint string, load placer.Load) {
		datagrams <- datagram{time.Now().Add(datagramDelay), func(peer *dispatcher.Dispatcher) { peer.ReceiveLoadUpdate(name, endpoint, load) }}
	})
	d.OnRejection(func(endpoint string) {
		rejections := []dispatcher.Rejection{{EndpointID: endpoint, At: time.Now()}}
		datagrams <- datagram{time.Now().Add(datagramDelay), func(peer *dispatcher.Dispatcher) { peer.ReceiveRejections(rejections) }}
	})
	h.mu.Lock()
	h.dispatchers[name] = d
	h.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = d.Serve(ctx) }()
	go func() { _ = g.Serve(ctx) }()
	d.ApplyListing(h.bootClock(), 0, h.registered)
	i := fleetInstance{dispatcher: d}
	i.confirmConfiguration(h)
	i.stop = func() {
		h.mu.Lock()
		delete(h.dispatchers, name)
		h.mu.Unlock()
		h.network.Stop(fmt.Sprint("front-", number))
		h.network.Stop(name)
		cancel()
		<-g.Done()
		<-d.Done()
		close(datagrams)
		connections.Close()
		peers.Close()
	}

	return i
}

// datagram is a message from one instance to all others.
type datagram struct {
	arrivesAt time.Time
	receive   func(peer *dispatcher.Dispatcher)
}

// deliverDatagrams delivers an instance's datagrams in order until the channel is closed.
func (h *harness) deliverDatagrams(from string, datagrams <-chan datagram) {
	for sent := range datagrams {
		time.Sleep(time.Until(sent.arrivesAt))
		h.mu.Lock()
		peers := maps.Clone(h.dispatchers)
		h.mu.Unlock()
		for name, d := range peers {
			if name != from {
				sent.receive(d)
			}
		}
	}
}

// datagramDelay is the time that a datagram takes between two instances.
const datagramDelay = 4 * time.Millisecond

// deliverPin passes a pin to the named instances that run, as datagrams would.
func (h *harness) deliverPin(pin pinner.Pin, holders []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, holder := range holders {
		if d := h.dispatchers[holder]; d != nil && !h.losesPins {
			go d.ReceivePin(pin)
		}
	}
}

// confirmConfiguration applies the test configuration as read just now.
func (i fleetInstance) confirmConfiguration(h *harness) {
	i.dispatcher.ApplyConfiguration(h.bootClock(), matcher.New(testConfiguration()), dispatcher.StoredConfiguration{})
}

// sendTo sends a streaming request to an instance and reports whether the answer came
// whole.
func (h *harness) sendTo(instance int, path, id string, blocks ...string) bool {
	request := h.newRequest(http.MethodPost, path+id, "body "+id)
	request.URL.Host, request.Host = fmt.Sprint("front-", instance), "front"
	request.Header.Set("X-Id", id)
	request.Header.Set("X-Blocks", strings.Join(append(blocks, "f00"+id), " "))
	response, body, err := h.send(request)

	return err == nil && response.StatusCode == http.StatusOK && strings.HasSuffix(body, "piece 10\n\n")
}

// Guards against a prompt block that crashes endpoint after endpoint in a fleet in which each
// instance gets few of the requests, while an instance restarts now and then. Sound requests
// that share the caller and the other blocks must still run.
func TestFleetStopsPromptBlockThatCrashesEndpoints(t *testing.T) {
	const (
		instanceCount = 6
		interval      = 200 * time.Millisecond
		duration      = 40 * time.Second
		settled       = 20 * time.Second
		restartEvery  = 4 * time.Second
	)
	for _, path := range []string{"/stream/", "/resume/"} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				c := h.serveCrashingEndpoints(12, crashWay{beginAnswer: writeHalfEvent})
				instances := make([]fleetInstance, instanceCount)
				for n := range instances {
					instances[n] = c.startInstance(n)
				}
				defer func() {
					for _, i := range instances {
						i.stop()
					}
				}()
				time.Sleep(time.Second)
				served, sent := atomic.Int64{}, 0
				start, restartedAt := time.Now(), time.Now()
				for n := 0; time.Since(start) < duration; n++ {
					for _, i := range instances {
						i.confirmConfiguration(h)
					}
					if time.Since(restartedAt) >= restartEvery {
						restarted := n % instanceCount
						instances[restarted].stop()
						instances[restarted] = c.startInstance(restarted)
						restartedAt = time.Now()
						time.Sleep(time.Second) // Callers avoid it meanwhile.
					}
					go h.sendTo(n%instanceCount, path, fmt.Sprint(10_000+n), "1", "2", poisonBlock, "3")
					for k, blocks := range [][]string{{"1"}, {"1", "2"}, {"1", "2", "3"}} {
						isCounted := time.Since(start) >= settled
						if isCounted {
							sent++
						}
						go func() {
							if h.sendTo((n+k)%instanceCount, path, fmt.Sprint(20_000+10*n+k), blocks...) && isCounted {
								served.Add(1)
							}
						}()
					}
					time.Sleep(interval)
				}
				time.Sleep(5 * time.Second)
				arrivals := c.poisonArrivalsAfterFifthCrash(3 * time.Second)
				t.Logf("%d requests with the block reached endpoints, %d crashes", len(c.poisonArrivals), len(c.crashes))
				assert.Assert(t, arrivals <= 3, "%d requests with the block after the fifth of %d crashes", arrivals, len(c.crashes))
				assert.Assert(t, served.Load() >= int64(sent*9/10), "%d of %d sound requests served", served.Load(), sent)
			})
		})
	}
}
