package declarer

import (
	"bytes"
	"fmt"
	"slices"
)

// AcceptedResource is an accepted resource with its decoded value.
type AcceptedResource struct {
	Resource Resource
	Value    any
}

// Validate accepts the resources that are valid by themselves and together with
// the other accepted ones. It returns those and the problems of the rest.
func Validate(resources []Resource) (Set, []Problem) {
	accepted, problems := Merge(nil, resources)
	return SetFromAccepted(accepted), problems
}

// SetFromAccepted returns the decoded values of accepted resources as a set.
func SetFromAccepted(resources []AcceptedResource) Set {
	set := newSet()
	for _, accepted := range resources {
		set.add(accepted.Value)
	}
	return set
}

// Merge applies the declared resources to those accepted before and returns the
// accepted resources and the problems, both sorted by key. Each resource is
// accepted or rejected separately: one that is invalid or conflicts with others
// keeps its last accepted spec and blocks no other. A resource that is no longer
// declared stays accepted while another accepted one refers to it. If the
// previous resources are valid together, so are the returned ones.
func Merge(previous []AcceptedResource, resources []Resource) ([]AcceptedResource, []Problem) {
	m := newMerger(previous)
	m.stageResources(resources)
	for m.revertConflicts() {
		continue
	}
	return m.result()
}

// merger holds the state of one Merge.
type merger struct {
	// previous are the resources accepted before.
	previous map[Key]AcceptedResource
	// next are the resources that Merge will return as accepted.
	next map[Key]AcceptedResource
	// updated are the keys in next whose spec is new or differs from previous.
	updated map[Key]bool
	// restored are the deleted resources that others still refer to.
	restored map[Key]bool
	problems map[Key][]Problem
}

func newMerger(previous []AcceptedResource) *merger {
	m := &merger{
		previous: make(map[Key]AcceptedResource, len(previous)),
		next:     make(map[Key]AcceptedResource, len(previous)),
		updated:  make(map[Key]bool),
		restored: make(map[Key]bool),
		problems: make(map[Key][]Problem),
	}
	for _, accepted := range previous {
		m.previous[accepted.Resource.Key()] = accepted
	}
	return m
}

// stageResources decodes the declared resources and puts each valid one in next,
// in place of its previous spec.
func (m *merger) stageResources(resources []Resource) {
	seen := make(map[Key]bool, len(resources))
	for _, resource := range resources {
		key := resource.Key()
		if seen[key] {
			m.addProblem(Problem{Kind: key.Kind, Name: key.Name, Field: "name", Reason: fmt.Sprintf("%q is declared twice", key.Name)})
			continue
		}
		seen[key] = true
		m.stageResource(key, resource)
	}
}

func (m *merger) stageResource(key Key, resource Resource) {
	previous, hasPrevious := m.previous[key]
	if hasPrevious && bytes.Equal(previous.Resource.Spec, resource.Spec) {
		m.next[key] = AcceptedResource{Resource: resource, Value: previous.Value}
		return
	}
	value, problems := Decode(resource)
	if len(problems) > 0 {
		m.problems[key] = append(m.problems[key], problems...)
		m.revert(key)
		return
	}
	m.next[key] = AcceptedResource{Resource: resource, Value: value}
	m.updated[key] = true
}

func (m *merger) addProblem(problem Problem) {
	m.problems[problem.Key()] = append(m.problems[problem.Key()], problem)
}

// revert puts the previously accepted resource back into next, or removes the key
// if there was none.
func (m *merger) revert(key Key) {
	delete(m.updated, key)
	previous, hasPrevious := m.previous[key]
	if !hasPrevious {
		delete(m.next, key)
		return
	}
	m.next[key] = previous
}

// revertConflicts reverts updated resources that conflict and reports whether it
// changed anything. Conflicts of unchanged resources are resolved first; only
// when none is left are updated resources that conflict with each other reverted.
// Repeated calls come to an end, because each key is reverted at most once and
// the previous resources are valid together.
func (m *merger) revertConflicts() bool {
	conflicts := findConflicts(m.nextSet())
	changed := false
	for _, conflict := range conflicts {
		if !m.updated[conflict.key] {
			changed = m.protectUnchanged(conflict) || changed
		}
	}
	if changed {
		return true
	}
	reverted := make(map[Key]bool)
	for _, conflict := range conflicts {
		alreadyResolved := slices.ContainsFunc(conflict.others, func(key Key) bool { return reverted[key] })
		if m.updated[conflict.key] && !alreadyResolved {
			m.addProblem(conflict.problem())
			reverted[conflict.key] = true
		}
	}
	for key := range reverted {
		m.revert(key)
	}
	return len(reverted) > 0
}

func (m *merger) nextSet() Set {
	set := newSet()
	for _, accepted := range m.next {
		set.add(accepted.Value)
	}
	return set
}

// protectUnchanged resolves a conflict of an unchanged resource by reverting an
// updated one that causes it, or by restoring a deleted one. It reports whether
// it changed anything.
func (m *merger) protectUnchanged(c conflict) bool {
	i := slices.IndexFunc(c.others, func(key Key) bool { return m.updated[key] })
	if i < 0 {
		return slices.ContainsFunc(c.others, func(key Key) bool { return m.restoreDeleted(c, key) })
	}
	other := c.others[i]
	m.addProblem(Problem{
		Kind: other.Kind, Name: other.Name, Field: c.otherField,
		Reason: fmt.Sprintf("%s, which is in force, does not allow it: %s: %s", c.key, c.field, c.reason),
	})
	m.revert(other)
	return true
}

// restoreDeleted puts a deleted resource back because another one still refers to
// it, and reports whether that changed anything.
func (m *merger) restoreDeleted(c conflict, key Key) bool {
	_, inNext := m.next[key]
	previous, hasPrevious := m.previous[key]
	if !hasPrevious || inNext && !m.restored[key] {
		return false
	}
	m.next[key], m.restored[key] = previous, true
	problem := c.problem()
	problem.Reason += "; its last accepted form stays in force until nothing refers to it"
	m.addProblem(problem)
	return !inNext
}

func (m *merger) result() ([]AcceptedResource, []Problem) {
	resources := make([]AcceptedResource, 0, len(m.next))
	for _, accepted := range m.next {
		resources = append(resources, accepted)
	}
	slices.SortFunc(resources, func(a, b AcceptedResource) int { return a.Resource.Key().Compare(b.Resource.Key()) })
	problems := make([]Problem, 0, len(m.problems))
	for _, list := range m.problems {
		problems = append(problems, list...)
	}
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Key().Compare(b.Key()) })
	return resources, problems
}
