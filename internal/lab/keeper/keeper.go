// Package keeper is the lab's stand-in for the platform: an object API with
// versions, conditional updates and watches, and an instance list that lags.
//
// It keeps everything in memory: at most Settings.Objects objects of at most
// one megabyte each, with the last few states of each for lagging reads, and
// the last maxGone deletions. Its fault switches are in Faults.
package keeper

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/lab/silencer"
	"github.com/oleanderpick/oleanderpick/internal/storer"
)

const (
	maxSpec = storer.MaxSpecBytes
	// maxGone is how many deletions are remembered for watches and lagging
	// reads.
	maxGone = 4096
	// maxStates is how many states of an object are kept for lagging reads.
	maxStates = 16

	defaultObjects  = 200_000
	defaultWrites   = 300
	defaultReads    = 2000
	defaultPage     = 500
	defaultMaxWait  = 60 * time.Second
	instanceHistory = 64
)

// Settings of a Keeper. Zero fields take their defaults.
type Settings struct {
	// Writes is the rate limit of writes, per second.
	Writes float64
	// Reads is the rate limit of reads, per second; a watch counts once.
	Reads float64
	// Objects is the most objects kept.
	Objects int
	// InstanceLag is how late the instance list shows a change.
	InstanceLag time.Duration
	// Seed of the faults that strike a share of the calls.
	Seed uint64
}

func (s Settings) withDefaults() Settings {
	if s.Writes == 0 {
		s.Writes = defaultWrites
	}
	if s.Reads == 0 {
		s.Reads = defaultReads
	}
	if s.Objects == 0 {
		s.Objects = defaultObjects
	}

	return s
}

// Faults are the fault switches of a Keeper.
type Faults struct {
	// Outage answers every call 503.
	Outage bool
	// Slow delays every answer.
	Slow time.Duration
	// LostWrites is the share of writes that take effect though the
	// connection breaks before the answer.
	LostWrites float64
	// StaleReads is how far reads and watches lag behind the writes.
	StaleReads time.Duration
	// Silent makes the connections open at the time of the switch silent for
	// good; new ones work.
	Silent bool
	// Mute accepts every call and answers none.
	Mute bool
	// Writes and Reads replace the rate limits unless they are zero.
	Writes float64
	Reads  float64
	// InstanceLag replaces the instance list's lag unless it is zero.
	InstanceLag time.Duration
}

// key names an object.
type key struct {
	kind string
	name string
}

// state is what an object was from a time on. A deleted object has a state
// with its gone mark set.
type state struct {
	object storer.Object
	from   time.Time
	gone   bool
}

// Keeper is one stand-in platform. It is safe for concurrent use.
type Keeper struct {
	settings Settings
	silencer *silencer.Silencer

	mu        sync.Mutex
	random    *rand.Rand
	faults    Faults
	counter   uint64
	forgotten uint64 // The newest revision whose deletions are no longer known.
	objects   map[string]map[string][]state
	newest    map[string]uint64 // The version of a kind's last write.
	gone      []key
	alive     int
	changed   chan struct{}
	writes    bucket
	reads     bucket
	calls     map[string]int
	instances []listing
}

// New returns an empty Keeper.
func New(settings Settings) *Keeper {
	return &Keeper{
		settings: settings.withDefaults(),
		silencer: silencer.New(),
		random:   rand.New(rand.NewPCG(settings.Seed, 1)),
		objects:  map[string]map[string][]state{},
		newest:   map[string]uint64{},
		changed:  make(chan struct{}),
		calls:    map[string]int{},
	}
}

// Handler serves the object API, the instance list, the fault switches and
// the audit.
func (k *Keeper) Handler() http.Handler {
	return k.routes()
}

// ConnState is for the ConnState field of the http.Server that serves the
// handler: it keeps new connections from being taken for closed silent ones.
func (k *Keeper) ConnState(conn net.Conn, state http.ConnState) {
	k.silencer.ConnState(conn, state)
}

// SetFaults sets the fault switches.
func (k *Keeper) SetFaults(faults Faults) {
	k.mu.Lock()
	defer k.mu.Unlock()

	if faults.Silent {
		k.silencer.SilenceConnections()
	}
	k.faults = faults
	k.wake()
}

// Faults returns the fault switches.
func (k *Keeper) Faults() Faults {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.faults
}

// Audit returns the count of calls by kind and method, such as "PUT Lease".
func (k *Keeper) Audit() map[string]int {
	k.mu.Lock()
	defer k.mu.Unlock()

	counts := make(map[string]int, len(k.calls))
	for name, count := range k.calls {
		counts[name] = count
	}

	return counts
}

// Seed writes an object's spec without condition, rate or fault.
func (k *Keeper) Seed(kind, name string, spec json.RawMessage) (storer.Object, error) {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.put(key{kind, name}, change{spec: spec}, precondition{})
}

// Remove deletes an object without rate or fault.
func (k *Keeper) Remove(kind, name string) error {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.remove(key{kind, name}, precondition{})
}

// Object returns the newest state of an object, without lag, rate or fault.
func (k *Keeper) Object(kind, name string) (storer.Object, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.read(key{kind, name}, time.Now())
}

// wake lets every waiting watch look again.
func (k *Keeper) wake() {
	close(k.changed)
	k.changed = make(chan struct{})
}
