// Package joiner assembles a caller's stream from the numbered chunks of one or
// several connections to an endpoint: each chunk once, in order and without gaps.
//
// A Joiner takes in chunks, ends of connections and the answers to probes and
// resumptions. It returns actions: emit a chunk, probe the endpoint on a new
// connection, resume the stream on a new connection, finish or fail. If no chunk
// arrives for a while, a probe tells two cases apart: the connection is silent if
// the endpoint has produced chunks that did not arrive, and the endpoint is slow
// if it has not.
//
// At most Settings.MaxEarlyChunks chunks that arrive out of order are stored;
// further ones are dropped and requested again. A stream that can't continue ends
// with an error. A Joiner is not safe for concurrent use.
package joiner
