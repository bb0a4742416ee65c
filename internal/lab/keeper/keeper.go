// Package keeper emulates the platform in tests and lab runs: it serves an object
// API with versions, conditional writes and watches, and an instance list that
// shows changes late.
//
// It keeps everything in memory: at most Settings.MaxObjects objects of at most one
// megabyte each, the last maxStatesPerObject states of each object, from which stale
// reads are answered, and the last maxRememberedDeletions deletions. Faults lists the
// faults that it can inject.
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
	maxSpecBytes = storer.MaxSpecBytes
	// maxRememberedDeletions limits the deletions kept for watches and stale reads.
	maxRememberedDeletions = 4096
	// maxStatesPerObject limits the past states of an object kept for stale reads.
	maxStatesPerObject = 16

	defaultMaxObjects      = 200_000
	defaultWritesPerSecond = 300
	defaultReadsPerSecond  = 2000
	defaultPageSize        = 500
	maxWatchWait           = 60 * time.Second // Also used if a watch states no wait.
	maxInstanceListings    = 64
)

// Settings configures a Keeper. Zero fields take their defaults.
type Settings struct {
	// WritesPerSecond limits the write calls per second.
	WritesPerSecond float64
	// ReadsPerSecond limits the read calls per second; a watch counts as one call.
	ReadsPerSecond float64
	// MaxObjects limits the objects stored at a time.
	MaxObjects int
	// InstanceLag is the delay after which the instance list shows a change of it.
	InstanceLag time.Duration
	// Seed of the random numbers that decide which calls a fault affects.
	Seed uint64
}

func (s Settings) withDefaults() Settings {
	if s.WritesPerSecond == 0 {
		s.WritesPerSecond = defaultWritesPerSecond
	}
	if s.ReadsPerSecond == 0 {
		s.ReadsPerSecond = defaultReadsPerSecond
	}
	if s.MaxObjects == 0 {
		s.MaxObjects = defaultMaxObjects
	}

	return s
}

// Faults selects the faults that a Keeper injects.
type Faults struct {
	// Outage answers every call with status 503.
	Outage bool
	// Slow is added to the response time of every call.
	Slow time.Duration
	// LostWrites is the fraction of writes and deletions that take effect but whose
	// connection breaks before the answer.
	LostWrites float64
	// StaleReads is the delay after which reads and watches show a write.
	StaleReads time.Duration
	// Silent leaves every call on the connections that are open when it is set
	// without an answer, for as long as they last; new connections work.
	Silent bool
	// Mute accepts every call but never answers.
	Mute bool
	// Writes and Reads, unless zero, replace the rate limits of the settings.
	Writes float64
	Reads  float64
	// InstanceLag, unless zero, replaces the instance lag of the settings.
	InstanceLag time.Duration
}

// objectKey identifies an object by its kind and name.
type objectKey struct {
	kind string
	name string
}

// objectState is an object's content from a time on, until the object's next state.
// A deletion is a state with deleted set.
type objectState struct {
	object    storer.Object
	validFrom time.Time
	deleted   bool
}

// Keeper is one emulated platform. It is safe for concurrent use.
type Keeper struct {
	settings Settings
	silencer *silencer.Silencer

	mu     sync.Mutex
	random *rand.Rand
	faults Faults
	// storeCounter is raised by every write and deletion; its new value is the version
	// of the object written.
	storeCounter uint64
	// forgottenDeletionsCounter is the store counter up to which deletions may have
	// been forgotten; a watch from an earlier one would miss them.
	forgottenDeletionsCounter uint64
	// statesByKind holds the states of an object, oldest first, by kind and name.
	statesByKind map[string]map[string][]objectState
	// lastWriteByKind holds the version of the last write or deletion of a kind.
	lastWriteByKind map[string]uint64
	// deletedKeys are the keys of the remembered deletions, oldest first.
	deletedKeys []objectKey
	// objectCount counts the objects that are not deleted.
	objectCount int
	// changed is closed, and replaced, when an object or the faults change.
	changed     chan struct{}
	writeBucket tokenBucket
	readBucket  tokenBucket
	// callCounts counts calls by method and kind, such as "PUT Lease".
	callCounts map[string]int
	// instanceListings are the last instance lists, oldest first.
	instanceListings []instanceListing
}

// New returns a Keeper that holds no objects and lists no instances.
func New(settings Settings) *Keeper {
	return &Keeper{
		settings:        settings.withDefaults(),
		silencer:        silencer.New(),
		random:          rand.New(rand.NewPCG(settings.Seed, 1)),
		statesByKind:    map[string]map[string][]objectState{},
		lastWriteByKind: map[string]uint64{},
		changed:         make(chan struct{}),
		callCounts:      map[string]int{},
	}
}

// Handler returns the handler of the object API, the instance list, the faults and the
// counts of calls.
func (k *Keeper) Handler() http.Handler {
	return k.routes()
}

// ConnState is for the ConnState field of the http.Server that serves the handler. It
// forgets closed connections, so that a new connection from the address of a closed
// silent one isn't treated as silent.
func (k *Keeper) ConnState(conn net.Conn, state http.ConnState) {
	k.silencer.ConnState(conn, state)
}

// SetFaults replaces the faults that the Keeper injects.
func (k *Keeper) SetFaults(faults Faults) {
	k.mu.Lock()
	defer k.mu.Unlock()

	if faults.Silent {
		k.silencer.SilenceConnections()
	}
	k.faults = faults
	k.notifyWatches()
}

// Faults returns the faults that the Keeper injects.
func (k *Keeper) Faults() Faults {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.faults
}

// Audit returns the number of calls by method and kind, such as "PUT Lease". The calls
// of the instance list count under the kind "instances".
func (k *Keeper) Audit() map[string]int {
	k.mu.Lock()
	defer k.mu.Unlock()

	counts := make(map[string]int, len(k.callCounts))
	for name, count := range k.callCounts {
		counts[name] = count
	}

	return counts
}

// PutSpec writes an object's spec with no precondition, rate limit or fault. It returns the
// object as written, or an error if it is too large or there are too many objects.
func (k *Keeper) PutSpec(kind, name string, spec json.RawMessage) (storer.Object, error) {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.putObject(objectKey{kind, name}, objectUpdate{spec: spec}, precondition{})
}

// Delete deletes an object with no precondition, rate limit or fault. It returns an
// error if there is no such object.
func (k *Keeper) Delete(kind, name string) error {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.deleteObject(objectKey{kind, name}, precondition{})
}

// Object returns the newest state of an object, with no lag, rate limit or fault, and
// whether it exists.
func (k *Keeper) Object(kind, name string) (storer.Object, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.readAt(objectKey{kind, name}, time.Now())
}

// notifyWatches makes every waiting watch evaluate its condition again.
func (k *Keeper) notifyWatches() {
	close(k.changed)
	k.changed = make(chan struct{})
}
