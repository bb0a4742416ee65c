package relayer

import (
	"net/http"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// RequestMetadata is what a caller says of a request.
type RequestMetadata struct {
	// ID is the caller's name for this attempt, which answers repeat.
	ID string
	// CallerTimeout is how long the caller will wait; zero: not said.
	CallerTimeout time.Duration
	// APIKey names the workspace; empty: none was sent.
	APIKey string
	// LastEventID is the id of the last event that the caller has; empty: none.
	LastEventID string
	// PromptTokens, Output and Parts describe a prompt; zero at plain requests.
	PromptTokens, OutputTokens int
	PromptBlocks               []placer.PromptBlock
}

// ForwardingMetadata is what the router tells an endpoint beside the caller's request.
type ForwardingMetadata struct {
	// EndpointID is the only one that may run the request.
	EndpointID string
	// RemainingTime is the time that is left.
	RemainingTime time.Duration
	// Workspace is empty where requests need no key.
	Workspace string
	// Tier is the request's priority at engines; negative: none is told.
	Tier int
	// LastEventID is the id of the last event that was passed on; empty: none.
	LastEventID string
	// CacheSourceAddress is the address of an engine to copy cached parts from; empty:
	// none.
	CacheSourceAddress string
}

// ResponseMetadata is what an endpoint says of an answer.
type ResponseMetadata struct {
	// RequestID is the id of the request that it answers.
	RequestID string
	// NotRun says that the endpoint did not run the request.
	NotRun bool
	// Misdirected says that another endpoint has the address.
	Misdirected bool
}

// HeaderCodec spells envelopes, orders and statements in HTTP headers.
type HeaderCodec interface {
	ParseRequest(header http.Header) RequestMetadata
	// OutgoingHeader returns the headers of the request to an endpoint.
	OutgoingHeader(header http.Header, order ForwardingMetadata) http.Header
	ParseResponse(status int, header http.Header) ResponseMetadata
}

// connectionHeaders concern one connection and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHopByHopHeaders removes the headers that concern one connection only.
func StripHopByHopHeaders(header http.Header) {
	for _, name := range connectionHeaders {
		header.Del(name)
	}
}
