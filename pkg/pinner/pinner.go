package pinner

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// Pin says which version of a service began a stream.
type Pin struct {
	// StreamID identifies the stream; see StreamID.
	StreamID uint64
	// Service is the name of the service, and Version that of its software.
	Service, Version string
	// ExpiresAt is when the caller no longer waits for the stream.
	ExpiresAt time.Time
}

const (
	// maxFullCopies is the number of instances up to which all keep every pin.
	maxFullCopies = 16
	// copyCount is the number of other instances that keep a pin in larger fleets.
	copyCount = 3
	// maxLifetime limits how long a pin is kept.
	maxLifetime = 10 * time.Minute
	// maxPins limits the pins that are kept.
	maxPins = 1 << 16
	// sweepInterval is the time between two removals of expired pins.
	sweepInterval = time.Second
)

// Pinner keeps the pins that one instance knows.
type Pinner struct {
	instanceName string
	members      []string // live instances
	pins         map[uint64]Pin
	conflicting  map[uint64]bool // streams with pins that contradict each other
	sweptAt      time.Time
}

// New returns the pinner of the named instance, which is the only live one until SetMembers is
// called.
func New(instanceName string) *Pinner {
	return &Pinner{instanceName: instanceName, pins: map[uint64]Pin{}, conflicting: map[uint64]bool{}}
}

// StreamID returns the ID of a workspace's stream whose first event came in answer to the
// request with the given ID.
func StreamID(workspace, requestID string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(workspace))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(requestID))

	return hash.Sum64()
}

// SetMembers sets the names of the live instances.
func (p *Pinner) SetMembers(members []string) {
	p.members = slices.Clone(members)
}

// Record keeps a pin and reports whether it was not known. It is not kept if it has expired,
// or if too many others are. Pins of one stream that contradict each other make its version
// unknown.
func (p *Pinner) Record(now time.Time, pin Pin) bool {
	p.sweep(now)
	if latest := now.Add(maxLifetime); pin.ExpiresAt.After(latest) {
		pin.ExpiresAt = latest
	}
	known, ok := p.pins[pin.StreamID]
	if ok && (known.Service != pin.Service || known.Version != pin.Version) {
		p.conflicting[pin.StreamID] = true
	}
	if ok || !now.Before(pin.ExpiresAt) || len(p.pins) >= maxPins {
		return false
	}
	p.pins[pin.StreamID] = pin

	return true
}

// Find returns a stream's pin. It returns false if the version that began the stream is
// unknown.
func (p *Pinner) Find(now time.Time, streamID uint64) (Pin, bool) {
	pin, ok := p.pins[streamID]

	return pin, ok && !p.conflicting[streamID] && now.Before(pin.ExpiresAt)
}

// Holders returns the other live instances that keep a stream's pin.
func (p *Pinner) Holders(streamID uint64) []string {
	others := slices.DeleteFunc(slices.Clone(p.members), func(member string) bool { return member == p.instanceName })
	if len(p.members) <= maxFullCopies {
		return others
	}
	scores := make(map[string]uint64, len(others))
	for _, member := range others {
		scores[member] = score(streamID, member)
	}
	slices.SortFunc(others, func(a, b string) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b))
	})

	return others[:copyCount]
}

// score is the rendezvous hash of a stream and an instance.
func score(streamID uint64, member string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(member))
	x := hash.Sum64() ^ streamID

	// The finalizer of splitmix64 spreads the bits evenly.
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb

	return x ^ x>>31
}

// Len returns the number of pins that are kept.
func (p *Pinner) Len() int {
	return len(p.pins)
}

// sweep removes expired pins.
func (p *Pinner) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < sweepInterval {
		return
	}
	p.sweptAt = now
	maps.DeleteFunc(p.pins, func(_ uint64, pin Pin) bool { return !now.Before(pin.ExpiresAt) })
	maps.DeleteFunc(p.conflicting, func(streamID uint64, _ bool) bool {
		_, ok := p.pins[streamID]

		return !ok
	})
}
