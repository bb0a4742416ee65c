// Package notifier tells the other instances at once what an engine has just got
// or read, by datagrams.
//
// Messages of the gossiper tell everything some times a second. In between many
// instances would choose the same engine that looks free to each of them. A note
// says what its sender has at one engine now; one that is lost or late is made
// good by the next message, so that nothing waits for it or sends it again.
package notifier

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"github.com/oleanderpick/oleanderpick/internal/gossiper"
	"github.com/oleanderpick/oleanderpick/internal/gossiper/gossipwire"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

const (
	// backlog is the notes that wait to be sent; more are dropped and counted.
	backlog = 64
	// datagramMost is the largest note in bytes: names and three numbers.
	datagramMost = 1200
	// toldMost is the most other instances with which notes are sent. In a larger
	// fleet each has a smaller part of an engine's load, and what notes cost an
	// instance grows with the fleet.
	toldMost = 12
	// retry is the time after which a read that failed is repeated.
	retry = 100 * time.Millisecond
)

// Members are the other instances.
type Members interface {
	// Addresses returns those of live ones, as IP:PORT for their messages.
	Addresses() []string
}

// Control takes in notes.
type Control interface {
	ReceiveLoadUpdate(peer, endpoint string, load placer.Load)
}

// Notifier sends and receives notes. It is a service of a supervisor tree.
type Notifier struct {
	name    string
	port    uint16
	conn    net.PacketConn
	members Members
	control Control
	meter   *meter.Meter
	logger  hclog.Logger
	notes   chan note
	done    chan struct{}
}

type note struct {
	endpoint string
	load     placer.Load
}

// New returns a notifier for the instance with a name. All instances listen on
// the same port.
func New(name string, port uint16, conn net.PacketConn, members Members, control Control, counters *meter.Meter, logger hclog.Logger) *Notifier {
	return &Notifier{
		name: name, port: port, conn: conn, members: members, control: control, meter: counters, logger: logger,
		notes: make(chan note, backlog), done: make(chan struct{}),
	}
}

// String returns the name that the supervisor logs.
func (n *Notifier) String() string {
	return "notifier"
}

// Done is closed when the notifier has ended.
func (n *Notifier) Done() <-chan struct{} {
	return n.done
}

// Tell tells the others what this instance has at an endpoint. It does not wait.
func (n *Notifier) Tell(endpoint string, load placer.Load) {
	select {
	case n.notes <- note{endpoint, load}:
	default:
		n.meter.Add("notes.dropped", 1)
	}
}

// Serve sends and receives until ctx ends.
func (n *Notifier) Serve(ctx context.Context) error {
	defer close(n.done)
	received := make(chan struct{})
	go func() {
		defer close(received)
		n.receive(ctx)
	}()
	for {
		select {
		case <-ctx.Done():
			err := n.conn.Close()
			<-received
			if err != nil {
				return err
			}

			return ctx.Err()
		case told := <-n.notes:
			n.send(told)
		}
	}
}

// send sends a note to the live members, unless they are too many.
func (n *Notifier) send(told note) {
	members := n.members.Addresses()
	if len(members) > toldMost {
		return
	}
	datagram, err := proto.Marshal(&gossipwire.Message{
		Name:  n.name,
		Loads: []*gossipwire.Load{gossiper.EncodeLoad(told.endpoint, told.load)},
	})
	if err != nil {
		n.logger.Error("A note cannot be encoded.", "endpoint", told.endpoint, "error", err)

		return
	}
	for _, member := range members {
		address, err := n.address(member)
		if err == nil {
			_, err = n.conn.WriteTo(datagram, address)
		}
		if err != nil {
			n.meter.Add("notes.failed", 1)
		}
	}
}

// address is where the member with an address for messages takes notes.
func (n *Notifier) address(member string) (net.Addr, error) {
	known, err := netip.ParseAddrPort(member)
	if err != nil {
		return nil, errors.Wrapf(err, "address of member %q", member)
	}

	return net.UDPAddrFromAddrPort(netip.AddrPortFrom(known.Addr(), n.port)), nil
}

// receive takes in notes until ctx ends.
func (n *Notifier) receive(ctx context.Context) {
	buffer := make([]byte, datagramMost)
	for ctx.Err() == nil {
		size, _, err := n.conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() == nil {
				n.logger.Warn("Notes cannot be read.", "error", err)
				time.Sleep(retry)
			}

			continue
		}
		var message gossipwire.Message
		if err := proto.Unmarshal(buffer[:size], &message); err != nil {
			n.meter.Add("notes.unreadable", 1)

			continue
		}
		for _, load := range message.GetLoads() {
			n.control.ReceiveLoadUpdate(message.GetName(), load.GetEndpoint(), gossiper.DecodeLoad(load))
		}
	}
}
