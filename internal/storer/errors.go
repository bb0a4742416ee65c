package storer

import (
	"fmt"

	"github.com/go-faster/errors"
)

// What a call may fail with. Compare with errors.Is.
var (
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the write's condition did not hold; the error
	// is a *ConflictError. The write did not take effect.
	ErrConflict = errors.New("object changed by another writer")
	// ErrRateLimited means that the call was refused for its rate. It did not
	// take effect. Such an error is ErrDown as well.
	ErrRateLimited = errors.New("store rate exceeded")
	// ErrUnavailable means that the store cannot be used and that the call did not
	// take effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrWriteInDoubt means that a write was sent and its answer was lost. It
	// may have taken effect.
	ErrWriteInDoubt = errors.New("write outcome unknown")
	// ErrTooLarge means that the object is over the store's size limit.
	ErrTooLarge = errors.New("object too large")
	// ErrWatchExpired means that the watched revision is too old: list again.
	ErrWatchExpired = errors.New("revision too old")
	// ErrMalformed means that the store did not understand the call.
	ErrMalformed = errors.New("call not understood")
)

// ConflictError is an ErrConflict with the object that stood in the way. Its
// version is zero when the condition named a version and there is no object.
type ConflictError struct {
	Current Object
}

// Error names the object and its version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: %s/%s is at version %d", ErrConflict, e.Current.Kind, e.Current.Name, e.Current.Version)
}

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool {
	return target == ErrConflict
}

// callError is a failure of one of the kinds above with its cause.
type callError struct {
	kinds []error
	cause error
}

func (e *callError) Error() string {
	return fmt.Sprintf("%v: %v", e.kinds[0], e.cause)
}

func (e *callError) Unwrap() []error {
	return append([]error{e.cause}, e.kinds...)
}

func failed(cause error, kinds ...error) error {
	return &callError{kinds: kinds, cause: cause}
}
