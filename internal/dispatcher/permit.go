package dispatcher

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/throttler"
)

const (
	// maxPermitAsks is the number of homes that are asked for one attempt of a request.
	// Each ask takes a round trip.
	maxPermitAsks = 2
	// permitTimeout limits the wait for a home's reply.
	permitTimeout = 150 * time.Millisecond
)

// PermitAsk is what an instance asks the home of a limited endpoint.
type PermitAsk struct {
	// Statement is what the asking instance knows of the limit.
	Statement throttler.Statement
	// Tier is the tier of the request that needs the permit.
	Tier int
}

// PermitSource passes asks for permits on to the homes of endpoints.
type PermitSource interface {
	// AskForPermit asks the instance of the given name. It returns an error if there is no
	// reply before ctx ends.
	AskForPermit(ctx context.Context, home string, ask PermitAsk) (throttler.Reply, error)
}

// SetPermitSource sets the source of permits for endpoints whose home is another instance.
// Call SetPermitSource before Serve.
func (d *Dispatcher) SetPermitSource(source PermitSource) {
	d.permitSource = source
}

// permitNeed is an ask that has to be made before a placement.
type permitNeed struct {
	home string
	ask  PermitAsk
}

// errNoPermitSource means that no other instance can be asked.
var errNoPermitSource = errors.New("no source of permits")

// askHome asks the home. It may take up to permitTimeout, even if the caller of the request
// has disconnected, so that the reply is not lost for other requests.
func (d *Dispatcher) askHome(ctx context.Context, need *permitNeed) (throttler.Reply, error) {
	if d.permitSource == nil {
		return throttler.Reply{}, errNoPermitSource
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), permitTimeout)
	defer cancel()

	return d.permitSource.AskForPermit(ctx, need.home, need.ask)
}

// recordReply records a home's reply and logs it.
func (d *Dispatcher) recordReply(need *permitNeed, reply throttler.Reply, err error) {
	endpoint := need.ask.Statement.Endpoint
	d.throttler.RecordReply(d.clock.Now(), endpoint, need.ask.Tier, reply, err == nil)
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	d.logger.Info("Asked for a permit.", "endpoint", endpoint, "limit", need.ask.Statement.Limit.Rate, "home", need.home,
		"tier", need.ask.Tier, "permits", reply.Permits, "wait ms", reply.Wait.Milliseconds(), "error", cause)
}

// CanPlace reports whether an endpoint may get the request now without an ask for a permit.
func (d *Dispatcher) CanPlace(request placer.Request) (ok bool) {
	d.runAndWait(func() {
		now := d.clock.Now()
		request.Blocked = d.throttler.Blocked(now, request.Tier, false)
		_, ok = d.placer.Pick(now, request)
	})

	return ok
}

// Lend answers a peer's ask for a permit.
func (d *Dispatcher) Lend(ask PermitAsk) (reply throttler.Reply) {
	d.runAndWait(func() {
		now := d.clock.Now()
		endpoint := ask.Statement.Endpoint
		// What the peer knows counts only if it is new here: its age is not exact.
		if known, ok := d.throttler.Statement(endpoint); !ok || !known.Limit.IsStated {
			d.receiveStatements(now, []throttler.Statement{ask.Statement})
		}
		reply = d.throttler.Lend(now, endpoint, ask.Tier)
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
	d.runAndWait(func() {
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
	d.runAndWait(func() { statements = d.throttler.Statements(d.clock.Now()) })

	return statements
}

// ReceiveLimits records what a peer knows of the endpoints' limits.
func (d *Dispatcher) ReceiveLimits(statements []throttler.Statement) {
	if len(statements) > 0 {
		d.runAndWait(func() { d.receiveStatements(d.clock.Now(), statements) })
	}
}

// receiveStatements is ReceiveLimits on the control goroutine. Statements of endpoints that
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
