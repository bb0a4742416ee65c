package answerer

import (
	"time"

	"github.com/go-faster/errors"
)

// Error is the error with which a request ends when its caller gets no complete
// answer.
type Error struct {
	// Kind says why there is no complete answer.
	Kind Kind
	// Message is one sentence for the caller.
	Message string
	// RetryAfter replaces the minimum retry delay of the kind when it is
	// longer than that.
	RetryAfter time.Duration

	cause error
}

// New returns an error of the given kind; message is one sentence for the caller.
func New(kind Kind, message string) *Error {
	return &Error{Kind: kind, Message: message}
}

// Wrap returns an error of the given kind that keeps its cause for logs: Error
// includes the cause, and Unwrap returns it.
func Wrap(kind Kind, message string, cause error) *Error {
	return &Error{Kind: kind, Message: message, cause: cause}
}

// WithRetryAfter returns a copy of the error that asks the caller to wait at least
// delay before a retry.
func (e *Error) WithRetryAfter(delay time.Duration) *Error {
	copied := *e
	copied.RetryAfter = delay

	return &copied
}

// Error returns the name of the kind, the message and, if there is one, the cause.
func (e *Error) Error() string {
	text := e.Kind.String() + ": " + e.Message
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}

	return text
}

// Unwrap returns the cause, or nil if there is none.
func (e *Error) Unwrap() error {
	return e.cause
}

// RetryDelay returns the time that the caller should let pass before a retry: the longer
// one of the kind's minimum and the error's RetryAfter.
func (e *Error) RetryDelay() time.Duration {
	return max(Lookup(e.Kind).RetryAfter, e.RetryAfter)
}

// FromError returns the first *Error in the chain of err. Any other error is wrapped in
// one of KindInternal, whose outcome is Unknown.
func FromError(err error) *Error {
	var found *Error
	if errors.As(err, &found) {
		return found
	}

	return Wrap(KindInternal, "The router failed.", err)
}
