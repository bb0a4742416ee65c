package answerer

import (
	"time"

	"github.com/go-faster/errors"
)

// Error is a request's final answer when it is not a complete one.
type Error struct {
	// Kind is why.
	Kind Kind
	// Message is one sentence for the caller.
	Message string
	// RetryAfter overrides the table's least time before asking again when
	// it is longer.
	RetryAfter time.Duration

	cause error
}

// New returns an error of the given kind with one sentence for the caller.
func New(kind Kind, message string) *Error {
	return &Error{Kind: kind, Message: message}
}

// Wrap returns an error of the given kind that keeps its cause for the logs.
func Wrap(kind Kind, message string, cause error) *Error {
	return &Error{Kind: kind, Message: message, cause: cause}
}

// WithRetryAfter returns a copy that asks the caller to wait at least wait.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	changed := *e
	changed.RetryAfter = wait

	return &changed
}

// Error returns the kind and the message, and the cause if there is one.
func (e *Error) Error() string {
	text := e.Kind.String() + ": " + e.Message
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}

	return text
}

// Unwrap returns the cause, if any.
func (e *Error) Unwrap() error {
	return e.cause
}

// RetryDelay returns the time before the caller should ask again: the longer of the
// table's and the error's own.
func (e *Error) RetryDelay() time.Duration {
	return max(Lookup(e.Kind).RetryAfter, e.RetryAfter)
}

// FromError returns the *Error in err's chain; any other error becomes
// KindInternal with outcome unknown.
func FromError(err error) *Error {
	var answer *Error
	if errors.As(err, &answer) {
		return answer
	}

	return Wrap(KindInternal, "The router failed.", err)
}
