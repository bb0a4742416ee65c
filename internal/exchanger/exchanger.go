// Package exchanger exchanges messages with the other instances. It requests credit
// from the homes of endpoints and answers the peers' credit requests. The messages
// also carry liveness reports about members, quarantine entries for requests that
// may crash endpoints, load reports of endpoints, and revision numbers.
package exchanger

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/blockencoder"
	"github.com/oleanderpick/oleanderpick/internal/controller"
	"github.com/oleanderpick/oleanderpick/internal/exchanger/peerwire"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/pkg/granter"
	"github.com/oleanderpick/oleanderpick/pkg/tracker"
)

// Settings holds the identity of this instance and the intervals and limits of its
// exchanges.
type Settings struct {
	// Self is this instance. Incarnation grows with each of its starts.
	Self        tracker.Instance
	Incarnation uint64
	// RoundInterval is the time between the starts of two rounds.
	RoundInterval time.Duration
	// ExchangeTimeout limits the duration of one exchange.
	ExchangeTimeout time.Duration
	// Scheme is the URL scheme for calls to peers: http or https.
	Scheme string
	// Now returns the time, in simulations a simulated one. It defaults to time.Now.
	Now func() time.Time
}

// RevisionStore holds the revision of the configuration that is in force.
type RevisionStore interface {
	// RevisionNumber returns the number of the revision in force.
	RevisionNumber() uint64
	// RecordPeerRevision records the number of the revision that a peer has in
	// force.
	RecordPeerRevision(peer tracker.Instance, number uint64)
	// HeadAndParts returns the encoded head in force, and those of its parts that
	// have the given hashes, by hash.
	HeadAndParts(hashes []string) (head []byte, parts map[string][]byte)
}

// Exchanger starts this instance's exchanges with its peers and answers theirs.
type Exchanger struct {
	settings  Settings
	control   *controller.Controller
	revisions RevisionStore
	client    *http.Client
	meter     *meter.Meter
	logger    hclog.Logger
	clockBase time.Time // credit requests carry times as offsets from it
	handler   http.Handler
	done      chan struct{}

	exchanges sync.WaitGroup // those that startExchange started

	mu              sync.Mutex
	exchanging      map[string]bool   // peers with an exchange of startExchange in progress
	roundRobinIndex int               // counts rounds; its remainder selects the peer
	peerAddresses   map[string]string // by instance name
}

// New returns an Exchanger. Serve runs its rounds, Handler serves its peers.
func New(settings Settings, control *controller.Controller, revisions RevisionStore, client *http.Client, counters *meter.Meter, logger hclog.Logger) *Exchanger {
	if settings.Now == nil {
		settings.Now = time.Now
	}
	e := &Exchanger{
		settings:      settings,
		control:       control,
		revisions:     revisions,
		client:        client,
		meter:         counters,
		logger:        logger,
		clockBase:     settings.Now(),
		done:          make(chan struct{}),
		exchanging:    map[string]bool{},
		peerAddresses: map[string]string{},
	}
	e.handler = peerwire.NewPeerServer(&peerServer{exchanger: e})

	return e
}

// Handler returns the HTTP handler of the calls from peers.
func (e *Exchanger) Handler() http.Handler {
	return e.handler
}

// String returns the name under which the supervisor logs this service.
func (e *Exchanger) String() string {
	return "exchanger"
}

// Done returns a channel that is closed when Serve has ended.
func (e *Exchanger) Done() <-chan struct{} {
	return e.done
}

// Serve starts a round at each interval until ctx ends. When the controller reports
// a crash, it exchanges with all peers at once.
func (e *Exchanger) Serve(ctx context.Context) error {
	ticker := time.NewTicker(e.settings.RoundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			close(e.done)

			return ctx.Err()
		case <-ticker.C:
			e.startRound(ctx)
		case <-e.control.CrashAlerts():
			e.exchangeWithAllPeers(ctx)
		}
	}
}

// RunRound runs one round and waits for its exchanges. It is for simulations, which
// control the time and do not call Serve.
func (e *Exchanger) RunRound(ctx context.Context) {
	e.startRound(ctx)
	e.exchanges.Wait()
}

// startRound starts exchanges with the homes that are due for credit requests, and
// with one more peer in turn, so that every two instances exchange messages.
func (e *Exchanger) startRound(ctx context.Context) {
	peers := e.control.Peers()
	addresses := make(map[string]string, len(peers))
	for _, peer := range peers {
		addresses[peer.Name] = peer.PeerAddress
	}
	e.mu.Lock()
	e.peerAddresses = addresses
	e.mu.Unlock()

	contacted := map[string]bool{}
	for _, batch := range e.control.DueCreditRequests() {
		if addresses[batch.Home] == "" {
			e.control.RecordMissedExchange(batch.Home)
			continue
		}
		contacted[batch.Home] = true
		e.startExchange(ctx, batch)
	}
	if len(peers) == 0 {
		return
	}
	e.roundRobinIndex++
	if peer := peers[e.roundRobinIndex%len(peers)]; !contacted[peer.Name] {
		e.startExchange(ctx, controller.CreditRequestBatch{Home: peer.Name})
	}
}

// exchangeWithAllPeers starts an exchange without credit requests with each peer,
// even if another one with it is in progress.
func (e *Exchanger) exchangeWithAllPeers(ctx context.Context) {
	for _, peer := range e.control.Peers() {
		go e.exchange(ctx, peer.PeerAddress, controller.CreditRequestBatch{Home: peer.Name})
	}
}

