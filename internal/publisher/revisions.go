package publisher

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
	"github.com/oleanderpick/oleanderpick/pkg/reviser"
)

// performReviserActions performs the reads and writes that the reviser asks for.
// Their results come back as events.
func (p *Publisher) performReviserActions(actions []reviser.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case reviser.LoadHead:
			known := p.currentRevision()
			p.callUnderLease(func(ctx context.Context, t *leaseTerm) { p.loadHead(ctx, t, known) })
		case reviser.WritePart:
			p.callUnderLease(func(ctx context.Context, t *leaseTerm) { p.writePart(ctx, t, action) })
		case reviser.WriteHead:
			p.callUnderLease(func(ctx context.Context, t *leaseTerm) { p.writeHead(ctx, t, action) })
		case reviser.WriteStatus:
			object := p.term.objects[action.Key]
			p.callUnderLease(func(ctx context.Context, t *leaseTerm) { p.writeStatus(ctx, t, action, object) })
		case reviser.DeletePart:
			p.callUnderLease(func(ctx context.Context, _ *leaseTerm) {
				// If this fails, deleteUnusedParts finds the part again.
				_ = p.store.Delete(ctx, KindPart, action.Hash, Condition{ExpectedVersion: action.ExpectedVersion})
			})
		case reviser.ReportRefusal:
			p.handleRefusedListing(action)
		}
	}
}

// callUnderLease runs a call in a goroutine of its own. It checks first that the lease
// is held, and does nothing if it is not. The call's deadline is the end of the lease
// or callTimeout from now, whichever comes first.
func (p *Publisher) callUnderLease(call func(ctx context.Context, t *leaseTerm)) {
	t := p.term
	now := time.Now()
	_, leaseEnd, held := p.leaser.Held(now)
	if !held {
		return
	}
	deadline := now.Add(callTimeout)
	if leaseEnd.Before(deadline) {
		deadline = leaseEnd
	}
	go func() {
		ctx, cancel := context.WithDeadline(t.ctx, deadline)
		defer cancel()
		if ctx.Err() == nil {
			call(ctx, t)
		}
	}()
}

// handleRefusedListing logs and counts a refused listing, and lists the resources
// again after refusedListingDelay.
func (p *Publisher) handleRefusedListing(action reviser.ReportRefusal) {
	t := p.term
	p.counter.Add("listings.refused", 1)
	p.logger.Warn("Listing refused.", "reason", action.Reason)
	go func() {
		sleep(t.ctx, refusedListingDelay)
		p.enqueueForTerm(t, func(time.Time) { p.restartCollector(t) })
	}()
}

// loadHead reads the head and its revision and passes them to the reviser. It reads
// only the parts that the known revision does not have.
func (p *Publisher) loadHead(ctx context.Context, t *leaseTerm, known reviser.Revision) {
	stored, err := p.readHead(ctx, known)
	p.enqueueForTerm(t, func(now time.Time) {
		if err != nil {
			p.logger.Warn("Reading the revision head failed.", "error", err)
			p.reviser.OnHeadLoadFailed(now)
			return
		}
		p.performReviserActions(p.reviser.OnHeadLoaded(now, stored))
	})
}

// readHead returns the stored head with its revision. Without a head object it
// returns the zero value.
func (p *Publisher) readHead(ctx context.Context, known reviser.Revision) (reviser.StoredHead, error) {
	object, err := p.store.Get(ctx, KindHead, HeadName)
	if errors.Is(err, ErrNotFound) {
		return reviser.StoredHead{}, nil
	}
	if err != nil {
		return reviser.StoredHead{}, err
	}
	stored := reviser.StoredHead{Version: object.Version}
	if err := json.Unmarshal(object.Spec, &stored.Head); err != nil {
		return reviser.StoredHead{}, errors.Wrap(err, "decode head")
	}
	parts, err := p.readParts(ctx, known, stored.Head.PartHashes)
	if err != nil {
		return reviser.StoredHead{}, err
	}
	stored.Revision, err = reviser.Assemble(known, stored.Head, parts)
	return stored, err
}

