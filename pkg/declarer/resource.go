package declarer

import (
	"cmp"
	"encoding/json"
	"fmt"
)

// The kinds of resource that operators declare.
const (
	KindServiceClass  = "ServiceClass"
	KindWorkspace     = "Workspace"
	KindService       = "Service"
	KindEndpoint      = "Endpoint"
	KindPlannedChange = "PlannedChange"
)

// MaxSpecBytes is the size of the largest accepted spec, in bytes.
const MaxSpecBytes = 64 << 10

// Kinds returns the kinds of resource in dependency order: a resource refers
// only to resources of earlier kinds or of its own kind.
func Kinds() []string {
	return []string{KindServiceClass, KindWorkspace, KindService, KindEndpoint, KindPlannedChange}
}

// Resource is one object as an operator wrote it.
type Resource struct {
	// Kind is one of Kinds.
	Kind string `json:"kind"`
	// Name is unique within the kind.
	Name string `json:"name"`
	// Generation counts how often the spec was written. It is 0 for a resource
	// that is read from a file.
	Generation uint64 `json:"generation,omitempty"`
	// Spec is the desired state as a JSON object with the fields of the kind.
	Spec json.RawMessage `json:"spec"`
}

// Key returns the kind and the name of the resource.
func (r Resource) Key() Key { return Key{Kind: r.Kind, Name: r.Name} }

// Key identifies a resource by its kind and name.
type Key struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// Compare orders keys by kind, then by name.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Kind, other.Kind), cmp.Compare(k.Name, other.Name))
}

// String returns the key as KIND/NAME.
func (k Key) String() string { return k.Kind + "/" + k.Name }

// Problem is a reason why a resource as declared is not accepted.
type Problem struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Field is the invalid JSON field. It is empty if the problem concerns the
	// whole resource.
	Field string `json:"field,omitempty"`
	// Reason is a message that names the value and what is allowed.
	Reason string `json:"reason"`
}

// Key returns the kind and the name of the resource that has the problem.
func (p Problem) Key() Key { return Key{Kind: p.Kind, Name: p.Name} }

// String returns the problem as KIND/NAME: FIELD: REASON, without the field if
// it is empty.
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s/%s: %s", p.Kind, p.Name, p.Reason)
	}
	return fmt.Sprintf("%s/%s: %s: %s", p.Kind, p.Name, p.Field, p.Reason)
}
