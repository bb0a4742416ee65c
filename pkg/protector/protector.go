package protector

import (
	"maps"
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
	"github.com/oleanderpick/oleanderpick/pkg/throttler"
)

const (
	// permitShare is the number of permits lent for each rejection that an endpoint bears.
	permitShare = 0.5
	// rejectionMemory is how long after a rejection all requests to the endpoint need permits:
	// until the news of it has reached the other instances.
	rejectionMemory = 150 * time.Millisecond
	// grantMemory is how long after a home has lent a permit the request may be missing from the
	// load that the home knows.
	grantMemory = 20 * time.Millisecond
	// maxWait is how long an instance that got no permit waits for the next one at most. Room
	// may come with the end of any request.
	maxWait = 60 * time.Millisecond
	// sharingTime is how long messages to peers contain a rejection.
	sharingTime = time.Second
	// maxShare is the share of an endpoint's slots up to which requests need no permit.
	maxShare = 0.85
	// ceilingFraction is the part of the load at which an endpoint rejected a request up to
	// which later requests need no permit. The ceiling rises by ceilingRise of the endpoint's
	// slots in a second.
	ceilingFraction = 0.9
	ceilingRise     = 0.1
	// tierStep is how much earlier requests of each lower tier need a permit, as a part of the
	// load at which those of the highest tier do, and lowestTierPart the least part.
	tierStep       = 0.05
	lowestTierPart = 0.6
)

// permitSettings are those of permits. A home saves up no second one, because the endpoint could
// reject both in one second. Permits that are not used at once would take room twice.
var permitSettings = throttler.Settings{MinBurst: 1, PermitLifetime: grantMemory / 2}

// Protector is what one instance knows of brittle endpoints.
type Protector struct {
	// statements are those of services: one of any endpoint counts for its whole service.
	statements   *throttler.Throttler
	permits      *throttler.Throttler
	instanceName string
	memberCount  int
	services     map[string]string      // service of each registered endpoint, by ID
	grants       map[string][]time.Time // recent permits lent because there was room, by endpoint ID
	rejections   map[string]rejection   // the last known one of each endpoint, by ID
}

// rejection is what is known of the last rejection by an endpoint.
type rejection struct {
	at time.Time
	// ceiling is the number of running requests up to which further ones needed no permit
	// after it.
	ceiling float64
}

// New returns the protector of the named instance, which is the only live one until SetMembers is
// called.
func New(now time.Time, instanceName string) *Protector {
	return &Protector{
		statements: throttler.New(now, instanceName), permits: throttler.New(now, instanceName).WithSettings(permitSettings),
		instanceName: instanceName, memberCount: 1,
		services: map[string]string{}, grants: map[string][]time.Time{}, rejections: map[string]rejection{},
	}
}

// SetMembers sets the names of the live instances that are not leaving, in sorted order.
func (p *Protector) SetMembers(now time.Time, members []string) {
	p.memberCount = len(members)
	p.permits.SetMembers(now, members)
}

// SetEndpoints replaces the registered endpoints.
func (p *Protector) SetEndpoints(now time.Time, endpoints []registrar.Endpoint) {
	clear(p.services)
	for _, endpoint := range endpoints {
		p.services[endpoint.ID] = endpoint.Service
	}
	isRegistered := func(endpoint string) bool { return p.services[endpoint] != "" }
	maps.DeleteFunc(p.grants, func(endpoint string, _ []time.Time) bool { return !isRegistered(endpoint) })
	p.permits.Retain(isRegistered)
	maps.DeleteFunc(p.rejections, func(endpoint string, _ rejection) bool { return !isRegistered(endpoint) })
	p.updatePermits(now)
}

// RecordAnswer records what an answer to a request that was sent at sentAt says of the endpoints
// of a service: the rejections a second that each of them bears, or nothing. It reports whether
// that is news.
func (p *Protector) RecordAnswer(now, sentAt time.Time, service string, maxRejections throttler.Limit) bool {
	before, _ := p.statements.Statement(service)
	p.statements.RecordAnswer(now, sentAt, service, maxRejections)
	after, _ := p.statements.Statement(service)
	if before.Limit == after.Limit {
		return false
	}
	p.updatePermits(now)

	return true
}

// ReceiveStatements records what a peer knows. The statements' endpoints are services.
func (p *Protector) ReceiveStatements(now time.Time, statements []throttler.Statement) {
	p.statements.ReceiveStatements(now, statements)
	p.updatePermits(now)
}

// Statements returns what to tell a peer.
func (p *Protector) Statements(now time.Time) []throttler.Statement {
	return p.statements.Statements(now)
}

// HasBrittle reports whether the endpoints of any service are brittle.
func (p *Protector) HasBrittle() bool {
	for _, service := range p.services {
		if p.IsBrittle(service) {
			return true
		}
	}

	return false
}

// IsBrittle reports whether the endpoints of a service are brittle.
func (p *Protector) IsBrittle(service string) bool {
	statement, _ := p.statements.Statement(service)

	return statement.Limit.IsStated
}

