package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/pkg/joiner"
)

// ModelCall is one attempt of a model request.
type ModelCall struct {
	// Address is the base URL of the engine, Path the path of the request.
	Address, Path string
	// StreamID identifies the answer at the engine; it is different for each attempt.
	StreamID string
	// Body is the body of the request, which asks for a streamed answer.
	Body []byte
	// Priority is the tier of the request; 0 is the highest.
	Priority int
}

// streamStatus is the status of a stream as its engine reports it. Started is nil if the engine does not
// say whether the stream started.
type streamStatus struct {
	State          string `json:"state"`
	Started        *bool  `json:"started"`
	ProducedTokens int    `json:"tokens"`
}

// isNeverStarted reports whether the engine states that the stream was canceled before it started. An
// engine that does not know the stream may have lost it in a crash.
func (status streamStatus) isNeverStarted() bool {
	return status.Started != nil && !*status.Started && status.toJoinerState() == joiner.StateCanceled
}

// maxStatusBytes is the maximum number of bytes that are read of a status response.
const maxStatusBytes = 4096

// sendModelCall sends a model request to the engine and returns its response.
func (f *Forwarder) sendModelCall(ctx context.Context, call ModelCall, trace *connectionTrace) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "text/event-stream")
	request.Header.Set(requestIDHeader, call.StreamID)
	request.Header.Set("X-Priority", strconv.Itoa(call.Priority))
	// The stream ID identifies a single request at the engine, so net/http must
	// not send the request again on its own when a pooled connection breaks.
	request.GetBody = nil

	return f.pooledClient.Do(trace.follow(request))
}

// requestResumption asks the engine, on a new connection, for the stream from the chunk
// with the number firstChunk on.
func (f *Forwarder) requestResumption(ctx context.Context, call ModelCall, firstChunk int) (*http.Response, error) {
	url := call.Address + "/v1/streams/" + call.StreamID + "?offset=" + strconv.Itoa(firstChunk)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}

	return f.unpooledClient.Do(request)
}

// requestStreamStatus asks the engine, on a new connection, for the status of a stream.
// With http.MethodDelete it also cancels the stream.
func (f *Forwarder) requestStreamStatus(ctx context.Context, method string, call ModelCall) (streamStatus, error) {
	url := call.Address + "/v1/streams/" + call.StreamID
	if method == http.MethodGet {
		url += "/state"
	}
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return streamStatus{}, errors.Wrap(err, "build request")
	}
	response, err := f.unpooledClient.Do(request)
	if err != nil {
		return streamStatus{}, errors.Wrap(err, "ask for the stream's state")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return streamStatus{}, errors.Errorf("stream state: status %d", response.StatusCode)
	}

	var status streamStatus
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&status); err != nil {
		return streamStatus{}, errors.Wrap(err, "decode the stream's state")
	}

	return status, nil
}

// toJoinerState returns the state as the joiner's type. Any state that isn't known counts
// as StateNotFound.
func (status streamStatus) toJoinerState() joiner.StreamState {
	switch status.State {
	case "queued":
		return joiner.StateQueued
	case "running":
		return joiner.StateRunning
	case "finished":
		return joiner.StateFinished
	case "cancelled", "canceled": //nolint:misspell // The engine's API uses this spelling.
		return joiner.StateCanceled
	default:
		return joiner.StateNotFound
	}
}
