package scaler

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/autoscaler"
)

const (
	// interval is the time between two decisions: short beside the 4 s that an endpoint boots.
	interval = 250 * time.Millisecond
	// callTimeout limits an order's call. One that takes longer is sent again.
	callTimeout = 1500 * time.Millisecond
)

// Scaler orders endpoints while this instance holds the duty.
type Scaler struct {
	terms   TermSource
	orderer Orderer
	state   State
	meter   Meter
	logger  hclog.Logger
	done    chan struct{}

	term       Term                   // the zero value without one
	autoscaler *autoscaler.Autoscaler // nil without a term
	results    chan result
}

// result is how an order of a term ended.
type result struct {
	fence   uint64
	order   autoscaler.Order
	outcome autoscaler.Outcome
	err     error
	elapsed time.Duration
}

// New returns a Scaler. Serve runs it.
func New(terms TermSource, orderer Orderer, state State, meter Meter, logger hclog.Logger) *Scaler {
	return &Scaler{terms: terms, orderer: orderer, state: state, meter: meter, logger: logger, done: make(chan struct{})}
}

// String returns the name under which the supervisor logs this service.
func (s *Scaler) String() string {
	return "scaler"
}

// Done returns a channel that is closed when Serve has ended.
func (s *Scaler) Done() <-chan struct{} {
	return s.done
}

// Serve decides and orders until ctx ends.
func (s *Scaler) Serve(ctx context.Context) error {
	defer close(s.done)
	s.results = make(chan result)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-s.results:
			s.record(r)
		case <-ticker.C:
			s.step(ctx)
		}
	}
}

// step decides, and sends the orders that are due.
func (s *Scaler) step(ctx context.Context) {
	if !s.updateTerm() {
		return
	}
	now := time.Now()
	wanted, ready, spot := 0, 0, 0
	for _, service := range s.state.ScaledServices() {
		if !service.HasCurrentRegistry {
			return // The counts may be wrong, so the numbers are kept.
		}
		observation := observe(service)
		s.autoscaler.Observe(now, observation)
		for _, d := range observation.DataCentres {
			wantedRegular, wantedSpot := s.autoscaler.Wanted(service.Name, d.Name)
			wanted, ready, spot = wanted+wantedRegular+wantedSpot, ready+d.Regular+d.Spot, spot+d.Spot
		}
	}
	s.meter.SetGauge("scaling.wanted", int64(wanted))
	s.meter.SetGauge("scaling.ready", int64(ready))
	s.meter.SetGauge("scaling.spot", int64(spot))
	for _, order := range s.autoscaler.Orders(now) {
		go s.send(ctx, s.term, order)
	}
}

// updateTerm reads the term, and reports whether there is one. A new term begins with what is
// registered.
func (s *Scaler) updateTerm() bool {
	term, ok := s.terms.Term()
	switch {
	case !ok:
		if s.autoscaler != nil {
			s.logger.Info("Orders no longer.", "token", s.term.Fence)
		}
		s.term, s.autoscaler = Term{}, nil
	case s.autoscaler == nil || term.Fence != s.term.Fence:
		s.logger.Info("Orders servers.", "token", term.Fence)
		s.autoscaler = autoscaler.New(autoscaler.DefaultSettings())
	}
	s.term = term

	return ok
}

// send sends an order and reports its result to Serve.
func (s *Scaler) send(ctx context.Context, term Term, order autoscaler.Order) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	startedAt := time.Now()
	err := s.orderer.SetServerCount(callCtx, term, Order{Service: order.Service, DataCentre: order.DataCentre, Count: order.Count, Spot: order.Spot})
	r := result{fence: term.Fence, order: order, outcome: outcomeOf(err), err: err, elapsed: time.Since(startedAt)}
	select {
	case s.results <- r:
	case <-ctx.Done():
	}
}

// outcomeOf returns the outcome that an Orderer's error stands for.
func outcomeOf(err error) autoscaler.Outcome {
	switch {
	case err == nil:
		return autoscaler.Done
	case errors.Is(err, ErrUnavailable):
		return autoscaler.Unavailable
	case errors.Is(err, ErrRateLimited):
		return autoscaler.RateLimited
	case errors.Is(err, ErrNotExecuted), errors.Is(err, ErrFenceRefused):
		return autoscaler.NotExecuted
	default:
		return autoscaler.InDoubt
	}
}

// record logs and counts the result of an order. That of an earlier term is not used.
func (s *Scaler) record(r result) {
	fields := []any{
		"service", r.order.Service, "data centre", r.order.DataCentre, "spot", r.order.Spot, "count", r.order.Count, "previous", r.order.Previous,
		"registered", r.order.Registered, "demand", r.order.Demand, "price", r.order.Price, "repeated", r.order.IsRepeat,
		"outcome", r.outcome.String(), "token", r.fence, "ms", r.elapsed.Milliseconds(),
	}
	if r.err == nil {
		s.logger.Info("Ordered servers.", fields...)
	} else {
		s.logger.Warn("Order of servers failed.", append(fields, "error", r.err)...)
	}
	s.meter.Add("scaling.orders."+r.outcome.String(), 1)
	if errors.Is(r.err, ErrFenceRefused) {
		s.terms.Refused(r.fence)
	}
	if s.autoscaler != nil && r.fence == s.term.Fence {
		s.autoscaler.Record(time.Now(), r.order, r.outcome)
	}
}

// observe returns what is known of a service in the terms of package autoscaler.
func observe(service dispatcher.ScaledService) autoscaler.Observation {
	byName := map[string]*autoscaler.DataCentre{}
	get := func(name string) *autoscaler.DataCentre {
		if byName[name] == nil {
			byName[name] = &autoscaler.DataCentre{Name: name}
		}

		return byName[name]
	}
	for _, endpoint := range service.Endpoints {
		d := get(endpoint.DataCentre)
		switch {
		case endpoint.IsLeaving() && endpoint.Spot:
			d.LeavingSpot++
		case endpoint.IsLeaving():
		case endpoint.Spot:
			d.Spot++
		default:
			d.Regular++
		}
	}
	for name, demand := range service.Demands {
		d := get(name)
		// Only long prompts are postponed.
		d.Demand, d.Critical, d.DemandAge, d.HasDemand = demand.Short+demand.Long, demand.Short, demand.Age, true
	}
	for name := range service.Scale.DataCentrePrices {
		get(name)
	}
	observation := autoscaler.Observation{Service: service.Name, Limits: autoscaler.Limits{
		Min: service.Scale.Min, Max: service.Scale.Max, BootTime: service.Scale.BootTime, SpotPrice: service.Scale.SpotPrice, Prices: service.Scale.DataCentrePrices,
	}}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		observation.DataCentres = append(observation.DataCentres, *byName[name])
	}

	return observation
}
