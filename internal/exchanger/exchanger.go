// Package exchanger talks to the other instances: it asks the homes of
// endpoints for credit, answers their wants, and passes on what instances tell
// each other about members, suspects, loads and revisions.
package exchanger

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/controller"
	"github.com/oleanderpick/oleanderpick/internal/exchanger/peerwire"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/pkg/granter"
	"github.com/oleanderpick/oleanderpick/pkg/tracker"
)

// Settings are an exchanger's limits.
type Settings struct {
	// Self is this instance, Incarnation its start.
	Self        tracker.Instance
	Incarnation uint64
	// Interval is the time between two rounds.
	Interval time.Duration
	// Timeout is the longest one exchange may take.
	Timeout time.Duration
	// Scheme is http or https.
	Scheme string
	// Now replaces the machine's clock in an experiment; nil: the machine's.
	Now func() time.Time
}

// Revisions is the part of an instance that holds the configuration.
type Revisions interface {
	// RevisionNumber returns the number in force.
	RevisionNumber() uint64
	// RecordPeerRevision says that a peer has a revision of that number in force.
	RecordPeerRevision(peer tracker.Instance, number uint64)
	// HeadAndParts returns the encoded head in force and the wanted parts.
	HeadAndParts(hashes []string) (head []byte, parts map[string][]byte)
}

// Exchanger is one instance's side of the exchanges.
type Exchanger struct {
	settings  Settings
	control   *controller.Controller
	revisions Revisions
	client    *http.Client
	meter     *meter.Meter
	logger    hclog.Logger
	base      time.Time
	handler   http.Handler
	done      chan struct{}

	running sync.WaitGroup

	mu    sync.Mutex
	busy  map[string]bool
	next  int
	peers map[string]string
}

// New returns an exchanger. Serve runs its rounds; Handler serves its peers.
func New(settings Settings, control *controller.Controller, revisions Revisions, client *http.Client, counters *meter.Meter, logger hclog.Logger) *Exchanger {
	if settings.Now == nil {
		settings.Now = time.Now
	}
	e := &Exchanger{
		settings:  settings,
		control:   control,
		revisions: revisions,
		client:    client,
		meter:     counters,
		logger:    logger,
		base:      settings.Now(),
		done:      make(chan struct{}),
		busy:      map[string]bool{},
		peers:     map[string]string{},
	}
	e.handler = peerwire.NewPeerServer(&service{exchanger: e})

	return e
}

// Handler serves the calls of the other instances.
func (e *Exchanger) Handler() http.Handler {
	return e.handler
}

// String returns the name that the supervisor logs.
func (e *Exchanger) String() string {
	return "exchanger"
}

// Done is closed when the rounds have ended.
func (e *Exchanger) Done() <-chan struct{} {
	return e.done
}

// Serve runs the rounds until ctx ends.
func (e *Exchanger) Serve(ctx context.Context) error {
	ticker := time.NewTicker(e.settings.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			close(e.done)

			return ctx.Err()
		case <-ticker.C:
			e.round(ctx)
		case <-e.control.CrashAlerts():
			e.spread(ctx)
		}
	}
}

// Round makes one round and waits for its exchanges. It is for those who drive
// the exchanger in model time and do not call Serve.
func (e *Exchanger) Round(ctx context.Context) {
	e.round(ctx)
	e.running.Wait()
}

// round asks the homes that are due and, in turn, one more peer, so that every
// two instances hear of each other.
func (e *Exchanger) round(ctx context.Context) {
	members := e.control.Peers()
	addresses := make(map[string]string, len(members))
	for _, member := range members {
		addresses[member.Name] = member.PeerAddress
	}
	e.mu.Lock()
	e.peers = addresses
	e.mu.Unlock()

	asked := map[string]bool{}
	for _, ask := range e.control.DueCreditRequests() {
		if addresses[ask.Home] == "" {
			e.control.RecordMissedExchange(ask.Home)
			continue
		}
		asked[ask.Home] = true
		e.start(ctx, ask)
	}
	if len(members) == 0 {
		return
	}
	e.next++
	if member := members[e.next%len(members)]; !asked[member.Name] {
		e.start(ctx, controller.CreditRequestBatch{Home: member.Name})
	}
}

// spread tells all peers what this instance knows.
func (e *Exchanger) spread(ctx context.Context) {
	for _, member := range e.control.Peers() {
		go e.exchange(ctx, member.PeerAddress, controller.CreditRequestBatch{Home: member.Name})
	}
}

