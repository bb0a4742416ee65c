package storer

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Errors of calls, to be compared with errors.Is.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the condition of a write did not hold. The write had
	// no effect. The error is a *ConflictError.
	ErrConflict = errors.New("object changed by another writer")
	// ErrRateLimited means that the store refused the call because of its rate limit.
	// The call had no effect. Such an error is also ErrUnavailable.
	ErrRateLimited = errors.New("store rate exceeded")
	// ErrUnavailable means that the store could not be used and that the call had no
	// effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrEarlierEpoch means that an answer is of an earlier epoch of the store than one
	// that the client has seen, so that its contents may be lost. Such an error is also
	// ErrUnavailable, or ErrWriteInDoubt for a write.
	ErrEarlierEpoch = errors.New("answer of an earlier store epoch")
	// ErrWriteInDoubt means that a write may have been sent but got no usable answer.
	// It may have taken effect.
	ErrWriteInDoubt = errors.New("write outcome unknown")
	// ErrTooLarge means that the object exceeds the store's size limit.
	ErrTooLarge = errors.New("object too large")
	// ErrWatchExpired means that the store no longer knows the changes since the counter
	// value at which a watch began. The caller has to list the objects again.
	ErrWatchExpired = errors.New("revision too old")
	// ErrInvalidCall means that the call could not be encoded or that the store
	// rejected it as invalid.
	ErrInvalidCall = errors.New("call not understood")
)

// ConflictError is an ErrConflict with the current object in the store. The version of
// Current is zero if there is no object, although the condition named a version.
type ConflictError struct {
	Current Object
}

// Error returns a message with the current object's kind, name and version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: %s/%s is at version %d", ErrConflict, e.Current.Kind, e.Current.Name, e.Current.Version)
}

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool {
	return target == ErrConflict
}

// callError is the error of a failed call. It wraps one or more of the errors above and
// the cause.
type callError struct {
	// kinds are the errors for errors.Is; the first is part of the message.
	kinds []error
	cause error
}

func (e *callError) Error() string {
	return fmt.Sprintf("%v: %v", e.kinds[0], e.cause)
}

func (e *callError) Unwrap() []error {
	return append([]error{e.cause}, e.kinds...)
}

func newCallError(cause error, kinds ...error) error {
	return &callError{kinds: kinds, cause: cause}
}
