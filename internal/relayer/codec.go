package relayer

import (
	"net/http"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// Envelope is what a caller says of a request.
type Envelope struct {
	// ID is the caller's name for this attempt, which answers repeat.
	ID string
	// Patience is how long the caller will wait; zero: not said.
	Patience time.Duration
	// Key names the workspace; empty: none was sent.
	Key string
	// After is the id of the last event that the caller has; empty: none.
	After string
	// Prompt, Output and Parts describe a prompt; zero at plain requests.
	Prompt, Output int
	Parts          []placer.PromptBlock
}

// Order is what the router tells an endpoint beside the caller's request.
type Order struct {
	// Endpoint is the only one that may run the request.
	Endpoint string
	// Remaining is the time that is left.
	Remaining time.Duration
	// Workspace is empty where requests need no key.
	Workspace string
	// Tier is the request's priority at engines; negative: none is told.
	Tier int
	// After is the id of the last event that was passed on; empty: none.
	After string
	// Source is the address of an engine to copy cached parts from; empty:
	// none.
	Source string
}

// Statement is what an endpoint says of an answer.
type Statement struct {
	// ID is the id of the request that it answers.
	ID string
	// NotRun says that the endpoint did not run the request.
	NotRun bool
	// Misdirected says that another endpoint has the address.
	Misdirected bool
}

// Codec spells envelopes, orders and statements in HTTP headers.
type Codec interface {
	Envelope(header http.Header) Envelope
	// Outgoing returns the headers of the request to an endpoint.
	Outgoing(header http.Header, order Order) http.Header
	Statement(status int, header http.Header) Statement
}

// connectionHeaders concern one connection and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripConnection removes the headers that concern one connection only.
func StripConnection(header http.Header) {
	for _, name := range connectionHeaders {
		header.Del(name)
	}
}
