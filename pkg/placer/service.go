package placer

import (
	"math"
	"slices"
	"time"
)

// service is the state of one service: its endpoints, its demand and its split.
type service struct {
	instanceName          string        // of this instance
	endpoints             []*endpoint   // sorted by rank
	dataCentres           []string      // of the endpoints, sorted
	prefillRate           float64       // prompt tokens that an engine prefills per millisecond
	minLongPromptTokens   int           // prompts of at least this length are long
	meanRunTime           time.Duration // of a request from its first event to its end
	arrivals              arrivals
	peerDemands           map[string]peerDemand // by instance name
	remoteDemands         map[string]peerDemand // by name of another data centre
	smoothedShortFraction float64               // target size of the short group, as a fraction of the engines
	smoothedAt            time.Time             // last update of smoothedShortFraction
	localSplit            int                   // engines in the short group, as this instance decides
	localSplitEngineCount int                   // number of engines that localSplit was decided for
	pace                  pace
}

// peerDemand is the demand that a peer reported, and when.
type peerDemand struct {
	Demand
	receivedAt time.Time
}

const (
	// prefillRateSmoothingFactor is the weight of a new observation in the average
	// prefill rate.
	prefillRateSmoothingFactor = 0.05
	// minRateSampleTokens is the shortest prefill, in tokens, from which the
	// prefill rate is learned.
	minRateSampleTokens = 2048
	// runTimeSmoothingFactor is the weight of a new observation in the average run
	// time.
	runTimeSmoothingFactor = 0.02
)

func newService(settings Settings) *service {
	return &service{
		instanceName: settings.InstanceName,
		prefillRate:  settings.InitialPrefillRate, minLongPromptTokens: settings.MinLongPromptTokens,
		meanRunTime: initialRunTime,
		peerDemands: map[string]peerDemand{}, remoteDemands: map[string]peerDemand{}, smoothedShortFraction: initialShortFraction,
		pace: newPace(),
	}
}

// updateDataCentres finds the data centres of the endpoints.
func (s *service) updateDataCentres() {
	s.dataCentres = s.dataCentres[:0]
	for _, e := range s.endpoints {
		s.dataCentres = append(s.dataCentres, e.DataCentre)
	}
	slices.Sort(s.dataCentres)
	s.dataCentres = slices.Compact(s.dataCentres)
}

// updatePrefillRate learns the prefill rate from the time to a first token. Waiting
// makes an engine look slower than it is, so slower observations weigh a quarter of
// faster ones.
func (s *service) updatePrefillRate(tokens int, elapsed time.Duration) {
	if tokens < minRateSampleTokens || elapsed <= 0 {
		return
	}
	observedRate := float64(tokens) / (float64(elapsed) / float64(time.Millisecond))
	weight := prefillRateSmoothingFactor
	if observedRate < s.prefillRate {
		weight /= 4
	}
	s.prefillRate += weight * (min(observedRate, 4*s.prefillRate) - s.prefillRate)
}

// prefillTime returns the time that an engine takes to prefill the given number of
// tokens.
func (s *service) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.prefillRate * float64(time.Millisecond))
}

// updateRunTime learns how long requests run from their first event to their end.
func (s *service) updateRunTime(elapsed time.Duration) {
	s.meanRunTime += time.Duration(runTimeSmoothingFactor * float64(elapsed-s.meanRunTime))
}

// slotWait returns how long a request waits for a slot at an engine that has so many
// requests for its slots.
func (s *service) slotWait(requests, slots int) time.Duration {
	return s.meanRunTime * time.Duration(max(0, requests+1-slots)) / time.Duration(slots)
}

// localDemand returns the demand that arrives at this instance.
func (s *service) localDemand(now time.Time) Demand {
	demand := s.arrivals.demand(now, s.prefillRate)
	pendingTokens := 0
	for _, e := range s.endpoints {
		demand.ShortPromptEngines += float64(e.localLoad.RunningShortPrompts) / (targetBatchFraction * float64(e.slotsOrDefault()))
		pendingTokens += e.localLoad.PendingTokens
	}
	demand.LongPromptEngines += s.prefillTime(pendingTokens).Seconds() / targetBacklogTime.Seconds()
	demand.Split, demand.EngineCount = s.localSplit, s.localSplitEngineCount

	return demand
}

// totalDemand returns the demand of all instances and removes expired reports of
// peers.
func (s *service) totalDemand(now time.Time) Demand {
	sum := s.localDemand(now)
	for peer, demand := range s.peerDemands {
		if now.Sub(demand.receivedAt) > peerDemandTTL {
			delete(s.peerDemands, peer)

			continue
		}
		sum.ShortPromptEngines += demand.ShortPromptEngines
		sum.LongPromptEngines += demand.LongPromptEngines
	}

	return sum
}

