package publisher

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"
)

// Kinds and names of the objects that instances themselves keep in the platform's
// store.
const (
	// KindHead and HeadName are the kind and name of the head, the object that names
	// the newest revision.
	KindHead = "Revision"
	HeadName = "head"
	// KindPart is the kind of the parts of revisions. The name of a part is the hash
	// of its contents.
	KindPart = "RevisionPart"
	// KindLease is the kind of lease objects. LeaseName is the name of the
	// configuration lease.
	KindLease = "Lease"
	LeaseName = "configuration"
)

// Errors of a Store, to be compared with errors.Is.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrWriteInDoubt means that the result of a write is unknown: it may have taken
	// effect.
	ErrWriteInDoubt = errors.New("write outcome unknown")
)

// ConflictError means that the condition of a write did not hold, so that the write
// had no effect. Current is the object in the store, with version 0 if there is none.
type ConflictError struct {
	Current Object
}

// Error returns the same message for all conflicts.
func (e *ConflictError) Error() string { return "object changed by another writer" }

// Object is one object in the platform's store.
type Object struct {
	Kind string
	Name string
	// Version is the value of the store's write counter at the last write of the
	// object.
	Version uint64
	// Generation counts the writes of the spec.
	Generation uint64
	// Spec is the object's content.
	Spec json.RawMessage
	// Status is what is known about the object. It is written separately from Spec.
	Status json.RawMessage
	// Epoch is the store's epoch in which the object was read or written. Versions of
	// different epochs cannot be compared.
	Epoch uint64
}

// Page is a part of a listing, in the order of the objects' names.
type Page struct {
	// StoreCounter is the value of the store's write counter at the time of the listing.
	StoreCounter uint64
	Items        []Object
	// HasMore is true if the listing has further pages, and LastName the name after which the
	// next one begins.
	HasMore  bool
	LastName string
}

// Changes are the changes to the objects of one kind after a value of the store's
// write counter.
type Changes struct {
	// StoreCounter is the value of the write counter up to which changes are included.
	StoreCounter uint64
	// Items are the objects that were written.
	Items []Object
	// DeletedNames are the names of the objects that were deleted.
	DeletedNames []string
}

// Condition states when a write takes effect. The zero value means always.
type Condition struct {
	// MustNotExist means that the write takes effect only if the object does not exist.
	MustNotExist bool
	// ExpectedVersion is the version that the object must have; 0 means any version.
	ExpectedVersion uint64
}

// Store is the part of the platform's object API that a Publisher uses.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns the first page of the objects whose names come after afterName,
	// in the order of their names.
	List(ctx context.Context, kind, afterName string) (Page, error)
	// Put writes the spec of an object if the condition holds, and returns the new
	// object.
	Put(ctx context.Context, kind, name string, spec json.RawMessage, condition Condition) (Object, error)
	// PutStatus writes the status of an object if the condition holds, and returns
	// the new object.
	PutStatus(ctx context.Context, kind, name string, status json.RawMessage, condition Condition) (Object, error)
	// Delete deletes an object if the condition holds.
	Delete(ctx context.Context, kind, name string, condition Condition) error
	// WatchKind waits for changes to a kind after a value of the store's write
	// counter. It returns false if there were none until its time limit. After an
	// error the kind has to be listed again.
	WatchKind(ctx context.Context, kind string, afterCounter uint64) (Changes, bool, error)
}
