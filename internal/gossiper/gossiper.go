// Package gossiper exchanges state between relaying instances by gossip: each
// instance's requests at endpoints, the demand that arrives at it, requests that
// crash endpoints, the age of its configuration, and the addresses of instances.
//
// In each round an instance exchanges messages with a bounded number of peers, so
// that its cost does not grow with the size of the fleet. No request waits for
// gossip: an instance that receives no messages decides by its own state alone.
package gossiper

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/gossiper/gossipwire"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/pkg/spreader"
)

// Settings holds the identity of this instance and the intervals and limits of
// its gossip.
type Settings struct {
	// Name is this instance's name, Address the host and port at which its peers
	// reach it.
	Name, Address string
	// DataCentre is the one that this instance runs in.
	DataCentre string
	// Incarnation distinguishes the starts of this instance and grows with each.
	Incarnation uint64
	// Seeds are addresses of some peers. They may be out of date.
	Seeds []string
	// RoundInterval is the time between the starts of two rounds.
	RoundInterval time.Duration
	// Fanout limits the number of peers contacted in a round.
	Fanout spreader.Fanout
	// ExchangeTimeout limits the duration of one exchange, including a fetch after it.
	ExchangeTimeout time.Duration
}

// DefaultSettings returns the settings without name, address, incarnation and
// seeds. The round interval keeps the peer loads in a small fleet younger than the
// usual time to the first token of an answer.
func DefaultSettings() Settings {
	return Settings{RoundInterval: 100 * time.Millisecond, Fanout: spreader.Fanout{Min: 2, Max: 3}, ExchangeTimeout: 300 * time.Millisecond}
}

const (
	// maxPeers is the largest number of peer addresses that are stored.
	maxPeers = 1024
	// removalTimeout is the time without a message from a peer after which its
	// address is removed, unless it is a seed.
	removalTimeout = time.Minute
	// livenessTimeout is the time since a peer's last message within which it
	// counts as live.
	livenessTimeout = 4 * time.Second
	// minRankTimeout is the shortest time since a peer's last message within which the
	// peer counts in the ranks of others. livenessTimeout is the longest.
	minRankTimeout = time.Second
	// maxMissedExchanges is the number of exchanges with a peer that may fail before
	// the peer no longer counts in the ranks of others.
	maxMissedExchanges = 3
	// incarnationTimeout is the time since a peer's last message within which messages
	// of its earlier incarnations are ignored.
	incarnationTimeout = time.Second
	// silentRetryInterval is the time between attempts to reach a peer that is
	// not live.
	silentRetryInterval = time.Second
	// startupRounds is the number of rounds after the start in which a new instance of a small
	// fleet ignores the fanout and contacts all due peers. In a divided one, each of the first
	// maxUnheardRounds contacts up to maxStartupContacts new ones beside the usual: time for a
	// datagram that a peer does not answer and a call after it.
	startupRounds      = 10
	maxUnheardRounds   = 20
	maxStartupContacts = 24
	// missingMemberDivisor sets how many live instances a peer may lack before it is told their
	// addresses: an eighth of those that it knows.
	missingMemberDivisor = 8
)

// Gossiper exchanges messages with the peers of one instance and passes their
// state to its dispatcher. It is safe for concurrent use.
type Gossiper struct {
	settings   Settings
	dispatcher *dispatcher.Dispatcher
	decoder    ConfigurationDecoder
	client     *http.Client
	meter      *meter.Meter
	logger     hclog.Logger
	handler    http.Handler
	datagrams  DatagramSender // nil if exchanges are calls
	usage      UsageReceiver  // nil if usage is not reported
	done       chan struct{}

	mu           sync.Mutex
	peers        map[string]*peer     // by address
	byHash       map[uint32]*peer     // by the hash of the address in messages; nil if several have it
	summaryAt    map[string]time.Time // when the summary of a data centre's loads came or was asked for
	view         view                 // of the live peers
	leaving      bool                 // sent in messages: this instance is about to stop
	roundCount   int
	asked        map[uint32]askedExchange // by number
	lastAsked    uint32
	claimsSentAt time.Time // when claims were last sent
}

// peer holds what is known about another instance, or about an address at which
// no instance has answered yet. The name is empty until the first message.
type peer struct {
	address       string
	name          string
	dataCentre    string
	isLocal       bool // it is in this instance's data centre, as far as is known
	incarnation   uint64
	leaving       bool
	cutOffFrom    []string  // services of which it says that it reaches no endpoint
	lastMessageAt time.Time // when its last message arrived, here or at a peer that said so
	receivedAt    time.Time // when its last message arrived here
	lastAttemptAt time.Time // when this instance last started an exchange with it
	addedAt       time.Time
	tellsHeard    bool // its messages say of others that they live
	answersAsked  bool // it answers exchanges that come in datagrams
	unanswered    int  // datagrams in a row that it has not answered
	callsLeft     int  // exchanges to be calls before the next datagram
	exchanging    bool // an exchange that this instance started with it is in progress
	carriesLoads  bool // the reply to the exchange in progress carries loads
	sharesEngines bool // and so does the message
}

