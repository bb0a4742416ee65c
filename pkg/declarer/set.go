package declarer

import (
	"maps"
	"slices"
)

// Set holds decoded resources by kind and name.
type Set struct {
	Classes    map[string]ServiceClass
	Workspaces map[string]Workspace
	Services   map[string]Service
	Endpoints  map[string]Endpoint
	Changes    map[string]PlannedChange
}

func newSet() Set {
	return Set{
		Classes:    make(map[string]ServiceClass),
		Workspaces: make(map[string]Workspace),
		Services:   make(map[string]Service),
		Endpoints:  make(map[string]Endpoint),
		Changes:    make(map[string]PlannedChange),
	}
}

// SetFromValues returns a set of values as Decode returns them. It does not check
// whether they are valid together.
func SetFromValues(values []any) Set {
	set := newSet()
	for _, value := range values {
		set.add(value)
	}
	return set
}

func (s Set) add(value any) {
	switch value := value.(type) {
	case ServiceClass:
		s.Classes[value.Name] = value
	case Workspace:
		s.Workspaces[value.Name] = value
	case Service:
		s.Services[value.Name] = value
	case Endpoint:
		s.Endpoints[value.Name] = value
	case PlannedChange:
		s.Changes[value.Name] = value
	}
}

// ClassList returns the service classes sorted by name.
func (s Set) ClassList() []ServiceClass { return sortedByName(s.Classes) }

// WorkspaceList returns the workspaces sorted by name.
func (s Set) WorkspaceList() []Workspace { return sortedByName(s.Workspaces) }

// ServiceList returns the services sorted by name.
func (s Set) ServiceList() []Service { return sortedByName(s.Services) }

// EndpointList returns the endpoints sorted by name.
func (s Set) EndpointList() []Endpoint { return sortedByName(s.Endpoints) }

// ChangeList returns the planned changes sorted by name.
func (s Set) ChangeList() []PlannedChange { return sortedByName(s.Changes) }

// ModelsOf returns the models that the endpoint serves: those it lists, or all
// models of its service if it lists none.
func (s Set) ModelsOf(endpoint Endpoint) []string {
	if len(endpoint.Models) > 0 {
		return endpoint.Models
	}
	return s.Services[endpoint.Service].Models
}

// sortedByName returns the values of the map in the order of its keys.
func sortedByName[T any](values map[string]T) []T {
	list := make([]T, 0, len(values))
	for _, name := range slices.Sorted(maps.Keys(values)) {
		list = append(list, values[name])
	}
	return list
}
