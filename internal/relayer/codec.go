package relayer

import (
	"net/http"
	"strconv"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// RequestMetadata is what a caller's headers state about a request.
type RequestMetadata struct {
	// ID is the caller's request ID, which every answer repeats.
	ID string
	// CallerTimeout is how long the caller waits for the answer; zero if not stated.
	CallerTimeout time.Duration
	// APIKey is the API key, which identifies the workspace; empty if none was sent.
	APIKey string
	// LastEventID is the ID of the last event that the caller received; empty if none.
	LastEventID string
	// ResumedRequestID is the ID of the caller's request that brought the first event of the
	// stream, if the caller takes up a stream; empty if it does not say so.
	ResumedRequestID string
	// PromptTokens and OutputTokens are the lengths of the prompt and of the expected
	// answer in tokens, and PromptBlocks the hashed blocks of the prompt. All are zero for
	// requests to plain services.
	PromptTokens, OutputTokens int
	PromptBlocks               []placer.PromptBlock
}

// maxSharedBlocks limits the blocks of a prompt that are examined when an endpoint crashes.
const maxSharedBlocks = 64

// SharedBlocks returns the IDs of the first maxSharedBlocks blocks that other prompts may
// contain too. The last block of a prompt belongs to the request or its session alone.
func (m RequestMetadata) SharedBlocks() []uint64 {
	if len(m.PromptBlocks) < 2 {
		return nil
	}
	shared := m.PromptBlocks[:min(len(m.PromptBlocks)-1, maxSharedBlocks)]
	ids := make([]uint64, 0, len(shared))
	for _, block := range shared {
		ids = append(ids, block.ID)
	}

	return ids
}

// ForwardingMetadata is what this instance adds to a request that it sends to an endpoint.
type ForwardingMetadata struct {
	// EndpointID is the ID of the only endpoint that may run the request.
	EndpointID string
	// RemainingTime is the time until the request's deadline.
	RemainingTime time.Duration
	// Workspace is the caller's workspace; empty if requests need no API key.
	Workspace string
	// Tier is the request's priority at an engine, from 0, the highest, to
	// placer.TierCount-1; negative if none is sent.
	Tier int
	// LastEventID is the ID of the last event that was forwarded to the caller; empty if
	// none.
	LastEventID string
	// CacheSourceAddress is the address of an engine to copy cached prompt blocks from; empty
	// if none.
	CacheSourceAddress string
}

// ResponseMetadata is what an endpoint's headers and status state about its answer.
type ResponseMetadata struct {
	// RequestID is the ID of the request that is answered; empty if none or several are stated.
	RequestID string
	// NotRun is true if the answer states that the endpoint did not run the request, and HasRun if
	// it has what only the answer of a request that ran has.
	NotRun, HasRun bool
	// Misdirected is true if another endpoint answers at the address.
	Misdirected bool
	// Load is the endpoint's own load when it began the answer; nil if not stated.
	Load *EndpointLoad
	// RateLimit is the limit that the endpoint stated for all instances together; nil if
	// it stated none. HasInvalidRateLimit is true if it stated one that cannot be read.
	RateLimit           *RateLimit
	HasInvalidRateLimit bool
	// MaxRejections is the number of requests that the endpoint can reject in a second without
	// failing, if it says that it is brittle; nil if not. HasInvalidMaxRejections is true if it
	// stated one that cannot be read.
	MaxRejections           *RateLimit
	HasInvalidMaxRejections bool
	// IsLeaving reports whether the endpoint says that it leaves.
	IsLeaving bool
	// Pause is how long the endpoint wants no requests from this instance; zero if not stated.
	// HasInvalidPause is true if it stated one that cannot be read.
	Pause           time.Duration
	HasInvalidPause bool
}

// RateLimit is the number of requests a second that an endpoint takes from all instances
// together.
type RateLimit float64

// String returns the limit for logs; "none" if l is nil.
func (l *RateLimit) String() string {
	if l == nil {
		return "none"
	}

	return strconv.FormatFloat(float64(*l), 'g', -1, 64)
}

// UnknownCount stands for a count of an EndpointLoad that was not stated or cannot be read.
const UnknownCount = -1

// EndpointLoad is what an endpoint says of its load: the requests that it runs, those
// in its queue, and how many it can run at once. Each may be UnknownCount.
type EndpointLoad struct {
	RunningRequests, QueuedRequests, Slots int
	// Pace is how long work takes at the endpoint, in hundredths of the normal time; 0 if not stated.
	Pace int
}

// String returns the load for logs, as "running+queued/slots" with "@pace" if a pace is stated;
// "unknown" if l is nil. A count that is not known is shown as "?".
func (l *EndpointLoad) String() string {
	if l == nil {
		return "unknown"
	}
	text := formatCount(l.RunningRequests) + "+" + formatCount(l.QueuedRequests) + "/" + formatCount(l.Slots)
	if l.Pace > 0 {
		text += "@" + strconv.Itoa(l.Pace)
	}

	return text
}

func formatCount(count int) string {
	if count < 0 {
		return "?"
	}

	return strconv.Itoa(count)
}

// HeaderCodec converts the metadata of requests and answers from and to HTTP headers.
type HeaderCodec interface {
	// ParseRequest reads the headers of a caller's request.
	ParseRequest(header http.Header) RequestMetadata
	// OutgoingHeader returns the headers of the request to an endpoint, made from the
	// caller's headers.
	OutgoingHeader(header http.Header, forwarding ForwardingMetadata) http.Header
	// PassedOnHeader returns the headers of the request to a peer, made from the caller's
	// headers. The peer reads them as a caller's.
	PassedOnHeader(header http.Header, metadata PassedOnMetadata) http.Header
	// ParseResponse reads the status code and headers of an endpoint's answer.
	ParseResponse(status int, header http.Header) ResponseMetadata
	// EventFields returns the fields of events beside those of the standard.
	EventFields() []string
}

// Codec reads and writes what the platform defines of requests, answers and reports.
type Codec interface {
	HeaderCodec
	ReportReader
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHopByHopHeaders removes the headers that apply to a single connection only.
func StripHopByHopHeaders(header http.Header) {
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
