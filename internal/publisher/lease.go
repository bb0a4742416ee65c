package publisher

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/pkg/leaser"
)

// performLeaseActions performs the reads and writes of the lease object that the
// leaser asks for. Their results come back as events.
func (p *Publisher) performLeaseActions(ctx context.Context, actions []leaser.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case leaser.Read:
			go p.readLease(ctx)
		case leaser.Write:
			go func() {
				version, err := p.writeLease(ctx, action)
				p.enqueue(func(now time.Time) { p.handleLeaseWriteResult(ctx, now, action, version, err) })
			}()
		}
	}
}

// enqueue makes the goroutine of Serve run the event. It drops the event if Serve
// has ended.
func (p *Publisher) enqueue(event func(now time.Time)) {
	select {
	case p.events <- event:
	case <-p.done:
	}
}

// readLease reads the lease object and passes the result to the leaser.
func (p *Publisher) readLease(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, leaser.CallTimeout)
	defer cancel()
	object, err := p.store.Get(callCtx, KindLease, LeaseName)
	p.enqueue(func(now time.Time) {
		stored, readable := decodeLease(object)
		switch {
		case errors.Is(err, ErrNotFound):
			p.performLeaseActions(ctx, p.leaser.OnRead(now, leaser.StoredLease{}))
		case err != nil || !readable:
			p.counter.Add("lease.read-failed", 1)
			p.leaser.OnReadFailed(now)
		default:
			p.performLeaseActions(ctx, p.leaser.OnRead(now, stored))
		}
	})
}

// writeLease writes the lease object if its version is still the expected one, and
// returns the new version.
func (p *Publisher) writeLease(ctx context.Context, write leaser.Write) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, leaser.CallTimeout)
	defer cancel()
	spec, err := json.Marshal(write.Lease)
	if err != nil {
		return 0, errors.Wrap(err, "encode lease")
	}
	condition := Condition{ExpectedVersion: write.Version, MustNotExist: write.Version == 0}
	object, err := p.store.Put(ctx, KindLease, LeaseName, spec, condition)
	return object.Version, err
}

// handleLeaseWriteResult passes the result of writeLease to the leaser. After a
// success it also tells the orderer that its payload is stored.
func (p *Publisher) handleLeaseWriteResult(ctx context.Context, now time.Time, write leaser.Write, version uint64, err error) {
	var conflict *ConflictError
	switch {
	case err == nil:
		p.leaser.OnWritten(now, write, version)
		p.orders.orderer.OnPayloadSaved(write.Lease.Payload)
	case errors.As(err, &conflict):
		stored, _ := decodeLease(conflict.Current)
		p.performLeaseActions(ctx, p.leaser.OnWriteConflict(now, write, stored))
	default:
		p.counter.Add("lease.write-failed", 1)
		p.leaser.OnWriteFailed(now, write, errors.Is(err, ErrWriteInDoubt))
	}
}

// decodeLease decodes a lease object. An object with version 0 does not exist and
// decodes to an empty lease. It returns false if the spec cannot be decoded.
func decodeLease(object Object) (leaser.StoredLease, bool) {
	stored := leaser.StoredLease{Version: object.Version}
	if object.Version == 0 {
		return stored, true
	}
	err := json.Unmarshal(object.Spec, &stored.Lease)
	return stored, err == nil
}
