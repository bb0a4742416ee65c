package joiner

import "github.com/oleanderpick/oleanderpick/pkg/answerer"

// ActionType is the type of an Action.
type ActionType int

// The types of actions.
const (
	// Emit passes Data to the caller.
	Emit ActionType = iota + 1
	// Done ends the stream, which is complete.
	Done
	// Probe asks the endpoint, on a new connection, for the stream's state.
	Probe
	// Resume asks the endpoint for the stream from chunk FirstChunk on, on a
	// new connection with the number Connection.
	Resume
	// Fail ends the stream with an error of kind ErrorKind.
	Fail
)

// Action is a step that the caller of the Joiner must take for the stream. The
// fields that a type of action doesn't use are zero.
type Action struct {
	// Type is the type of the action.
	Type ActionType
	// Data is the data of the chunk to emit.
	Data []byte
	// Connection is the number of the connection to open for a resumption.
	Connection int
	// FirstChunk is the number of the first chunk to ask for in a resumption.
	FirstChunk int
	// ErrorKind is the kind of the error with which the stream fails.
	ErrorKind answerer.Kind
}

// StreamState is the state of a stream at its endpoint, as a probe reports it.
type StreamState int

// The states of a stream.
const (
	// StateNotFound means that the endpoint doesn't know the stream.
	StateNotFound StreamState = iota
	// StateQueued means that the stream waits to run.
	StateQueued
	// StateRunning means that the endpoint is producing the stream.
	StateRunning
	// StateFinished means that the endpoint has produced the whole stream.
	StateFinished
	// StateCanceled means that the stream was canceled.
	StateCanceled
)
