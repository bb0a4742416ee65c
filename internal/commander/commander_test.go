package commander_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/commander"
	"github.com/oleanderpick/oleanderpick/pkg/orderer"
)

func TestEngineAnswersAreReturnedAsStateOrError(t *testing.T) {
	receivedOrders := make(chan map[string]any, 1)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = fmt.Fprint(w, `{"fence":4,"model":"ink","loading":true,"progress":0.5}`)
			return
		}
		var body map[string]any
		_ = json.NewDecoder(r.Body).Decode(&body)
		switch body["fence"] {
		case 1.0:
			w.WriteHeader(http.StatusConflict)
			_, _ = fmt.Fprint(w, `{"fence":4}`)
		case 2.0:
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = fmt.Fprint(w, `{}`)
		default:
			receivedOrders <- body
			_, _ = fmt.Fprint(w, `{"fence":5,"model":"oak"}`)
		}
	}))
	defer engine.Close()
	c := commander.New(engine.Client(), "mvd-1")

	state, err := c.ReadState(t.Context(), engine.URL)
	assert.NilError(t, err)
	assert.Equal(t, state, orderer.EngineState{Fence: 4, Model: "ink", Loading: true, LoadProgress: 0.5})

	order := orderer.Order{Address: engine.URL, Fence: 5, ExpiresAt: time.Now().Add(time.Hour), DesiredState: orderer.DesiredState{Model: "oak", Version: "2"}}
	state, err = c.SendOrder(t.Context(), order)
	assert.NilError(t, err)
	assert.Equal(t, state.Model, "oak")
	body := <-receivedOrders
	assert.Equal(t, body["holder"], "mvd-1")
	assert.Equal(t, body["version"], "2")
	assert.Equal(t, body["until"], order.ExpiresAt.Format(time.RFC3339Nano))

	order.Fence = 1
	_, err = c.SendOrder(t.Context(), order)
	var refused *commander.RefusedError
	assert.Assert(t, errors.As(err, &refused) && refused.State.Fence == 4)
	order.Fence = 2
	_, err = c.SendOrder(t.Context(), order)
	assert.ErrorContains(t, err, "engine answered 503")
	order.ExpiresAt = time.Now()
	_, err = c.SendOrder(t.Context(), order)
	assert.ErrorContains(t, err, "deadline exceeded")
}
