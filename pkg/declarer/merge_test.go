package declarer

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "20261203") }

// drawNames draws one or two of three possible names, or none if minCount is 0.
func drawNames(t *rapid.T, prefix string, minCount int) []string {
	return rapid.SliceOfNDistinct(rapid.SampledFrom([]string{prefix + "0", prefix + "1", prefix + "2"}), minCount, 2, rapid.ID).Draw(t, prefix)
}

// drawSpec draws a spec that is sometimes invalid or refers to missing resources.
func drawSpec(t *rapid.T, kind string) map[string]any {
	switch kind {
	case KindServiceClass:
		return map[string]any{"tier": rapid.IntRange(0, 6).Draw(t, "tier")}
	case KindWorkspace:
		digests := []string{}
		for _, name := range drawNames(t, "d", 0) {
			digests = append(digests, fmt.Sprintf("%064d", name[1]))
		}
		return map[string]any{"classes": drawNames(t, "c", 0), "digests": digests}
	case KindService:
		kind := rapid.SampledFrom([]string{"model", "model", "model", "plain", "disk"}).Draw(t, "kind")
		if kind != "model" {
			return map[string]any{"kind": kind}
		}
		return map[string]any{"kind": kind, "models": drawNames(t, "m", 1)}
	case KindEndpoint:
		port := rapid.IntRange(1, 4).Draw(t, "port")
		return map[string]any{
			"service": drawNames(t, "s", 1)[0], "address": fmt.Sprintf("http://10.0.0.1:%d", port), "dataCentre": "a", "models": drawNames(t, "m", 0),
		}
	default:
		after := rapid.SampledFrom([]string{"", "", "p0", "p1", "p2"}).Draw(t, "after")
		return map[string]any{"endpoints": drawNames(t, "e", 1), "model": drawNames(t, "m", 1)[0], "after": after}
	}
}

// namePrefixes holds the first letter of the resource names of each kind.
var namePrefixes = map[string]string{KindServiceClass: "c", KindWorkspace: "w", KindService: "s", KindEndpoint: "e", KindPlannedChange: "p"}

func drawResource(t *rapid.T, generation uint64) Resource {
	kind := rapid.SampledFrom(Kinds()).Draw(t, "kind")
	name := namePrefixes[kind] + fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "name"))
	spec, _ := json.Marshal(drawSpec(t, kind))
	return Resource{Kind: kind, Name: name, Generation: generation, Spec: spec}
}

// drawWriteOrDelete draws the write or deletion of a resource and returns the
// declared resources after it.
func drawWriteOrDelete(t *rapid.T, declared []Resource, generation uint64) []Resource {
	drawn := drawResource(t, generation)
	isDeleted := rapid.IntRange(0, 3).Draw(t, "delete") == 0
	var result []Resource
	for _, resource := range declared {
		if resource.Key() != drawn.Key() {
			result = append(result, resource)
		}
	}
	if isDeleted {
		return result
	}
	return append(result, drawn)
}

// specsByKey returns the specs of accepted resources by key.
func specsByKey(resources []AcceptedResource) map[Key]string {
	specs := make(map[Key]string)
	for _, accepted := range resources {
		specs[accepted.Resource.Key()] = string(accepted.Resource.Spec)
	}
	return specs
}

// Merge returns accepted resources without conflicts, and merging the same
// resources again changes nothing. Each rejected resource has a problem. An
// accepted resource whose declared spec did not change stays as it is.
func TestMergeKeepsAcceptedResourcesValidAndStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var declared []Resource
		var accepted []AcceptedResource
		for step := range rapid.IntRange(1, 25).Draw(t, "steps") {
			for range rapid.IntRange(1, 4).Draw(t, "writes") {
				declared = drawWriteOrDelete(t, declared, uint64(step+1))
			}
			next, problems := Merge(accepted, declared)
			assert.Equal(t, len(findConflicts(SetFromAccepted(next))), 0)
			mergedAgain, _ := Merge(next, declared)
			assert.DeepEqual(t, specsByKey(mergedAgain), specsByKey(next))
			hasProblem := make(map[Key]bool)
			for _, problem := range problems {
				hasProblem[problem.Key()] = true
			}
			before, after := specsByKey(accepted), specsByKey(next)
			for _, resource := range declared {
				if before[resource.Key()] == string(resource.Spec) {
					assert.Equal(t, after[resource.Key()], string(resource.Spec), "%s", resource.Key())
				}
				assert.Assert(t, hasProblem[resource.Key()] || after[resource.Key()] == string(resource.Spec), "rejected without a reason: %s", resource.Key())
				_, decodeProblems := Decode(resource)
				if len(decodeProblems) > 0 {
					assert.Equal(t, after[resource.Key()], before[resource.Key()], "%s", resource.Key())
				}
			}
			accepted = next
		}
	})
}

