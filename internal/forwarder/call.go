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

// Call is one try of a model request.
type Call struct {
	// Address is the engine's base URL, Path the request's.
	Address, Path string
	// Stream names the answer at the engine; it is unique for each try.
	Stream string
	// Body is the request's body, with streaming set.
	Body []byte
	// Priority is 0 for the highest tier.
	Priority int
}

// streamState is the engine's word on a stream.
type streamState struct {
	State   string `json:"state"`
	Started bool   `json:"started"`
	Tokens  int    `json:"tokens"`
}

// maxState bounds the size of a state answer in bytes.
const maxState = 4096

func (f *Forwarder) post(ctx context.Context, call Call) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "text/event-stream")
	request.Header.Set("X-Request-Id", call.Stream)
	request.Header.Set("X-Priority", strconv.Itoa(call.Priority))
	// The engine knows the stream by its name, so that the library must not
	// send the request twice.
	request.GetBody = nil

	return f.client.Do(request)
}

func (f *Forwarder) resume(ctx context.Context, call Call, offset int) (*http.Response, error) {
	address := call.Address + "/v1/streams/" + call.Stream + "?offset=" + strconv.Itoa(offset)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}

	return f.fresh.Do(request)
}

// state asks the engine about a stream on a new connection; with MethodDelete
// it cancels the stream as well.
func (f *Forwarder) state(ctx context.Context, method string, call Call) (streamState, error) {
	address := call.Address + "/v1/streams/" + call.Stream
	if method == http.MethodGet {
		address += "/state"
	}
	request, err := http.NewRequestWithContext(ctx, method, address, nil)
	if err != nil {
		return streamState{}, errors.Wrap(err, "build request")
	}
	response, err := f.fresh.Do(request)
	if err != nil {
		return streamState{}, errors.Wrap(err, "ask for the stream's state")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return streamState{}, errors.Errorf("stream state: status %d", response.StatusCode)
	}

	var state streamState
	if err := json.NewDecoder(io.LimitReader(response.Body, maxState)).Decode(&state); err != nil {
		return streamState{}, errors.Wrap(err, "decode the stream's state")
	}

	return state, nil
}

func (s streamState) joinerState() joiner.StreamState {
	switch s.State {
	case "queued":
		return joiner.StateQueued
	case "running":
		return joiner.StateRunning
	case "finished":
		return joiner.StateFinished
	case "cancelled", "canceled": //nolint:misspell // The wire protocol spells it so.
		return joiner.StateCanceled
	default:
		return joiner.StateNotFound
	}
}
