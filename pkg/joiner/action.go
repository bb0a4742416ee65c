package joiner

import "github.com/oleanderpick/oleanderpick/pkg/answerer"

// ActionType is what an action asks for.
type ActionType int

// The actions.
const (
	// Emit passes Data on to the caller.
	Emit ActionType = iota + 1
	// Done says that the stream is whole.
	Done
	// Probe asks the endpoint for the stream's state on a new connection.
	Probe
	// Resume asks for the stream from chunk Offset on a new connection,
	// which bears the number Connection.
	Resume
	// Fail ends the stream with the error kind Kind.
	Fail
)

// Action is something to do for a stream.
type Action struct {
	// Type is what to do.
	Type ActionType
	// Data is the chunk to emit.
	Data []byte
	// Connection is the number of the connection to open.
	Connection int
	// FirstChunk is the number of the first chunk to ask for.
	FirstChunk int
	// ErrorKind is why the stream fails.
	ErrorKind answerer.Kind
}

// StreamState is a stream's state at its endpoint.
type StreamState int

// The states.
const (
	// StateNotFound is a stream that the endpoint does not know.
	StateNotFound StreamState = iota
	// StateQueued is a stream that waits.
	StateQueued
	// StateRunning is a stream that is being made.
	StateRunning
	// StateFinished is a stream that was made.
	StateFinished
	// StateCanceled is a stream that was canceled.
	StateCanceled
)
