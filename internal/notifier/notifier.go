// Package notifier sends datagrams to other instances: load updates, with the sender's
// current load at one engine, at once when a prompt goes to the engine, when its prefill ends
// and when its answer ends; the pins of streams that begin; and the gossiper's messages that fit.
//
// The gossiper's messages contain all loads, but are exchanged only a few times a second.
// Between two messages, several instances could choose the same engine because it looks
// free to each of them. A lost or late load update is corrected by the next
// message, so updates are neither acknowledged nor sent again. Pins go to several instances,
// and one that lacks a pin requests it from the others.
package notifier

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/gossiper"
	"github.com/oleanderpick/oleanderpick/internal/gossiper/gossipwire"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/pkg/pinner"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

const (
	// maxQueuedUpdates is the number of messages that wait to be sent. Further ones are
	// dropped and counted.
	maxQueuedUpdates = 64
	// maxDatagramBytes is the size of the largest datagram that is sent or received. It fits in
	// one packet of any usual network.
	maxDatagramBytes = 1200
	// readRetryDelay is the time between a failed read of the socket and the next one.
	readRetryDelay = 100 * time.Millisecond
)

// RecipientList lists the live peers that get load updates, and finds instances by name.
type RecipientList interface {
	// UpdateAddresses returns the peers' addresses for gossip messages, as IP:PORT.
	UpdateAddresses() []string
	// AddressesOf returns those of the named instances.
	AddressesOf(names []string) []string
}

// Exchanger uses the gossip messages that peers send in datagrams.
type Exchanger interface {
	ReceiveDatagram(message *gossipwire.Message)
}

// Receiver uses the other datagrams that peers send.
type Receiver interface {
	// ReceiveLoadUpdate replaces a peer's load at one endpoint.
	ReceiveLoadUpdate(peer, endpoint string, load placer.Load)
	// ReceivePin keeps a peer's pin.
	ReceivePin(pin pinner.Pin)
	// ReceiveRejections records rejections by brittle endpoints.
	ReceiveRejections(rejections []dispatcher.Rejection)
}

// Notifier sends and receives load updates and pins. It runs as a service of a supervisor.
type Notifier struct {
	instanceName string
	port         uint16
	conn         net.PacketConn
	recipients   RecipientList
	exchanger    Exchanger
	receiver     Receiver
	counters     *meter.Meter
	logger       hclog.Logger
	queue        chan queuedMessage
	done         chan struct{}
}

// queuedMessage is a message that waits to be sent. Without holders it goes to all peers that
// get load updates.
type queuedMessage struct {
	message *gossipwire.Message
	holders []string // names of the instances that keep a pin
}

// New returns a notifier for the named instance. It receives load updates on conn and
// passes them to receiver, and gossip messages to exchanger. All instances must listen on the
// same port. counters count the updates that are dropped, not sent or unreadable.
func New(instanceName string, port uint16, conn net.PacketConn, recipients RecipientList, exchanger Exchanger, receiver Receiver, counters *meter.Meter, logger hclog.Logger) *Notifier {
	return &Notifier{
		instanceName: instanceName, port: port, conn: conn, recipients: recipients, exchanger: exchanger, receiver: receiver, counters: counters, logger: logger,
		queue: make(chan queuedMessage, maxQueuedUpdates), done: make(chan struct{}),
	}
}

// String returns the name that the supervisor logs.
func (n *Notifier) String() string {
	return "notifier"
}

// Done returns a channel that is closed when the notifier has ended.
func (n *Notifier) Done() <-chan struct{} {
	return n.done
}

// QueueUpdate queues this instance's load at an endpoint to be sent to the peers. It does
// not block: if the queue is full, it drops the update.
func (n *Notifier) QueueUpdate(endpoint string, load placer.Load) {
	n.enqueue(queuedMessage{message: &gossipwire.Message{
		Name: n.instanceName, Loads: []*gossipwire.Load{gossiper.EncodeLoad(endpoint, load)},
	}})
}

// QueuePin queues a pin to be sent to the named instances. It does not block: if the queue is
// full, it drops the pin.
func (n *Notifier) QueuePin(pin pinner.Pin, holders []string) {
	if len(holders) > 0 {
		n.enqueue(queuedMessage{message: &gossipwire.Message{Name: n.instanceName, Pin: gossiper.EncodePin(time.Now(), pin)}, holders: holders})
	}
}

