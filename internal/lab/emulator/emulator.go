// Package emulator is the lab's stand-in for a model engine. It batches
// continuously: one loop makes a token for every running sequence in each
// step, and a step takes longer the more sequences run. Prefill shares the
// loop in chunks, KV memory and the prefix cache are bounded, streams survive
// a broken connection and are resumed by offset or canceled by name.
//
// Memory is bounded by Settings.Slots and Settings.Waiting streams, those
// finished within the last 30 seconds, and maxIDs remembered stream names.
// Its fault switches are in Faults.
package emulator

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/lab/silencer"
)

// Settings of an Emulator. Zero fields take their defaults.
type Settings struct {
	// Name of the engine.
	Name string
	// Model that the engine serves at first; empty serves any.
	Model string
	// Slots is the most sequences in one batch.
	Slots int
	// Waiting is the most sequences that wait for a slot.
	Waiting int
	// KVTokens is the KV memory, in tokens.
	KVTokens int
	// BaseStepTime is the time of one step without any sequence.
	BaseStepTime time.Duration
	// StepTimePerSequence is what each running sequence adds to a step.
	StepTimePerSequence time.Duration
	// PrefillRate is how fast prompts are read, in tokens per second.
	PrefillRate float64
	// CacheTokens is the size of the prefix cache, in tokens.
	CacheTokens int
	// ReportLag is the age of a load report.
	ReportLag time.Duration
	// CacheEventLag is the age of a cache event when it is published.
	CacheEventLag time.Duration
	// CacheEventLossFraction is the share of cache events never published.
	CacheEventLossFraction float64
	// ChecksFencingToken refuses orders whose fencing number is lower than the
	// highest seen.
	ChecksFencingToken bool
	// LoadTime is how long loading a model takes.
	LoadTime time.Duration
	// Weights is the weight store that loads draw on; nil is unlimited.
	Weights *Weights
	// OrphanAfter is how long a stream runs on while nobody reads it.
	OrphanAfter time.Duration
	// CrashTime is how long the engine is down after a poisoned request.
	CrashTime time.Duration
	// SpeedFactor divides every duration of the model's work.
	SpeedFactor float64
	// Seed of drawn lengths and of faults that strike a share of the calls.
	Seed uint64
}

const (
	defaultSlots       = 32
	defaultWaiting     = 1024
	defaultTokens      = 64_000
	defaultStepBase    = 12 * time.Millisecond
	defaultStepEach    = 400 * time.Microsecond
	defaultPrefillRate = 24_000
	defaultCacheTokens = 64_000
	defaultLoadTime    = 2 * time.Second
	defaultOrphanAfter = 10 * time.Second
	defaultCrashTime   = 2 * time.Second
)

