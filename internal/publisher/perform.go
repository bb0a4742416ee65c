package publisher

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
	"github.com/oleanderpick/oleanderpick/pkg/reviser"
)

// act carries out the machine's actions.
func (p *Publisher) act(actions []reviser.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case reviser.LoadHead:
			known := p.current()
			p.under(func(ctx context.Context, t *term) { p.load(ctx, t, known) })
		case reviser.WritePart:
			p.under(func(ctx context.Context, t *term) { p.writePart(ctx, t, action) })
		case reviser.WriteHead:
			p.under(func(ctx context.Context, t *term) { p.writeHead(ctx, t, action) })
		case reviser.WriteStatus:
			object := p.term.objects[action.Key]
			p.under(func(ctx context.Context, t *term) { p.writeStatus(ctx, t, action, object) })
		case reviser.DeletePart:
			p.under(func(ctx context.Context, _ *term) {
				// What stays is deleted by a later sweep.
				_ = p.store.Delete(ctx, KindPart, action.Hash, Condition{ExpectedVersion: action.ExpectedVersion})
			})
		case reviser.ReportRefusal:
			p.refused(action)
		}
	}
}

// under makes a call in a goroutine of its own that ends with the lease at the
// latest: the lease is checked right before, and the call's deadline is its end.
func (p *Publisher) under(call func(ctx context.Context, t *term)) {
	t := p.term
	now := time.Now()
	_, until, held := p.leaser.Held(now)
	if !held {
		return
	}
	deadline := now.Add(callTimeout)
	if until.Before(deadline) {
		deadline = until
	}
	go func() {
		ctx, cancel := context.WithDeadline(t.ctx, deadline)
		defer cancel()
		if ctx.Err() == nil {
			call(ctx, t)
		}
	}()
}

// refused lists the resources anew after a pause.
func (p *Publisher) refused(action reviser.ReportRefusal) {
	t := p.term
	p.counter.Add("listings.refused", 1)
	p.logger.Warn("Listing refused.", "reason", action.Reason)
	go func() {
		rest(t.ctx, refusedPause)
		p.send(t, func(time.Time) { p.collect(t) })
	}()
}

// load reads the head and opens its revision.
func (p *Publisher) load(ctx context.Context, t *term, known reviser.Revision) {
	stored, err := p.read(ctx, known)
	p.send(t, func(now time.Time) {
		if err != nil {
			p.logger.Warn("Head not read.", "error", err)
			p.machine.OnHeadLoadFailed(now)
			return
		}
		p.act(p.machine.OnHeadLoaded(now, stored))
	})
}

func (p *Publisher) read(ctx context.Context, known reviser.Revision) (reviser.StoredHead, error) {
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
	parts, err := p.parts(ctx, known, stored.Head.PartHashes)
	if err != nil {
		return reviser.StoredHead{}, err
	}
	stored.Revision, err = reviser.Assemble(known, stored.Head, parts)
	return stored, err
}

// parts returns the parts, those that are not known from the store.
func (p *Publisher) parts(ctx context.Context, known reviser.Revision, hashes []string) ([]reviser.Part, error) {
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

func (p *Publisher) writePart(ctx context.Context, t *term, action reviser.WritePart) {
	spec, err := json.Marshal(action.Part)
	if err == nil {
		_, err = p.store.Put(ctx, KindPart, action.Part.Hash, spec, Condition{})
	}
	p.send(t, func(now time.Time) {
		if err != nil {
			p.machine.OnPartWriteFailed(now, action.Part.Hash)
			return
		}
		p.act(p.machine.OnPartWritten(now, action.Part.Hash))
	})
}

func (p *Publisher) writeHead(ctx context.Context, t *term, action reviser.WriteHead) {
	var object Object
	spec, err := json.Marshal(action.Head)
	if err == nil {
		condition := Condition{ExpectedVersion: action.ExpectedVersion, MustNotExist: action.ExpectedVersion == 0}
		object, err = p.store.Put(ctx, KindHead, HeadName, spec, condition)
	}
	p.send(t, func(now time.Time) {
		var conflict *ConflictError
		switch {
		case err == nil:
			p.logger.Info("Revision published.", "number", action.Head.Number, "parts", len(action.Head.PartHashes))
			p.counter.Add("revisions.published", 1)
			p.act(p.machine.OnHeadWritten(now, action.Head.Number, object.Version))
		case errors.As(err, &conflict):
			p.counter.Add("revisions.conflicts", 1)
			p.act(p.machine.OnHeadWriteConflict(now))
		default:
			p.counter.Add("revisions.unwritten", 1)
			p.act(p.machine.OnHeadWriteFailed(now))
		}
	})
}

// writeStatus replaces the acceptance in the status and keeps what others wrote.
func (p *Publisher) writeStatus(ctx context.Context, t *term, action reviser.WriteStatus, object Object) {
	err := p.putSection(ctx, action.Key, SectionAcceptance, action.Status, object)
	var conflict *ConflictError
	if errors.As(err, &conflict) && conflict.Current.Version > 0 {
		err = p.putSection(ctx, action.Key, SectionAcceptance, action.Status, conflict.Current)
	}
	p.send(t, func(now time.Time) {
		if err == nil {
			p.act(p.machine.OnStatusWritten(now, action.Key, action.Status))
			return
		}
		gone := errors.Is(err, ErrNotFound) || errors.As(err, &conflict) && conflict.Current.Version == 0
		p.machine.OnStatusWriteFailed(now, action.Key, gone)
	})
}

func (p *Publisher) putSection(ctx context.Context, key declarer.Key, name string, value any, object Object) error {
	status, err := WithSection(object.Status, name, value)
	if err != nil {
		return err
	}
	_, err = p.store.PutStatus(ctx, key.Kind, key.Name, status, Condition{ExpectedVersion: object.Version})
	return err
}

// sweep looks for parts that no recent revision uses.
func (p *Publisher) sweep(t *term) {
	p.under(func(ctx context.Context, _ *term) {
		found := make(map[string]uint64)
		for after, more := "", true; more; {
			page, err := p.store.List(ctx, KindPart, after)
			if err != nil {
				return // The next sweep finds them.
			}
			for _, object := range page.Items {
				found[object.Name] = object.Version
				after = object.Name
			}
			more = page.HasMore && len(page.Items) > 0
		}
		p.send(t, func(time.Time) { p.act(p.machine.DeleteUnusedParts(found)) })
	})
}
