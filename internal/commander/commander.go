// Package commander gives orders to model engines over HTTP and reads their
// state back: `POST /v1/orders` and `GET /v1/orders`.
package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/pkg/orderer"
)

// maximumAnswer is the largest answer read, in bytes.
const maximumAnswer = 64 << 10

// RefusedError means that an engine refused an order. State is what it says of
// itself; an engine that checks fencing numbers refuses for a higher one.
type RefusedError struct {
	State orderer.EngineState
}

// Error names the highest fencing number that the engine knows.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("order refused, the engine knows fencing number %d", e.State.Fence)
}

// Commander calls model engines. It is safe for concurrent use.
type Commander struct {
	client *http.Client
	// holder is the name under which orders are given.
	holder string
}

// New returns a commander that gives orders under the holder's name.
func New(client *http.Client, holder string) *Commander {
	return &Commander{client: client, holder: holder}
}

// message is an order as engines read it.
type message struct {
	Fence   uint64    `json:"fence"`
	Holder  string    `json:"holder"`
	Model   string    `json:"model"`
	Adapter string    `json:"adapter"`
	Version string    `json:"version"`
	Role    string    `json:"role"`
	Until   time.Time `json:"until"`
}

// State reads an engine's state.
func (c *Commander) State(ctx context.Context, address string) (orderer.EngineState, error) {
	return c.call(ctx, http.MethodGet, address, nil)
}

// Order gives an order. The connection is closed at the order's end, so that
// one that is delayed here does not leave later.
func (c *Commander) Order(ctx context.Context, order orderer.Order) (orderer.EngineState, error) {
	ctx, cancel := context.WithDeadline(ctx, order.ExpiresAt)
	defer cancel()
	body, err := json.Marshal(message{
		Fence: order.Fence, Holder: c.holder, Until: order.ExpiresAt,
		Model: order.Model, Adapter: order.Adapter, Version: order.Version, Role: order.Role,
	})
	if err != nil {
		return orderer.EngineState{}, errors.Wrap(err, "encode order")
	}
	return c.call(ctx, http.MethodPost, order.Address, body)
}

func (c *Commander) call(ctx context.Context, method, address string, body []byte) (orderer.EngineState, error) {
	request, err := http.NewRequestWithContext(ctx, method, address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return orderer.EngineState{}, errors.Wrap(err, "make request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return orderer.EngineState{}, errors.Wrap(err, "call engine")
	}
	defer func() { _ = response.Body.Close() }()
	var state orderer.EngineState
	if err := json.NewDecoder(io.LimitReader(response.Body, maximumAnswer)).Decode(&state); err != nil {
		return orderer.EngineState{}, errors.Wrapf(err, "engine answered %s", response.Status)
	}
	switch response.StatusCode {
	case http.StatusOK:
		return state, nil
	case http.StatusConflict:
		return state, &RefusedError{State: state}
	default:
		return orderer.EngineState{}, errors.Errorf("engine answered %s", response.Status)
	}
}
