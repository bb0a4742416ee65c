// Package scaler orders the endpoints of services that the configuration scales, on the instance
// that holds the duty. It shows package autoscaler what the registry and the instances' demands say,
// sends its orders to the cloud API, and logs and counts them.
package scaler

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
)

// Term is the right to send orders.
type Term struct {
	// Fence is the fencing token of the term.
	Fence uint64
	// EndsAt is the time since boot before which the last byte of an order must have left.
	EndsAt time.Duration
}

// TermSource tells whether this instance holds the duty.
type TermSource interface {
	// Term returns the current term; false if this instance does not hold the duty now.
	Term() (Term, bool)
	// Refused ends the term with a token that the cloud API refused.
	Refused(fence uint64)
}

// Order is a number of endpoints of one kind that a service should have in a data centre.
type Order struct {
	Service, DataCentre string
	Count               int
	Spot                bool
}

// Orderer sends orders to the cloud API. SetServerCount returns nil if the order was accepted, or one
// of the package's errors. Any other error counts as ErrInDoubt.
type Orderer interface {
	SetServerCount(ctx context.Context, term Term, order Order) error
}

// The errors of an Orderer.
var (
	// ErrFenceRefused means that a holder with a higher token has called.
	ErrFenceRefused = errors.New("the fencing token was refused")
	// ErrUnavailable means that there are no endpoints of the kind at the moment.
	ErrUnavailable = errors.New("no such endpoints are available")
	// ErrRateLimited means that there were too many calls.
	ErrRateLimited = errors.New("too many calls")
	// ErrNotExecuted means that the order did not and will not take effect.
	ErrNotExecuted = errors.New("the order was not executed")
	// ErrInDoubt means that the order may have been executed or may be later.
	ErrInDoubt = errors.New("the order is in doubt")
)

// State is what this instance knows of the scaled services.
type State interface {
	ScaledServices() []dispatcher.ScaledService
}

// Meter counts events and shows numbers.
type Meter interface {
	Add(name string, count int64)
	SetGauge(name string, value int64)
}
