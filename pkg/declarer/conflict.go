package declarer

import (
	"fmt"
	"slices"
)

// conflict says that a resource does not fit together with others.
type conflict struct {
	key    Key
	field  string
	reason string
	// others are the resources that it does not fit, each of which may be
	// absent from the set.
	others []Key
	// otherField is the field of the others that matters.
	otherField string
}

func (c conflict) problem() Problem {
	return Problem{Kind: c.key.Kind, Name: c.key.Name, Field: c.field, Reason: c.reason}
}

// finder collects the conflicts in a set.
type finder struct {
	set       Set
	conflicts []conflict
}

// findConflicts returns all conflicts in a fixed order.
func findConflicts(set Set) []conflict {
	f := &finder{set: set}
	f.workspaces()
	f.endpoints()
	f.changes()
	return f.conflicts
}

func (f *finder) add(c conflict, format string, values ...any) {
	c.reason = shorten(fmt.Sprintf(format, values...), MaximumReason)
	f.conflicts = append(f.conflicts, c)
}

func (f *finder) missing(key Key, field string, other Key) {
	f.add(conflict{key: key, field: field, others: []Key{other}}, "%s %q does not exist", other.Kind, other.Name)
}

func (f *finder) workspaces() {
	owners := make(map[string]string)
	for _, workspace := range f.set.WorkspaceList() {
		key := Key{KindWorkspace, workspace.Name}
		for _, class := range workspace.Classes {
			if _, found := f.set.Classes[class]; !found {
				f.missing(key, "classes", Key{KindServiceClass, class})
			}
		}
		for _, digest := range workspace.BearerTokenDigests {
			f.unique(owners, key, "digests", digest)
		}
	}
}

// unique notes the owner of a value and reports a second one.
func (f *finder) unique(owners map[string]string, key Key, field, value string) {
	owner, taken := owners[value]
	if !taken {
		owners[value] = key.Name
		return
	}
	clash := conflict{key: key, field: field, others: []Key{{key.Kind, owner}}, otherField: field}
	f.add(clash, "%q belongs to %s %q", value, key.Kind, owner)
}

func (f *finder) endpoints() {
	owners := make(map[string]string)
	for _, endpoint := range f.set.EndpointList() {
		key := Key{KindEndpoint, endpoint.Name}
		f.unique(owners, key, "address", endpoint.Address)
		owner := Key{KindService, endpoint.Service}
		service, found := f.set.Services[endpoint.Service]
		if !found {
			f.missing(key, "service", owner)
			continue
		}
		for _, model := range endpoint.Models {
			if !slices.Contains(service.Models, model) {
				clash := conflict{key: key, field: "models", others: []Key{owner}, otherField: "models"}
				f.add(clash, "%q is not one of the models %q of Service %q", model, service.Models, service.Name)
			}
		}
	}
}

func (f *finder) changes() {
	latest := make(map[string]string)
	for _, change := range f.set.ChangeList() {
		key := Key{KindPlannedChange, change.Name}
		f.order(key, change)
		for _, name := range change.Endpoints {
			f.target(key, change, name)
			f.overlap(latest, key, name)
		}
	}
}

func (f *finder) order(key Key, change PlannedChange) {
	if change.AfterChange == "" {
		return
	}
	other := Key{KindPlannedChange, change.AfterChange}
	if _, found := f.set.Changes[change.AfterChange]; !found {
		f.missing(key, "after", other)
		return
	}
	if f.follows(change.Name, change.Name) {
		clash := conflict{key: key, field: "after", others: f.chain(change.Name), otherField: "after"}
		f.add(clash, "%q leads back to the change itself", change.AfterChange)
	}
}

// follows reports whether the change comes after the earlier one, at once or
// by way of others.
func (f *finder) follows(name, earlier string) bool {
	for range len(f.set.Changes) {
		name = f.set.Changes[name].AfterChange
		if name == "" || name == earlier {
			return name != ""
		}
	}
	return false
}

// chain returns the changes that a change comes after, at once or by way of
// others.
func (f *finder) chain(name string) []Key {
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

func (f *finder) target(key Key, change PlannedChange, name string) {
	other := Key{KindEndpoint, name}
	endpoint, found := f.set.Endpoints[name]
	if !found {
		f.missing(key, "endpoints", other)
		return
	}
	service, found := f.set.Services[endpoint.Service]
	if !found {
		return // The endpoint's own conflict.
	}
	others := []Key{other, {KindService, service.Name}}
	if service.Kind != ServiceKindModel {
		clash := conflict{key: key, field: "endpoints", others: others, otherField: "kind"}
		f.add(clash, "%q belongs to Service %q, which is not a model service", name, service.Name)
		return
	}
	if change.Model != "" && !slices.Contains(service.Models, change.Model) {
		clash := conflict{key: key, field: "model", others: others, otherField: "models"}
		f.add(clash, "%q is not one of the models %q of Service %q", change.Model, service.Models, service.Name)
	}
}

// overlap reports two changes of one endpoint of which neither comes after the
// other: they would undo each other for ever.
func (f *finder) overlap(latest map[string]string, key Key, endpoint string) {
	other, taken := latest[endpoint]
	switch {
	case !taken || f.follows(key.Name, other):
		latest[endpoint] = key.Name
	case !f.follows(other, key.Name):
		others := append([]Key{{KindPlannedChange, other}}, f.chain(key.Name)...)
		others = append(others, f.chain(other)...)
		clash := conflict{key: key, field: "endpoints", others: others, otherField: "endpoints"}
		f.add(clash, "%q is also changed by PlannedChange %q and neither comes after the other", endpoint, other)
	}
}
