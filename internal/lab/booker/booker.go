// Package booker is the lab's stand-in for a plain service: bookings, credits
// and cancellations, which may not be repeated, and quotes and availability,
// which may. It answers any method and path and records what ran.
//
// It remembers the runs of at most maxKeys idempotency keys; a run with a
// further key is counted but its key is not.
package booker

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/lab/responder"
	"github.com/oleanderpick/oleanderpick/internal/lab/silencer"
	"github.com/oleanderpick/oleanderpick/internal/lab/switcher"
)

const (
	maxKeys = 1 << 20
	maxBody = 1 << 20

	defaultWork     = 5 * time.Millisecond
	defaultParallel = 64
	forever         = 100 * 365 * 24 * time.Hour
)

// Settings of a Booker. Zero fields take their defaults.
type Settings struct {
	// Name of the service instance.
	Name string
	// CallDuration is how long a call runs.
	CallDuration time.Duration
	// MaxParallelCalls is how many calls run at once; further ones are refused.
	MaxParallelCalls int
	// Seed of the faults that strike a share of the calls.
	Seed uint64
}

// Faults are the fault switches of a Booker.
type Faults struct {
	// Slow multiplies the time of every call when it is over one.
	Slow float64
	// Crash crashes the service at once and keeps it down for this long. A
	// call that was running may or may not have taken effect.
	Crash time.Duration
	// LostAnswer is the share of calls that run though the connection breaks
	// before the answer.
	LostAnswer float64
	// Refuse is the share of calls refused, which then never run.
	Refuse float64
	// Silent makes the connections open at the time of the switch silent for
	// good; new ones work.
	Silent bool
	// Outage breaks every connection.
	Outage bool
}

// Audit counts what a service did.
type Audit struct {
	// RunsByKey counts the runs by idempotency key.
	RunsByKey map[string]int `json:"runs"`
	// Calls counts every run, with or without key.
	Calls int `json:"calls"`
	// Refused counts calls that did not run.
	Refused int `json:"refused"`
}

// Booker is one stand-in service. It is safe for concurrent use.
type Booker struct {
	settings Settings
	silencer *silencer.Silencer

	mu      sync.Mutex
	random  *rand.Rand
	faults  Faults
	crashed chan struct{}
	upAt    time.Time
	running int
	number  int
	audit   Audit
}

// New returns a service that has run nothing.
func New(settings Settings) *Booker {
	if settings.CallDuration == 0 {
		settings.CallDuration = defaultWork
	}
	if settings.MaxParallelCalls == 0 {
		settings.MaxParallelCalls = defaultParallel
	}

	return &Booker{
		settings: settings,
		silencer: silencer.New(),
		random:   rand.New(rand.NewPCG(settings.Seed, 3)),
		crashed:  make(chan struct{}),
		audit:    Audit{RunsByKey: map[string]int{}},
	}
}

// Handler serves the service, its load, its fault switches and its audit.
func (b *Booker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", b.serve)
	mux.HandleFunc("GET /v1/load", b.serveLoad)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/faults", switcher.Handler(b.Faults, b.SetFaults))
	mux.HandleFunc("GET /audit", func(w http.ResponseWriter, _ *http.Request) {
		responder.JSON(w, http.StatusOK, b.Audit())
	})

	return mux
}

// ConnState is for the ConnState field of the http.Server that serves the
// handler: it keeps new connections from being taken for closed silent ones.
func (b *Booker) ConnState(conn net.Conn, state http.ConnState) {
	b.silencer.ConnState(conn, state)
}

// SetFaults sets the fault switches.
func (b *Booker) SetFaults(faults Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if faults.Silent {
		b.silencer.SilenceConnections()
	}
	if faults.Crash > 0 {
		b.crash(time.Now().Add(faults.Crash))
		faults.Crash = 0 // It struck; the next setting does not repeat it.
	}
	b.faults = faults
}