// naiveMerge applies one write, or a deletion if write is nil, if the resources are
// valid together after it. Otherwise it returns accepted unchanged.
func naiveMerge(accepted map[Key]Resource, key Key, write *Resource) map[Key]Resource {
	candidate := make(map[Key]Resource)
	for k, resource := range accepted {
		candidate[k] = resource
	}
	delete(candidate, key)
	if write != nil {
		candidate[key] = *write
	}
	var values []any
	for _, resource := range candidate {
		value, problems := Decode(resource)
		if len(problems) > 0 {
			return accepted
		}
		values = append(values, value)
	}
	if len(findConflicts(SetFromValues(values))) > 0 {
		return accepted
	}
	return candidate
}

// With one write or deletion per Merge, each of which the operator takes back if it
// is rejected, Merge accepts the same as naiveMerge.
func TestMergeMatchesNaiveMergeForSingleWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var accepted []AcceptedResource
		naiveAccepted := make(map[Key]Resource)
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			drawn := drawResource(t, uint64(step+1))
			write := &drawn
			if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
				write = nil
			}
			var declared []Resource
			for _, previous := range accepted {
				if previous.Resource.Key() != drawn.Key() {
					declared = append(declared, previous.Resource)
				}
			}
			if write != nil {
				declared = append(declared, drawn)
			}
			accepted, _ = Merge(accepted, declared)
			naiveAccepted = naiveMerge(naiveAccepted, drawn.Key(), write)
			specs := make(map[Key]string)
			for key, resource := range naiveAccepted {
				specs[key] = string(resource.Spec)
			}
			assert.DeepEqual(t, specsByKey(accepted), specs)
		}
	})
}

// Each problem names the rejected resource and the reason, also when an accepted
// resource still refers to a deleted or changed one.
func TestMergeExplainsEachRejection(t *testing.T) {
	class := Resource{Kind: KindServiceClass, Name: "c", Generation: 1, Spec: json.RawMessage(`{}`)}
	workspace := Resource{Kind: KindWorkspace, Name: "w", Generation: 1, Spec: json.RawMessage(`{"classes":["c"]}`)}
	accepted, problems := Merge(nil, []Resource{workspace, class})
	assert.Equal(t, len(problems), 0)

	_, problems = Merge(accepted, []Resource{workspace})
	assert.Equal(t, fmt.Sprint(problems), `[Workspace/w: classes: ServiceClass "c" does not exist; its last accepted form stays in force until nothing refers to it]`)

	_, problems = Merge(nil, []Resource{class, class})
	assert.Equal(t, fmt.Sprint(problems), `[ServiceClass/c: name: "c" is declared twice]`)

	service := Resource{Kind: KindService, Name: "s", Spec: json.RawMessage(`{"kind":"model","models":["a","b"]}`)}
	endpoint := Resource{Kind: KindEndpoint, Name: "e", Spec: json.RawMessage(`{"service":"s","address":"http://10.0.0.1:1","dataCentre":"d","models":["b"]}`)}
	first := Resource{Kind: KindPlannedChange, Name: "p", Spec: json.RawMessage(`{"endpoints":["e"],"model":"a"}`)}
	accepted, problems = Merge(nil, []Resource{service, endpoint, first})
	assert.Equal(t, len(problems), 0)
	service.Spec = json.RawMessage(`{"kind":"model","models":["a"]}`)
	second := Resource{Kind: KindPlannedChange, Name: "q", Spec: json.RawMessage(`{"endpoints":["e"],"model":"b"}`)}
	_, problems = Merge(accepted, []Resource{service, endpoint, first, second})
	assert.Equal(t, fmt.Sprint(problems), `[PlannedChange/q: endpoints: "e" is also changed by PlannedChange "p" and neither comes after the other `+
		`Service/s: models: Endpoint/e, which is in force, does not allow it: models: "b" is not one of the models ["a"] of Service "s"]`)
}

// Of two new workspaces with the same bearer token, one is rejected for a missing
// class. The other must be accepted in spite of the shared token.
func TestMergeRejectedResourceDoesNotBlockConflictingOne(t *testing.T) {
	class := Resource{Kind: KindServiceClass, Name: "c", Spec: json.RawMessage(`{}`)}
	digest := fmt.Sprintf(`"digests":["%064d"]`, 1)
	invalid := Resource{Kind: KindWorkspace, Name: "b", Spec: json.RawMessage(`{"classes":["x","c"],` + digest + `}`)}
	valid := Resource{Kind: KindWorkspace, Name: "a", Spec: json.RawMessage(`{"classes":["c"],` + digest + `}`)}
	accepted, problems := Merge(nil, []Resource{class, invalid, valid})
	assert.Equal(t, len(accepted), 2)
	assert.Equal(t, fmt.Sprint(problems), fmt.Sprintf(`[Workspace/b: classes: ServiceClass "x" does not exist Workspace/b: digests: "%064d" belongs to Workspace "a"]`, 1))
}
