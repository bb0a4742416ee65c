// Package matcher matches requests to routes and keys to workspaces.
//
// A Matcher is made of one numbered configuration and never changes. Among the
// routes of a host the longest prefix wins. Lookups take time in the number of
// the path's segments, not of the routes. It is safe for concurrent use.
package matcher

import (
	"net"
	"strings"
)

// Matcher answers lookups in one configuration.
type Matcher struct {
	configuration Configuration
	routes        map[address]Route
	services      map[string]Service
	workspaces    map[string]Workspace
}

type address struct {
	host, prefix string
}

// New returns a matcher of the configuration.
func New(configuration Configuration) *Matcher {
	m := &Matcher{
		configuration: configuration,
		routes:        make(map[address]Route, len(configuration.Routes)),
		services:      make(map[string]Service, len(configuration.Services)),
		workspaces:    map[string]Workspace{},
	}
	for _, route := range configuration.Routes {
		m.routes[address{strings.ToLower(route.Host), route.PathPrefix}] = route
	}
	for _, service := range configuration.Services {
		m.services[service.Name] = service
	}
	for _, workspace := range configuration.Workspaces {
		for _, key := range workspace.APIKeys {
			m.workspaces[key] = workspace
		}
	}

	return m
}

// Number returns the configuration's number.
func (m *Matcher) Number() uint64 {
	return m.configuration.Number
}

// Limits returns what callers may send.
func (m *Matcher) Limits() Limits {
	return m.configuration.Limits
}

// RequiresKey reports whether requests need a key, public routes apart.
func (m *Matcher) RequiresKey() bool {
	return len(m.configuration.Workspaces) > 0
}

// Route returns the route of a request by its Host header and path.
func (m *Matcher) Route(host, path string) (Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	host = strings.ToLower(host)
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, ok := m.routes[address{host, path[:end+1]}]; ok {
			return route, true
		}
	}

	return Route{}, false
}

// Service returns a service by its name.
func (m *Matcher) Service(name string) (Service, bool) {
	service, ok := m.services[name]

	return service, ok
}

// Workspace returns the workspace that holds a key.
func (m *Matcher) Workspace(key string) (Workspace, bool) {
	workspace, ok := m.workspaces[key]

	return workspace, ok
}
