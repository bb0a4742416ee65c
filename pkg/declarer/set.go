package declarer

import (
	"maps"
	"slices"
)

// Set is a number of resources that are valid together.
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

// SetFromValues builds a set of values as Decode returns them.
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

// ClassList returns the service classes by name.
func (s Set) ClassList() []ServiceClass { return sorted(s.Classes) }

// WorkspaceList returns the workspaces by name.
func (s Set) WorkspaceList() []Workspace { return sorted(s.Workspaces) }

// ServiceList returns the services by name.
func (s Set) ServiceList() []Service { return sorted(s.Services) }

// EndpointList returns the endpoints by name.
func (s Set) EndpointList() []Endpoint { return sorted(s.Endpoints) }

// ChangeList returns the planned changes by name.
func (s Set) ChangeList() []PlannedChange { return sorted(s.Changes) }

// ModelsOf returns the models that the endpoint serves: its own list, or all
// models of its service.
func (s Set) ModelsOf(endpoint Endpoint) []string {
	if len(endpoint.Models) > 0 {
		return endpoint.Models
	}
	return s.Services[endpoint.Service].Models
}

func sorted[T any](values map[string]T) []T {
	list := make([]T, 0, len(values))
	for _, name := range slices.Sorted(maps.Keys(values)) {
		list = append(list, values[name])
	}
	return list
}