// QueueRejection queues the news that a brittle endpoint has just rejected a request. It does not
// block: if the queue is full, it drops the news.
func (n *Notifier) QueueRejection(endpoint string) {
	n.enqueue(queuedMessage{message: &gossipwire.Message{Name: n.instanceName, Rejections: []*gossipwire.Rejection{{Endpoint: endpoint}}}})
}

func (n *Notifier) enqueue(queued queuedMessage) {
	select {
	case n.queue <- queued:
	default:
		n.counters.Add("notes.dropped", 1)
	}
}

// Serve sends and receives load updates until ctx ends. Then it closes the socket.
func (n *Notifier) Serve(ctx context.Context) error {
	defer close(n.done)
	receiveEnded := make(chan struct{})
	go func() {
		defer close(receiveEnded)
		n.receive(ctx)
	}()
	for {
		select {
		case <-ctx.Done():
			err := n.conn.Close()
			<-receiveEnded
			if err != nil {
				return err
			}

			return ctx.Err()
		case queued := <-n.queue:
			n.send(queued)
		}
	}
}

// send sends a message to its recipients.
func (n *Notifier) send(queued queuedMessage) {
	peerAddresses := n.recipients.AddressesOf(queued.holders)
	if len(queued.holders) == 0 {
		peerAddresses = n.recipients.UpdateAddresses()
	}
	datagram, err := proto.Marshal(queued.message)
	if err != nil {
		n.logger.Error("A message cannot be encoded.", "error", err)

		return
	}
	for _, peerAddress := range peerAddresses {
		n.write(datagram, peerAddress)
	}
}

// SendMessage sends a gossip message to the peer with an address. It reports false if the message
// does not fit in a datagram or cannot be sent. It implements gossiper.DatagramSender.
func (n *Notifier) SendMessage(peerAddress string, message *gossipwire.Message) bool {
	if proto.Size(message) > maxDatagramBytes {
		return false
	}
	datagram, err := proto.Marshal(message)
	if err != nil {
		n.logger.Error("A message cannot be encoded.", "error", err)

		return false
	}

	return n.write(datagram, peerAddress)
}

// write sends a datagram to the peer with an address. It reports false if it cannot be sent.
func (n *Notifier) write(datagram []byte, peerAddress string) bool {
	target, err := n.updateAddress(peerAddress)
	if err == nil {
		_, err = n.conn.WriteTo(datagram, target)
	}
	if err != nil {
		n.counters.Add("notes.failed", 1)
	}

	return err == nil
}

// updateAddress returns the address at which a peer receives datagrams: the host of its
// address for gossip messages, with the port of datagrams.
func (n *Notifier) updateAddress(peerAddress string) (net.Addr, error) {
	gossipAddress, err := netip.ParseAddrPort(peerAddress)
	if err != nil {
		return nil, errors.Wrapf(err, "address of member %q", peerAddress)
	}

	return net.UDPAddrFromAddrPort(netip.AddrPortFrom(gossipAddress.Addr(), n.port)), nil
}

// receive reads datagrams from the socket until ctx ends.
func (n *Notifier) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		size, _, err := n.conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() == nil {
				n.logger.Warn("Datagrams cannot be read.", "error", err)
				time.Sleep(readRetryDelay)
			}

			continue
		}
		var message gossipwire.Message
		if err := proto.Unmarshal(buffer[:size], &message); err != nil {
			n.counters.Add("notes.unreadable", 1)

			continue
		}
		n.deliver(&message)
	}
}

// deliver passes a datagram on to the part that uses it.
func (n *Notifier) deliver(message *gossipwire.Message) {
	if message.GetAsks() != 0 || message.GetAnswers() != 0 || len(message.GetUsage()) > 0 {
		n.exchanger.ReceiveDatagram(message)

		return
	}
	for _, load := range message.GetLoads() {
		n.receiver.ReceiveLoadUpdate(message.GetName(), load.GetEndpoint(), gossiper.DecodeLoad(load))
	}
	n.receiver.ReceiveRejections(gossiper.DecodeRejections(time.Now(), message.GetRejections()))
	if message.GetPin() != nil {
		n.receiver.ReceivePin(gossiper.DecodePin(time.Now(), message.GetPin()))
	}
}
