package relayer

import (
	"net/http"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// Envelope is what a caller's headers state about a request.
type Envelope struct {
	// ID is the caller's request ID, which every answer repeats.
	ID string
	// Patience is how long the caller waits for the answer; zero if not stated.
	Patience time.Duration
	// Key is the API key, which identifies the workspace; empty if none was sent.
	Key string
	// After is the ID of the last event that the caller received; empty if none.
	After string
	// Prompt and Output are numbers of tokens and Parts the hashed blocks of the
	// prompt. All are zero for requests to plain services.
	Prompt, Output int
	Parts          []placer.PromptBlock
}

// Order is what this instance adds to a request that it sends to an endpoint.
type Order struct {
	// Endpoint is the ID of the only endpoint that may run the request.
	Endpoint string
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Workspace is the caller's workspace; empty if requests need no API key.
	Workspace string
	// Tier is the request's priority at an engine, 0 being the highest; negative
	// if none is sent.
	Tier int
	// After is the ID of the last event that was forwarded to the caller; empty if
	// none.
	After string
	// Source is the address of an engine to copy cached prompt blocks from; empty
	// if none.
	Source string
}

// Statement is what an endpoint's headers and status state about its answer.
type Statement struct {
	// ID is the ID of the request that is answered.
	ID string
	// NotRun is true if the endpoint states that it did not run the request.
	NotRun bool
	// Misdirected is true if another endpoint answers at the address.
	Misdirected bool
}

// Codec converts the metadata of requests and answers from and to HTTP headers.
type Codec interface {
	// Envelope reads the headers of a caller's request.
	Envelope(header http.Header) Envelope
	// Outgoing returns the headers of the request to an endpoint, made from the
	// caller's headers.
	Outgoing(header http.Header, order Order) http.Header
	// Statement reads the status code and headers of an endpoint's answer.
	Statement(status int, header http.Header) Statement
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripConnection removes the headers that apply to a single connection only.
func StripConnection(header http.Header) {
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
