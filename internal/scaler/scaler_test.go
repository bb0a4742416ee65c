package scaler_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/internal/scaler"
	"github.com/oleanderpick/oleanderpick/pkg/matcher"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// cloud is the duty, the cloud API and the registry.
type cloud struct {
	mu      sync.Mutex
	term    *scaler.Term
	refused []uint64
	answer  func(scaler.Term, scaler.Order) error
	orders  []scaler.Order
	regular int
	demand  float64
}

func (c *cloud) Term() (scaler.Term, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == nil {
		return scaler.Term{}, false
	}

	return *c.term, true
}

func (c *cloud) Refused(fence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = append(c.refused, fence)
	c.term = nil
}

func (c *cloud) SetServerCount(_ context.Context, term scaler.Term, order scaler.Order) error {
	c.mu.Lock()
	answer := c.answer
	c.orders = append(c.orders, order)
	c.mu.Unlock()

	return answer(term, order)
}

func (c *cloud) ScaledServices() []dispatcher.ScaledService {
	c.mu.Lock()
	defer c.mu.Unlock()
	service := dispatcher.ScaledService{
		Service: matcher.Service{Name: "s", Scale: &matcher.ScaleSettings{Max: 40, BootTime: 4 * time.Second}},
		Demands: map[string]placer.WantedDemand{"a": {Long: c.demand}}, HasCurrentRegistry: true,
	}
	for range c.regular {
		service.Endpoints = append(service.Endpoints, registrar.Endpoint{Service: "s", DataCentre: "a"})
	}

	return []dispatcher.ScaledService{service}
}

func (c *cloud) taken() (orders []scaler.Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	orders, c.orders = c.orders, nil

	return orders
}

// Guards against orders of an instance that does not hold the duty, against calls with a refused
// token, against an answer of an earlier term that counts in a later one, and against a slow API
// getting a second call for the same servers meanwhile.
func TestOrdersAreSentOnlyInATerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cloud{regular: 3, demand: 9, answer: func(scaler.Term, scaler.Order) error { return nil }}
		ctx, cancel := context.WithCancel(t.Context())
		s := scaler.New(c, c, c, meter.New(), hclog.NewNullLogger())
		go func() { _ = s.Serve(ctx) }()
		set := func(change func()) {
			c.mu.Lock()
			change()
			c.mu.Unlock()
			time.Sleep(time.Second)
			synctest.Wait()
		}
		set(func() {})
		assert.Equal(t, len(c.taken()), 0)
		set(func() { c.term = &scaler.Term{Fence: 7} })
		orders := c.taken()
		assert.Equal(t, len(orders), 1, "%v", orders)
		assert.Assert(t, orders[0].Count >= 9 && orders[0].DataCentre == "a" && !orders[0].Spot)

		slow := make(chan struct{})
		set(func() {
			c.term, c.answer = &scaler.Term{Fence: 8}, func(scaler.Term, scaler.Order) error { <-slow; return nil }
		})
		assert.Equal(t, len(c.taken()), 1, "one call at a time")
		set(func() {
			c.term, c.answer = &scaler.Term{Fence: 9}, func(scaler.Term, scaler.Order) error { return scaler.ErrFenceRefused }
		})
		close(slow)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		assert.Equal(t, len(c.taken()), 1, "no call after the refusal")
		assert.DeepEqual(t, c.refused, []uint64{9})
		cancel()
		<-s.Done()
	})
}
