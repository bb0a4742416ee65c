package publisher

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/pkg/leaser"
)

// lease carries out the leaser's actions.
func (p *Publisher) lease(ctx context.Context, actions []leaser.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case leaser.Read:
			go p.readLease(ctx)
		case leaser.Write:
			go func() {
				version, err := p.writeLease(ctx, action)
				p.tell(func(now time.Time) { p.leaseWritten(ctx, now, action, version, err) })
			}()
		}
	}
}

// tell has the owner goroutine run an event.
func (p *Publisher) tell(event func(now time.Time)) {
	select {
	case p.events <- event:
	case <-p.done:
	}
}

func (p *Publisher) readLease(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, leaser.CallTimeout)
	defer cancel()
	object, err := p.store.Get(limited, KindLease, LeaseName)
	p.tell(func(now time.Time) {
		observed, readable := observe(object)
		switch {
		case errors.Is(err, ErrAbsent):
			p.lease(ctx, p.leaser.OnRead(now, leaser.StoredLease{}))
		case err != nil || !readable:
			p.counter.Add("lease.read-failed", 1)
			p.leaser.OnReadFailed(now)
		default:
			p.lease(ctx, p.leaser.OnRead(now, observed))
		}
	})
}

func (p *Publisher) writeLease(ctx context.Context, write leaser.Write) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, leaser.CallTimeout)
	defer cancel()
	spec, err := json.Marshal(write.Lease)
	if err != nil {
		return 0, errors.Wrap(err, "encode lease")
	}
	condition := Condition{Version: write.Version, Absent: write.Version == 0}
	object, err := p.store.Put(ctx, KindLease, LeaseName, spec, condition)
	return object.Version, err
}

func (p *Publisher) leaseWritten(ctx context.Context, now time.Time, write leaser.Write, version uint64, err error) {
	var conflict *ConflictError
	switch {
	case err == nil:
		p.leaser.OnWritten(now, write, version)
		p.orders.machine.OnPayloadSaved(write.Lease.Payload)
	case errors.As(err, &conflict):
		observed, _ := observe(conflict.Current)
		p.lease(ctx, p.leaser.OnWriteConflict(now, write, observed))
	default:
		p.counter.Add("lease.write-failed", 1)
		p.leaser.OnWriteFailed(now, write, errors.Is(err, ErrUncertain))
	}
}

// observe decodes a lease object.
func observe(object Object) (leaser.StoredLease, bool) {
	observed := leaser.StoredLease{Version: object.Version}
	if object.Version == 0 {
		return observed, true
	}
	err := json.Unmarshal(object.Spec, &observed.Lease)
	return observed, err == nil
}
