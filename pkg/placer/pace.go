package placer

import (
	"math"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/pacer"
)

const (
	// requestCorrectionTime is the time constant with which the difference between the requests that an
	// endpoint stated and those that instances told of loses its weight. Requests of usual length
	// end within some such times.
	requestCorrectionTime = 500 * time.Millisecond
	// abilityTolerance is by which factor the lasting speed of an endpoint must change before the groups
	// of engines and the prefix groups follow it: each change moves prefix groups to engines that have
	// not cached them.
	abilityTolerance = 1.25
	// minCrossingGain is by how much less work, in milliseconds of prefill or running streams, an engine of
	// another data centre must have for a short prompt to leave a slower data centre. It covers the
	// round trip and the price of the bytes.
	minCrossingGain = 10
	// minSlowDataCentre is by which factor the engines of the own data centre must be slower for long than
	// all of them for work to leave it before it is late there.
	minSlowDataCentre = 1.35
	// firstTimeWeight is the weight of an answer in the ratio of first-event times to predicted ones.
	firstTimeWeight = 0.02
	// initialCallTime is the time of a call of a plain service, used until it has been observed.
	initialCallTime = 50 * time.Millisecond
)

// Statement is what an endpoint states of itself in an answer. Negative counts are not known.
type Statement struct {
	RunningRequests, QueuedRequests, Slots int
	// Pace is how long work takes there, in hundredths of the normal time; 0 if not stated.
	Pace int
}

// pace is what a service's statements and answers tell of its endpoints' speed.
type pace struct {
	// isEnabled is true once an endpoint stated a pace, to this instance or a peer. Until then nothing
	// is learned or used.
	isEnabled bool
	likes     map[likeKey]*pacer.Like
	// firstTimeLogs are the mean logarithms of first-event times divided by the predicted ones, for
	// prompts under minRateSampleTokens and for the others: a prediction that is wrong for all engines
	// alike says nothing of one of them.
	firstTimeLogs [2]float64
	callTimeLog   float64 // mean logarithm of the seconds of a call of a plain service
}

// likeKey identifies similar endpoints of a service.
type likeKey struct {
	dataCentre, version string
}

// endpointPace is what is known of an endpoint's speed.
type endpointPace struct {
	pacer.Pacer

	ability     float64 // work done in the time in which an endpoint of usual speed does 1, changed in steps
	estimate    pacer.Estimate
	estimatedAt time.Time // time of estimate; zero if there is newer information
	// own and dataCentre are the newest paces that the endpoint stated to this instance, and to it or
	// an instance that tells its own loads.
	own, dataCentre statedPace
	// correction is by how many requests the endpoint stated more than the instances told of.
	correction   float64
	correctionAt time.Time
	statedSlots  int
}

// statedPace is a pace that an endpoint stated, and when.
type statedPace struct {
	pace int
	at   time.Time
}

func newPace() pace {
	return pace{likes: map[likeKey]*pacer.Like{}, callTimeLog: math.Log(initialCallTime.Seconds())}
}

// join gives an endpoint its state. It starts from what is known of similar ones.
func (p *pace) join(e *endpoint) {
	key := likeKey{e.DataCentre, e.Version}
	if p.likes[key] == nil {
		p.likes[key] = &pacer.Like{}
	}
	e.pace = endpointPace{Pacer: pacer.New(p.likes[key]), ability: 1}
}

// usual is the estimate of an endpoint whose speed is not known or not used.
var usual = pacer.Estimate{Slowness: 1, Lasting: 1}

// estimate returns how long work takes at an endpoint of the service.
func (s *service) estimate(now time.Time, e *endpoint) pacer.Estimate {
	if !s.pace.isEnabled {
		return usual
	}
	if e.pace.estimatedAt.IsZero() || !e.pace.estimatedAt.Equal(now) {
		e.pace.estimate, e.pace.estimatedAt = e.pace.Estimate(now), now
		if change := e.pace.ability * e.pace.estimate.Lasting; change > abilityTolerance || change < 1/abilityTolerance {
			e.pace.ability = 1 / e.pace.estimate.Lasting
		}
	}

	return e.pace.estimate
}

// slowed returns how long work takes at an endpoint that takes the given time at one of usual speed.
func (s *service) slowed(now time.Time, e *endpoint, d time.Duration) time.Duration {
	if !s.pace.isEnabled {
		return d
	}

	return time.Duration(float64(d) * s.estimate(now, e).Slowness)
}

// ability returns the lasting speed of an endpoint; 1 is usual.
func (s *service) ability(now time.Time, e *endpoint) float64 {
	if !s.pace.isEnabled {
		return 1
	}
	s.estimate(now, e)

	return e.pace.ability
}