// startExchange starts an exchange with the home that a batch of credit requests is
// for. It does nothing if an earlier one with the same peer is in progress.
func (e *Exchanger) startExchange(ctx context.Context, batch controller.CreditRequestBatch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.exchanging[batch.Home] {
		return
	}
	e.exchanging[batch.Home] = true
	address := e.peerAddresses[batch.Home]
	e.exchanges.Go(func() {
		e.exchange(ctx, address, batch)
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.exchanging, batch.Home)
	})
}

// exchange sends a message with credit requests to a peer and processes the answer
// with the grants. An exchange that fails or times out counts as missed.
func (e *Exchanger) exchange(ctx context.Context, address string, batch controller.CreditRequestBatch) {
	ctx, cancel := context.WithTimeout(ctx, e.settings.ExchangeTimeout)
	defer cancel()
	request := e.buildMessage(e.control.StateToShare(nil), nil)
	request.Wants = convertAll(batch.Requests, creditRequestEncoder(e.clockBase))
	reply, err := e.newPeerClient(address).Exchange(ctx, request)
	e.meter.Add("exchanges.sent", 1)
	if err != nil {
		e.meter.Add("exchanges.missed", 1)
		e.control.RecordMissedExchange(batch.Home)
		e.client.CloseIdleConnections()

		return
	}

	now := e.settings.Now()
	e.receiveMessage(now, reply)
	grants := convertAll(reply.GetGrants(), grantDecoder(e.clockBase))
	e.control.ReceiveGrants(batch.Home, grants, convertAll(reply.GetLoads(), loadReportDecoder(now)))
}

// newPeerClient returns a client of the Peer service at an address.
func (e *Exchanger) newPeerClient(address string) peerwire.Peer {
	return peerwire.NewPeerProtobufClient(e.settings.Scheme+"://"+address, e.client)
}

// buildMessage returns a message with this instance's state, without credit requests
// and grants. It prefers liveness reports about the instances that the recipient
// finds unreachable.
func (e *Exchanger) buildMessage(state controller.SharedState, unreachable []string) *peerwire.Message {
	now := e.settings.Now()
	self := e.settings.Self

	return &peerwire.Message{
		Sender: &peerwire.Sender{
			Name:        self.Name,
			Address:     self.Address,
			Peer:        self.PeerAddress,
			DataCentre:  self.DataCentre,
			Incarnation: e.settings.Incarnation,
			Leaving:     e.control.IsStopping(),
			Idle:        state.Idle,
		},
		Revision: e.revisions.RevisionNumber(),
		Suspects: convertAll(state.QuarantineEntries, quarantineEntryEncoder(now)),
		Blocks:   blockencoder.Encode(now, state.BlockRecords),
		View:     convertAll(selectLivenessReports(state.LivenessReports, unreachable), encodeLivenessReport),
		Doubted:  state.UnreachableMembers,
	}
}

// receiveMessage passes a peer's message to the controller and the revision store,
// except for credit requests, grants and load reports. It returns the sender.
func (e *Exchanger) receiveMessage(now time.Time, message *peerwire.Message) tracker.Instance {
	sender := message.GetSender()
	peer := tracker.Instance{
		Name:        sender.GetName(),
		Address:     sender.GetAddress(),
		PeerAddress: sender.GetPeer(),
		DataCentre:  sender.GetDataCentre(),
		Leaving:     sender.GetLeaving(),
	}
	e.control.ReceiveSharedState(peer, sender.GetIncarnation(), controller.SharedState{
		QuarantineEntries: convertAll(message.GetSuspects(), quarantineEntryDecoder(now)),
		BlockRecords:      blockencoder.Decode(now, message.GetBlocks()),
		LivenessReports:   convertAll(message.GetView(), decodeLivenessReport),
		Idle:              sender.GetIdle(),
	})
	e.revisions.RecordPeerRevision(peer, message.GetRevision())

	return peer
}

// peerServer implements the Peer service, which peers call.
type peerServer struct {
	exchanger *Exchanger
}

// Exchange processes a peer's message and returns this instance's message, with a
// grant for each credit request and load reports of the endpoints concerned.
func (s *peerServer) Exchange(_ context.Context, request *peerwire.Message) (*peerwire.Message, error) {
	e := s.exchanger
	now := e.settings.Now()
	peer := e.receiveMessage(now, request)
	reply := e.buildMessage(e.control.StateToShare(request.GetDoubted()), request.GetDoubted())
	if len(request.GetWants()) == 0 {
		return reply, nil
	}

	var grants []granter.Grant
	grants, reports := e.control.AnswerCreditRequests(peer.Name, convertAll(request.GetWants(), decodeCreditRequest))
	reply.Grants = convertAll(grants, encodeGrant)
	reply.Loads = convertAll(reports, loadReportEncoder(now))

	return reply, nil
}

// Fetch returns the head of the revision in force and those of its parts that have
// the requested hashes.
func (s *peerServer) Fetch(_ context.Context, request *peerwire.PartsRequest) (*peerwire.PartsReply, error) {
	head, parts := s.exchanger.revisions.HeadAndParts(request.GetHashes())
	reply := &peerwire.PartsReply{Head: head}
	for _, hash := range request.GetHashes() {
		if contents, ok := parts[hash]; ok {
			reply.Parts = append(reply.Parts, &peerwire.Part{Hash: hash, Contents: contents})
		}
	}

	return reply, nil
}

// Fetch requests the head of a peer's revision, and its parts with the given hashes.
func (e *Exchanger) Fetch(ctx context.Context, address string, hashes []string) (head []byte, parts map[string][]byte, err error) {
	reply, err := e.newPeerClient(address).Fetch(ctx, &peerwire.PartsRequest{Hashes: hashes})
	if err != nil {
		return nil, nil, err
	}
	parts = map[string][]byte{}
	for _, part := range reply.GetParts() {
		parts[part.GetHash()] = part.GetContents()
	}

	return reply.GetHead(), parts, nil
}
