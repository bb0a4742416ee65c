package gossiper_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/gossiper"
	"github.com/oleanderpick/oleanderpick/internal/gossiper/gossipwire"
	"github.com/oleanderpick/oleanderpick/internal/lab/piper"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// datagramNetwork delivers datagrams between the instances of a test in memory.
type datagramNetwork struct {
	transit   time.Duration
	sent      atomic.Int64
	bytesSent atomic.Int64
	isLossy   atomic.Bool // all datagrams are lost

	mu        sync.Mutex
	gossipers map[string]*gossiper.Gossiper // by address
}

// remove makes all datagrams to an address be lost.
func (n *datagramNetwork) remove(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.gossipers, address)
}

const (
	// maxDatagram is the size of the largest datagram.
	maxDatagram = 1200
	// datagramHeaders is the size of the headers of IP and UDP.
	datagramHeaders = 28
)

func newDatagramNetwork(transit time.Duration) *datagramNetwork {
	return &datagramNetwork{transit: transit, gossipers: map[string]*gossiper.Gossiper{}}
}

// add makes an instance use datagrams and receive those to its address until it has stopped.
func (n *datagramNetwork) add(address string, g *gossiper.Gossiper) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.gossipers[address] = g
	g.UseDatagrams(n)
}

func (n *datagramNetwork) SendMessage(address string, message *gossipwire.Message) bool {
	datagram, err := proto.Marshal(message)
	if err != nil || len(datagram) > maxDatagram {
		return false
	}
	n.sent.Add(1)
	n.bytesSent.Add(int64(len(datagram) + datagramHeaders))
	n.mu.Lock()
	g := n.gossipers[address]
	n.mu.Unlock()
	if g == nil || n.isLossy.Load() {
		return true
	}
	time.AfterFunc(n.transit, func() {
		select {
		case <-g.Done():
		default:
			var received gossipwire.Message
			if proto.Unmarshal(datagram, &received) == nil {
				g.ReceiveDatagram(&received)
			}
		}
	})

	return true
}

// Guards against a fleet at rest that spends most of its processor time on calls: messages that
// fit go in datagrams.
func TestInstancesAtRestExchangeDatagrams(t *testing.T) {
	for _, size := range []int{7, 60} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			cost := measureRest(t, size)
			assert.Assert(t, cost.calls <= 1, "%+v", cost)
		})
	}
}

// Guards against a fleet that learns nothing where datagrams are lost: an exchange without an
// answer is followed by calls.
func TestFleetLearnsWithoutDatagrams(t *testing.T) {
	runFleet(t, 20, func(t *testing.T, _ *piper.Network, instances []testInstance, sinceBoot func() time.Duration) {
		time.Sleep(3 * time.Second)
		instances[0].datagrams.isLossy.Store(true)
		applyConfiguration(instances[7], sinceBoot(), 5)
		time.Sleep(3 * time.Second)
		for rank, i := range instances {
			assert.Assert(t, i.dispatcher.Matcher() != nil, "instance %d", rank)
			assert.Equal(t, i.dispatcher.Matcher().Number(), uint64(5))
		}
	})
}

// Guards against loads that never arrive because there are too many of them for a datagram.
func TestMessagesThatDoNotFitAreCalls(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, _ *piper.Network, instances []testInstance, sinceBoot func() time.Duration) {
		time.Sleep(time.Second)
		endpoints := make([]registrar.Endpoint, 0, 120)
		for n := range cap(endpoints) {
			endpoints = append(endpoints, registrar.Endpoint{ID: fmt.Sprint("endpoint-with-a-long-name-", n), Service: "s", Address: "e:80", Slots: 1})
		}
		for _, i := range instances {
			applyConfiguration(i, sinceBoot(), 1)
			i.dispatcher.ApplyListing(sinceBoot(), 0, endpoints)
		}
		taken := map[string]bool{}
		for range endpoints {
			placement, _ := instances[0].dispatcher.Place(t.Context(), placer.Request{Service: "s"}, true)
			taken[placement.EndpointID] = true
		}
		assert.Equal(t, len(taken), len(endpoints))
		time.Sleep(time.Second)
		for n, i := range instances[1:] {
			known := i.dispatcher.BuildMessage(dispatcher.DataCentreLoads).Loads
			assert.Equal(t, len(known), len(endpoints), "instance %d", n+1)
		}
	})
}