// readParts returns the parts with the given hashes, in order. It takes them from the
// known revision if that has them, and from the store otherwise.
func (p *Publisher) readParts(ctx context.Context, known reviser.Revision, hashes []string) ([]reviser.Part, error) {
	parts := make([]reviser.Part, 0, len(hashes))
	for _, hash := range hashes {
		if part, found := known.Part(hash); found {
			parts = append(parts, part)
			continue
		}
		object, err := p.store.Get(ctx, KindPart, hash)
		if err != nil {
			return nil, err
		}
		var part reviser.Part
		if err := json.Unmarshal(object.Spec, &part); err != nil {
			return nil, errors.Wrap(err, "decode part")
		}
		parts = append(parts, part)
	}
	return parts, nil
}

// writePart writes a part to the store and passes the result to the reviser.
func (p *Publisher) writePart(ctx context.Context, t *leaseTerm, action reviser.WritePart) {
	spec, err := json.Marshal(action.Part)
	if err == nil {
		_, err = p.store.Put(ctx, KindPart, action.Part.Hash, spec, Condition{})
	}
	p.enqueueForTerm(t, func(now time.Time) {
		if err != nil {
			p.reviser.OnPartWriteFailed(now, action.Part.Hash)
			return
		}
		p.performReviserActions(p.reviser.OnPartWritten(now, action.Part.Hash))
	})
}

// writeHead writes the head if its version is still the expected one, and passes the
// result to the reviser.
func (p *Publisher) writeHead(ctx context.Context, t *leaseTerm, action reviser.WriteHead) {
	var object Object
	spec, err := json.Marshal(action.Head)
	if err == nil {
		condition := Condition{ExpectedVersion: action.ExpectedVersion, MustNotExist: action.ExpectedVersion == 0}
		object, err = p.store.Put(ctx, KindHead, HeadName, spec, condition)
	}
	p.enqueueForTerm(t, func(now time.Time) {
		var conflict *ConflictError
		switch {
		case err == nil:
			p.logger.Info("Revision published.", "number", action.Head.Number, "parts", len(action.Head.PartHashes))
			p.counter.Add("revisions.published", 1)
			p.performReviserActions(p.reviser.OnHeadWritten(now, action.Head.Number, object.Version))
		case errors.As(err, &conflict):
			p.counter.Add("revisions.conflicts", 1)
			p.performReviserActions(p.reviser.OnHeadWriteConflict(now))
		default:
			p.counter.Add("revisions.unwritten", 1)
			p.performReviserActions(p.reviser.OnHeadWriteFailed(now))
		}
	})
}

// writeStatus replaces the AcceptanceSection of a resource's status and keeps the
// sections of other writers. After a conflict it tries once more with the object as
// it is in the store.
func (p *Publisher) writeStatus(ctx context.Context, t *leaseTerm, action reviser.WriteStatus, object Object) {
	err := p.putStatusSection(ctx, action.Key, AcceptanceSection, action.Status, object)
	var conflict *ConflictError
	if errors.As(err, &conflict) && conflict.Current.Version > 0 {
		err = p.putStatusSection(ctx, action.Key, AcceptanceSection, action.Status, conflict.Current)
	}
	p.enqueueForTerm(t, func(now time.Time) {
		if err == nil {
			p.performReviserActions(p.reviser.OnStatusWritten(now, action.Key, action.Status))
			return
		}
		gone := errors.Is(err, ErrNotFound) || errors.As(err, &conflict) && conflict.Current.Version == 0
		p.reviser.OnStatusWriteFailed(now, action.Key, gone)
	})
}

// putStatusSection writes an object's status with one section replaced, if the object
// still has the given version.
func (p *Publisher) putStatusSection(ctx context.Context, key declarer.Key, name string, value any, object Object) error {
	status, err := WithStatusSection(object.Status, name, value)
	if err != nil {
		return err
	}
	_, err = p.store.PutStatus(ctx, key.Kind, key.Name, status, Condition{ExpectedVersion: object.Version})
	return err
}

// deleteUnusedParts lists the parts in the store and has those deleted that no recent
// revision uses.
func (p *Publisher) deleteUnusedParts(t *leaseTerm) {
	p.callUnderLease(func(ctx context.Context, _ *leaseTerm) {
		storedVersions := make(map[string]uint64)
		for afterName, more := "", true; more; {
			page, err := p.store.List(ctx, KindPart, afterName)
			if err != nil {
				return // The parts are listed again after unusedPartsInterval.
			}
			for _, object := range page.Items {
				storedVersions[object.Name] = object.Version
			}
			more, afterName = page.HasMore, page.LastName
		}
		p.enqueueForTerm(t, func(time.Time) { p.performReviserActions(p.reviser.DeleteUnusedParts(storedVersions)) })
	})
}
