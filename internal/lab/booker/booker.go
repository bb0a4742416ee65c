// Package booker emulates a plain service for the lab: bookings, credits and
// cancellations, which must not be repeated, and quotes and availability, which
// may be. It answers any method and path and records which calls ran.
//
// It counts the runs of at most maxIdempotencyKeys idempotency keys. A run with a
// further key is counted in the total only.
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
	maxIdempotencyKeys = 1 << 20
	maxBodyBytes       = 1 << 20

	defaultCallDuration     = 5 * time.Millisecond
	defaultMaxParallelCalls = 64
	// closedDowntime is the downtime of a closed service, in effect unlimited.
	closedDowntime = 100 * 365 * 24 * time.Hour
)

// Settings configures a Booker. Zero fields take their defaults.
type Settings struct {
	// Name of the service instance.
	Name string
	// CallDuration is the duration of a call.
	CallDuration time.Duration
	// MaxParallelCalls is the maximum number of calls that run at once; further ones are
	// refused.
	MaxParallelCalls int
	// Seed of the random numbers that draw the faults of a fraction of the calls.
	Seed uint64
}

// Faults are the faults that a Booker injects. The zero value injects none.
type Faults struct {
	// Slow multiplies the duration of every call if it is over one.
	Slow float64
	// Crash crashes the service once, when it is set, and keeps it down for this
	// long. Its callers cannot tell whether a call that was running took effect.
	Crash time.Duration
	// LostAnswer is the fraction of calls that run, but whose connection is broken
	// before the answer.
	LostAnswer float64
	// Refuse is the fraction of calls that are refused; these never run.
	Refuse float64
	// Silent makes the connections that are open when it is set silent
	// permanently: nothing more is sent on them. Later connections work.
	Silent bool
	// Outage breaks the connection of every new call, which then does not run.
	Outage bool
}

// Audit counts what a service did since it was created.
type Audit struct {
	// RunsByKey counts the runs of each idempotency key.
	RunsByKey map[string]int `json:"runs"`
	// TotalRuns counts all runs, with or without an idempotency key.
	TotalRuns int `json:"calls"`
	// RefusedCalls counts the calls that were refused, and so did not run.
	RefusedCalls int `json:"refused"`
}

// Booker is one emulated service. It is safe for concurrent use.
type Booker struct {
	settings Settings
	silencer *silencer.Silencer

	mu           sync.Mutex
	rng          *rand.Rand
	faults       Faults
	crashed      chan struct{} // Closed by a crash, then replaced.
	downUntil    time.Time     // End of the downtime after a crash.
	runningCalls int
	lastSequence int
	audit        Audit
}

// New returns a service that has run no call yet.
func New(settings Settings) *Booker {
	if settings.CallDuration == 0 {
		settings.CallDuration = defaultCallDuration
	}
	if settings.MaxParallelCalls == 0 {
		settings.MaxParallelCalls = defaultMaxParallelCalls
	}

	return &Booker{
		settings: settings,
		silencer: silencer.New(),
		rng:      rand.New(rand.NewPCG(settings.Seed, 3)),
		crashed:  make(chan struct{}),
		audit:    Audit{RunsByKey: map[string]int{}},
	}
}

// Handler returns the handler of the service's HTTP API, including /v1/load, /faults
// and /audit.
func (b *Booker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", b.serveCall)
	mux.HandleFunc("GET /v1/load", b.serveLoad)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/faults", switcher.Handler(b.Faults, b.SetFaults))
	mux.HandleFunc("GET /audit", func(w http.ResponseWriter, _ *http.Request) {
		responder.JSON(w, http.StatusOK, b.Audit())
	})

	return mux
}

// ConnState is meant for the ConnState field of the http.Server that serves the
// handler. It forgets closed connections, so that a new connection from the same
// address is not silent because the old one was.
func (b *Booker) ConnState(conn net.Conn, state http.ConnState) {
	b.silencer.ConnState(conn, state)
}

// SetFaults replaces the injected faults.
func (b *Booker) SetFaults(faults Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if faults.Silent {
		b.silencer.SilenceConnections()
	}
	if faults.Crash > 0 {
		b.crash(time.Now().Add(faults.Crash))
		faults.Crash = 0 // A crash happens once; setting other faults later does not repeat it.
	}
	b.faults = faults
}

// Faults returns the injected faults.
func (b *Booker) Faults() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.faults
}

