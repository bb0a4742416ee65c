package notifier_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/internal/notifier"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// post carries datagrams between sockets by address.
type post struct {
	mu      sync.Mutex
	sockets map[string]*socket
}

type socket struct {
	net.PacketConn // Its other methods are not used.

	post    *post
	arrived chan []byte
	closed  chan struct{}
}

func (p *post) listen(address string) *socket {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sockets[address] = &socket{post: p, arrived: make(chan []byte, 16), closed: make(chan struct{})}

	return p.sockets[address]
}

func (s *socket) WriteTo(datagram []byte, to net.Addr) (int, error) {
	s.post.mu.Lock()
	defer s.post.mu.Unlock()
	if target := s.post.sockets[to.String()]; target != nil {
		target.arrived <- append([]byte(nil), datagram...)
	}

	return len(datagram), nil
}

func (s *socket) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case datagram := <-s.arrived:
		return copy(buffer, datagram), nil, nil
	case <-s.closed:
		return 0, nil, net.ErrClosed
	}
}

func (s *socket) Close() error {
	close(s.closed)

	return nil
}

type members []string

func (m members) Addresses() []string { return m }

// heard records notes.
type heard struct {
	mu    sync.Mutex
	notes map[string]placer.Load
}

func (h *heard) HeardLoad(peer, endpoint string, load placer.Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notes[peer+" at "+endpoint] = load
}

// A note reaches every live member at once; bytes that are no note, and members
// that are gone, stop none of the next ones.
func TestNotesReachAllMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mail := &post{sockets: map[string]*socket{}}
		others := members{"10.0.0.2:80", "10.0.0.3:80", "10.0.0.9:80", "no address"}
		ctx, cancel := context.WithCancel(t.Context())
		start := func(name, address string) (*notifier.Notifier, *heard) {
			h := &heard{notes: map[string]placer.Load{}}
			n := notifier.New(name, 7200, mail.listen(address), others, h, meter.New(), hclog.NewNullLogger())
			go func() { _ = n.Serve(ctx) }()

			return n, h
		}
		teller, _ := start("a", "10.0.0.1:7200")
		b, second := start("b", "10.0.0.2:7200")
		c, third := start("c", "10.0.0.3:7200")
		load := placer.Load{RunningRequests: 3, RunningShortPrompts: 2, PendingTokens: 9000}
		mail.sockets["10.0.0.2:7200"].arrived <- []byte{0xff, 0xff}
		begun := time.Now()
		teller.Tell("e1", load)
		synctest.Wait()
		assert.Equal(t, time.Since(begun), time.Duration(0))
		assert.Equal(t, second.notes["a at e1"], load)
		assert.Equal(t, third.notes["a at e1"], load)
		teller.Tell("e1", placer.Load{})
		synctest.Wait()
		assert.Equal(t, second.notes["a at e1"], placer.Load{})
		cancel()
		<-teller.Done()
		<-b.Done()
		<-c.Done()
	})
}

// What notes cost grows with the fleet: a large one goes without.
func TestLargeFleetSendsNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mail := &post{sockets: map[string]*socket{}}
		const fleet = 40
		others := make(members, 0, fleet)
		for i := range fleet {
			others = append(others, fmt.Sprintf("10.0.1.%d:80", i))
		}
		n := notifier.New("a", 7200, mail.listen("10.0.0.1:7200"), others, &heard{}, meter.New(), hclog.NewNullLogger())
		far := mail.listen("10.0.1.1:7200")
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = n.Serve(ctx) }()
		n.Tell("e1", placer.Load{RunningRequests: 1})
		synctest.Wait()
		assert.Equal(t, len(far.arrived), 0)
		cancel()
		<-n.Done()
	})
}
