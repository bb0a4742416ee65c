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

// Grants of the fakes, as a home makes them for a borrower of this size.
const (
	grantSlots      = 16
	grantTokens     = 131072
	grantLifetimeMs = 3000
)

type hostKey struct{}

// peers plays all other instances: it grants each want. Its answers are
// smaller than a real peer's, so that only what the node itself sends is
// reported; over a fleet of equal nodes as much is received as sent.
type peers struct {
	byAddress map[string]tracker.Instance
	now       func() time.Time

	mu      sync.Mutex
	asked   int
	encoded int
}

func newPeers(instances []tracker.Instance, now func() time.Time) *peers {
	p := &peers{byAddress: map[string]tracker.Instance{}, now: now}
	for _, instance := range instances {
		p.byAddress[instance.PeerAddress] = instance
	}

	return p
}

// place returns the data centre of an address.
func (p *peers) place(address string) string {
	return p.byAddress[address].DataCentre
}

func (p *peers) handler() http.Handler {
	server := peerwire.NewPeerServer(p)

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		server.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), hostKey{}, r.Host)))
	})
}

// counts returns the exchanges answered and the bytes of their messages.
func (p *peers) counts() (asked, encoded int) {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.asked, p.encoded
}

// Exchange grants what is wanted.
func (p *peers) Exchange(ctx context.Context, request *peerwire.Message) (*peerwire.Message, error) {
	p.mu.Lock()
	p.asked++
	p.encoded += proto.Size(request)
	p.mu.Unlock()

	host, _ := ctx.Value(hostKey{}).(string)
	reply := &peerwire.Message{Sender: sender(p.byAddress[host]), Revision: request.GetRevision()}
	for _, want := range request.GetWants() {
		reply.Grants = append(reply.Grants, &peerwire.Grant{
			Endpoint:   want.GetEndpoint(),
			Credit:     &peerwire.Credit{Slots: grantSlots, Tokens: grantTokens},
			LifetimeMs: grantLifetimeMs,
			Epoch:      uint64(p.now().UnixNano()),
			Asked:      want.GetAsked(),
		})
	}

	return reply, nil
}

// Fetch has no newer revision to give.
func (p *peers) Fetch(context.Context, *peerwire.PartsRequest) (*peerwire.PartsReply, error) {
	return &peerwire.PartsReply{}, nil
}

func sender(instance tracker.Instance) *peerwire.Sender {
	return &peerwire.Sender{
		Name:        instance.Name,
		Address:     instance.Address,
		Peer:        instance.PeerAddress,
		DataCentre:  instance.DataCentre,
		Incarnation: uint64(start.UnixNano()),
	}
}
