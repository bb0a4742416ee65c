package profiler

import (
	"context"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/oleanderpick/oleanderpick/internal/exchanger/peerwire"
	"github.com/oleanderpick/oleanderpick/pkg/tracker"
)

// Size and lifetime of the simulated grants, like those that a home gives to a borrower
// of a deployment of the full size.
const (
	grantSlots      = 16
	grantTokens     = 131072
	grantLifetimeMs = 3000
)

// hostContextKey is the context key of a request's Host header, which names the peer that
// is called.
type hostContextKey struct{}

// peerServer answers the exchanges that the measured instance sends, in the place of
// all its peers, and grants every credit request. Its answers are smaller than those of
// a real peer. Therefore only the bytes that the measured instance sends are reported.
// Over a fleet of equal instances as many bytes are received as sent.
type peerServer struct {
	instancesByPeerAddress map[string]tracker.Instance
	now                    func() time.Time

	mu            sync.Mutex
	exchangeCount int
	// encodedBytes is the total encoded size of the messages received, without HTTP.
	encodedBytes int
}

func newPeerServer(instances []tracker.Instance, now func() time.Time) *peerServer {
	p := &peerServer{instancesByPeerAddress: map[string]tracker.Instance{}, now: now}
	for _, instance := range instances {
		p.instancesByPeerAddress[instance.PeerAddress] = instance
	}

	return p
}

// dataCentreOf returns the data centre of the instance with the given peer address.
func (p *peerServer) dataCentreOf(address string) string {
	return p.instancesByPeerAddress[address].DataCentre
}

// handler returns the HTTP handler that answers for all peers.
func (p *peerServer) handler() http.Handler {
	server := peerwire.NewPeerServer(p)

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		server.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), hostContextKey{}, r.Host)))
	})
}

// exchangeCounts returns the number of exchanges answered so far, and the total encoded
// size in bytes of the messages received in them.
func (p *peerServer) exchangeCounts() (exchangeCount, encodedBytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.exchangeCount, p.encodedBytes
}

// Exchange answers a message with a grant for each of its credit requests. The sender
// of the reply is the instance that was called.
func (p *peerServer) Exchange(ctx context.Context, request *peerwire.Message) (*peerwire.Message, error) {
	p.mu.Lock()
	p.exchangeCount++
	p.encodedBytes += proto.Size(request)
	p.mu.Unlock()

	host, _ := ctx.Value(hostContextKey{}).(string)
	reply := &peerwire.Message{Sender: newSender(p.instancesByPeerAddress[host]), Revision: request.GetRevision()}
	for _, creditRequest := range request.GetWants() {
		reply.Grants = append(reply.Grants, &peerwire.Grant{
			Endpoint:   creditRequest.GetEndpoint(),
			Credit:     &peerwire.Credit{Slots: grantSlots, Tokens: grantTokens},
			LifetimeMs: grantLifetimeMs,
			Epoch:      uint64(p.now().UnixNano()),
			Asked:      creditRequest.GetAsked(),
		})
	}

	return reply, nil
}

// Fetch returns an empty reply, because no peer has a newer revision.
func (p *peerServer) Fetch(context.Context, *peerwire.PartsRequest) (*peerwire.PartsReply, error) {
	return &peerwire.PartsReply{}, nil
}

// newSender returns how an instance identifies itself in a message.
func newSender(instance tracker.Instance) *peerwire.Sender {
	return &peerwire.Sender{
		Name:        instance.Name,
		Address:     instance.Address,
		Peer:        instance.PeerAddress,
		DataCentre:  instance.DataCentre,
		Incarnation: uint64(simulationStart.UnixNano()),
	}
}