// split returns how many of n engines, by rank, are in the short group. Together these do the work
// of the given number of engines of usual speed. The live
// instance with the alphabetically first name decides, so that all instances agree.
func (s *service) split(now time.Time, n int, capacity float64) int {
	localSplit := s.updateLocalSplit(now, n, capacity)
	leader, split := s.instanceName, localSplit
	for peer, demand := range s.peerDemands {
		if demand.EngineCount > 0 && peer < leader && now.Sub(demand.receivedAt) < peerSplitTTL {
			leader, split = peer, demand.scaledSplit(n)
		}
	}

	return limitSplit(split, n)
}

// remoteSplit returns how many of the n engines of another data centre, by rank, are in
// its short group, as its instances reported last.
func (s *service) remoteSplit(now time.Time, dataCentre string, n int) int {
	demand, known := s.remoteDemands[dataCentre]
	if !known || demand.EngineCount == 0 || now.Sub(demand.receivedAt) > remoteSplitTTL {
		return limitSplit(int(math.Round(initialShortFraction*float64(n))), n)
	}

	return limitSplit(demand.scaledSplit(n), n)
}

// scaledSplit returns the reported split, scaled to n engines.
func (d Demand) scaledSplit(n int) int {
	return int(math.Round(float64(d.Split) * float64(n) / float64(d.EngineCount)))
}

// limitSplit leaves each group at least one of n engines.
func limitSplit(split, n int) int {
	if n < 2 {
		return n
	}

	return min(n-1, max(1, split))
}

// updateLocalSplit returns the split that this instance would choose for n engines.
// It follows the demand of all instances slowly, since each change moves prefix
// groups to engines that have not cached them.
func (s *service) updateLocalSplit(now time.Time, n int, capacity float64) int {
	if total := s.totalDemand(now); total.ShortPromptEngines+total.LongPromptEngines > 0 {
		if s.smoothedAt.IsZero() {
			s.smoothedAt = now
		}
		weight := 1 - math.Exp(-now.Sub(s.smoothedAt).Seconds()/splitTimeConstant.Seconds())
		s.smoothedShortFraction += weight * (total.shortFraction(capacity) - s.smoothedShortFraction)
		s.smoothedAt = now
	}
	targetSplit := float64(n) * s.smoothedShortFraction
	if n != s.localSplitEngineCount || math.Abs(targetSplit-float64(s.localSplit)) > splitTolerance {
		s.localSplit, s.localSplitEngineCount = int(math.Round(targetSplit)), n
	}

	return s.localSplit
}

// shortFraction returns the fraction of engines that the short group should get, which together do
// the work of the given number of engines of usual speed.
// While there are enough engines, it is the short prompts' share of the demand.
// Otherwise short prompts get what they need first, up to maxShortFraction, because
// the same engine time serves many more short prompts than long ones.
func (d Demand) shortFraction(capacity float64) float64 {
	sum := d.ShortPromptEngines + d.LongPromptEngines
	if sum <= capacity {
		return d.ShortPromptEngines / sum
	}

	return max(d.ShortPromptEngines/sum, min(maxShortFraction, d.ShortPromptEngines/capacity))
}

// arrivals counts the uncached prompt tokens that arrive at this instance for a
// service. Older tokens count exponentially less, with demandTimeConstant.
type arrivals struct {
	decayedAt   time.Time
	shortTokens float64 // uncached tokens of short prompts
	longTokens  float64 // uncached tokens of long prompts
}

// decay ages the counts to the given time.
func (a *arrivals) decay(now time.Time) {
	if a.decayedAt.IsZero() {
		a.decayedAt = now
	}
	age := now.Sub(a.decayedAt)
	if age <= 0 {
		return
	}
	factor := math.Exp(-age.Seconds() / demandTimeConstant.Seconds())
	a.decayedAt = now
	a.shortTokens *= factor
	a.longTokens *= factor
}

// record counts the uncached tokens of a prompt that was just placed.
func (a *arrivals) record(now time.Time, choice Choice) {
	a.decay(now)
	if choice.IsLongPrompt {
		a.longTokens += float64(choice.UncachedTokens)
	} else {
		a.shortTokens += float64(choice.UncachedTokens)
	}
}

// demand returns how many engines the arriving prompts keep busy at a prefill rate
// in tokens per millisecond.
func (a *arrivals) demand(now time.Time, prefillRate float64) Demand {
	a.decay(now)
	tokensPerEngine := prefillRate * float64(time.Second/time.Millisecond) * demandTimeConstant.Seconds()

	return Demand{ShortPromptEngines: a.shortTokens / tokensPerEngine, LongPromptEngines: a.longTokens / tokensPerEngine / targetPrefillFraction}
}
