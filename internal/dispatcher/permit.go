package dispatcher

import (
	"cmp"
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/throttler"
)

const (
	// maxPermitRequests is the number of permits that are requested from other instances for
	// one attempt. Each takes a round trip.
	maxPermitRequests = 2
	// permitTimeout limits the wait for a home's reply.
	permitTimeout = 150 * time.Millisecond
	// unregisteredWait is how long a peer waits that requests a permit of an endpoint whose
	// registration has not been read here yet.
	unregisteredWait = time.Second
)

// PermitRequest is an instance's request for a permit of a limited endpoint.
type PermitRequest struct {
	// Statement is what the instance knows of the limit.
	Statement throttler.Statement
	// Tier is the tier of the request that needs the permit.
	Tier int
	// IsBrittle reports whether the permit is for an endpoint that is brittle, and Statement the
	// rate of its permits.
	IsBrittle bool
}

// PermitSource gets permits from the homes of endpoints.
type PermitSource interface {
	// RequestPermit requests a permit from the instance of the given name. It returns an
	// error if there is no reply before ctx ends.
	RequestPermit(ctx context.Context, home string, request PermitRequest) (throttler.Reply, error)
}

// SetPermitSource sets the source of permits for endpoints whose home is another instance.
// Call SetPermitSource before Serve.
func (d *Dispatcher) SetPermitSource(source PermitSource) {
	d.permitSource = source
}

// permitNeed is a permit that has to be requested before a placement.
type permitNeed struct {
	home    string
	request PermitRequest
}

// errNoPermitSource means that no other instance can lend a permit.
var errNoPermitSource = errors.New("no source of permits")

// requestPermit requests a permit. It may take up to permitTimeout, even if the caller has
// disconnected, so that the reply is not lost for other requests.
func (d *Dispatcher) requestPermit(ctx context.Context, need *permitNeed) (throttler.Reply, error) {
	if d.permitSource == nil {
		return throttler.Reply{}, errNoPermitSource
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), permitTimeout)
	defer cancel()

	return d.permitSource.RequestPermit(ctx, need.home, need.request)
}

// takePermits takes the permits that a request of a tier for an endpoint needs, because the
// endpoint states a limit or is brittle. Unless the action is throttler.Send, need says which
// permit is missing. A permit for the limit that has been taken then is lost.
func (d *Dispatcher) takePermits(now time.Time, endpoint string, tier int) (action throttler.Action, need *permitNeed) {
	action, home := d.throttler.Take(now, endpoint, tier)
	if action != throttler.Send {
		statement, _ := d.throttler.Statement(endpoint)

		return action, &permitNeed{home: home, request: PermitRequest{Statement: statement, Tier: tier}}
	}
	if !d.needsProtection(now, endpoint, tier) {
		return throttler.Send, nil
	}
	action, home = d.protector.Take(now, endpoint, tier, d.occupancy(endpoint))

	return action, &permitNeed{home: home, request: PermitRequest{Statement: d.protector.Statement(endpoint), Tier: tier, IsBrittle: true}}
}

// permitBook records the replies of the homes of endpoints.
type permitBook interface {
	RecordReply(now time.Time, endpoint string, tier int, reply throttler.Reply, isAnswered bool)
	LastReply(endpoint string) throttler.Reply
}

// permitBookOf returns the book to which the replies to a request for a permit belong.
func (d *Dispatcher) permitBookOf(request PermitRequest) permitBook {
	if request.IsBrittle {
		return d.protector
	}

	return d.throttler
}

// recordReply records a home's reply and logs it.
func (d *Dispatcher) recordReply(request placer.Request, need *permitNeed, reply throttler.Reply, err error) {
	endpoint := need.request.Statement.Endpoint
	d.permitBookOf(need.request).RecordReply(d.clock.Now(), endpoint, need.request.Tier, reply, err == nil)
	d.logPermit(request, need, reply, err)
}