// capacity returns what endpoints can do together, in endpoints of the usual speed.
func (s *service) capacity(now time.Time, endpoints []*endpoint) float64 {
	if !s.pace.isEnabled {
		return float64(len(endpoints))
	}
	sum := 0.0
	for _, e := range endpoints {
		sum += s.ability(now, e)
	}

	return sum
}

// loadAt returns the load of all instances at an endpoint, with the requests that the endpoint
// stated and that nobody told of.
func (s *service) loadAt(now time.Time, e *endpoint) Load {
	load := e.totalLoad()
	if !s.pace.isEnabled || e.pace.correctionAt.IsZero() {
		return load
	}
	correction := e.pace.correction * math.Exp(-max(0, now.Sub(e.pace.correctionAt)).Seconds()/requestCorrectionTime.Seconds())
	load.RunningRequests = max(e.localLoad.RunningRequests, load.RunningRequests+int(math.Round(correction)))

	return load
}

// RecordStatement records what an endpoint states in an answer that just came. It reports whether the
// pace differs so much from the expected one that peers should know it at once.
func (p *Placer) RecordStatement(now time.Time, endpointID string, statement Statement) (isNews bool) {
	e := p.endpoints[endpointID]
	if e == nil {
		return false
	}
	s := p.getOrCreateService(e.Service)
	if statement.Pace > 0 {
		expected := s.estimate(now, e).Slowness
		if p.recordPace(e, statedPace{statement.Pace, now}) {
			e.pace.own, e.pace.dataCentre = statedPace{statement.Pace, now}, statedPace{statement.Pace, now}
			change := s.estimate(now, e).Slowness / expected
			isNews = change > abilityTolerance || change < 1/abilityTolerance
		}
	}
	if s.pace.isEnabled {
		e.pace.statedSlots = max(0, statement.Slots)
		if statement.RunningRequests >= 0 && statement.QueuedRequests >= 0 {
			e.pace.correction = float64(statement.RunningRequests + statement.QueuedRequests - e.totalLoad().RunningRequests)
			e.pace.correctionAt = now
		}
	}

	return isNews
}

// recordPace records a pace that an endpoint stated to this instance or a peer.
func (p *Placer) recordPace(e *endpoint, stated statedPace) bool {
	if !e.pace.RecordStatement(stated.at, stated.pace) {
		return false
	}
	if stated.at.After(p.newestStatementAt) {
		p.newestStatementAt = stated.at
	}
	p.getOrCreateService(e.Service).pace.isEnabled = true
	e.pace.estimatedAt = time.Time{}

	return true
}

// receivePace records the pace that an endpoint stated to a peer.
func (p *Placer) receivePace(id string, load Load, isSummary bool) {
	e := p.endpoints[id]
	if e == nil || load.Pace <= 0 {
		return
	}
	stated := statedPace{load.Pace, load.PaceStatedAt}
	if p.recordPace(e, stated) && !isSummary {
		e.pace.dataCentre = stated
	}
}

func (p *Placer) receivePaces(loads map[string]Load, isSummary bool) {
	for id, load := range loads {
		p.receivePace(id, load, isSummary)
	}
}

// with returns the load with the stated pace, unless that said nothing any more at the given time.
func (l Load) with(stated statedPace, now time.Time) Load {
	if stated.pace > 0 && now.Sub(stated.at) < pacer.MaxStatementAge {
		l.Pace, l.PaceStatedAt = stated.pace, stated.at
	}

	return l
}

// recordFirstEventTime learns from the first event of a request with a prompt, unless it waited for a
// slot or behind more prompt tokens than its own: what others are ahead is known too late.
func (s *service) recordFirstEventTime(now time.Time, r *inFlightRequest) {
	if !s.pace.isEnabled || r.request.PromptTokens == 0 || r.usualTime <= 0 || r.tokensAhead > r.uncachedTokens {
		return
	}
	class := 0
	if r.uncachedTokens >= minRateSampleTokens {
		class = 1
	}
	taken := now.Sub(r.sentAt)
	predicted := time.Duration(float64(r.usualTime) * math.Exp(s.pace.firstTimeLogs[class]))
	slowness := s.estimate(now, r.endpoint).Slowness
	s.pace.firstTimeLogs[class] += firstTimeWeight * boundedLog(float64(taken)/float64(predicted)/slowness)
	s.recordAnswerTime(now, r.endpoint, predicted, taken)
}

