package leaser

import (
	"encoding/json"
	"time"
)

// Lease is the content of the stored lease object.
type Lease struct {
	// HolderID names the process that holds the lease and is empty after a
	// release. Each start of a process has an ID of its own.
	HolderID string `json:"owner"`
	// Fence is the fencing token. It never decreases.
	Fence uint64 `json:"fence"`
	// WriteSequence counts the holder's writes, so that a holder which reads the
	// lease back can tell which of its own writes is stored.
	WriteSequence uint64 `json:"turn"`
	// Duration is how long the lease is valid after each write.
	Duration time.Duration `json:"duration"`
	// Payload is application state that the next holder takes over.
	Payload json.RawMessage `json:"payload,omitempty"`
	// PayloadLost says that a holder acquired the lease when the object was missing or of an earlier
	// epoch, and has not set a payload since.
	PayloadLost bool `json:"payload_lost,omitempty"`
	// HolderName is the name of the holder's instance, which is the same at each start of it. It
	// remains after a release. RecentNames are those of earlier holders that may have acted within
	// the duration before the lease was last acquired.
	HolderName  string   `json:"name,omitempty"`
	RecentNames []string `json:"recent,omitempty"`
	// Epoch is the store's epoch at the write; 0 if the store states none.
	Epoch uint64 `json:"epoch,omitempty"`
}

// IsReleased reports whether the last holder released the lease, so that any
// instance may acquire it at once.
func (l Lease) IsReleased() bool { return l.HolderID == "" }

// StoredLease is the lease object as read from the store.
type StoredLease struct {
	// Version is the object's version in the store, or 0 if no object exists.
	Version uint64
	// Epoch is the store's epoch; 0 if the store states none. A higher one means that the store came
	// back from an earlier copy and gives out versions again.
	Epoch uint64
	Lease Lease
}

// epochShift makes the fencing tokens of an epoch higher than those of earlier ones.
const epochShift = 40

// versionFence returns the fencing token that is derived from the version. No other write of the
// store has the same.
func (s StoredLease) versionFence() uint64 {
	return (max(1, s.Epoch)-1)<<epochShift + s.Version
}

// Action is an operation that the caller has to carry out: a Read or a Write.
type Action interface{ isAction() }

// Read requests a read of the lease object. Pass the result to Leaser.OnRead or
// Leaser.OnReadFailed.
type Read struct {
	Name string
}

// Write requests a write of the lease object on the condition that its stored
// version is still Version, or its creation if Version is 0. Pass the result to
// Leaser.OnWritten, Leaser.OnWriteConflict or Leaser.OnWriteFailed.
type Write struct {
	Name  string
	Lease Lease
	// Version is the stored version that the write expects to replace.
	Version uint64
	// PayloadNumber is the number of the call of SetPayload whose payload is written; 0 if that is
	// the one that was stored before.
	PayloadNumber uint64
}

func (Read) isAction()  {}
func (Write) isAction() {}
