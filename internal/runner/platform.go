package runner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/publisher"
	"github.com/oleanderpick/oleanderpick/internal/storer"
)

const (
	listLimit = 500
	watchWait = 30 * time.Second
)

// platform is the store as a publisher sees it.
type platform struct {
	client *storer.Client
}

// Get reads an object.
func (p platform) Get(ctx context.Context, kind, name string) (publisher.Object, error) {
	object, err := p.client.Get(ctx, kind, name)

	return publisher.Object(object), translated(err)
}

// List returns a page of objects after the given name.
func (p platform) List(ctx context.Context, kind, after string) (publisher.Page, error) {
	page, err := p.client.List(ctx, kind, after, listLimit)

	return publisher.Page{StoreCounter: page.StoreCounter, Items: objects(page.Items), HasMore: page.HasMore}, translated(err)
}

// Put writes an object's spec.
func (p platform) Put(ctx context.Context, kind, name string, spec json.RawMessage, condition publisher.Condition) (publisher.Object, error) {
	object, err := p.client.Put(ctx, kind, name, spec, conditionOf(condition))

	return publisher.Object(object), translated(err)
}

// PutStatus writes an object's status.
func (p platform) PutStatus(ctx context.Context, kind, name string, status json.RawMessage, condition publisher.Condition) (publisher.Object, error) {
	object, err := p.client.PutStatus(ctx, kind, name, status, conditionOf(condition))

	return publisher.Object(object), translated(err)
}

// Delete removes an object.
func (p platform) Delete(ctx context.Context, kind, name string, condition publisher.Condition) error {
	return translated(p.client.Delete(ctx, kind, name, conditionOf(condition)))
}

// WatchKind waits for changes of a kind.
func (p platform) WatchKind(ctx context.Context, kind string, revision uint64) (publisher.Changes, bool, error) {
	changes, changed, err := p.client.WatchKind(ctx, kind, revision, watchWait)

	return publisher.Changes{
		StoreCounter: changes.StoreCounter,
		Items:        objects(changes.Items),
		DeletedNames: changes.DeletedNames,
	}, changed, translated(err)
}

func objects(items []storer.Object) []publisher.Object {
	converted := make([]publisher.Object, 0, len(items))
	for _, item := range items {
		converted = append(converted, publisher.Object(item))
	}

	return converted
}

func conditionOf(condition publisher.Condition) storer.Condition {
	switch {
	case condition.MustNotExist:
		return storer.IfNotExists()
	case condition.ExpectedVersion > 0:
		return storer.IfVersion(condition.ExpectedVersion)
	default:
		return storer.Always()
	}
}

// translated returns the publisher's error for a store's.
func translated(err error) error {
	var conflict *storer.ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return &publisher.ConflictError{Current: publisher.Object(conflict.Current)}
	case errors.Is(err, storer.ErrNotFound):
		return publisher.ErrNotFound
	case errors.Is(err, storer.ErrWriteInDoubt):
		return publisher.ErrWriteInDoubt
	default:
		return err
	}
}
