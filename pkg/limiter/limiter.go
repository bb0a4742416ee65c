// Package limiter decides whether a workspace may start one more request. It enforces
// each workspace's limits of concurrent requests and of requests a second.
//
// Inputs are the arrivals and ends of requests with the time. The output is whether a
// request is admitted and, if not, the time after which a retry can succeed. The limits
// apply to all instances together; each instance enforces an equal share of them, rounded
// up, so that the instances together admit at most one request for each instance more than
// the limit. A workspace whose callers all use one instance gets only that instance's
// share.
//
// State is bounded by the workspaces that have requests in flight or whose token bucket
// was used within IdleTTL or is not full; the next Sweep removes the others. A Limiter is not safe for
// concurrent use.
package limiter

import "time"

// IdleTTL is the time after which an idle workspace whose token bucket is full is removed.
const IdleTTL = 2 * time.Second

// Limits holds the limits of a workspace; a zero field means no limit.
type Limits struct {
	// MaxInFlight is the most requests in flight.
	MaxInFlight int
	// MaxRequestsPerSecond is the most requests a second. The requests of one second,
	// but at least one, may arrive at once.
	MaxRequestsPerSecond float64
}

// Limiter holds the limits of all workspaces and the state of those in use.
type Limiter struct {
	limits        map[string]Limits
	instanceCount int
	workspaces    map[string]*workspaceState
}

// workspaceState holds a workspace's requests in flight and its token bucket.
type workspaceState struct {
	inFlight        int
	availableTokens float64
	lastRefill      time.Time
}

// New returns a limiter without limits.
func New() *Limiter {
	return &Limiter{instanceCount: 1, workspaces: map[string]*workspaceState{}}
}

// Configure replaces the limits by workspace. A workspace without an entry is not limited.
func (l *Limiter) Configure(limits map[string]Limits) {
	l.limits = limits
}

// SetInstanceCount sets the number of instances among which the limits are divided.
func (l *Limiter) SetInstanceCount(instanceCount int) {
	l.instanceCount = max(1, instanceCount)
}

// Admit reports whether a request of the workspace is admitted, and counts it as in flight
// if so. If not, wait is the time after which a retry can succeed; it is zero when another
// request must end first.
func (l *Limiter) Admit(now time.Time, workspace string) (ok bool, wait time.Duration) {
	limits := l.instanceShare(l.limits[workspace])
	state := l.workspaces[workspace]
	if state == nil {
		state = &workspaceState{availableTokens: bucketCapacity(limits), lastRefill: now}
		l.workspaces[workspace] = state
	}
	if limits.MaxInFlight > 0 && state.inFlight >= limits.MaxInFlight {
		return false, 0
	}
	if limits.MaxRequestsPerSecond > 0 {
		state.refill(now, limits)
		if state.availableTokens < 1 {
			return false, time.Duration((1 - state.availableTokens) / limits.MaxRequestsPerSecond * float64(time.Second))
		}
		state.availableTokens--
	}
	state.inFlight++

	return true, 0
}

// Release records that an admitted request of the workspace ended.
func (l *Limiter) Release(workspace string) {
	if state := l.workspaces[workspace]; state != nil && state.inFlight > 0 {
		state.inFlight--
	}
}

// Sweep removes the workspaces that have no request in flight and whose token bucket is
// full and was not used for longer than IdleTTL.
func (l *Limiter) Sweep(now time.Time) {
	for name, state := range l.workspaces {
		isIdle := state.inFlight == 0 && now.Sub(state.lastRefill) > IdleTTL
		if isIdle && state.isFull(now, l.instanceShare(l.limits[name])) {
			delete(l.workspaces, name)
		}
	}
}

// WorkspaceCount returns the number of workspaces whose state is held.
func (l *Limiter) WorkspaceCount() int {
	return len(l.workspaces)
}

// instanceShare returns this instance's share of the limits.
func (l *Limiter) instanceShare(limits Limits) Limits {
	if limits.MaxInFlight > 0 {
		limits.MaxInFlight = (limits.MaxInFlight + l.instanceCount - 1) / l.instanceCount
	}
	limits.MaxRequestsPerSecond /= float64(l.instanceCount)

	return limits
}

// bucketCapacity returns the most tokens, one for each request, that a bucket holds.
func bucketCapacity(limits Limits) float64 {
	return max(1, limits.MaxRequestsPerSecond)
}

// isFull reports whether the bucket would be full after a refill.
func (s *workspaceState) isFull(now time.Time, limits Limits) bool {
	refilled := *s
	refilled.refill(now, limits)

	return limits.MaxRequestsPerSecond <= 0 || refilled.availableTokens >= bucketCapacity(limits)
}

// refill adds the tokens for the time since the last refill.
func (s *workspaceState) refill(now time.Time, limits Limits) {
	s.availableTokens = min(bucketCapacity(limits), s.availableTokens+now.Sub(s.lastRefill).Seconds()*limits.MaxRequestsPerSecond)
	s.lastRefill = now
}
