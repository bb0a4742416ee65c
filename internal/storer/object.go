package storer

import "encoding/json"

// Object is one object in the platform's store.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is the value of the store's write counter at the last write of the
	// object.
	Version uint64 `json:"version"`
	// Generation counts the writes of the spec.
	Generation uint64 `json:"generation"`
	// Spec is the object's content.
	Spec json.RawMessage `json:"spec,omitempty"`
	// Status is what is known about the object. It is written separately from Spec.
	Status json.RawMessage `json:"status,omitempty"`
	// Epoch is the store's epoch in which the object was read or written. Versions of
	// different epochs cannot be compared.
	Epoch uint64 `json:"-"`
}

// Page is a part of a listing, in the order of the objects' names.
type Page struct {
	// StoreCounter is the value of the store's write counter at the time of the listing.
	StoreCounter uint64   `json:"revision"`
	Items        []Object `json:"items"`
	// HasMore is true if the listing has further pages, and LastName the name after which the
	// next one begins. It may be that of an object that cannot be decoded and is not in Items.
	HasMore  bool   `json:"more"`
	LastName string `json:"-"`
	// Epoch is the store's epoch at the time of the listing.
	Epoch uint64 `json:"-"`
}

// Changes are the changes to the objects of one kind after a value of the store's
// write counter.
type Changes struct {
	// StoreCounter is the value of the write counter up to which changes are included.
	StoreCounter uint64 `json:"revision"`
	// Items are the objects that were written.
	Items []Object `json:"items"`
	// DeletedNames are the names of the objects that were deleted.
	DeletedNames []string `json:"gone"`
	// Epoch is the store's epoch after the changes.
	Epoch uint64 `json:"-"`
}

// States of an instance in the platform's instance list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Instance is one entry of the platform's instance list.
type Instance struct {
	Name string `json:"name"`
	// Address is the address for requests.
	Address string `json:"address"`
	// PeerAddress is the address for messages from other instances.
	PeerAddress string `json:"peer"`
	DataCentre  string `json:"dataCentre"`
	// State is StateLive or StateLeaving.
	State string `json:"state"`
}

// Condition states when a write takes effect. The zero value means always.
type Condition struct {
	mustNotExist    bool
	expectedVersion uint64
}

// Always returns the condition that always holds.
func Always() Condition {
	return Condition{}
}

// IfVersion returns the condition that the object has the given version.
func IfVersion(version uint64) Condition {
	return Condition{expectedVersion: version}
}

// IfNotExists returns the condition that the object does not exist.
func IfNotExists() Condition {
	return Condition{mustNotExist: true}
}

// ExpectedVersion returns the version that the object must have, or false if the condition
// names none.
func (c Condition) ExpectedVersion() (uint64, bool) {
	return c.expectedVersion, c.expectedVersion > 0
}

// MustNotExist reports whether the condition is that the object does not exist.
func (c Condition) MustNotExist() bool {
	return c.mustNotExist
}