func (s Settings) withDefaults() Settings {
	setDefault(&s.Slots, defaultSlots)
	setDefault(&s.Waiting, defaultWaiting)
	setDefault(&s.KVTokens, defaultTokens)
	setDefault(&s.BaseStepTime, defaultStepBase)
	setDefault(&s.StepTimePerSequence, defaultStepEach)
	setDefault(&s.PrefillRate, defaultPrefillRate)
	setDefault(&s.CacheTokens, defaultCacheTokens)
	setDefault(&s.LoadTime, defaultLoadTime)
	setDefault(&s.OrphanAfter, defaultOrphanAfter)
	setDefault(&s.CrashTime, defaultCrashTime)
	setDefault(&s.SpeedFactor, 1)

	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Faults are the fault switches of an Emulator.
type Faults struct {
	// Slow multiplies the time of every step when it is over one.
	Slow float64
	// Crash crashes the engine at once and keeps it down for this long.
	Crash time.Duration
	// Silent makes the connections open at the time of the switch silent for
	// good; new ones work.
	Silent bool
	// LostAnswer is the share of accepted requests whose connection breaks
	// before the first byte of the answer, though they run.
	LostAnswer float64
	// Outage breaks every connection while the engine works on.
	Outage bool
	// Refuse refuses every new request, which then never starts.
	Refuse bool
	// StaleReports freezes the load report.
	StaleReports bool
	// ReportLag replaces the age of load reports unless it is zero.
	ReportLag time.Duration
	// CacheGap replaces the share of lost cache events unless it is zero.
	CacheGap float64
	// Poison is a text that crashes the engine when a request that holds it
	// starts to run.
	Poison string
}

// Audit counts what an engine did. A crash does not reset it.
type Audit struct {
	Name string `json:"name"`
	// Accepted, Started, Finished and Cancelled count sequences.
	Accepted  int `json:"accepted"`
	Started   int `json:"started"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	// Orphaned counts sequences canceled because nobody read them.
	Orphaned int `json:"orphaned"`
	// Refused counts requests not accepted.
	Refused int `json:"refused"`
	// GeneratedTokens counts tokens made, and Recomputed those made or read again after
	// a preemption.
	GeneratedTokens  int `json:"made"`
	RecomputedTokens int `json:"recomputed"`
	// LostTokens counts tokens made for sequences that a crash ended.
	LostTokens int `json:"lost"`
	// Prefilled and Cached count prompt tokens read and found in the cache.
	Prefilled   int `json:"prefilled"`
	Cached      int `json:"cached"`
	Preemptions int `json:"preempted"`
	Crashes     int `json:"crashes"`
	Orders      int `json:"orders"`
}

// Emulator is one stand-in engine. It is safe for concurrent use.
type Emulator struct {
	settings Settings
	silencer *silencer.Silencer
	wake     chan struct{} // Tells the loop that there is work.
	stop     chan struct{}
	done     chan struct{}
	closing  sync.Once

	mu       sync.Mutex
	random   *rand.Rand
	faults   Faults
	crashed  chan struct{} // Closed by a crash, which replaces it.
	upAt     time.Time     // When the engine is back after a crash.
	streams  map[string]*stream
	ended    []*stream // Finished streams, oldest first.
	waiting  queue
	running  []*stream
	batch    []*stream // The running ones in the order of a step.
	used     int       // KV memory in use, in tokens.
	sequence uint64
	ids      ids
	cache    *cache
	reports  reports
	orders   orders
	audit    Audit
}

// New starts an engine. Close ends it.
func New(settings Settings) *Emulator {
	settings = settings.withDefaults()
	e := &Emulator{
		settings: settings,
		silencer: silencer.New(),
		wake:     make(chan struct{}, 1),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
		random:   rand.New(rand.NewPCG(settings.Seed, 2)),
		crashed:  make(chan struct{}),
		streams:  map[string]*stream{},
		ids:      newIDs(),
		cache:    newCache(settings.CacheTokens / blockTokens),
		orders:   newOrders(settings.Model),
		audit:    Audit{Name: settings.Name},
	}
	go func() {
		defer close(e.done)
		e.run()
	}()

	return e
}

// Close stops the engine and breaks its connections.
func (e *Emulator) Close() {
	e.closing.Do(func() {
		close(e.stop)
		<-e.done
		e.mu.Lock()
		defer e.mu.Unlock()
		e.reset(time.Now().Add(forever))
	})
}

// Handler serves the engine's protocol, its fault switches and its audit.
func (e *Emulator) Handler() http.Handler {
	return e.routes()
}

// ConnState is for the ConnState field of the http.Server that serves the
// handler: it keeps new connections from being taken for closed silent ones.
func (e *Emulator) ConnState(conn net.Conn, state http.ConnState) {
	e.silencer.ConnState(conn, state)
}

// SetFaults sets the fault switches.
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
		faults.Crash = 0 // It struck; the next setting does not repeat it.
	}
	e.faults = faults
}

// Faults returns the fault switches.
func (e *Emulator) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.faults
}

// Audit returns what the engine did so far.
func (e *Emulator) Audit() Audit {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.audit
}

// nudge tells the loop that there may be work.
func (e *Emulator) nudge() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// forever is the time that a closed engine stays down.
const forever = 100 * 365 * 24 * time.Hour

// crash keeps the engine down for a while and empty after it.
func (e *Emulator) crash(now time.Time, down time.Duration) {
	e.audit.Crashes++
	e.reset(now.Add(down))
}

// reset loses every stream and the cache and keeps the engine down.
func (e *Emulator) reset(until time.Time) {
	for _, s := range e.streams {
		if !s.ended() {
			e.audit.LostTokens += s.made
		}
		s.state = stateLost
		s.notify()
	}
	e.streams = map[string]*stream{}
	e.ended = nil
	e.waiting = queue{}
	e.running = nil
	e.used = 0
	e.ids = newIDs()
	e.cache.clear()
	e.stopLoading()
	e.orders.restart()
	e.upAt = until
	e.breakConnections()
}

// breakConnections ends every request that is being answered.
func (e *Emulator) breakConnections() {
	close(e.crashed)
	e.crashed = make(chan struct{})
}