// recordCallTime learns from a finished call of a plain service that did not wait for a slot.
func (s *service) recordCallTime(now time.Time, r *inFlightRequest) {
	if !s.pace.isEnabled || r.request.PromptTokens > 0 || r.waitedForSlot {
		return
	}
	taken := now.Sub(r.sentAt)
	predicted := time.Duration(math.Exp(s.pace.callTimeLog) * float64(time.Second))
	s.pace.callTimeLog += firstTimeWeight * boundedLog(float64(taken)/float64(predicted)/s.estimate(now, r.endpoint).Slowness)
	s.recordAnswerTime(now, r.endpoint, predicted, taken)
}

func (s *service) recordAnswerTime(now time.Time, e *endpoint, predicted, taken time.Duration) {
	e.pace.RecordAnswer(now, predicted, taken)
	e.pace.estimatedAt = time.Time{}
}

// boundedLog returns the logarithm of a ratio, which a single answer may not move far.
func boundedLog(ratio float64) float64 {
	const limit = 4

	return math.Log(min(limit, max(1.0/limit, ratio)))
}

// splitByCapacity returns how many of the candidates, by rank, are in the short group if it is to have
// the given fraction of what they can do together.
func (s *search) splitByCapacity(fraction float64) int {
	target, sum := fraction*s.service.capacity(s.now, s.candidates), 0.0
	for i, e := range s.candidates {
		next := sum + s.service.ability(s.now, e)
		if target-sum < next-target {
			return i
		}
		sum = next
	}

	return len(s.candidates)
}

// ChoicePace is what was known of the speed of a chosen endpoint.
type ChoicePace struct {
	// Stated is the newest pace that the endpoint stated, to this instance or a peer, in hundredths of
	// the normal time, and Age its age; 0 if there is none that says anything.
	Stated int
	Age    time.Duration
	// Slowness is the expected time of work there divided by the usual one, and Lasting the part of it
	// that does not come from the statement.
	Slowness, Lasting float64
	// ExpectedCallTime is the expected time of a call of a plain service.
	ExpectedCallTime time.Duration
}

// choicePace returns what is known of an endpoint's speed; zero if the service's endpoints state no pace.
func (s *search) choicePace(e *endpoint) ChoicePace {
	if !s.service.pace.isEnabled {
		return ChoicePace{}
	}
	estimate := s.service.estimate(s.now, e)
	choice := ChoicePace{Slowness: estimate.Slowness, Lasting: estimate.Lasting}
	if pace, at := e.pace.Statement(s.now); pace > 0 {
		choice.Stated, choice.Age = pace, s.now.Sub(at)
	}
	if s.request.PromptTokens == 0 {
		choice.ExpectedCallTime = time.Duration(math.Exp(s.service.pace.callTimeLog) * estimate.Slowness * float64(time.Second))
	}

	return choice
}

// usualTime returns the predicted time to the first token at an engine of usual speed; zero if the
// service's endpoints state no pace.
func (c Choice) usualTime() time.Duration {
	if c.Pace.Slowness <= 0 {
		return 0
	}

	return time.Duration(float64(c.ExpectedTimeToFirstToken) / c.Pace.Slowness)
}

// unslowed returns how long work would have taken at an endpoint of usual speed that took the given time
// at this one.
func (s *service) unslowed(now time.Time, e *endpoint, d time.Duration) time.Duration {
	if !s.pace.isEnabled {
		return d
	}

	return time.Duration(float64(d) / s.estimate(now, e).Slowness)
}

// plainCost returns the cost of a plain endpoint with so many requests for its slots. A slow endpoint
// without requests costs as much as one of usual speed whose queue makes a request wait so long.
func (s *search) plainCost(e *endpoint, load float64) float64 {
	return s.service.estimate(s.now, e).Slowness * (1 + load)
}

// isSlowerThanAll reports whether the eligible engines of the own data centre are slower for long than
// those of all data centres. Its share of the prompts then is more than its engines can do.
func (s *search) isSlowerThanAll(local *search) bool {
	if !s.service.pace.isEnabled || len(local.eligible) == 0 {
		return false
	}
	meanOf := func(endpoints []*endpoint) float64 {
		return s.service.capacity(s.now, endpoints) / float64(len(endpoints))
	}

	return meanOf(local.eligible)*minSlowDataCentre < meanOf(s.eligible)
}

// prefixRank returns the rank of an engine for a prefix group; the lowest one is preferred. An engine is
// preferred by as large a part of the groups as its part of the engines' speed.
func (s *search) prefixRank(e *endpoint, prefixGroup uint64) float64 {
	hash := float64(rankHash(e.ID, prefixGroup) >> 11)
	if !s.service.pace.isEnabled {
		return -hash
	}

	return -math.Log((hash+0.5)/(1<<53)) / s.service.ability(s.now, e)
}
