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
	// listPageSize is the maximum number of objects in one page of a listing.
	listPageSize = 500
	// watchTimeout is the longest time that one watch request waits for a change.
	watchTimeout = 30 * time.Second
)

// storeAdapter adapts a storer.Client to the Store interface of the publisher and of the
// reporter.
type storeAdapter struct {
	client *storer.Client
}

// Get returns the named object of a kind.
func (a storeAdapter) Get(ctx context.Context, kind, name string) (publisher.Object, error) {
	object, err := a.client.Get(ctx, kind, name)

	return publisher.Object(object), convertError(err)
}

// List returns the first page of the objects whose names sort after the given one.
func (a storeAdapter) List(ctx context.Context, kind, after string) (publisher.Page, error) {
	page, err := a.client.List(ctx, kind, after, listPageSize)

	return publisher.Page{StoreCounter: page.StoreCounter, Items: convertObjects(page.Items), HasMore: page.HasMore, LastName: page.LastName}, convertError(err)
}

// Put writes the spec of an object if the condition holds.
func (a storeAdapter) Put(ctx context.Context, kind, name string, spec json.RawMessage, condition publisher.Condition) (publisher.Object, error) {
	object, err := a.client.Put(ctx, kind, name, spec, convertCondition(condition))

	return publisher.Object(object), convertError(err)
}

// PutStatus writes the status of an object if the condition holds.
func (a storeAdapter) PutStatus(ctx context.Context, kind, name string, status json.RawMessage, condition publisher.Condition) (publisher.Object, error) {
	object, err := a.client.PutStatus(ctx, kind, name, status, convertCondition(condition))

	return publisher.Object(object), convertError(err)
}

// Delete removes an object if the condition holds.
func (a storeAdapter) Delete(ctx context.Context, kind, name string, condition publisher.Condition) error {
	return convertError(a.client.Delete(ctx, kind, name, convertCondition(condition)))
}

// WatchKind waits for changes of the objects of a kind that the store made after its
// write counter was afterCounter. It returns false if there were none within watchTimeout.
func (a storeAdapter) WatchKind(ctx context.Context, kind string, afterCounter uint64) (publisher.Changes, bool, error) {
	changes, changed, err := a.client.WatchKind(ctx, kind, afterCounter, watchTimeout)

	return publisher.Changes{
		StoreCounter: changes.StoreCounter,
		Items:        convertObjects(changes.Items),
		DeletedNames: changes.DeletedNames,
	}, changed, convertError(err)
}

func convertObjects(items []storer.Object) []publisher.Object {
	converted := make([]publisher.Object, 0, len(items))
	for _, item := range items {
		converted = append(converted, publisher.Object(item))
	}

	return converted
}

func convertCondition(condition publisher.Condition) storer.Condition {
	switch {
	case condition.MustNotExist:
		return storer.IfNotExists()
	case condition.ExpectedVersion > 0:
		return storer.IfVersion(condition.ExpectedVersion)
	default:
		return storer.Always()
	}
}

// convertError returns the publisher's error that corresponds to one of storer. Other
// errors are returned unchanged.
func convertError(err error) error {
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
