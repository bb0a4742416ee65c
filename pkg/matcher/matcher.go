// Package matcher finds the route of a request and the workspace of an API key.
//
// A Matcher is built from one numbered configuration and never changes. Among the
// routes of a host, the one with the longest matching path prefix wins. A lookup takes
// time in proportion to the number of path segments, not to the number of routes. A
// Matcher is safe for concurrent use.
package matcher

import (
	"net"
	"strings"
	"time"
)

// Matcher looks up routes, services and workspaces in one configuration.
type Matcher struct {
	configuration    Configuration
	routes           map[hostPrefix]Route
	services         map[string]Service   // by name
	workspacesByKey  map[string]Workspace // by API key
	engineTierOrders []tierOrder          // the most urgent first
}

// hostPrefix is the key of a route in a Matcher: its host in lower case and its path
// prefix.
type hostPrefix struct {
	host, pathPrefix string
}

// New returns a matcher for a configuration.
func New(configuration Configuration) *Matcher {
	m := &Matcher{
		configuration:    configuration,
		routes:           make(map[hostPrefix]Route, len(configuration.Routes)),
		services:         make(map[string]Service, len(configuration.Services)),
		workspacesByKey:  map[string]Workspace{},
		engineTierOrders: engineTierOrders(configuration),
	}
	for _, route := range configuration.Routes {
		m.routes[hostPrefix{strings.ToLower(route.Host), route.PathPrefix}] = route
	}
	for _, service := range configuration.Services {
		m.services[service.Name] = service
	}
	for _, workspace := range configuration.Workspaces {
		for _, key := range workspace.APIKeys {
			m.workspacesByKey[key] = workspace
		}
	}

	return m
}

// Number returns the number of the configuration.
func (m *Matcher) Number() uint64 {
	return m.configuration.Number
}

// Limits returns the configured bounds on callers' requests.
func (m *Matcher) Limits() Limits {
	return m.configuration.Limits
}

// LongestStream returns the longest time limit of a route whose streams may be resumed. It
// returns false if there is one without a limit.
func (m *Matcher) LongestStream() (time.Duration, bool) {
	longest, isLimited := time.Duration(0), true
	for _, route := range m.configuration.Routes {
		if route.Kind == Streaming && route.CanRepeat() {
			longest = max(longest, route.Timeout)
			isLimited = isLimited && route.Timeout > 0
		}
	}

	return longest, isLimited
}

// RequiresKey reports whether requests need an API key. Requests of public routes
// never need one.
func (m *Matcher) RequiresKey() bool {
	return len(m.configuration.Workspaces) > 0
}

// Route returns the route of a request with the given Host header and path; false if
// there is none. The port in the header is ignored.
func (m *Matcher) Route(hostHeader, path string) (Route, bool) {
	if host, _, err := net.SplitHostPort(hostHeader); err == nil {
		hostHeader = host
	}
	hostHeader = strings.ToLower(hostHeader)
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, ok := m.routes[hostPrefix{hostHeader, path[:end+1]}]; ok {
			return route, true
		}
	}

	return Route{}, false
}

// Service returns the service with a name; false if there is none.
func (m *Matcher) Service(name string) (Service, bool) {
	service, ok := m.services[name]

	return service, ok
}

// ScaledServices returns the services whose endpoints are ordered.
func (m *Matcher) ScaledServices() (scaled []Service) {
	for _, service := range m.configuration.Services {
		if service.Scale != nil {
			scaled = append(scaled, service)
		}
	}

	return scaled
}

// Workspace returns the workspace that an API key belongs to; false if there is none.
func (m *Matcher) Workspace(key string) (Workspace, bool) {
	workspace, ok := m.workspacesByKey[key]

	return workspace, ok
}
