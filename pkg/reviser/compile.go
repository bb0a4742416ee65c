package reviser

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

// Verdict is the decision whether one generation of a resource is accepted.
type Verdict struct {
	Kind       string
	Name       string
	Generation uint64
	// Accepted is true if this generation is in force.
	Accepted bool
	// Field and Reason say why the generation was rejected. If it is accepted they
	// are a warning, for instance that a resource it refers to was deleted.
	Field  string
	Reason string
}

// Key returns the kind and name of the resource.
func (v Verdict) Key() declarer.Key { return declarer.Key{Kind: v.Kind, Name: v.Name} }

// Compile returns the revision that follows the previous one and a verdict for each
// resource. If a resource is rejected, its last accepted generation stays in force.
// If no resource in force changes, or if the configuration needs more than MaxParts
// parts, Compile returns the previous revision with its number.
func Compile(previous Revision, resources []declarer.Resource) (Revision, []Verdict) {
	compacted := make([]declarer.Resource, len(resources))
	for i, resource := range resources {
		resource.Spec = compactJSON(resource.Spec)
		compacted[i] = resource
	}
	entries, problems := declarer.Merge(previous.entries(), compacted)
	verdicts := verdictsOf(entries, problems, compacted)
	parts, err := partition(entries)
	if err != nil || len(parts) > MaxParts {
		// Accepted specs are valid JSON and can be encoded. If there are too
		// many parts, the previous revision stays in force unchanged.
		return previous, rejectAll(resources, len(parts))
	}
	if previous.Number > 0 && haveSameParts(previous.decodedParts, parts) {
		return previous, verdicts
	}
	return newRevision(previous.Number+1, parts), verdicts
}

func compactJSON(spec json.RawMessage) json.RawMessage {
	var buffer bytes.Buffer
	if json.Compact(&buffer, spec) != nil {
		return spec // declarer.Merge decodes it and reports the error.
	}
	return buffer.Bytes()
}

func haveSameParts(a, b []decodedPart) bool {
	return slices.EqualFunc(a, b, func(x, y decodedPart) bool { return x.part.Hash == y.part.Hash })
}

// verdictsOf returns a verdict for each resource, sorted by key, from the accepted
// entries and the problems that were found.
func verdictsOf(entries []declarer.AcceptedResource, problems []declarer.Problem, resources []declarer.Resource) []Verdict {
	accepted := make(map[declarer.Key]declarer.Resource, len(entries))
	for _, entry := range entries {
		accepted[entry.Resource.Key()] = entry.Resource
	}
	problemsByKey := make(map[declarer.Key][]declarer.Problem)
	for _, problem := range problems {
		problemsByKey[problem.Key()] = append(problemsByKey[problem.Key()], problem)
	}
	verdicts := make([]Verdict, 0, len(resources))
	for _, resource := range resources {
		acceptedResource, found := accepted[resource.Key()]
		verdict := Verdict{
			Kind: resource.Kind, Name: resource.Name, Generation: resource.Generation,
			Accepted: found && acceptedResource.Generation == resource.Generation && bytes.Equal(acceptedResource.Spec, resource.Spec),
		}
		verdicts = append(verdicts, verdict.withProblems(problemsByKey[resource.Key()]))
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int { return a.Key().Compare(b.Key()) })
	return verdicts
}

// withProblems returns the verdict with the field of the first problem and the
// reasons of all problems.
func (v Verdict) withProblems(problems []declarer.Problem) Verdict {
	for i, problem := range problems {
		if i == 0 {
			v.Field, v.Reason = problem.Field, problem.Reason
			continue
		}
		v.Reason += "; " + problem.Field + ": " + problem.Reason
	}
	return v
}

func rejectAll(resources []declarer.Resource, partCount int) []Verdict {
	verdicts := make([]Verdict, 0, len(resources))
	for _, resource := range resources {
		verdicts = append(verdicts, Verdict{
			Kind: resource.Kind, Name: resource.Name, Generation: resource.Generation,
			Reason: tooManyPartsReason(partCount),
		})
	}
	return verdicts
}
