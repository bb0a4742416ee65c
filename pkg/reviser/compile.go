package reviser

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

// Verdict says whether one generation of a resource is accepted.
type Verdict struct {
	Kind       string
	Name       string
	Generation uint64
	// Accepted says that this generation is in force.
	Accepted bool
	// Field and Reason say why not. With Accepted they are a remark, as when a
	// resource that it refers to was deleted.
	Field  string
	Reason string
}

// Key returns the identity of the resource.
func (v Verdict) Key() declarer.Key { return declarer.Key{Kind: v.Kind, Name: v.Name} }

// Compile makes the revision that follows the previous one. A resource that is
// not accepted leaves its last accepted form in force. If nothing that is in
// force changes, it returns the previous revision with its number.
func Compile(previous Revision, resources []declarer.Resource) (Revision, []Verdict) {
	compacted := make([]declarer.Resource, len(resources))
	for i, resource := range resources {
		resource.Spec = compact(resource.Spec)
		compacted[i] = resource
	}
	entries, problems := declarer.Merge(previous.entries(), compacted)
	verdicts := judge(entries, problems, compacted)
	bundles, err := pack(entries)
	if err != nil || len(bundles) > MaximumParts {
		// Accepted specs are valid JSON and encode; beyond the bound the
		// previous revision stays whole.
		return previous, refuseAll(resources, len(bundles))
	}
	if previous.Number > 0 && sameParts(previous.bundles, bundles) {
		return previous, verdicts
	}
	return newRevision(previous.Number+1, bundles), verdicts
}

func compact(spec json.RawMessage) json.RawMessage {
	var buffer bytes.Buffer
	if json.Compact(&buffer, spec) != nil {
		return spec // Decode says what is wrong with it.
	}
	return buffer.Bytes()
}

func sameParts(a, b []bundle) bool {
	return slices.EqualFunc(a, b, func(x, y bundle) bool { return x.part.Hash == y.part.Hash })
}

// judge pairs each resource with its problems.
func judge(entries []declarer.AcceptedResource, problems []declarer.Problem, resources []declarer.Resource) []Verdict {
	force := make(map[declarer.Key]declarer.Resource, len(entries))
	for _, entry := range entries {
		force[entry.Resource.Key()] = entry.Resource
	}
	reasons := make(map[declarer.Key][]declarer.Problem)
	for _, problem := range problems {
		reasons[problem.Key()] = append(reasons[problem.Key()], problem)
	}
	verdicts := make([]Verdict, 0, len(resources))
	for _, resource := range resources {
		inForce, found := force[resource.Key()]
		verdict := Verdict{
			Kind: resource.Kind, Name: resource.Name, Generation: resource.Generation,
			Accepted: found && inForce.Generation == resource.Generation && bytes.Equal(inForce.Spec, resource.Spec),
		}
		verdicts = append(verdicts, verdict.withProblems(reasons[resource.Key()]))
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int { return a.Key().Compare(b.Key()) })
	return verdicts
}

// withProblems names the field of the first problem and all reasons.
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

func refuseAll(resources []declarer.Resource, parts int) []Verdict {
	verdicts := make([]Verdict, 0, len(resources))
	for _, resource := range resources {
		verdicts = append(verdicts, Verdict{
			Kind: resource.Kind, Name: resource.Name, Generation: resource.Generation,
			Reason: tooLarge(parts),
		})
	}
	return verdicts
}
