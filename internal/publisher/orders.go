package publisher

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/commander"
	"github.com/oleanderpick/oleanderpick/pkg/declarer"
	"github.com/oleanderpick/oleanderpick/pkg/orderer"
	"github.com/oleanderpick/oleanderpick/pkg/reviser"
)

// progressRetryDelay is the time after a failed write of a planned change's progress
// until the write is repeated.
const progressRetryDelay = 2 * time.Second

// EngineClient reads the states of model engines and sends them orders.
type EngineClient interface {
	// ReadState returns the state of the engine at an address.
	ReadState(ctx context.Context, address string) (orderer.EngineState, error)
	// SendOrder sends an order to its engine and returns the engine's state after
	// it. If the engine refuses the order, the error is a *commander.RefusedError.
	SendOrder(ctx context.Context, order orderer.Order) (orderer.EngineState, error)
}

// engineOrders holds what a publisher needs to carry out planned changes: the state
// machine that decides on the orders, and the client that sends them.
type engineOrders struct {
	orderer *orderer.Orderer
	engines EngineClient
}

func newEngineOrders(settings orderer.Settings, engines EngineClient) *engineOrders {
	return &engineOrders{orderer: orderer.New(settings), engines: engines}
}

// planOrders makes the orderer plan the orders that are due, and performs them. It
// does nothing until the resources were listed, because their statuses state which
// planned changes are done.
func (p *Publisher) planOrders(now time.Time, leaseEnd time.Time) {
	if p.term.objects == nil {
		return
	}
	if revision := p.currentRevision(); revision.Number != p.term.plannedRevision {
		p.term.plannedRevision = revision.Number
		p.orders.orderer.Configure(revision.Resources(), p.doneChangeNames(revision))
	}
	p.orders.orderer.OnLeaseRenewed(leaseEnd)
	p.performOrderActions(p.orders.orderer.Tick(now))
}

// doneChangeNames returns the names of those planned changes in force whose status
// says that their current generation is done.
func (p *Publisher) doneChangeNames(revision reviser.Revision) []string {
	var names []string
	for _, change := range revision.Resources().ChangeList() {
		object := p.term.objects[declarer.Key{Kind: declarer.KindPlannedChange, Name: change.Name}]
		var progress progressStatus
		err := json.Unmarshal(StatusSection(object.Status, ProgressSection), &progress)
		if err == nil && progress.Phase == orderer.PhaseDone && progress.Generation == object.Generation {
			names = append(names, change.Name)
		}
	}
	return names
}

// progressStatus is the content of the ProgressSection of a planned change's status.
type progressStatus struct {
	orderer.Progress
	// Generation is the generation of the planned change to which the progress
	// applies.
	Generation uint64 `json:"generation"`
}

// performOrderActions performs the reads, orders, writes and reports that the orderer
// asks for.
func (p *Publisher) performOrderActions(actions []orderer.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case orderer.ReadState:
			p.callUnderLease(func(ctx context.Context, t *leaseTerm) { p.readEngineState(ctx, t, action) })
		case orderer.Order:
			p.counter.Add("orders.given", 1)
			p.callUnderLease(func(ctx context.Context, t *leaseTerm) { p.sendOrder(ctx, t, action) })
		case orderer.SavePayload:
			p.leaser.SetPayload(p.orders.orderer.Payload())
			p.performLeaseActions(p.term.ctx, p.leaser.Flush(time.Now()))
		case orderer.ReportProgress:
			p.reportProgress(action)
		case orderer.Superseded:
			p.counter.Add("orders.superseded", 1)
			p.logger.Warn("Endpoint has seen a higher fencing token.", "endpoint", action.Endpoint, "fence", action.Fence)
			p.leaser.RecordFence(action.Fence)
		}
	}
}

// readEngineState reads an engine's state and passes the result to the orderer.
func (p *Publisher) readEngineState(ctx context.Context, t *leaseTerm, action orderer.ReadState) {
	state, err := p.orders.engines.ReadState(ctx, action.Address)
	p.enqueueForTerm(t, func(now time.Time) {
		if err != nil {
			p.orders.orderer.OnStateReadFailed(action.Endpoint, err.Error())
			return
		}
		p.performOrderActions(p.orders.orderer.OnStateRead(now, action, state))
	})
}

// sendOrder sends an order to its engine and passes the result to the orderer.
func (p *Publisher) sendOrder(ctx context.Context, t *leaseTerm, action orderer.Order) {
	state, err := p.orders.engines.SendOrder(ctx, action)
	p.enqueueForTerm(t, func(now time.Time) {
		var refused *commander.RefusedError
		switch {
		case err == nil:
			p.performOrderActions(p.orders.orderer.OnOrderAccepted(now, action, state))
		case errors.As(err, &refused) && refused.State.Fence > action.Fence:
			p.counter.Add("orders.refused", 1)
			p.performOrderActions(p.orders.orderer.OnOrderRefused(action, refused.State.Fence))
		default:
			p.counter.Add("orders.failed", 1)
			p.orders.orderer.OnOrderFailed(action, err.Error())
		}
	})
}

// reportProgress logs the progress of a planned change and writes it into the
// change's status.
func (p *Publisher) reportProgress(action orderer.ReportProgress) {
	p.logger.Info("Planned change progressed.", "name", action.ChangeName, "phase", string(action.Progress.Phase), "done", action.Progress.DoneEndpoints, "reason", action.Progress.Reason)
	key := declarer.Key{Kind: declarer.KindPlannedChange, Name: action.ChangeName}
	p.term.latestProgress[key] = action.Progress
	p.callUnderLease(func(ctx context.Context, t *leaseTerm) { p.writeProgress(ctx, t, key, action.Progress) })
}

// writeProgress writes the progress of a planned change into its status. It reads
// the object first, because the status changes often. A failed write is repeated
// after progressRetryDelay, unless the change has made other progress by then.
func (p *Publisher) writeProgress(ctx context.Context, t *leaseTerm, key declarer.Key, progress orderer.Progress) {
	object, err := p.store.Get(ctx, key.Kind, key.Name)
	if errors.Is(err, ErrNotFound) {
		return
	}
	if err == nil {
		err = p.putStatusSection(ctx, key, ProgressSection, progressStatus{Progress: progress, Generation: object.Generation}, object)
	}
	if err == nil {
		return
	}
	sleep(t.ctx, progressRetryDelay)
	p.enqueueForTerm(t, func(time.Time) {
		if latest := p.term.latestProgress[key]; latest.Equal(progress) {
			p.callUnderLease(func(ctx context.Context, t *leaseTerm) { p.writeProgress(ctx, t, key, progress) })
		}
	})
}
