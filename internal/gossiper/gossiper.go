// Package gossiper is how relaying instances tell each other what they know:
// their requests at endpoints, the demand they see, requests that crash
// endpoints, how fresh their configuration is, and who else there is.
//
// Each round an instance exchanges a message with a few others, so that the cost
// for an instance does not grow with their number. Nothing waits for it: an
// instance that hears nobody decides by what it sees itself.
package gossiper

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/gossiper/gossipwire"
	"github.com/oleanderpick/oleanderpick/internal/meter"
)

// Settings are a gossiper's limits.
type Settings struct {
	// Name and Address are this instance's.
	Name, Address string
	// Incarnation tells the starts of the instance apart; it grows.
	Incarnation uint64
	// Seeds are addresses of some other instances. They may be stale.
	Seeds []string
	// Interval is the time between two rounds.
	Interval time.Duration
	// Fanout and FanoutMost are the numbers of others told in a round, in a
	// small fleet and in the largest.
	Fanout, FanoutMost int
	// Timeout is the longest time that one exchange may take.
	Timeout time.Duration
}

// DefaultSettings returns the settings of an instance in a small fleet, whose
// load reports must be younger than the usual first token.
func DefaultSettings() Settings {
	return Settings{Interval: 100 * time.Millisecond, Fanout: 2, FanoutMost: 4, Timeout: 300 * time.Millisecond}
}

const (
	// membersMost bounds the addresses that are remembered.
	membersMost = 1024
	// forgetAfter is the silence after which an address is forgotten, unless
	// it is a seed.
	forgetAfter = time.Minute
	// liveFor is the silence up to which an instance counts.
	liveFor = 4 * time.Second
	// fanoutShare is the members for each one told in a round.
	fanoutShare = 6
	// fullMembers is the number of members up to which every message tells loads.
	// In a larger fleet each instance is a smaller part of an endpoint's load,
	// and tells it so much more seldom that its bytes stay the same.
	fullMembers = 12
	// rankFor is the silence up to which an instance keeps its rank.
	rankFor = time.Second
	// retrySilent is how often an address that does not answer is tried.
	retrySilent = time.Second
	// greetRounds is the rounds after the start in which all known addresses
	// are asked, so that a new instance knows the fleet at once.
	greetRounds = 10
)

// Gossiper exchanges messages with the other instances.
type Gossiper struct {
	settings Settings
	control  *dispatcher.Dispatcher
	reader   Reader
	client   *http.Client
	meter    *meter.Meter
	logger   hclog.Logger
	handler  http.Handler
	done     chan struct{}

	mu      sync.Mutex
	members map[string]*member // by address
	leaving bool
	rounds  int
}

// member is another instance, or an address that may be one's.
type member struct {
	address     string
	name        string
	incarnation uint64
	leaving     bool
	heard       time.Time // last message from it
	tried       time.Time // last try of ours
	added       time.Time
	busy        bool
	told        int  // exchanges with it so far
	full        bool // the exchange under way tells loads
}

// New returns a gossiper that knows the seeds.
func New(settings Settings, control *dispatcher.Dispatcher, reader Reader, client *http.Client, counters *meter.Meter, logger hclog.Logger) *Gossiper {
	g := &Gossiper{
		settings: settings,
		control:  control,
		reader:   reader,
		client:   client,
		meter:    counters,
		logger:   logger,
		done:     make(chan struct{}),
		members:  map[string]*member{},
	}
	g.handler = gossipwire.NewGossipServer(&service{gossiper: g})
	g.Meet(settings.Seeds)

	return g
}

// Handler serves the calls of the other instances.
func (g *Gossiper) Handler() http.Handler {
	return g.handler
}

// String returns the name that the supervisor logs.
func (g *Gossiper) String() string {
	return "gossiper"
}

// Done is closed when the rounds have ended.
func (g *Gossiper) Done() <-chan struct{} {
	return g.done
}

// Meet takes in addresses that may be instances'.
func (g *Gossiper) Meet(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, address := range addresses {
		if address == "" || address == g.settings.Address || g.members[address] != nil || len(g.members) >= membersMost {
			continue
		}
		g.members[address] = &member{address: address, added: time.Now()}
	}
}

// Leave tells the others that this instance stops.
func (g *Gossiper) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
}

// Serve runs the rounds until ctx ends.
func (g *Gossiper) Serve(ctx context.Context) error {
	defer close(g.done)
	ticker := time.NewTicker(g.settings.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			for _, chosen := range g.choose(now) {
				go g.tell(ctx, chosen)
			}
			g.control.SetInstanceCountAndRank(g.count(now))
		}
	}
}

// count returns the number of instances, this one among them, and how many live
// ones come before it by their names.
func (g *Gossiper) count(now time.Time) (instances, rank int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	instances = 1
	for _, m := range g.members {
		if now.Sub(m.heard) < forgetAfter || (m.name == "" && now.Sub(m.added) < liveFor) {
			instances++
		}
		if m.name != "" && m.name < g.settings.Name && !m.leaving && now.Sub(m.heard) < rankFor {
			rank++
		}
	}

	return instances, rank
}

// tell exchanges a message with a member.
func (g *Gossiper) tell(ctx context.Context, m *member) {
	ctx, cancel := context.WithTimeout(ctx, g.settings.Timeout)
	defer cancel()
	sent := g.control.SinceBoot()
	reply, err := gossipwire.NewGossipProtobufClient("http://"+m.address, g.client).Exchange(ctx, g.message(0, m.full))
	g.mu.Lock()
	m.busy = false
	g.mu.Unlock()
	if err != nil {
		g.meter.Add("gossip.missed", 1)
		g.client.CloseIdleConnections()

		return
	}
	g.meter.Add("gossip.told", 1)
	if g.hear(reply) {
		g.fetch(ctx, m.address, g.control.ReceiveVersions(sent, decodeMessage(reply).Versions))
	}
}

// hear takes in a message; false: it was an earlier start's.
func (g *Gossiper) hear(message *gossipwire.Message) bool {
	if !g.note(time.Now(), message) {
		return false
	}
	g.Meet(message.GetMembers())
	g.control.ReceiveMessage(message.GetName(), decodeMessage(message))

	return true
}

// note records who spoke; false: an earlier start of an instance did.
func (g *Gossiper) note(now time.Time, message *gossipwire.Message) bool {
	g.Meet([]string{message.GetAddress()})
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[message.GetAddress()]
	if m == nil {
		return false
	}
	// A machine's time of day may have gone back between two starts.
	if message.GetIncarnation() < m.incarnation && now.Sub(m.heard) < rankFor {
		return false
	}
	if m.incarnation != message.GetIncarnation() || m.leaving != message.GetLeaving() {
		g.logger.Info("Instance is known.", "peer", message.GetName(), "address", m.address,
			"incarnation", message.GetIncarnation(), "leaving", message.GetLeaving())
	}
	m.name, m.incarnation, m.leaving, m.heard = message.GetName(), message.GetIncarnation(), message.GetLeaving(), now

	return true
}

// service answers the peers' calls.
type service struct {
	gossiper *Gossiper
}

// Exchange takes in a peer's message and returns the own one.
func (s *service) Exchange(_ context.Context, message *gossipwire.Message) (*gossipwire.Message, error) {
	s.gossiper.hear(message)

	return s.gossiper.message(int(message.GetKnown()), !message.GetBrief()), nil
}
