package journaler

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

// Call is a non-idempotent call that carries a key.
type Call struct {
	// ID names the call within this instance.
	ID uint64
	// Workspace owns the key.
	Workspace string
	// Key is the caller's idempotency key.
	Key string
	// Fingerprint identifies method, path and body.
	Fingerprint string
	// FirstAttemptTime is when the caller says it first tried, the same value on each
	// resend; zero if unknown, then the time in a version 7 UUID key counts.
	FirstAttemptTime time.Time
	// Attempt is the caller's number of this try, from 1; zero if unknown.
	Attempt int
}

// State is what became of a forwarded call.
type State int

// The states.
const (
	// Done is a call that the endpoint answered.
	Done State = iota + 1
	// NotRun is a call that the endpoint confirmed never started.
	NotRun
	// Uncertain is a call that may have run and whose answer is lost.
	Uncertain
)

// Result is the outcome of a forwarded call.
type Result struct {
	// State is what became of the call.
	State State
	// Status is the endpoint's HTTP status.
	Status int
	// ContentType is the content type of the body.
	ContentType string
	// Body is the endpoint's answer.
	Body []byte
	// BodyOmitted says that the call is done and that its body was not kept.
	BodyOmitted bool
	// BodyDigest is the SHA-256 of an omitted body, in hexadecimal.
	BodyDigest string
}

// Action is one of Read, Write, Forward, Replay and Refuse.
type Action interface {
	action()
}

// Read asks for a shard's contents.
type Read struct {
	// Shard is the name of the object.
	Shard string
}

// Write asks for a conditional update of a shard.
type Write struct {
	// Shard is the name of the object.
	Shard string
	// ExpectedVersion is the version to replace; zero: the object must be absent.
	ExpectedVersion uint64
	// Contents is a JSON document.
	Contents []byte
}

// Forward asks to hand a call to its endpoint, once.
type Forward struct {
	// ID names the call.
	ID uint64
	// SendDeadline is the latest time at which the call may leave; after it the
	// caller of this package reports NotRun without handing the call over.
	SendDeadline time.Time
}

// Replay answers a resend with the stored result; State is Done.
type Replay struct {
	// ID names the call.
	ID uint64
	// Result is the stored result.
	Result Result
}

// Refuse answers a call that is not forwarded.
type Refuse struct {
	// ID names the call.
	ID uint64
	// Error is the answer.
	Error *answerer.Error
}

func (Read) action()    {}
func (Write) action()   {}
func (Forward) action() {}
func (Replay) action()  {}
func (Refuse) action()  {}
