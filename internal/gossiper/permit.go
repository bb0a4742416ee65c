package gossiper

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/gossiper/gossipwire"
	"github.com/oleanderpick/oleanderpick/pkg/throttler"
)

// RequestPermit requests permits from the home of a limited endpoint. It implements
// dispatcher.PermitSource.
func (g *Gossiper) RequestPermit(ctx context.Context, home string, request dispatcher.PermitRequest) (throttler.Reply, error) {
	address := g.addressOf(home)
	if address == "" {
		return throttler.Reply{}, errors.Errorf("address of instance %q is unknown", home)
	}
	reply, err := gossipwire.NewGossipProtobufClient("http://"+address, g.client).Permit(ctx, &gossipwire.PermitRequest{
		Tier: uint32(max(0, request.Tier)), Limit: encodeLimit(time.Now(), request.Statement), Brittle: request.IsBrittle,
	})
	if err != nil {
		g.meter.Add("permits.unanswered", 1)
		g.client.CloseIdleConnections()

		return throttler.Reply{}, errors.Wrapf(err, "request a permit from %s", home)
	}
	name := "permits.granted"
	if reply.GetPermits() == 0 {
		name = "permits.denied"
	}
	g.meter.Add(name, 1)

	return throttler.Reply{Permits: int(reply.GetPermits()), Wait: time.Duration(reply.GetWaitMs()) * time.Millisecond, Reason: throttler.Reason(reply.GetReason())}, nil
}

// addressOf returns the address from which an instance sent its last message; empty if
// there is none.
func (g *Gossiper) addressOf(name string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var latest *peer
	for _, p := range g.peers {
		if p.name == name && (latest == nil || p.lastMessageAt.After(latest.lastMessageAt)) {
			latest = p
		}
	}
	if latest == nil {
		return ""
	}

	return latest.address
}

// Permit answers a peer's request for permits.
func (s *gossipServer) Permit(_ context.Context, request *gossipwire.PermitRequest) (*gossipwire.PermitReply, error) {
	reply := s.gossiper.dispatcher.Lend(dispatcher.PermitRequest{
		Statement: decodeLimit(time.Now(), request.GetLimit()), Tier: int(request.GetTier()), IsBrittle: request.GetBrittle(),
	})

	return &gossipwire.PermitReply{Permits: uint32(max(0, reply.Permits)), WaitMs: toMilliseconds(reply.Wait), Reason: string(reply.Reason)}, nil
}

func encodeLimits(now time.Time, statements []throttler.Statement) []*gossipwire.Limit {
	limits := make([]*gossipwire.Limit, 0, len(statements))
	for _, statement := range statements {
		limits = append(limits, encodeLimit(now, statement))
	}

	return limits
}

func encodeLimit(now time.Time, statement throttler.Statement) *gossipwire.Limit {
	return &gossipwire.Limit{
		Endpoint: statement.Endpoint, Rate: statement.Limit.Rate, Ended: !statement.Limit.IsStated,
		AgeMs: toMilliseconds(now.Sub(statement.MadeAt)),
	}
}

// decodeLimits returns the statements of a peer's reply. Ages count back from the time at
// which this instance sent its message, so that no statement seems newer than it is.
func decodeLimits(sentAt time.Time, limits []*gossipwire.Limit) []throttler.Statement {
	statements := make([]throttler.Statement, 0, len(limits))
	for _, limit := range limits {
		statements = append(statements, decodeLimit(sentAt, limit))
	}

	return statements
}

// decodeLimit returns a statement from its wire form. Its age counts back from the given
// time.
func decodeLimit(from time.Time, limit *gossipwire.Limit) throttler.Statement {
	return throttler.Statement{
		Endpoint: limit.GetEndpoint(), Limit: throttler.Limit{IsStated: !limit.GetEnded(), Rate: limit.GetRate()},
		MadeAt: from.Add(-time.Duration(limit.GetAgeMs()) * time.Millisecond),
	}
}
