package declarer

import (
	"slices"
	"strings"
)

// The kinds of service.
const (
	// ServiceKindModel is a pool of model engines.
	ServiceKindModel = "model"
	// ServiceKindPlain is a pool of ordinary HTTP servers.
	ServiceKindPlain = "plain"
)

// Service is a pool of endpoints that are equal to callers.
type Service struct {
	Name string `json:"-"`
	// Kind is ServiceModel or ServicePlain.
	Kind string `json:"kind"`
	// Models are the models that callers may name; model services only.
	Models []string `json:"models,omitempty"`
	// IdempotentCalls lists what may be repeated: a method ("GET") or a method and a
	// path prefix ("PUT /notes"). Everything else runs at most once.
	IdempotentCalls []string `json:"idempotent,omitempty"`
}

// IsIdempotent reports whether a call of the method on the path is declared
// idempotent. A path prefix matches whole path segments.
func (s Service) IsIdempotent(method, path string) bool {
	return slices.ContainsFunc(s.IdempotentCalls, func(entry string) bool {
		allowed, prefix, limited := strings.Cut(entry, " ")
		if allowed != method {
			return false
		}
		return !limited || covers(prefix, path)
	})
}

func covers(prefix, path string) bool {
	rest, found := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return found && (rest == "" || rest[0] == '/')
}
