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
	// Revision is the store-wide counter at the time of the listing.
	Revision uint64   `json:"revision"`
	Items    []Object `json:"items"`
	More     bool     `json:"more"`
}

// Changes is what happened to the objects of a kind since a revision.
type Changes struct {
	Revision uint64   `json:"revision"`
	Items    []Object `json:"items"`
	Gone     []string `json:"gone"`
}

// Instance states.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Instance is one entry of the platform's instance list.
type Instance struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	Peer       string `json:"peer"`
	DataCentre string `json:"dataCentre"`
	State      string `json:"state"`
}

// Condition says when a write takes effect.
type Condition struct {
	absent  bool
	version uint64
}

// Any is the condition that always holds.
func Any() Condition {
	return Condition{}
}

// At holds while the object's version is the given one.
func At(version uint64) Condition {
	return Condition{version: version}
}

// Absent holds while there is no such object.
func Absent() Condition {
	return Condition{absent: true}
}

// Version returns the version that the object must have; false when the
// condition names none.
func (c Condition) Version() (uint64, bool) {
	return c.version, c.version > 0
}

// IsAbsent reports whether there must be no such object.
func (c Condition) IsAbsent() bool {
	return c.absent
}
