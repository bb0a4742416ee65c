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

// Validate accepts every resource that is valid by itself and together with the
// others, and says why it does not accept the rest.
func Validate(resources []Resource) (Set, []Problem) {
	entries, problems := Merge(nil, resources)
	return SetFromAccepted(entries), problems
}

// SetFromAccepted returns the values of the entries.
func SetFromAccepted(entries []AcceptedResource) Set {
	set := newSet()
	for _, entry := range entries {
		set.add(entry.Value)
	}
	return set
}

// Merge accepts resources one by one over those accepted before. A resource
// that is not valid, or does not fit the others, leaves its last accepted form
// in force and holds up no other. A deleted resource stays in force for as long
// as an accepted one refers to it. The result is always valid as a whole, given
// that the previous one is; entries and problems are in the order of their keys.
func Merge(previous []AcceptedResource, resources []Resource) ([]AcceptedResource, []Problem) {
	m := newMerger(previous)
	m.stage(resources)
	for m.settle() {
		continue
	}
	return m.result()
}

// merger holds the forms that are about to be in force.
type merger struct {
	previous map[Key]AcceptedResource
	current  map[Key]AcceptedResource
	// fresh are the keys whose current form is not the previous one.
	fresh map[Key]bool
	// restored are the deleted keys that are still needed.
	restored map[Key]bool
	problems map[Key][]Problem
}

func newMerger(previous []AcceptedResource) *merger {
	m := &merger{
		previous: make(map[Key]AcceptedResource, len(previous)),
		current:  make(map[Key]AcceptedResource, len(previous)),
		fresh:    make(map[Key]bool),
		restored: make(map[Key]bool),
		problems: make(map[Key][]Problem),
	}
	for _, entry := range previous {
		m.previous[entry.Resource.Key()] = entry
	}
	return m
}

// stage decodes the resources and lets each valid one take the place of its
// previous form.
func (m *merger) stage(resources []Resource) {
	seen := make(map[Key]bool, len(resources))
	for _, resource := range resources {
		key := resource.Key()
		if seen[key] {
			m.report(Problem{Kind: key.Kind, Name: key.Name, Field: "name", Reason: fmt.Sprintf("%q is declared twice", key.Name)})
			continue
		}
		seen[key] = true
		m.stageOne(key, resource)
	}
}

func (m *merger) stageOne(key Key, resource Resource) {
	previous, known := m.previous[key]
	if known && bytes.Equal(previous.Resource.Spec, resource.Spec) {
		m.current[key] = AcceptedResource{Resource: resource, Value: previous.Value}
		return
	}
	value, problems := Decode(resource)
	if len(problems) > 0 {
		m.problems[key] = append(m.problems[key], problems...)
		m.revert(key)
		return
	}
	m.current[key] = AcceptedResource{Resource: resource, Value: value}
	m.fresh[key] = true
}

func (m *merger) report(problem Problem) {
	m.problems[problem.Key()] = append(m.problems[problem.Key()], problem)
}

// revert puts the previous form back, or takes the resource out if it has none.
func (m *merger) revert(key Key) {
	delete(m.fresh, key)
	previous, known := m.previous[key]
	if !known {
		delete(m.current, key)
		return
	}
	m.current[key] = previous
}

// settle reverts what does not fit together and reports whether it had to.
// Each key is reverted at most once, and the previous forms fit together, so
// that repeating it comes to an end. What is in force goes first: only when
// nothing stands against it are new forms held against each other.
func (m *merger) settle() bool {
	conflicts := findConflicts(m.set())
	changed := false
	for _, conflict := range conflicts {
		if !m.fresh[conflict.key] {
			changed = m.defend(conflict) || changed
		}
	}
	if changed {
		return true
	}
	reverted := make(map[Key]bool)
	for _, conflict := range conflicts {
		involved := slices.ContainsFunc(conflict.others, func(key Key) bool { return reverted[key] })
		if m.fresh[conflict.key] && !involved {
			m.report(conflict.problem())
			reverted[conflict.key] = true
		}
	}
	for key := range reverted {
		m.revert(key)
	}
	return len(reverted) > 0
}

func (m *merger) set() Set {
	set := newSet()
	for _, entry := range m.current {
		set.add(entry.Value)
	}
	return set
}

// defend reverts the new form of a resource that one in force cannot live
// with, or brings back a deleted one.
func (m *merger) defend(c conflict) bool {
	at := slices.IndexFunc(c.others, func(key Key) bool { return m.fresh[key] })
	if at < 0 {
		return slices.ContainsFunc(c.others, func(key Key) bool { return m.restore(c, key) })
	}
	other := c.others[at]
	m.report(Problem{
		Kind: other.Kind, Name: other.Name, Field: c.otherField,
		Reason: fmt.Sprintf("%s, which is in force, does not allow it: %s: %s", c.key, c.field, c.reason),
	})
	m.revert(other)
	return true
}

// restore brings back a deleted resource that another one still needs, and
// reports whether that changed anything.
func (m *merger) restore(c conflict, key Key) bool {
	_, present := m.current[key]
	previous, known := m.previous[key]
	if !known || present && !m.restored[key] {
		return false
	}
	m.current[key], m.restored[key] = previous, true
	problem := c.problem()
	problem.Reason += "; its last accepted form stays in force until nothing refers to it"
	m.report(problem)
	return !present
}

func (m *merger) result() ([]AcceptedResource, []Problem) {
	entries := make([]AcceptedResource, 0, len(m.current))
	for _, entry := range m.current {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b AcceptedResource) int { return a.Resource.Key().Compare(b.Resource.Key()) })
	problems := make([]Problem, 0, len(m.problems))
	for _, list := range m.problems {
		problems = append(problems, list...)
	}
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Key().Compare(b.Key()) })
	return entries, problems
}
