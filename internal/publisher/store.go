package publisher

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"
)

// Names of the system's own objects on the platform.
const (
	// KindHead is the kind of the head object, HeadName its name.
	KindHead = "Revision"
	HeadName = "head"
	// KindPart is the kind of the parts; their names are their hashes.
	KindPart = "RevisionPart"
	// KindLease is the kind of lease objects, LeaseName the one for the
	// configuration.
	KindLease = "Lease"
	LeaseName = "configuration"
)

// Errors of a Store that are told apart with errors.Is.
var (
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("object not found")
	// ErrWriteInDoubt means that a write may have taken effect.
	ErrWriteInDoubt = errors.New("write outcome unknown")
)

// ConflictError means that a write's condition did not hold. Current is the
// object that stood in the way; its version is 0 if there is none.
type ConflictError struct {
	Current Object
}

// Error says that another writer was first.
func (e *ConflictError) Error() string { return "object changed by another writer" }

// Object is one object of the platform.
type Object struct {
	Kind       string
	Name       string
	Version    uint64
	Generation uint64
	Spec       json.RawMessage
	Status     json.RawMessage
}

// Page is a part of a listing.
type Page struct {
	// StoreCounter is the store's counter at the time of the listing.
	StoreCounter uint64
	Items        []Object
	HasMore      bool
}

// Changes is what happened to the objects of a kind since a revision.
type Changes struct {
	StoreCounter uint64
	Items        []Object
	DeletedNames []string
}

// Condition says when a write takes effect; the zero value always.
type Condition struct {
	// MustNotExist: only if there is no such object.
	MustNotExist bool
	// ExpectedVersion: only if the object has it; 0 is any.
	ExpectedVersion uint64
}

// Store is the part of the platform's object API that publishing needs.
type Store interface {
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns objects in the order of their names, after the given one.
	List(ctx context.Context, kind, after string) (Page, error)
	Put(ctx context.Context, kind, name string, spec json.RawMessage, condition Condition) (Object, error)
	PutStatus(ctx context.Context, kind, name string, status json.RawMessage, condition Condition) (Object, error)
	Delete(ctx context.Context, kind, name string, condition Condition) error
	// WatchKind waits for changes after the revision; false is none in its
	// time. An error means that the kind has to be listed again.
	WatchKind(ctx context.Context, kind string, revision uint64) (Changes, bool, error)
}
