package storer

import "encoding/json"

// Object is one object of the platform.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is the store-wide counter's value at the object's last write.
	Version uint64 `json:"version"`
	// Generation counts the writes of the spec.
	Generation uint64          `json:"generation"`
	Spec       json.RawMessage `json:"spec,omitempty"`
	Status     json.RawMessage `json:"status,omitempty"`
}

// Page is a part of a listing.
type Page struct {
	// StoreCounter is the store-wide counter at the time of the listing.
	StoreCounter uint64   `json:"revision"`
	Items        []Object `json:"items"`
	HasMore      bool     `json:"more"`
}

// Changes is what happened to the objects of a kind since a revision.
type Changes struct {
	StoreCounter uint64   `json:"revision"`
	Items        []Object `json:"items"`
	DeletedNames []string `json:"gone"`
}

// Instance states.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Instance is one entry of the platform's instance list.
type Instance struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	PeerAddress string `json:"peer"`
	DataCentre  string `json:"dataCentre"`
	State       string `json:"state"`
}

// Condition says when a write takes effect.
type Condition struct {
	absent  bool
	version uint64
}

// Always is the condition that always holds.
func Always() Condition {
	return Condition{}
}

// IfVersion holds while the object's version is the given one.
func IfVersion(version uint64) Condition {
	return Condition{version: version}
}

// IfNotExists holds while there is no such object.
func IfNotExists() Condition {
	return Condition{absent: true}
}

// ExpectedVersion returns the version that the object must have; false when the
// condition names none.
func (c Condition) ExpectedVersion() (uint64, bool) {
	return c.version, c.version > 0
}

// MustNotExist reports whether there must be no such object.
func (c Condition) MustNotExist() bool {
	return c.absent
}