// Audit returns a copy of the counts of what the service did so far.
func (b *Booker) Audit() Audit {
	b.mu.Lock()
	defer b.mu.Unlock()

	copied := b.audit
	copied.RunsByKey = make(map[string]int, len(b.audit.RunsByKey))
	for key, runs := range b.audit.RunsByKey {
		copied.RunsByKey[key] = runs
	}

	return copied
}

// Close breaks the service's connections and keeps the service down.
func (b *Booker) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.crash(time.Now().Add(closedDowntime))
}

// crash breaks the connections of running calls and keeps the service down until
// the given time.
func (b *Booker) crash(downUntil time.Time) {
	b.downUntil = downUntil
	close(b.crashed)
	b.crashed = make(chan struct{})
}

// callPlan is what happens to one call: how long it takes and which faults it meets.
type callPlan struct {
	isUnreachable bool
	isRefused     bool
	losesAnswer   bool
	duration      time.Duration
	crashed       <-chan struct{}
	sequence      int
}

// beginCall counts a call as running, unless it is refused or the service is
// unreachable, and draws its faults.
func (b *Booker) beginCall() callPlan {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.faults.Outage || b.downUntil.After(time.Now()) {
		return callPlan{isUnreachable: true}
	}
	if b.runningCalls >= b.settings.MaxParallelCalls || b.drawFault(b.faults.Refuse) {
		b.audit.RefusedCalls++

		return callPlan{isRefused: true}
	}

	b.runningCalls++
	b.lastSequence++
	plan := callPlan{
		losesAnswer: b.drawFault(b.faults.LostAnswer),
		duration:    b.settings.CallDuration,
		crashed:     b.crashed,
		sequence:    b.lastSequence,
	}
	if b.faults.Slow > 1 {
		plan.duration = time.Duration(float64(plan.duration) * b.faults.Slow)
	}

	return plan
}

// drawFault draws whether a fault occurs that affects a fraction of the calls.
func (b *Booker) drawFault(fraction float64) bool {
	return fraction > 0 && b.rng.Float64() < fraction
}

// recordRun counts a call that took effect, in total and by its idempotency key.
func (b *Booker) recordRun(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.audit.TotalRuns++
	if _, exists := b.audit.RunsByKey[key]; key != "" && (exists || len(b.audit.RunsByKey) < maxIdempotencyKeys) {
		b.audit.RunsByKey[key]++
	}
}

// endCall counts a call as no longer running.
func (b *Booker) endCall() {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.runningCalls--
}

// callResult is the body of the answer to a call that ran.
type callResult struct {
	Service  string `json:"service"`
	Sequence int    `json:"sequence"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Bytes    int    `json:"bytes"`
}

func (b *Booker) serveCall(w http.ResponseWriter, r *http.Request) {
	b.silencer.BlockIfSilent(r)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		responder.Error(w, http.StatusRequestEntityTooLarge, "too-large", err.Error())

		return
	}
	plan := b.beginCall()
	if plan.isUnreachable {
		responder.AbortConnection()
	}
	if plan.isRefused {
		responder.NotStarted(w, "refused", "The service refuses the call.")

		return
	}

	defer b.endCall()
	// The call takes effect even if its caller disconnects before the answer.
	b.recordRun(r.Header.Get("Idempotency-Key"))
	timer := time.NewTimer(plan.duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-plan.crashed:
		responder.AbortConnection()
	}
	if plan.losesAnswer {
		responder.AbortConnection()
	}
	b.silencer.BlockIfSilent(r)
	w.Header().Set("X-Sequence", strconv.Itoa(plan.sequence))
	responder.JSON(w, http.StatusOK, callResult{
		Service: b.settings.Name, Sequence: plan.sequence, Method: r.Method, Path: r.URL.Path, Bytes: len(body),
	})
}

// loadReport is the body of the answer to GET /v1/load.
type loadReport struct {
	Time     time.Time `json:"time"`
	Running  int       `json:"running"`
	Waiting  int       `json:"waiting"`
	Slots    int       `json:"slots"`
	Draining bool      `json:"draining"`
}

func (b *Booker) serveLoad(w http.ResponseWriter, r *http.Request) {
	b.silencer.BlockIfSilent(r)
	b.mu.Lock()
	isUnreachable := b.faults.Outage || b.downUntil.After(time.Now())
	report := loadReport{Time: time.Now(), Running: b.runningCalls, Slots: b.settings.MaxParallelCalls}
	b.mu.Unlock()
	if isUnreachable {
		responder.AbortConnection()
	}
	responder.JSON(w, http.StatusOK, report)
}