// logPermit logs the reply of an endpoint's home to a request for a permit.
func (d *Dispatcher) logPermit(request placer.Request, need *permitNeed, reply throttler.Reply, err error) {
	statement := need.request.Statement
	home := cmp.Or(need.home, d.name)
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	d.logger.Info("Requested a permit.", "request", request.ID, "endpoint", statement.Endpoint, "limit", statement.Limit.Rate, "brittle", need.request.IsBrittle,
		"limit age ms", d.clock.Now().Sub(statement.MadeAt).Milliseconds(), "home", home, "tier", request.Tier,
		"permits", reply.Permits, "reason", string(reply.Reason), "wait ms", reply.Wait.Milliseconds(), "error", cause)
}

// CanPlace reports whether an endpoint may get the request now without a request for
// a permit.
func (d *Dispatcher) CanPlace(request placer.Request) (ok bool) {
	d.withState(func() {
		now := d.clock.Now()
		request.Blocked = d.addProtected(now, d.blockedEndpoints(now, request.Tier, false), request.Tier, false)
		_, ok = d.placer.Pick(now, request)
	})

	return ok
}

// Lend answers a peer's request for a permit. It lends none of an endpoint that is not
// registered here.
func (d *Dispatcher) Lend(request PermitRequest) (reply throttler.Reply) {
	d.withState(func() {
		endpoint := request.Statement.Endpoint
		if !d.placer.HasEndpoint(endpoint) {
			reply = throttler.Reply{Wait: unregisteredWait, Reason: throttler.Unregistered}

			return
		}
		if request.IsBrittle {
			reply = d.protector.Lend(d.clock.Now(), request.Statement, request.Tier, d.occupancy(endpoint))

			return
		}
		before, _ := d.throttler.Statement(endpoint)
		reply = d.throttler.Lend(d.clock.Now(), request.Statement, request.Tier)
		d.logLimitChange(endpoint, before, "borrower")
	})

	return reply
}

// HasLimits reports whether any endpoint has stated a limit since it was registered.
func (d *Dispatcher) HasLimits() bool {
	return d.hasLimits.Load()
}

// RecordLimit records what an endpoint's answer said of its limit. The request was sent at
// sentAt.
func (d *Dispatcher) RecordLimit(placement Placement, sentAt time.Time, limit throttler.Limit) {
	d.withState(func() {
		before, _ := d.throttler.Statement(placement.EndpointID)
		d.throttler.RecordAnswer(d.clock.Now(), sentAt, placement.EndpointID, limit)
		d.logLimitChange(placement.EndpointID, before, "answer")
	})
}

// Limits returns what to tell a peer of the endpoints' limits.
func (d *Dispatcher) Limits() (statements []throttler.Statement) {
	if !d.HasLimits() {
		return nil
	}
	d.withState(func() { statements = d.throttler.Statements(d.clock.Now()) })

	return statements
}

// ReceiveLimits records what a peer knows of the endpoints' limits.
func (d *Dispatcher) ReceiveLimits(statements []throttler.Statement) {
	if len(statements) > 0 {
		d.withState(func() { d.receiveStatements(d.clock.Now(), statements) })
	}
}

// receiveStatements is ReceiveLimits for callers that hold the lock. Statements of endpoints that
// are not registered here are ignored.
func (d *Dispatcher) receiveStatements(now time.Time, statements []throttler.Statement) {
	for _, statement := range statements {
		if !d.placer.HasEndpoint(statement.Endpoint) {
			continue
		}
		before, _ := d.throttler.Statement(statement.Endpoint)
		d.throttler.ReceiveStatements(now, []throttler.Statement{statement})
		d.logLimitChange(statement.Endpoint, before, "peer")
	}
}

// logLimitChange logs the limit of an endpoint if it differs from the one before.
func (d *Dispatcher) logLimitChange(endpoint string, before throttler.Statement, source string) {
	d.hasLimits.Store(d.throttler.HasRecords())
	after, _ := d.throttler.Statement(endpoint)
	if after.Limit != before.Limit {
		d.logger.Info("Limit of an endpoint changed.", "endpoint", endpoint, "limited", after.Limit.IsStated, "limit", after.Limit.Rate,
			"limited before", before.Limit.IsStated, "source", source, "age ms", d.clock.Now().Sub(after.MadeAt).Milliseconds())
	}
}