// Faults returns the fault switches.
func (b *Booker) Faults() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.faults
}

// Audit returns what the service did so far.
func (b *Booker) Audit() Audit {
	b.mu.Lock()
	defer b.mu.Unlock()

	told := b.audit
	told.RunsByKey = make(map[string]int, len(b.audit.RunsByKey))
	for key, runs := range b.audit.RunsByKey {
		told.RunsByKey[key] = runs
	}

	return told
}

// Close breaks the service's connections for good.
func (b *Booker) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.crash(time.Now().Add(forever))
}

func (b *Booker) crash(until time.Time) {
	b.upAt = until
	close(b.crashed)
	b.crashed = make(chan struct{})
}

// turn is what a call meets.
type turn struct {
	broken   bool
	refused  bool
	lost     bool
	work     time.Duration
	crashed  <-chan struct{}
	sequence int
}

// begin takes a place for a call and draws the faults that it meets.
func (b *Booker) begin() turn {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.faults.Outage || b.upAt.After(time.Now()) {
		return turn{broken: true}
	}
	if b.running >= b.settings.MaxParallelCalls || b.strikes(b.faults.Refuse) {
		b.audit.Refused++

		return turn{refused: true}
	}

	b.running++
	b.number++
	drawn := turn{
		lost:     b.strikes(b.faults.LostAnswer),
		work:     b.settings.CallDuration,
		crashed:  b.crashed,
		sequence: b.number,
	}
	if b.faults.Slow > 1 {
		drawn.work = time.Duration(float64(drawn.work) * b.faults.Slow)
	}

	return drawn
}

func (b *Booker) strikes(share float64) bool {
	return share > 0 && b.random.Float64() < share
}

// record notes that a call took effect.
func (b *Booker) record(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.audit.Calls++
	if _, known := b.audit.RunsByKey[key]; key != "" && (known || len(b.audit.RunsByKey) < maxKeys) {
		b.audit.RunsByKey[key]++
	}
}

func (b *Booker) finish() {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.running--
}

// receipt is the answer to a call that ran.
type receipt struct {
	Service  string `json:"service"`
	Sequence int    `json:"sequence"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Bytes    int    `json:"bytes"`
}

func (b *Booker) serve(w http.ResponseWriter, r *http.Request) {
	b.silencer.BlockIfSilent(r)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		responder.Error(w, http.StatusRequestEntityTooLarge, "too-large", err.Error())

		return
	}
	met := b.begin()
	if met.broken {
		responder.AbortConnection()
	}
	if met.refused {
		responder.NotStarted(w, "refused", "The service refuses the call.")

		return
	}

	defer b.finish()
	// The call takes effect even if its caller goes away meanwhile.
	b.record(r.Header.Get("Idempotency-Key"))
	timer := time.NewTimer(met.work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-met.crashed:
		responder.AbortConnection()
	}
	if met.lost {
		responder.AbortConnection()
	}
	b.silencer.BlockIfSilent(r)
	w.Header().Set("X-Sequence", strconv.Itoa(met.sequence))
	responder.JSON(w, http.StatusOK, receipt{
		Service: b.settings.Name, Sequence: met.sequence, Method: r.Method, Path: r.URL.Path, Bytes: len(body),
	})
}

// load is the service's load report.
type load struct {
	Time     time.Time `json:"time"`
	Running  int       `json:"running"`
	Waiting  int       `json:"waiting"`
	Slots    int       `json:"slots"`
	Draining bool      `json:"draining"`
}

func (b *Booker) serveLoad(w http.ResponseWriter, r *http.Request) {
	b.silencer.BlockIfSilent(r)
	b.mu.Lock()
	broken := b.faults.Outage || b.upAt.After(time.Now())
	told := load{Time: time.Now(), Running: b.running, Slots: b.settings.MaxParallelCalls}
	b.mu.Unlock()
	if broken {
		responder.AbortConnection()
	}
	responder.JSON(w, http.StatusOK, told)
}
