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

// progressRetry is the time before an unwritten progress is written again.
const progressRetry = 2 * time.Second

// Engines gives orders to model engines. A refused order is a
// *commander.RefusedError.
type Engines interface {
	State(ctx context.Context, address string) (orderer.EngineState, error)
	Order(ctx context.Context, order orderer.Order) (orderer.EngineState, error)
}

// orders is the part of a publisher that carries out planned changes.
type orders struct {
	machine *orderer.Orderer
	engines Engines
}

func newOrders(settings orderer.Settings, engines Engines) *orders {
	return &orders{machine: orderer.New(settings), engines: engines}
}

// order plans and gives the orders that are due. It begins once the resources
// were listed, as their statuses tell which changes are done.
func (p *Publisher) order(now time.Time, until time.Time) {
	if p.term.objects == nil {
		return
	}
	if revision := p.current(); revision.Number != p.term.ordered {
		p.term.ordered = revision.Number
		p.orders.machine.Configure(revision.Resources(), p.doneChanges(revision))
	}
	p.orders.machine.OnLeaseRenewed(until)
	p.command(p.orders.machine.Tick(now))
}

// doneChanges returns the changes in force that were reported done in the form that
// is in force.
func (p *Publisher) doneChanges(revision reviser.Revision) []string {
	var names []string
	for _, change := range revision.Resources().ChangeList() {
		object := p.term.objects[declarer.Key{Kind: declarer.KindPlannedChange, Name: change.Name}]
		var progress report
		err := json.Unmarshal(Section(object.Status, SectionProgress), &progress)
		if err == nil && progress.Phase == orderer.PhaseDone && progress.Generation == object.Generation {
			names = append(names, change.Name)
		}
	}
	return names
}

// report is a progress as it stands in a status.
type report struct {
	orderer.Progress
	// Generation is that of the change that it is about.
	Generation uint64 `json:"generation"`
}

// command carries out the orderer's actions.
func (p *Publisher) command(actions []orderer.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case orderer.ReadState:
			p.under(func(ctx context.Context, t *term) { p.readState(ctx, t, action) })
		case orderer.Order:
			p.counter.Add("orders.given", 1)
			p.under(func(ctx context.Context, t *term) { p.giveOrder(ctx, t, action) })
		case orderer.SavePayload:
			p.leaser.SetPayload(p.orders.machine.Payload())
			p.lease(p.term.ctx, p.leaser.Flush(time.Now()))
		case orderer.ReportProgress:
			p.report(action)
		case orderer.Superseded:
			p.counter.Add("orders.superseded", 1)
			p.logger.Warn("Endpoint knows a higher fencing number.", "endpoint", action.Endpoint, "fence", action.Fence)
			p.leaser.RecordFence(action.Fence)
		}
	}
}

func (p *Publisher) readState(ctx context.Context, t *term, action orderer.ReadState) {
	state, err := p.orders.engines.State(ctx, action.Address)
	p.send(t, func(now time.Time) {
		if err != nil {
			p.orders.machine.OnStateReadFailed(action.Endpoint, err.Error())
			return
		}
		p.command(p.orders.machine.OnStateRead(now, action, state))
	})
}

func (p *Publisher) giveOrder(ctx context.Context, t *term, action orderer.Order) {
	state, err := p.orders.engines.Order(ctx, action)
	p.send(t, func(now time.Time) {
		var refused *commander.RefusedError
		switch {
		case err == nil:
			p.command(p.orders.machine.OnOrderAccepted(now, action, state))
		case errors.As(err, &refused) && refused.State.Fence > action.Fence:
			p.counter.Add("orders.refused", 1)
			p.command(p.orders.machine.OnOrderRefused(action, refused.State.Fence))
		default:
			p.counter.Add("orders.failed", 1)
			p.orders.machine.OnOrderFailed(action, err.Error())
		}
	})
}

// report writes the progress of a change into its status.
func (p *Publisher) report(action orderer.ReportProgress) {
	p.logger.Info("Planned change.", "name", action.ChangeName, "phase", string(action.Progress.Phase), "done", action.Progress.DoneEndpoints, "reason", action.Progress.Reason)
	key := declarer.Key{Kind: declarer.KindPlannedChange, Name: action.ChangeName}
	p.term.progress[key] = action.Progress
	p.under(func(ctx context.Context, t *term) { p.writeProgress(ctx, t, key, action.Progress) })
}

// writeProgress reads the object, as its status changes often, and replaces its
// progress unless a newer one is known by then.
func (p *Publisher) writeProgress(ctx context.Context, t *term, key declarer.Key, progress orderer.Progress) {
	object, err := p.store.Get(ctx, key.Kind, key.Name)
	if errors.Is(err, ErrAbsent) {
		return
	}
	if err == nil {
		err = p.putSection(ctx, key, SectionProgress, report{Progress: progress, Generation: object.Generation}, object)
	}
	if err == nil {
		return
	}
	rest(t.ctx, progressRetry)
	p.send(t, func(time.Time) {
		if latest := p.term.progress[key]; latest.Equal(progress) {
			p.under(func(ctx context.Context, t *term) { p.writeProgress(ctx, t, key, progress) })
		}
	})
}
