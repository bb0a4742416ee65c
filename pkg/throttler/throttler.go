package throttler

import (
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/granter"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// Throttler decides for one instance when its requests may go to limited endpoints, and
// lends the permits of the endpoints whose home it is.
type Throttler struct {
	instanceName     string
	members          []string // live instances, sorted
	membersChangedAt time.Time
	records          map[string]*record // by endpoint ID
	statementOffset  int
	settings         Settings
}

// Settings are how a throttler lends and uses permits.
type Settings struct {
	// MinBurst is the number of permits that a home saves up at least for requests at the same
	// time.
	MinBurst float64
	// PermitLifetime is how long a borrowed permit may be used.
	PermitLifetime time.Duration
}

// DefaultSettings returns the settings for limits that endpoints state.
func DefaultSettings() Settings {
	return Settings{MinBurst: 2, PermitLifetime: 300 * time.Millisecond}
}

// record is what an instance knows of one endpoint's limit.
type record struct {
	limit     Limit
	madeAt    time.Time // of the newest statement
	changedAt time.Time // when this instance learned the limit

	home      string
	homeSince time.Time

	// The permits that this instance lends, if it is the home.
	tokens     float64
	refilledAt time.Time
	minBurst   float64
	demand     [placer.TierCount]float64 // recent requests for permits by tier, which decay

	// What this instance has borrowed.
	permits         int
	permitsExpireAt time.Time
	lastReply       Reply
	openRequests    int                         // requests for permits without a reply
	blockedUntil    [placer.TierCount]time.Time // by tier
}

const (
	// unansweredWait is how long an endpoint whose home does not answer is not used.
	unansweredWait = 500 * time.Millisecond
	// maxOpenRequests is the number of requests for permits of one endpoint that an instance
	// makes at the same time.
	maxOpenRequests = 4
	// unrequestedWait is the assumed time until an endpoint has a permit if none may be
	// requested.
	unrequestedWait = 500 * time.Millisecond
)

// New returns the throttler of the named instance, which starts now and is the only live
// one until SetMembers is called.
func New(now time.Time, instanceName string) *Throttler {
	return &Throttler{instanceName: instanceName, members: []string{instanceName}, membersChangedAt: now, records: map[string]*record{}, settings: DefaultSettings()}
}

// WithSettings returns the throttler with other settings. It must not have records yet.
func (t *Throttler) WithSettings(settings Settings) *Throttler {
	changed := *t
	changed.settings = settings

	return &changed
}

// SetMembers sets the names of the live instances that are not leaving, in sorted order.
// There must be one at least.
func (t *Throttler) SetMembers(now time.Time, members []string) {
	if slices.Equal(members, t.members) {
		return
	}
	t.members, t.membersChangedAt = slices.Clone(members), now
	for endpoint, r := range t.records {
		if home := t.homeOf(endpoint); home != r.home {
			r.home, r.homeSince, r.tokens, r.refilledAt = home, now, 0, now
		}
	}
}

// homeOf returns the instance that lends an endpoint's permits.
func (t *Throttler) homeOf(endpoint string) string {
	return granter.HomeOf(endpoint, t.members)
}

// Home returns the instance that lends an endpoint's permits; empty if the endpoint never stated
// a limit.
func (t *Throttler) Home(endpoint string) string {
	if r := t.records[endpoint]; r != nil {
		return r.home
	}

	return ""
}

// Retain removes what is known of endpoints that are no longer registered.
func (t *Throttler) Retain(isRegistered func(endpoint string) bool) {
	for endpoint := range t.records {
		if !isRegistered(endpoint) {
			delete(t.records, endpoint)
		}
	}
}

// HasRecords reports whether any registered endpoint has stated a limit since it was
// registered.
func (t *Throttler) HasRecords() bool {
	return len(t.records) > 0
}

// Action says how a request for an endpoint goes on.
type Action int

const (
	// Send means that the request may be sent now.
	Send Action = iota
	// RequestPermit means that a permit must be requested from the endpoint's home, and the
	// reply passed to RecordReply.
	RequestPermit
	// Avoid means that the request may not go to this endpoint now.
	Avoid
)

// Blocked returns the endpoints that a request of a tier may not go to now; nil if there
// are none. The values are the ends of the blocks. If mayRequest is
// false, endpoints are blocked too if a permit must be requested first.
func (t *Throttler) Blocked(now time.Time, tier int, mayRequest bool) map[string]time.Time {
	var blocked map[string]time.Time
	for endpoint, r := range t.records {
		if !r.limit.IsStated || r.hasPermit(now) {
			continue
		}
		until := r.blockedUntil[clampTier(tier)]
		switch {
		case r.openRequests >= maxOpenRequests:
			until = maxTime(until, now.Add(lowestWait))
		case !mayRequest && !t.canLend(now, r):
			until = maxTime(until, now.Add(unrequestedWait))
		}
		if until.After(now) {
			if blocked == nil {
				blocked = map[string]time.Time{}
			}
			blocked[endpoint] = until
		}
	}

	return blocked
}

// Take decides whether a request of a tier may be sent to an endpoint now, and takes a
// permit if it needs one. If the action is RequestPermit, home is the instance to request
// it from.
func (t *Throttler) Take(now time.Time, endpoint string, tier int) (action Action, home string) {
	r := t.records[endpoint]
	switch {
	case r == nil || !r.limit.IsStated:
		return Send, ""
	case r.hasPermit(now):
		r.permits--

		return Send, ""
	case r.home == t.instanceName:
		t.RecordReply(now, endpoint, tier, t.Lend(now, r.statement(endpoint), tier), true)
		if r.hasPermit(now) {
			r.permits--

			return Send, ""
		}

		return Avoid, ""
	}
	r.openRequests++

	return RequestPermit, r.home
}

// RecordReply records the reply of an endpoint's home; isAnswered is false if there was none.
func (t *Throttler) RecordReply(now time.Time, endpoint string, tier int, reply Reply, isAnswered bool) {
	r := t.records[endpoint]
	if r == nil {
		return
	}
	r.openRequests, r.lastReply = max(0, r.openRequests-1), reply
	if reply.Permits > 0 {
		if !r.hasPermit(now) {
			r.permits = 0
		}
		r.permits += reply.Permits
		r.permitsExpireAt = now.Add(t.settings.PermitLifetime)

		return
	}
	wait, firstBlocked := reply.Wait, clampTier(tier)
	if !isAnswered {
		wait, firstBlocked = unansweredWait, 0
	}
	for i := firstBlocked; i < placer.TierCount; i++ {
		r.blockedUntil[i] = maxTime(r.blockedUntil[i], now.Add(wait))
	}
}

// LastReply returns the last reply of an endpoint's home, which may be this instance.
func (t *Throttler) LastReply(endpoint string) Reply {
	if r := t.records[endpoint]; r != nil {
		return r.lastReply
	}

	return Reply{}
}

func (r *record) hasPermit(now time.Time) bool {
	return r.permits > 0 && now.Before(r.permitsExpireAt)
}

func clampTier(tier int) int {
	return min(max(tier, 0), placer.TierCount-1)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