// New returns a Gossiper whose only peers are the seeds. Serve runs its rounds,
// Handler serves its peers. The decoder reads configurations fetched from peers.
func New(settings Settings, dispatcher *dispatcher.Dispatcher, decoder ConfigurationDecoder, client *http.Client, counters *meter.Meter, logger hclog.Logger) *Gossiper {
	g := &Gossiper{
		settings:   settings,
		dispatcher: dispatcher,
		decoder:    decoder,
		client:     client,
		meter:      counters,
		logger:     logger,
		done:       make(chan struct{}),
		peers:      map[string]*peer{},
		byHash:     map[uint32]*peer{},
		summaryAt:  map[string]time.Time{},
		asked:      map[uint32]askedExchange{},
	}
	g.handler = gossipwire.NewGossipServer(&gossipServer{gossiper: g})
	g.AddAddresses(settings.Seeds)

	return g
}

// Handler returns the HTTP handler of the calls from peers.
func (g *Gossiper) Handler() http.Handler {
	return g.handler
}

// String returns the name under which the supervisor logs this service.
func (g *Gossiper) String() string {
	return "gossiper"
}

// Done returns a channel that is closed when Serve has ended.
func (g *Gossiper) Done() <-chan struct{} {
	return g.done
}

// AddAddresses adds addresses at which there may be peers. It ignores empty ones,
// this instance's own, and all new ones once maxPeers are stored.
func (g *Gossiper) AddAddresses(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, address := range addresses {
		if address == "" || address == g.settings.Address || g.peers[address] != nil || len(g.peers) >= maxPeers {
			continue
		}
		added := &peer{address: address, addedAt: time.Now()}
		g.peers[address] = added
		g.addHash(added)
	}
}

// AnnounceLeaving marks this instance as leaving in all messages from now on.
func (g *Gossiper) AnnounceLeaving() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
}

// Serve starts a round at each interval until ctx ends. After each it passes what it
// knows of the fleet to the dispatcher.
func (g *Gossiper) Serve(ctx context.Context) error {
	defer close(g.done)
	ticker := time.NewTicker(g.settings.RoundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			g.forgetUnanswered(now)
			for _, selected := range g.selectPeers(now) {
				g.startExchange(ctx, selected)
			}
			g.dispatcher.SetFleet(g.describeFleet(now))
		}
	}
}

// describeFleet returns the number of instances, including this one, the number of
// those that come before it by name, are not leaving and sent a message within
// their rankTimeout, whether the fleet is divided, its members, and which services
// they reach. Addresses without a name count as instances until livenessTimeout after they were added.
func (g *Gossiper) describeFleet(now time.Time) dispatcher.Fleet {
	g.mu.Lock()
	defer g.mu.Unlock()
	fleet := g.viewAt(now).fleet
	described := dispatcher.Fleet{InstanceCount: 1, IsDivided: fleet.IsDivided()}
	if !g.leaving {
		described.Members = append(described.Members, g.settings.Name)
	}
	for _, p := range g.peers {
		if now.Sub(p.lastMessageAt) < removalTimeout || (p.name == "" && now.Sub(p.addedAt) < livenessTimeout) {
			described.InstanceCount++
		}
		if p.name != "" && p.name < g.settings.Name && !p.leaving && now.Sub(p.lastMessageAt) < g.rankTimeout(fleet, p) {
			described.Rank++
		}
		if p.name != "" && !p.leaving && now.Sub(p.lastMessageAt) < g.memberTimeout(fleet, p) {
			described.Members = append(described.Members, p.name)
			described.PeerReaches = append(described.PeerReaches, dispatcher.PeerReach{Address: p.address, CutOffFrom: p.cutOffFrom})
		}
	}
	slices.Sort(described.Members)
	described.Members = slices.Compact(described.Members)

	return described
}

// memberTimeout returns the time since a peer's last message within which the peer counts
// as a member: some exchanges in a fleet of this size, however long these take. In a divided
// fleet others say that the peer lives, unless most are of older builds. Then only own exchanges
// count, and up to half of those in the data centre are with the parent.
func (g *Gossiper) memberTimeout(fleet spreader.Fleet, p *peer) time.Duration {
	timeout := max(minRankTimeout, maxMissedExchanges*g.exchangeInterval(fleet, p))
	switch {
	case !fleet.IsDivided():
		return timeout
	case 2*g.view.tellers >= fleet.Peers:
		return min(livenessTimeout, timeout)
	default:
		return 2 * timeout
	}
}

// exchangeInterval returns the usual time between two exchanges with a peer.
func (g *Gossiper) exchangeInterval(fleet spreader.Fleet, p *peer) time.Duration {
	return time.Duration(fleet.RoundsBetweenExchanges(g.settings.Fanout, p.isLocal)) * g.settings.RoundInterval
}

