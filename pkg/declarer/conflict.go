package declarer

import (
	"fmt"
	"slices"
)

// conflict is a reason why a resource is not valid together with others, such as
// a reference to a resource that does not exist.
type conflict struct {
	key    Key
	field  string
	reason string
	// others are the resources that the conflict is with. Any of them may be
	// absent from the set.
	others []Key
	// otherField is the field of the others that causes the conflict. It is
	// empty if the conflict is that the other resource does not exist.
	otherField string
}

func (c conflict) problem() Problem {
	return Problem{Kind: c.key.Kind, Name: c.key.Name, Field: c.field, Reason: c.reason}
}

// conflictFinder collects the conflicts between the resources of a set.
type conflictFinder struct {
	set       Set
	conflicts []conflict
}

// findConflicts returns all conflicts in the set. Their order depends only on
// the set.
func findConflicts(set Set) []conflict {
	f := &conflictFinder{set: set}
	f.checkWorkspaces()
	f.checkEndpoints()
	f.checkPlannedChanges()
	return f.conflicts
}

func (f *conflictFinder) addConflict(c conflict, format string, values ...any) {
	c.reason = truncate(fmt.Sprintf(format, values...), MaxReasonBytes)
	f.conflicts = append(f.conflicts, c)
}

// addMissing adds the conflict of a resource that refers to a missing one.
func (f *conflictFinder) addMissing(key Key, field string, missing Key) {
	f.addConflict(conflict{key: key, field: field, others: []Key{missing}}, "%s %q does not exist", missing.Kind, missing.Name)
}

// checkWorkspaces checks that the service classes of each workspace exist and
// that no bearer token belongs to two workspaces.
func (f *conflictFinder) checkWorkspaces() {
	owners := make(map[string]string)
	for _, workspace := range f.set.WorkspaceList() {
		key := Key{KindWorkspace, workspace.Name}
		for _, class := range workspace.Classes {
			if _, found := f.set.Classes[class]; !found {
				f.addMissing(key, "classes", Key{KindServiceClass, class})
			}
		}
		for _, digest := range workspace.BearerTokenDigests {
			f.checkUnique(owners, key, "digests", digest)
		}
	}
}

// checkUnique records the resource as the owner of the value, or adds a conflict
// if another resource of the same kind owns it.
func (f *conflictFinder) checkUnique(owners map[string]string, key Key, field, value string) {
	owner, taken := owners[value]
	if !taken {
		owners[value] = key.Name
		return
	}
	c := conflict{key: key, field: field, others: []Key{{key.Kind, owner}}, otherField: field}
	f.addConflict(c, "%q belongs to %s %q", value, key.Kind, owner)
}

// checkEndpoints checks that addresses are unique, and that each endpoint's
// service exists and has the endpoint's models.
func (f *conflictFinder) checkEndpoints() {
	owners := make(map[string]string)
	for _, endpoint := range f.set.EndpointList() {
		key := Key{KindEndpoint, endpoint.Name}
		f.checkUnique(owners, key, "address", endpoint.Address)
		serviceKey := Key{KindService, endpoint.Service}
		service, found := f.set.Services[endpoint.Service]
		if !found {
			f.addMissing(key, "service", serviceKey)
			continue
		}
		for _, model := range endpoint.Models {
			if !slices.Contains(service.Models, model) {
				c := conflict{key: key, field: "models", others: []Key{serviceKey}, otherField: "models"}
				f.addConflict(c, "%q is not one of the models %q of Service %q", model, service.Models, service.Name)
			}
		}
	}
}

// checkPlannedChanges checks the predecessor and the endpoints of each planned
// change.
func (f *conflictFinder) checkPlannedChanges() {
	// By endpoint, the change that comes last among those checked so far.
	lastChanges := make(map[string]string)
	for _, change := range f.set.ChangeList() {
		key := Key{KindPlannedChange, change.Name}
		f.checkPredecessor(key, change)
		for _, name := range change.Endpoints {
			f.checkTargetEndpoint(key, change, name)
			f.checkOverlap(lastChanges, key, name)
		}
	}
}

// checkPredecessor checks that the change named by AfterChange exists and does
// not in turn come after this one.
func (f *conflictFinder) checkPredecessor(key Key, change PlannedChange) {
	if change.AfterChange == "" {
		return
	}
	predecessor := Key{KindPlannedChange, change.AfterChange}
	if _, found := f.set.Changes[change.AfterChange]; !found {
		f.addMissing(key, "after", predecessor)
		return
	}
	if f.isAfter(change.Name, change.Name) {
		c := conflict{key: key, field: "after", others: f.predecessors(change.Name), otherField: "after"}
		f.addConflict(c, "%q leads back to the change itself", change.AfterChange)
	}
}

// isAfter reports whether the named change comes after the earlier one, directly
// or through other changes.
func (f *conflictFinder) isAfter(name, earlier string) bool {
	for range len(f.set.Changes) {
		name = f.set.Changes[name].AfterChange
		if name == "" || name == earlier {
			return name != ""
		}
	}
	return false
}

// predecessors returns the changes that the named change comes after, directly or
// through other changes, the nearest first.
func (f *conflictFinder) predecessors(name string) []Key {
	var keys []Key
	for range len(f.set.Changes) {
		name = f.set.Changes[name].AfterChange
		if name == "" {
			break
		}
		keys = append(keys, Key{KindPlannedChange, name})
	}
	return keys
}

// checkTargetEndpoint checks that an endpoint of a change exists and belongs to
// a model service that has the change's model.
func (f *conflictFinder) checkTargetEndpoint(key Key, change PlannedChange, name string) {
	endpointKey := Key{KindEndpoint, name}
	endpoint, found := f.set.Endpoints[name]
	if !found {
		f.addMissing(key, "endpoints", endpointKey)
		return
	}
	service, found := f.set.Services[endpoint.Service]
	if !found {
		return // checkEndpoints reports the missing service.
	}
	others := []Key{endpointKey, {KindService, service.Name}}
	if service.Kind != ServiceKindModel {
		c := conflict{key: key, field: "endpoints", others: others, otherField: "kind"}
		f.addConflict(c, "%q belongs to Service %q, which is not a model service", name, service.Name)
		return
	}
	if change.Model != "" && !slices.Contains(service.Models, change.Model) {
		c := conflict{key: key, field: "model", others: others, otherField: "models"}
		f.addConflict(c, "%q is not one of the models %q of Service %q", change.Model, service.Models, service.Name)
	}
}

// checkOverlap adds a conflict if another change has the same endpoint and neither
// change comes after the other: they would undo each other forever.
func (f *conflictFinder) checkOverlap(lastChanges map[string]string, key Key, endpoint string) {
	otherChange, exists := lastChanges[endpoint]
	switch {
	case !exists || f.isAfter(key.Name, otherChange):
		lastChanges[endpoint] = key.Name
	case !f.isAfter(otherChange, key.Name):
		others := append([]Key{{KindPlannedChange, otherChange}}, f.predecessors(key.Name)...)
		others = append(others, f.predecessors(otherChange)...)
		c := conflict{key: key, field: "endpoints", others: others, otherField: "endpoints"}
		f.addConflict(c, "%q is also changed by PlannedChange %q and neither comes after the other", endpoint, otherChange)
	}
}
