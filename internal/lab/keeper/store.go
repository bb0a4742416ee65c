package keeper

import (
	"encoding/json"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/storer"
)

var (
	errPreconditionFailed = errors.New("precondition failed")
	errNotFound           = errors.New("object not found")
	errObjectTooLarge     = errors.New("object too large")
	errTooManyObjects     = errors.New("too many objects")
	errWatchExpired       = errors.New("watch starts before the remembered deletions")
)

// objectUpdate is the new spec or the new status of an object; a write changes one of
// them.
type objectUpdate struct {
	spec   json.RawMessage
	status json.RawMessage
}

// precondition is the condition under which a write or deletion takes effect. The zero
// value is always met.
type precondition struct {
	mustNotExist    bool
	checksVersion   bool
	expectedVersion uint64
}

func (p precondition) isMet(current storer.Object, exists bool) bool {
	if p.mustNotExist {
		return !exists
	}
	if p.checksVersion {
		return exists && current.Version == p.expectedVersion
	}

	return true
}

// putObject writes an object and returns it. If the precondition isn't met, it returns
// the current object with errPreconditionFailed.
func (k *Keeper) putObject(key objectKey, update objectUpdate, condition precondition) (storer.Object, error) {
	if len(update.spec) > maxSpecBytes || len(update.status) > maxSpecBytes {
		return storer.Object{}, errObjectTooLarge
	}
	current, exists := k.readAt(key, time.Now())
	if !condition.isMet(current, exists) {
		return current, errPreconditionFailed
	}
	if !exists && update.status != nil {
		return storer.Object{}, errNotFound
	}
	if !exists && k.objectCount >= k.settings.MaxObjects {
		return storer.Object{}, errTooManyObjects
	}
	if !exists {
		current = storer.Object{Kind: key.kind, Name: key.name}
		k.objectCount++
	}

	k.storeCounter++
	current.Version = k.storeCounter
	if update.status != nil {
		current.Status = update.status
	} else {
		current.Spec = update.spec
		current.Generation++
	}
	k.appendState(key, objectState{object: current, validFrom: time.Now()})

	return current, nil
}

// deleteObject deletes an object and remembers the deletion for watches.
func (k *Keeper) deleteObject(key objectKey, condition precondition) error {
	current, exists := k.readAt(key, time.Now())
	if !condition.isMet(current, exists) {
		return errPreconditionFailed
	}
	if !exists {
		return errNotFound
	}

	k.objectCount--
	k.storeCounter++
	current.Version = k.storeCounter
	k.appendState(key, objectState{object: current, validFrom: time.Now(), deleted: true})
	k.deletedKeys = append(k.deletedKeys, key)
	k.trimDeletions()

	return nil
}

// appendState adds an object's newest state, drops its oldest one if there are too many,
// and notifies the watches.
func (k *Keeper) appendState(key objectKey, state objectState) {
	statesByName := k.statesByKind[key.kind]
	if statesByName == nil {
		statesByName = map[string][]objectState{}
		k.statesByKind[key.kind] = statesByName
	}
	states := statesByName[key.name]
	if len(states) == maxStatesPerObject {
		states = slices.Delete(states, 0, 1)
	}
	statesByName[key.name] = append(states, state)
	k.lastWriteByKind[key.kind] = state.object.Version
	k.notifyWatches()
}

// trimDeletions forgets the oldest deletions beyond maxRememberedDeletions, and all
// states of an object that is still deleted.
func (k *Keeper) trimDeletions() {
	for len(k.deletedKeys) > maxRememberedDeletions {
		oldest := k.deletedKeys[0]
		k.deletedKeys = k.deletedKeys[1:]
		states := k.statesByKind[oldest.kind][oldest.name]
		newest := states[len(states)-1]
		k.forgottenDeletionsCounter = max(k.forgottenDeletionsCounter, newest.object.Version)
		if newest.deleted {
			delete(k.statesByKind[oldest.kind], oldest.name)
		}
	}
}

// readAt returns an object as it was at a time and whether it existed. If that state is
// no longer kept, it returns the oldest one that is.
func (k *Keeper) readAt(key objectKey, at time.Time) (storer.Object, bool) {
	visible, ok := stateAt(k.statesByKind[key.kind][key.name], at)

	return visible.object, ok && !visible.deleted
}

// stateAt returns the state that was valid at a time, or the oldest one kept if older ones
// were dropped. It returns false for a time before the object's first state.
func stateAt(states []objectState, at time.Time) (objectState, bool) {
	for i := len(states) - 1; i >= 0; i-- {
		trimmed := i == 0 && len(states) == maxStatesPerObject
		if trimmed || !states[i].validFrom.After(at) {
			return states[i], true
		}
	}

	return objectState{}, false
}

// listAt returns a page of the objects of a kind as they were at a time, sorted by name:
// at most limit objects whose names sort after afterName.
func (k *Keeper) listAt(kind, afterName string, limit int, at time.Time) storer.Page {
	names := make([]string, 0, len(k.statesByKind[kind]))
	for name := range k.statesByKind[kind] {
		if name > afterName {
			names = append(names, name)
		}
	}
	sort.Strings(names)

	page := storer.Page{StoreCounter: k.storeCounterAt(at), Items: []storer.Object{}}
	for _, name := range names {
		object, ok := k.readAt(objectKey{kind, name}, at)
		if !ok {
			continue
		}
		if len(page.Items) == limit {
			page.HasMore = true

			break
		}
		page.Items = append(page.Items, object)
	}

	return page
}

// storeCounterAt returns the highest version that a read of the state at a time can
// show; for the present, this is the store counter.
func (k *Keeper) storeCounterAt(at time.Time) uint64 {
	if !at.Before(time.Now()) {
		return k.storeCounter
	}

	highest := uint64(0)
	for _, statesByName := range k.statesByKind {
		for _, states := range statesByName {
			if visible, ok := stateAt(states, at); ok {
				highest = max(highest, visible.object.Version)
			}
		}
	}

	return highest
}

// changesAfter returns the objects of a kind that were written or deleted after a value of
// the store counter, as far as a read at the given time shows them. It returns
// errWatchExpired if deletions since then may have been forgotten.
func (k *Keeper) changesAfter(kind string, afterCounter uint64, at time.Time) (storer.Changes, error) {
	if afterCounter < k.forgottenDeletionsCounter {
		return storer.Changes{}, errWatchExpired
	}

	changes := storer.Changes{Items: []storer.Object{}, DeletedNames: []string{}}
	if k.lastWriteByKind[kind] <= afterCounter {
		return changes, nil
	}
	for name, states := range k.statesByKind[kind] {
		visible, ok := stateAt(states, at)
		if !ok || visible.object.Version <= afterCounter {
			continue
		}
		if visible.deleted {
			changes.DeletedNames = append(changes.DeletedNames, name)
		} else {
			changes.Items = append(changes.Items, visible.object)
		}
	}
	slices.SortFunc(changes.Items, func(a, b storer.Object) int { return strings.Compare(a.Name, b.Name) })
	sort.Strings(changes.DeletedNames)
	changes.StoreCounter = max(afterCounter, k.storeCounterAt(at))

	return changes, nil
}
