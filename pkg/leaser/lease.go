package leaser

import (
	"encoding/json"
	"time"
)

// Lease is the object's spec.
type Lease struct {
	// Owner is the holder, empty after a release. It is unique for each start
	// of a process.
	Owner string `json:"owner"`
	// Fence is the fencing number: it only grows.
	Fence uint64 `json:"fence"`
	// Turn counts the owner's writes, so that it knows its own again.
	Turn uint64 `json:"turn"`
	// Duration is how long the lease lasts after each write.
	Duration time.Duration `json:"duration"`
	// Payload is state that the next holder inherits.
	Payload json.RawMessage `json:"payload,omitempty"`
}

// Free reports whether the lease was released.
func (l Lease) Free() bool { return l.Owner == "" }

// StoredLease is the object as it was read.
type StoredLease struct {
	// Version is the object's version, 0 if there is none.
	Version uint64
	Lease   Lease
}

// Action is something for the caller to do: Read or Write.
type Action interface{ isAction() }

// Read asks to read the lease object; answer with Read or ReadFailed.
type Read struct {
	Name string
}

// Write asks to write the lease object if its version is still Version, or to
// create it if Version is 0. Answer with Written, Conflicted or WriteFailed.
type Write struct {
	Name    string
	Lease   Lease
	Version uint64
}

func (Read) isAction()  {}
func (Write) isAction() {}
