package relayrunner

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/thejerf/suture/v4"

	"github.com/oleanderpick/oleanderpick/internal/cloudcaller"
	"github.com/oleanderpick/oleanderpick/internal/dutyholder"
	"github.com/oleanderpick/oleanderpick/internal/scaler"
)

// newScaler returns the service that orders endpoints while this instance holds the duty, and lets the
// instance tell its peers the demand that the holder needs.
func (r *Runner) newScaler(holder *dutyholder.Holder, client *cloudcaller.Client, logger hclog.Logger) suture.Service {
	r.dispatcher.OrderEndpoints()

	return scaler.New(scalingTerms{holder}, cloudOrderer{client, holder}, r.dispatcher, r.counters, logger)
}

// scalingTerms are the terms of the duty as the scaler knows them.
type scalingTerms struct {
	holder *dutyholder.Holder
}

func (t scalingTerms) Term() (scaler.Term, bool) {
	term, ok := t.holder.Term()

	return scaler.Term{Fence: term.Fence, EndsAt: term.EndsAt}, ok
}

func (t scalingTerms) Refused(fence uint64) { t.holder.Refused(fence) }

// cloudOrderer sends the scaler's orders to the cloud API.
type cloudOrderer struct {
	client *cloudcaller.Client
	holder *dutyholder.Holder
}

// scalerErrors maps the errors of cloud calls to those that the scaler tells apart.
var scalerErrors = map[error]error{
	cloudcaller.ErrFenceRefused: scaler.ErrFenceRefused,
	cloudcaller.ErrUnavailable:  scaler.ErrUnavailable,
	cloudcaller.ErrRateLimited:  scaler.ErrRateLimited,
	cloudcaller.ErrNotExecuted:  scaler.ErrNotExecuted,
	cloudcaller.ErrInDoubt:      scaler.ErrInDoubt,
}

// SetServerCount sends an order. The cloud API refuses an order of spot endpoints alike if there are none and if
// the fencing token is old, so after that the lease is confirmed before the next call.
func (o cloudOrderer) SetServerCount(ctx context.Context, term scaler.Term, order scaler.Order) error {
	err := o.client.SetServerCount(ctx, dutyholder.Term{Fence: term.Fence, EndsAt: term.EndsAt}, cloudcaller.Order(order))
	if errors.Is(err, cloudcaller.ErrUnavailable) {
		o.holder.Confirm(term.Fence)
	}
	for callErr, scalerErr := range scalerErrors {
		if errors.Is(err, callErr) {
			return errors.Wrap(scalerErr, err.Error())
		}
	}

	return err
}
