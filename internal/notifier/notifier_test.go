package notifier_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/gossiper/gossipwire"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/internal/notifier"
	"github.com/oleanderpick/oleanderpick/pkg/pinner"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// fakeNetwork delivers datagrams between sockets in memory, by address.
type fakeNetwork struct {
	mu      sync.Mutex
	sockets map[string]*fakeSocket
}

// fakeSocket is a UDP socket of a fakeNetwork.
type fakeSocket struct {
	net.PacketConn // The methods that are not overridden are not called.

	network  *fakeNetwork
	received chan []byte
	closed   chan struct{}
}

func (n *fakeNetwork) listen(address string) *fakeSocket {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sockets[address] = &fakeSocket{network: n, received: make(chan []byte, 16), closed: make(chan struct{})}

	return n.sockets[address]
}

func (s *fakeSocket) WriteTo(datagram []byte, to net.Addr) (int, error) {
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	if target := s.network.sockets[to.String()]; target != nil {
		target.received <- append([]byte(nil), datagram...)
	}

	return len(datagram), nil
}

func (s *fakeSocket) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case datagram := <-s.received:
		return copy(buffer, datagram), nil, nil
	case <-s.closed:
		return 0, nil, net.ErrClosed
	}
}

func (s *fakeSocket) Close() error {
	close(s.closed)

	return nil
}

// fixedRecipients are recipients that do not change.
type fixedRecipients []string

func (r fixedRecipients) UpdateAddresses() []string { return r }

func (r fixedRecipients) AddressesOf(names []string) []string { return names }

// loadRecorder records the latest load received for each peer and endpoint.
type loadRecorder struct {
	mu          sync.Mutex
	latestLoads map[string]placer.Load
	pins        []pinner.Pin
	messages    []*gossipwire.Message
}

func (r *loadRecorder) ReceiveDatagram(message *gossipwire.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, message)
}

func (r *loadRecorder) ReceiveRejections([]dispatcher.Rejection) {}

func (r *loadRecorder) ReceivePin(pin pinner.Pin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pins = append(r.pins, pin)
}

func (r *loadRecorder) ReceiveLoadUpdate(peer, endpoint string, load placer.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latestLoads[peer+" at "+endpoint] = load
}

// A load update reaches every live peer at once. An unreadable datagram, a peer that has
// stopped and an invalid peer address do not prevent later updates.
func TestLoadUpdatesReachAllLiveMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &fakeNetwork{sockets: map[string]*fakeSocket{}}
		recipients := fixedRecipients{"10.0.0.2:80", "10.0.0.3:80", "10.0.0.9:80", "no address"}
		ctx, cancel := context.WithCancel(t.Context())
		start := func(name, address string) (*notifier.Notifier, *loadRecorder) {
			recorder := &loadRecorder{latestLoads: map[string]placer.Load{}}
			n := notifier.New(name, 7200, network.listen(address), recipients, recorder, recorder, meter.New(), hclog.NewNullLogger())
			go func() { _ = n.Serve(ctx) }()

			return n, recorder
		}
		sender, _ := start("a", "10.0.0.1:7200")
		notifierB, recorderB := start("b", "10.0.0.2:7200")
		notifierC, recorderC := start("c", "10.0.0.3:7200")
		load := placer.Load{RunningRequests: 3, RunningShortPrompts: 2, PendingTokens: 9000, LowerTiers: placer.LowerTiers{0, 2}}
		network.sockets["10.0.0.2:7200"].received <- []byte{0xff, 0xff}
		sentAt := time.Now()
		sender.QueueUpdate("e1", load)
		synctest.Wait()
		assert.Equal(t, time.Since(sentAt), time.Duration(0))
		assert.Equal(t, recorderB.latestLoads["a at e1"], load)
		assert.Equal(t, recorderC.latestLoads["a at e1"], load)
		sender.QueueUpdate("e1", placer.Load{})
		synctest.Wait()
		assert.Equal(t, recorderB.latestLoads["a at e1"], placer.Load{})

		pin := pinner.Pin{StreamID: 1 << 63, Service: "s", Version: "v2", ExpiresAt: time.Now().Add(15 * time.Second)}
		sender.QueuePin(pin, []string{"10.0.0.3:80"})
		sender.QueuePin(pin, nil)
		synctest.Wait()
		assert.Equal(t, len(recorderB.pins), 0)
		assert.DeepEqual(t, recorderC.pins, []pinner.Pin{pin})

		// The loads of an exchange are not taken for load updates.
		exchange := &gossipwire.Message{Name: "a", Asks: 1, Loads: []*gossipwire.Load{{Endpoint: "e2", Running: 1}}}
		assert.Assert(t, sender.SendMessage("10.0.0.2:80", exchange))
		assert.Assert(t, !sender.SendMessage("10.0.0.2:80", &gossipwire.Message{Members: make([]string, 1000)}), "too large")
		synctest.Wait()
		assert.Equal(t, len(recorderB.messages), 1)
		assert.Equal(t, recorderB.latestLoads["a at e2"], placer.Load{})
		cancel()
		<-sender.Done()
		<-notifierB.Done()
		<-notifierC.Done()
	})
}
