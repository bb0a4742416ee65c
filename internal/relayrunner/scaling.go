package relayrunner

import (
	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/scaler"
)

// AddScaler lets this instance order endpoints while it holds the duty, and tell its peers the demand
// that the holder needs. Call it before Run, only in deployments whose settings name the duty.
func (r *Runner) AddScaler(terms scaler.TermSource, orderer scaler.Orderer, logger hclog.Logger) {
	r.dispatcher.OrderEndpoints()
	r.supervisor.Add(scaler.New(terms, orderer, r.dispatcher, r.counters, logger.Named("scaler")))
}
