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
	errConflict = errors.New("condition does not hold")
	errNotFound = errors.New("no such object")
	errTooLarge = errors.New("object too large")
	errFull     = errors.New("too many objects")
	errGone     = errors.New("revision too old")
)

// change is what a write changes: the spec or the status.
type change struct {
	spec   json.RawMessage
	status json.RawMessage
}

// precondition is a write's condition; the zero value always holds.
type precondition struct {
	absent  bool
	at      bool
	version uint64
}

func (p precondition) holds(current storer.Object, exists bool) bool {
	if p.absent {
		return !exists
	}
	if p.at {
		return exists && current.Version == p.version
	}

	return true
}

// put writes an object and returns it, or the current one with an error.
func (k *Keeper) put(key key, change change, condition precondition) (storer.Object, error) {
	if len(change.spec) > maxSpec || len(change.status) > maxSpec {
		return storer.Object{}, errTooLarge
	}
	current, exists := k.read(key, time.Now())
	if !condition.holds(current, exists) {
		return current, errConflict
	}
	if !exists && change.status != nil {
		return storer.Object{}, errNotFound
	}
	if !exists && k.alive >= k.settings.Objects {
		return storer.Object{}, errFull
	}
	if !exists {
		current = storer.Object{Kind: key.kind, Name: key.name}
		k.alive++
	}

	k.counter++
	current.Version = k.counter
	if change.status != nil {
		current.Status = change.status
	} else {
		current.Spec = change.spec
		current.Generation++
	}
	k.append(key, state{object: current, from: time.Now()})

	return current, nil
}

func (k *Keeper) remove(key key, condition precondition) error {
	current, exists := k.read(key, time.Now())
	if !condition.holds(current, exists) {
		return errConflict
	}
	if !exists {
		return errNotFound
	}

	k.alive--
	k.counter++
	current.Version = k.counter
	k.append(key, state{object: current, from: time.Now(), gone: true})
	k.gone = append(k.gone, key)
	k.forget()

	return nil
}

func (k *Keeper) append(key key, added state) {
	names := k.objects[key.kind]
	if names == nil {
		names = map[string][]state{}
		k.objects[key.kind] = names
	}
	states := names[key.name]
	if len(states) == maxStates {
		states = slices.Delete(states, 0, 1)
	}
	names[key.name] = append(states, added)
	k.newest[key.kind] = added.object.Version
	k.wake()
}

// forget drops the oldest deletions once there are too many.
func (k *Keeper) forget() {
	for len(k.gone) > maxGone {
		oldest := k.gone[0]
		k.gone = k.gone[1:]
		states := k.objects[oldest.kind][oldest.name]
		last := states[len(states)-1]
		k.forgotten = max(k.forgotten, last.object.Version)
		if last.gone {
			delete(k.objects[oldest.kind], oldest.name)
		}
	}
}

// read returns an object as it was at a time, or as near to it as is known.
func (k *Keeper) read(key key, at time.Time) (storer.Object, bool) {
	seen, ok := stateAt(k.objects[key.kind][key.name], at)

	return seen.object, ok && !seen.gone
}

func stateAt(states []state, at time.Time) (state, bool) {
	for i := len(states) - 1; i >= 0; i-- {
		trimmed := i == 0 && len(states) == maxStates
		if trimmed || !states[i].from.After(at) {
			return states[i], true
		}
	}

	return state{}, false
}

// list returns up to limit objects of a kind by name.
func (k *Keeper) list(kind, after string, limit int, at time.Time) storer.Page {
	names := make([]string, 0, len(k.objects[kind]))
	for name := range k.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)

	page := storer.Page{StoreCounter: k.revisionAt(at), Items: []storer.Object{}}
	for _, name := range names {
		object, ok := k.read(key{kind, name}, at)
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

// revisionAt returns the counter as it was at a time: the highest version
// that a read at that time can show.
func (k *Keeper) revisionAt(at time.Time) uint64 {
	if !at.Before(time.Now()) {
		return k.counter
	}

	highest := uint64(0)
	for _, names := range k.objects {
		for _, states := range names {
			if seen, ok := stateAt(states, at); ok {
				highest = max(highest, seen.object.Version)
			}
		}
	}

	return highest
}

// since returns what changed in a kind after a revision.
func (k *Keeper) since(kind string, revision uint64, at time.Time) (storer.Changes, error) {
	if revision < k.forgotten {
		return storer.Changes{}, errGone
	}

	changes := storer.Changes{Items: []storer.Object{}, DeletedNames: []string{}}
	if k.newest[kind] <= revision {
		return changes, nil
	}
	for name, states := range k.objects[kind] {
		seen, ok := stateAt(states, at)
		if !ok || seen.object.Version <= revision {
			continue
		}
		if seen.gone {
			changes.DeletedNames = append(changes.DeletedNames, name)
		} else {
			changes.Items = append(changes.Items, seen.object)
		}
	}
	slices.SortFunc(changes.Items, func(a, b storer.Object) int { return strings.Compare(a.Name, b.Name) })
	sort.Strings(changes.DeletedNames)
	changes.StoreCounter = max(revision, k.revisionAt(at))

	return changes, nil
}
