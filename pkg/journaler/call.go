package journaler

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

// Call is a non-idempotent call with an idempotency key.
type Call struct {
	// ID identifies the call within this instance.
	ID uint64
	// Workspace owns the key.
	Workspace string
	// Key is the caller's idempotency key.
	Key string
	// Fingerprint identifies the request by its method, path and body.
	Fingerprint string
	// FirstAttemptTime is the time at which the caller says it made the first
	// attempt, the same with each later attempt; zero if unknown. It is ignored if
	// the key is a version 7 UUID, which contains a time itself.
	FirstAttemptTime time.Time
	// Attempt is the number that the caller gives to this attempt, from 1. Zero
	// means that the caller did not state it.
	Attempt int
}

// CallState is the outcome of a forwarded call. A record with the zero value is an
// intent, whose call has no outcome yet.
type CallState int

// The outcomes of a forwarded call.
const (
	// Done means that the endpoint answered the call.
	Done CallState = iota + 1
	// NotRun means that the endpoint confirmed that it never started the call.
	NotRun
	// Uncertain means that the call may have run and that its answer is lost.
	Uncertain
)

// Result is the outcome of a forwarded call, with the answer of the endpoint.
type Result struct {
	// State is the outcome of the call.
	State CallState
	// Status is the HTTP status code of the answer.
	Status int
	// ContentType is the content type of the body.
	ContentType string
	// Body is the body of the answer.
	Body []byte
	// BodyOmitted reports whether the call is done but its body was too large to
	// be recorded.
	BodyOmitted bool
	// BodyDigest is the SHA-256 digest, in hexadecimal, of a body that was
	// omitted.
	BodyDigest string
}

// Action is what a Journaler asks its caller to do: a Read, Write, Forward, Replay
// or Refuse.
type Action interface {
	action()
}

// Read asks to read a shard from the store.
type Read struct {
	// Shard is the name of the stored object.
	Shard string
}

// Write asks for a conditional update of a shard in the store.
type Write struct {
	// Shard is the name of the stored object.
	Shard string
	// ExpectedVersion is the version that the write replaces. Zero means that the
	// object must not exist yet.
	ExpectedVersion uint64
	// Contents is the new contents of the shard, a JSON document.
	Contents []byte
}

// Forward asks to send a call to its endpoint, once.
type Forward struct {
	// ID identifies the call.
	ID uint64
	// SendDeadline is the time by which the call must have been sent. After it the
	// call must not be sent, and its result is reported as NotRun.
	SendDeadline time.Time
}

// Replay answers a repeated call with the recorded result, whose State is Done.
type Replay struct {
	// ID identifies the call.
	ID uint64
	// Result is the recorded result.
	Result Result
}

// Refuse answers a call that is not forwarded with an error.
type Refuse struct {
	// ID identifies the call.
	ID uint64
	// Error is the error for the caller.
	Error *answerer.Error
}

func (Read) action()    {}
func (Write) action()   {}
func (Forward) action() {}
func (Replay) action()  {}
func (Refuse) action()  {}
