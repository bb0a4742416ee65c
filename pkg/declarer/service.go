package declarer

import (
	"slices"
	"strings"
)

// The values of Service.Kind.
const (
	// ServiceModel is a pool of model engines.
	ServiceModel = "model"
	// ServicePlain is a pool of ordinary HTTP servers.
	ServicePlain = "plain"
)

// Service is a pool of endpoints that are interchangeable to callers.
type Service struct {
	Name string `json:"-"`
	// Kind is ServiceModel or ServicePlain.
	Kind string `json:"kind"`
	// Models are the names of the models that callers may request. Only a model
	// service has them.
	Models []string `json:"models,omitempty"`
	// IdempotentCalls lists the calls that may run more than once, each as a
	// method ("GET") or a method and a path prefix ("PUT /notes"). Any other
	// call runs at most once.
	Idempotent []string `json:"idempotent,omitempty"`
}

// Repeatable reports whether a call with the method and the path is declared
// idempotent. A path prefix matches whole path segments only.
func (s Service) Repeatable(method, path string) bool {
	return slices.ContainsFunc(s.Idempotent, func(entry string) bool {
		allowedMethod, prefix, hasPath := strings.Cut(entry, " ")
		if allowedMethod != method {
			return false
		}
		return !hasPath || hasPathPrefix(prefix, path)
	})
}

// hasPathPrefix reports whether the path is the prefix or lies below it.
func hasPathPrefix(prefix, path string) bool {
	rest, found := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return found && (rest == "" || rest[0] == '/')
}
