package declarer

import (
	"slices"
	"strings"
)

// The values of Service.Kind.
const (
	// ServiceKindModel is a pool of model engines.
	ServiceKindModel = "model"
	// ServiceKindPlain is a pool of ordinary HTTP servers.
	ServiceKindPlain = "plain"
)

// Service is a pool of endpoints that are interchangeable to callers.
type Service struct {
	Name string `json:"-"`
	// Kind is ServiceKindModel or ServiceKindPlain.
	Kind string `json:"kind"`
	// Models are the names of the models that callers may request. Only a model
	// service has them.
	Models []string `json:"models,omitempty"`
	// IdempotentCalls lists the calls that may run more than once, each as a
	// method ("GET") or a method and a path prefix ("PUT /notes"). Any other
	// call runs at most once.
	IdempotentCalls []string `json:"idempotent,omitempty"`
}

// IsIdempotent reports whether a call with the method and the path is declared
// idempotent. A path prefix matches whole path segments only.
func (s Service) IsIdempotent(method, path string) bool {
	return slices.ContainsFunc(s.IdempotentCalls, func(entry string) bool {
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