// start exchanges with one peer in the background, once at a time.
func (e *Exchanger) start(ctx context.Context, ask controller.CreditRequestBatch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy[ask.Home] {
		return
	}
	e.busy[ask.Home] = true
	address := e.peers[ask.Home]
	e.running.Go(func() {
		e.exchange(ctx, address, ask)
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.busy, ask.Home)
	})
}

func (e *Exchanger) exchange(ctx context.Context, address string, ask controller.CreditRequestBatch) {
	ctx, cancel := context.WithTimeout(ctx, e.settings.Timeout)
	defer cancel()
	request := e.message(e.control.StateToShare(nil), nil)
	request.Wants = each(ask.Requests, encodeWant(e.base))
	reply, err := e.peer(address).Exchange(ctx, request)
	e.meter.Add("exchanges.sent", 1)
	if err != nil {
		e.meter.Add("exchanges.missed", 1)
		e.control.RecordMissedExchange(ask.Home)
		e.client.CloseIdleConnections()

		return
	}

	now := e.settings.Now()
	e.hear(now, reply)
	grants := each(reply.GetGrants(), decodeGrant(e.base))
	e.control.ReceiveGrants(ask.Home, grants, each(reply.GetLoads(), decodeReport(now)))
}

func (e *Exchanger) peer(address string) peerwire.Peer {
	return peerwire.NewPeerProtobufClient(e.settings.Scheme+"://"+address, e.client)
}

// message returns a message that tells what this instance knows, to a peer that
// asks about the doubted instances.
func (e *Exchanger) message(known controller.SharedState, doubted []string) *peerwire.Message {
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
			Idle:        known.Idle,
		},
		Revision: e.revisions.RevisionNumber(),
		Suspects: each(known.QuarantineEntries, encodeSuspect(now)),
		View:     each(told(known.LivenessReports, doubted), encodeSighting),
		Doubted:  known.UnreachableMembers,
	}
}

// hear takes in what a message tells.
func (e *Exchanger) hear(now time.Time, message *peerwire.Message) tracker.Instance {
	sender := message.GetSender()
	peer := tracker.Instance{
		Name:        sender.GetName(),
		Address:     sender.GetAddress(),
		PeerAddress: sender.GetPeer(),
		DataCentre:  sender.GetDataCentre(),
		Leaving:     sender.GetLeaving(),
	}
	e.control.ReceiveSharedState(peer, sender.GetIncarnation(), controller.SharedState{
		QuarantineEntries: each(message.GetSuspects(), decodeSuspect(now)),
		LivenessReports:   each(message.GetView(), decodeSighting),
		Idle:              sender.GetIdle(),
	})
	e.revisions.RecordPeerRevision(peer, message.GetRevision())

	return peer
}

// service answers the peers' calls.
type service struct {
	exchanger *Exchanger
}

// Exchange answers a peer's wants.
func (s *service) Exchange(_ context.Context, request *peerwire.Message) (*peerwire.Message, error) {
	e := s.exchanger
	now := e.settings.Now()
	peer := e.hear(now, request)
	reply := e.message(e.control.StateToShare(request.GetDoubted()), request.GetDoubted())
	if len(request.GetWants()) == 0 {
		return reply, nil
	}

	var grants []granter.Grant
	grants, reports := e.control.AnswerCreditRequests(peer.Name, each(request.GetWants(), decodeWant))
	reply.Grants = each(grants, encodeGrant)
	reply.Loads = each(reports, encodeReport(now))

	return reply, nil
}

// Fetch returns the head in force and the wanted parts.
func (s *service) Fetch(_ context.Context, request *peerwire.PartsRequest) (*peerwire.PartsReply, error) {
	head, parts := s.exchanger.revisions.HeadAndParts(request.GetHashes())
	reply := &peerwire.PartsReply{Head: head}
	for _, hash := range request.GetHashes() {
		if contents, ok := parts[hash]; ok {
			reply.Parts = append(reply.Parts, &peerwire.Part{Hash: hash, Contents: contents})
		}
	}

	return reply, nil
}

// Fetch asks a peer for its head and parts.
func (e *Exchanger) Fetch(ctx context.Context, address string, hashes []string) (head []byte, parts map[string][]byte, err error) {
	reply, err := e.peer(address).Fetch(ctx, &peerwire.PartsRequest{Hashes: hashes})
	if err != nil {
		return nil, nil, err
	}
	parts = map[string][]byte{}
	for _, part := range reply.GetParts() {
		parts[part.GetHash()] = part.GetContents()
	}

	return reply.GetHead(), parts, nil
}
