// Package emulator emulates a model engine for the lab. It uses continuous
// batching: one loop generates a token for every running sequence in each step,
// and a step takes longer the more sequences run. Prefill runs in chunks within
// the same steps, KV memory and the prefix cache are bounded, and a stream
// survives a broken connection: a client resumes it at an offset or cancels it
// by its id.
//
// The emulator's own memory is bounded: it keeps at most Settings.Slots running
// and Settings.MaxWaiting waiting streams, the streams that ended within the
// last 30 seconds, and maxTombstones ids of earlier streams. Faults lists the
// faults that it can inject.
package emulator

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/lab/silencer"
)

// Settings configures an Emulator. Zero fields take their defaults.
type Settings struct {
	// Name of the engine, which also prefixes the stream ids that it assigns.
	Name string
	// Model is the model loaded at the start; an engine without one accepts any model.
	Model string
	// Slots is the maximum number of sequences in one batch.
	Slots int
	// MaxWaiting is the maximum number of sequences that wait for a slot; further
	// requests are refused.
	MaxWaiting int
	// KVTokens is the capacity of the KV memory, in tokens.
	KVTokens int
	// BaseStepTime is the duration of one step without any sequence.
	BaseStepTime time.Duration
	// StepTimePerSequence is the duration that each decoding sequence adds to a step.
	StepTimePerSequence time.Duration
	// PrefillRate is the speed of prefill, in prompt tokens per second.
	PrefillRate float64
	// CacheTokens is the capacity of the prefix cache, in tokens.
	CacheTokens int
	// ReportLag is the age of a load report when it is published.
	ReportLag time.Duration
	// CacheEventLag is the age of a cache event when it is published.
	CacheEventLag time.Duration
	// CacheEventLossFraction is the fraction of cache events that are never published.
	CacheEventLossFraction float64
	// ChecksFencingToken makes the engine refuse orders that have expired or whose
	// fencing token is lower than the highest seen.
	ChecksFencingToken bool
	// ModelLoadTime is how long loading a model takes.
	ModelLoadTime time.Duration
	// WeightStore limits the model loads that run at once; nil means no limit.
	WeightStore *WeightStore
	// OrphanTimeout is how long a stream runs without a subscriber before it
	// is canceled.
	OrphanTimeout time.Duration
	// PoisonDowntime is how long the engine is down after a poison request
	// crashed it.
	PoisonDowntime time.Duration
	// SpeedFactor divides the duration of every step and of every model load.
	SpeedFactor float64
	// Seed of the random numbers that draw answer lengths and the faults of a
	// fraction of the calls.
	Seed uint64
}

const (
	defaultSlots               = 32
	defaultMaxWaiting          = 1024
	defaultKVTokens            = 64_000
	defaultBaseStepTime        = 12 * time.Millisecond
	defaultStepTimePerSequence = 400 * time.Microsecond
	defaultPrefillRate         = 24_000
	defaultCacheTokens         = 64_000
	defaultModelLoadTime       = 2 * time.Second
	defaultOrphanTimeout       = 10 * time.Second
	defaultPoisonDowntime      = 2 * time.Second
)