// updatePermits sets the rates at which the endpoints' permits are lent.
func (p *Protector) updatePermits(now time.Time) {
	for endpoint, service := range p.services {
		statement, known := p.statements.Statement(service)
		current, _ := p.permits.Statement(endpoint)
		limit := throttler.Limit{IsStated: statement.Limit.IsStated, Rate: statement.Limit.Rate * permitShare}
		if known && current.Limit != limit {
			p.permits.RecordAnswer(now, now, endpoint, limit)
		}
	}
}

// RecordRejection records that an endpoint rejected a request at a time when so many requests ran
// there, as far as was known. It reports whether that is news that peers need: the endpoint is
// brittle.
func (p *Protector) RecordRejection(at time.Time, endpoint string, running int) bool {
	if !p.IsBrittle(p.services[endpoint]) || !at.After(p.rejections[endpoint].at) {
		return false
	}
	p.rejections[endpoint] = rejection{at: at, ceiling: ceilingFraction * float64(running)}

	return true
}

// Rejections returns the times of the rejections to tell peers, by endpoint ID.
func (p *Protector) Rejections(now time.Time) map[string]time.Time {
	recent := map[string]time.Time{}
	for endpoint, last := range p.rejections {
		if now.Sub(last.at) < sharingTime {
			recent[endpoint] = last.at
		}
	}

	return recent
}

// Occupancy is how many requests of all instances run at an endpoint, as far as is known, and how
// many it can run at once.
type Occupancy struct {
	Running, Slots int
}

// NeedsPermit reports whether a request of a tier for an endpoint needs a permit. It needs none if
// the endpoint is not brittle, or less than half full even if each instance has just sent a
// request that is not known yet.
func (p *Protector) NeedsPermit(now time.Time, endpoint string, tier int, occupancy Occupancy) bool {
	return p.IsBrittle(p.services[endpoint]) && occupancy.Running+p.memberCount >= p.room(now, endpoint, tier, occupancy.Slots)/2
}

// room returns the number of requests that an endpoint with so many slots is expected to run
// without rejecting a request of a tier.
func (p *Protector) room(now time.Time, endpoint string, tier, slots int) int {
	limit := maxShare * float64(slots)
	if last, ok := p.rejections[endpoint]; ok {
		elapsed := now.Sub(last.at)
		if elapsed < rejectionMemory {
			return 0
		}
		limit = min(limit, last.ceiling+ceilingRise*float64(slots)*elapsed.Seconds())
	}

	return int(limit * max(lowestTierPart, 1-tierStep*float64(min(max(tier, 0), placer.TierCount-1))))
}

// Blocked returns the endpoints that a request of a tier that needs a permit may not go to now, as
// throttler.Throttler.Blocked does.
func (p *Protector) Blocked(now time.Time, tier int, mayRequest bool) map[string]time.Time {
	return p.permits.Blocked(now, tier, mayRequest)
}

// Statement returns the rate at which the permits of an endpoint are lent.
func (p *Protector) Statement(endpoint string) throttler.Statement {
	statement, _ := p.permits.Statement(endpoint)

	return statement
}

// Take decides whether a request of a tier that needs a permit may be sent to an endpoint now. If
// the action is throttler.RequestPermit, home is the instance to request a permit from.
func (p *Protector) Take(now time.Time, endpoint string, tier int, occupancy Occupancy) (action throttler.Action, home string) {
	if p.grant(now, endpoint, tier, occupancy) {
		return throttler.Send, ""
	}

	return p.permits.Take(now, endpoint, tier)
}

// Lend lends a permit for a request of a tier to an endpoint, if there is room or a rejection is
// no harm. statement is what the borrower knows of the rate.
func (p *Protector) Lend(now time.Time, statement throttler.Statement, tier int, occupancy Occupancy) throttler.Reply {
	if p.grant(now, statement.Endpoint, tier, occupancy) {
		return throttler.Reply{Permits: 1}
	}
	reply := p.permits.Lend(now, statement, tier)
	if reply.Reason == throttler.UsedUp || reply.Reason == throttler.HigherTiers {
		reply.Wait = min(reply.Wait, maxWait)
	}

	return reply
}

// RecordReply records the reply of an endpoint's home; isAnswered is false if there was none.
func (p *Protector) RecordReply(now time.Time, endpoint string, tier int, reply throttler.Reply, isAnswered bool) {
	p.permits.RecordReply(now, endpoint, tier, reply, isAnswered)
}

// LastReply returns the last reply of an endpoint's home, which may be this instance.
func (p *Protector) LastReply(endpoint string) throttler.Reply {
	return p.permits.LastReply(endpoint)
}

// grant lends a permit without regard to rejections, if this instance is the endpoint's home and
// there is room for a request of the tier.
func (p *Protector) grant(now time.Time, endpoint string, tier int, occupancy Occupancy) bool {
	if p.permits.Home(endpoint) != p.instanceName {
		return false
	}
	recent := slices.DeleteFunc(p.grants[endpoint], func(at time.Time) bool { return now.Sub(at) >= grantMemory })
	hasRoom := occupancy.Running+len(recent) < p.room(now, endpoint, tier, occupancy.Slots)
	if hasRoom {
		recent = append(recent, now)
	}
	p.grants[endpoint] = recent

	return hasRoom
}