// rankTimeout returns the time since a peer's last message within which the peer counts in
// the ranks of others: some exchanges in a fleet of this size.
func (g *Gossiper) rankTimeout(fleet spreader.Fleet, p *peer) time.Duration {
	return min(livenessTimeout, g.memberTimeout(fleet, p))
}

// startExchange begins an exchange with a peer: by datagram if the peer answers these and the
// message fits.
func (g *Gossiper) startExchange(ctx context.Context, p *peer) {
	message := g.buildRequest(p)
	if g.ask(ctx, p, message) {
		return
	}
	go g.call(ctx, p, message)
}

// call sends a message to a peer in a call and processes the reply.
func (g *Gossiper) call(ctx context.Context, p *peer, message *gossipwire.Message) {
	ctx, cancel := context.WithTimeout(ctx, g.settings.ExchangeTimeout)
	defer cancel()
	sent := g.timeOfSending()
	reply, err := gossipwire.NewGossipProtobufClient("http://"+p.address, g.client).Exchange(ctx, message)
	g.mu.Lock()
	p.exchanging = false
	g.mu.Unlock()
	if err != nil {
		g.meter.Add("gossip.missed", 1)
		g.client.CloseIdleConnections()

		return
	}
	g.meter.Add("gossip.told", 1)
	g.fetchFromPeer(ctx, p.address, g.receiveReply(sent, reply))
}

// sendingTime is when a message was sent, by both clocks.
type sendingTime struct {
	sinceBoot time.Duration
	at        time.Time
}

func (g *Gossiper) timeOfSending() sendingTime {
	return sendingTime{g.dispatcher.SinceBoot(), time.Now()}
}

// receiveReply processes the reply to a message that was sent at the given time. It returns what
// the peer has in a newer version.
func (g *Gossiper) receiveReply(sent sendingTime, reply *gossipwire.Message) dispatcher.FetchPlan {
	if !g.receiveMessage(reply) {
		return dispatcher.FetchPlan{}
	}
	g.dispatcher.ReceiveLimits(decodeLimits(sent.at, reply.GetLimits()))
	g.dispatcher.ReceiveBrittleServices(decodeLimits(sent.at, reply.GetBrittle()))

	return g.dispatcher.ReceiveVersions(sent.sinceBoot, decodeVersions(reply))
}

// receiveMessage processes a peer's message. It reports false, and uses only the
// sender's address, if recordSender reports false.
func (g *Gossiper) receiveMessage(message *gossipwire.Message) bool {
	now := time.Now()
	if !g.recordSender(now, message) {
		return false
	}
	g.receiveUsage(message)
	g.AddAddresses(message.GetMembers())
	g.recordHeard(now, message.GetHeard())
	if message.GetSummary() && !message.GetBrief() {
		g.mu.Lock()
		g.summaryAt[message.GetDataCentre()] = now
		g.mu.Unlock()
	}
	g.dispatcher.ReceiveMessage(message.GetName(), decodeMessage(message))

	return true
}

// recordSender updates the peer that sent a message. It reports false if the peer's
// later incarnation sent one within incarnationTimeout, or if the sender's address is not
// stored because it is empty, this instance's own or exceeds maxPeers.
func (g *Gossiper) recordSender(now time.Time, message *gossipwire.Message) bool {
	g.AddAddresses([]string{message.GetAddress()})
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[message.GetAddress()]
	if p == nil {
		return false
	}
	// A lower incarnation is accepted after incarnationTimeout, because the machine's time
	// of day, which the incarnation comes from, may go back between two starts.
	if message.GetIncarnation() < p.incarnation && now.Sub(p.receivedAt) < incarnationTimeout {
		return false
	}
	if p.incarnation != message.GetIncarnation() || p.leaving != message.GetLeaving() {
		g.logger.Info("Peer was discovered or changed.", "peer", message.GetName(), "address", p.address,
			"data centre", message.GetDataCentre(), "incarnation", message.GetIncarnation(), "leaving", message.GetLeaving())
	}
	p.name, p.dataCentre, p.lastMessageAt, p.receivedAt = message.GetName(), message.GetDataCentre(), now, now
	p.incarnation, p.leaving, p.cutOffFrom = message.GetIncarnation(), message.GetLeaving(), message.GetCutOff()
	p.isLocal = p.dataCentre != "" && p.dataCentre == g.settings.DataCentre
	p.tellsHeard, p.answersAsked = len(message.GetHeard()) > 0, message.GetDatagrams()

	return true
}

// gossipServer implements the Gossip service, which peers call.
type gossipServer struct {
	gossiper *Gossiper
}

// Exchange processes a peer's message and returns this instance's message.
func (s *gossipServer) Exchange(_ context.Context, message *gossipwire.Message) (*gossipwire.Message, error) {
	s.gossiper.receiveMessage(message)

	return s.gossiper.buildReply(message), nil
}