func (s Settings) withDefaults() Settings {
	setDefault(&s.Slots, defaultSlots)
	setDefault(&s.MaxWaiting, defaultMaxWaiting)
	setDefault(&s.KVTokens, defaultKVTokens)
	setDefault(&s.BaseStepTime, defaultBaseStepTime)
	setDefault(&s.StepTimePerSequence, defaultStepTimePerSequence)
	setDefault(&s.PrefillRate, defaultPrefillRate)
	setDefault(&s.CacheTokens, defaultCacheTokens)
	setDefault(&s.ModelLoadTime, defaultModelLoadTime)
	setDefault(&s.OrphanTimeout, defaultOrphanTimeout)
	setDefault(&s.PoisonDowntime, defaultPoisonDowntime)
	setDefault(&s.SpeedFactor, 1)

	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Faults are the faults that an Emulator injects. The zero value injects none.
type Faults struct {
	// Slow multiplies the duration of every step if it is over one.
	Slow float64
	// Crash crashes the engine once, when it is set, and keeps it down for this
	// long.
	Crash time.Duration
	// Silent makes the connections that are open when it is set silent
	// permanently: nothing more is sent on them. Later connections work.
	Silent bool
	// LostAnswer is the fraction of accepted requests whose connection is broken
	// before the first byte of the answer, although they run.
	LostAnswer float64
	// Outage breaks every connection, while the engine continues to generate.
	Outage bool
	// Refuse makes the engine refuse every new request; none of them starts.
	Refuse bool
	// StaleReports stops the recording of load reports, so that the last one is
	// published from then on.
	StaleReports bool
	// ReportLag replaces Settings.ReportLag unless it is zero.
	ReportLag time.Duration
	// CacheGap replaces Settings.CacheEventLossFraction unless it is zero.
	CacheGap float64
	// Poison is a text that crashes the engine when a request whose body contains
	// it starts to run.
	Poison string
}

// Audit counts what an engine did since it was created. A crash does not reset it.
type Audit struct {
	Name string `json:"name"`
	// Accepted, Started, Finished and Cancelled count sequences.
	Accepted  int `json:"accepted"`
	Started   int `json:"started"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	// Orphaned counts sequences canceled because they had no subscriber.
	Orphaned int `json:"orphaned"`
	// Refused counts requests that were not accepted.
	Refused int `json:"refused"`
	// GeneratedTokens counts generated tokens, and RecomputedTokens the prompt and answer
	// tokens whose KV entries a preemption discarded, to be computed again.
	GeneratedTokens  int `json:"made"`
	RecomputedTokens int `json:"recomputed"`
	// LostTokens counts the tokens generated for sequences that a crash ended.
	LostTokens int `json:"lost"`
	// PrefilledTokens counts the tokens that prefill processed, and CachedTokens
	// the prompt tokens found in the prefix cache when a sequence first started.
	PrefilledTokens int `json:"prefilled"`
	CachedTokens    int `json:"cached"`
	Preemptions     int `json:"preempted"`
	Crashes         int `json:"crashes"`
	AcceptedOrders  int `json:"orders"`
}

// Emulator is one emulated engine. It is safe for concurrent use.
type Emulator struct {
	settings  Settings
	silencer  *silencer.Silencer
	wake      chan struct{} // Signals the loop that there may be work.
	stop      chan struct{} // Closed by Close.
	done      chan struct{} // Closed when the loop has ended.
	closeOnce sync.Once

	mu              sync.Mutex
	rng             *rand.Rand
	faults          Faults
	disconnect      chan struct{} // Closed to break all connections, then replaced.
	downUntil       time.Time     // End of the downtime after a crash.
	streams         map[string]*stream
	endedStreams    []*stream // Streams that finished or were canceled, oldest first.
	waitQueue       waitQueue
	running         []*stream
	stepBatch       []*stream // Copy of running, in the order in which a step serves it.
	usedTokens      int       // KV memory in use, in tokens.
	arrivalCount    uint64
	tombstones      tombstones
	prefixCache     *prefixCache
	reportHistory   reportHistory
	assignmentState assignmentState
	audit           Audit
}

// New starts an engine, which runs until Close.
func New(settings Settings) *Emulator {
	settings = settings.withDefaults()
	e := &Emulator{
		settings:        settings,
		silencer:        silencer.New(),
		wake:            make(chan struct{}, 1),
		stop:            make(chan struct{}),
		done:            make(chan struct{}),
		rng:             rand.New(rand.NewPCG(settings.Seed, 2)),
		disconnect:      make(chan struct{}),
		streams:         map[string]*stream{},
		tombstones:      newTombstones(),
		prefixCache:     newPrefixCache(settings.CacheTokens / blockTokens),
		assignmentState: newAssignmentState(settings.Model),
		audit:           Audit{Name: settings.Name},
	}
	go func() {
		defer close(e.done)
		e.runLoop()
	}()

	return e
}

// Close stops the engine and breaks its connections.
func (e *Emulator) Close() {
	e.closeOnce.Do(func() {
		close(e.stop)
		<-e.done
		e.mu.Lock()
		defer e.mu.Unlock()
		e.reset(time.Now().Add(closedDowntime))
	})
}

// Handler returns the handler of the engine's HTTP API, including /faults and
// /audit.
func (e *Emulator) Handler() http.Handler {
	return e.routes()
}

// ConnState is meant for the ConnState field of the http.Server that serves the
// handler. It forgets closed connections, so that a new connection from the same
// address is not silent because the old one was.
func (e *Emulator) ConnState(conn net.Conn, state http.ConnState) {
	e.silencer.ConnState(conn, state)
}

// SetFaults replaces the injected faults.
func (e *Emulator) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()

	now := time.Now()
	if faults.Silent {
		e.silencer.SilenceConnections()
	}
	if faults.Outage && !e.faults.Outage {
		e.breakConnections()
	}
	if faults.Crash > 0 {
		e.crash(now, faults.Crash)
		faults.Crash = 0 // A crash happens once; setting other faults later does not repeat it.
	}
	e.faults = faults
}

// Faults returns the injected faults.
func (e *Emulator) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.faults
}

// Audit returns the counts of what the engine did so far.
func (e *Emulator) Audit() Audit {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.audit
}

// wakeLoop signals the loop that there may be work.
func (e *Emulator) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// closedDowntime is the downtime of a closed engine, in effect unlimited.
const closedDowntime = 100 * 365 * 24 * time.Hour

// crash drops all streams and cached state and keeps the engine down for the
// downtime.
func (e *Emulator) crash(now time.Time, downtime time.Duration) {
	e.audit.Crashes++
	e.reset(now.Add(downtime))
}

// reset drops every stream and the prefix cache, breaks the connections and
// keeps the engine down until the given time.
func (e *Emulator) reset(downUntil time.Time) {
	for _, s := range e.streams {
		if !s.isEnded() {
			e.audit.LostTokens += s.generatedTokens
		}
		s.state = stateLost
		s.notifySubscribers()
	}
	e.streams = map[string]*stream{}
	e.endedStreams = nil
	e.waitQueue = waitQueue{}
	e.running = nil
	e.usedTokens = 0
	e.tombstones = newTombstones()
	e.prefixCache.clear()
	e.endModelLoad()
	e.assignmentState.revertToInitial()
	e.downUntil = downUntil
	e.breakConnections()
}

// breakConnections breaks the connection of every request that is being answered.
func (e *Emulator) breakConnections() {
	close(e.disconnect)
	e.disconnect = make(chan struct{})
}
