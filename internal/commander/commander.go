// Package commander sends orders to model engines over HTTP (`POST /v1/orders`) and
// reads the engines' states (`GET /v1/orders`).
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

	"github.com/oleanderpick/oleanderpick/internal/common/verifier"
	"github.com/oleanderpick/oleanderpick/pkg/orderer"
)

// maxAnswerBytes is the maximum number of bytes that are read of one answer.
const maxAnswerBytes = 64 << 10

// RefusedError means that an engine refused an order. An engine that checks fencing
// tokens does so if it has seen a higher one than the order's.
type RefusedError struct {
	// State is the engine's state, which it returned with the refusal.
	State orderer.EngineState
}

// Error returns a message with the highest fencing token that the engine has seen.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("order refused: the engine has seen fencing token %d", e.State.Fence)
}

// Commander sends orders to model engines. It is safe for concurrent use.
type Commander struct {
	client *http.Client
	// holderID identifies the holder of the lease that gives the orders.
	holderID string
}

// New returns a commander whose orders state the given holder of the lease.
func New(client *http.Client, holderID string) *Commander {
	return &Commander{client: verifier.WithoutRedirects(client), holderID: holderID}
}

// orderMessage is the body of the HTTP request with which an order is sent.
type orderMessage struct {
	Fence   uint64    `json:"fence"`
	Holder  string    `json:"holder"`
	Model   string    `json:"model"`
	Adapter string    `json:"adapter"`
	Version string    `json:"version"`
	Role    string    `json:"role"`
	Until   time.Time `json:"until"`
}

// ReadState returns the state of the engine at an address.
func (c *Commander) ReadState(ctx context.Context, address string) (orderer.EngineState, error) {
	return c.call(ctx, http.MethodGet, address, nil)
}

// SendOrder sends an order and returns the engine's state after it. The call is
// canceled when the order expires, so that an order that is delayed on this side is
// not sent later. If the engine refuses the order, the error is a *RefusedError.
func (c *Commander) SendOrder(ctx context.Context, order orderer.Order) (orderer.EngineState, error) {
	ctx, cancel := context.WithDeadline(ctx, order.ExpiresAt)
	defer cancel()
	body, err := json.Marshal(orderMessage{
		Fence: order.Fence, Holder: c.holderID, Until: order.ExpiresAt,
		Model: order.Model, Adapter: order.Adapter, Version: order.Version, Role: order.Role,
	})
	if err != nil {
		return orderer.EngineState{}, errors.Wrap(err, "encode order")
	}
	return c.call(ctx, http.MethodPost, order.Address, body)
}

// call makes a request to an engine and decodes its answer.
func (c *Commander) call(ctx context.Context, method, address string, body []byte) (orderer.EngineState, error) {
	request, err := http.NewRequestWithContext(ctx, method, address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return orderer.EngineState{}, errors.Wrap(err, "make request")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Close = true // On a kept connection, the answer to an earlier call may come again.
	response, err := c.client.Do(request)
	if err != nil {
		return orderer.EngineState{}, errors.Wrap(err, "call engine")
	}
	defer func() { _ = response.Body.Close() }()
	var state orderer.EngineState
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&state); err != nil {
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
