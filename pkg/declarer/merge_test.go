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

// pick draws the names of up to two resources of a small universe.
func pick(t *rapid.T, prefix string, least int) []string {
	return rapid.SliceOfNDistinct(rapid.SampledFrom([]string{prefix + "0", prefix + "1", prefix + "2"}), least, 2, rapid.ID).Draw(t, prefix)
}

func drawSpec(t *rapid.T, kind string) map[string]any {
	switch kind {
	case KindServiceClass:
		return map[string]any{"tier": rapid.IntRange(0, 6).Draw(t, "tier")}
	case KindWorkspace:
		digests := []string{}
		for _, name := range pick(t, "d", 0) {
			digests = append(digests, fmt.Sprintf("%064d", name[1]))
		}
		return map[string]any{"classes": pick(t, "c", 0), "digests": digests}
	case KindService:
		kind := rapid.SampledFrom([]string{"model", "model", "model", "plain", "disk"}).Draw(t, "kind")
		if kind != "model" {
			return map[string]any{"kind": kind}
		}
		return map[string]any{"kind": kind, "models": pick(t, "m", 1)}
	case KindEndpoint:
		port := rapid.IntRange(1, 4).Draw(t, "port")
		return map[string]any{
			"service": pick(t, "s", 1)[0], "address": fmt.Sprintf("http://10.0.0.1:%d", port), "dataCentre": "a", "models": pick(t, "m", 0),
		}
	default:
		after := rapid.SampledFrom([]string{"", "", "p0", "p1", "p2"}).Draw(t, "after")
		return map[string]any{"endpoints": pick(t, "e", 1), "model": pick(t, "m", 1)[0], "after": after}
	}
}

var prefixes = map[string]string{KindServiceClass: "c", KindWorkspace: "w", KindService: "s", KindEndpoint: "e", KindPlannedChange: "p"}

func drawResource(t *rapid.T, generation uint64) Resource {
	kind := rapid.SampledFrom(Kinds()).Draw(t, "kind")
	name := prefixes[kind] + fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "name"))
	spec, _ := json.Marshal(drawSpec(t, kind))
	return Resource{Kind: kind, Name: name, Generation: generation, Spec: spec}
}

// change draws a write or a deletion and returns the declared resources after it.
func change(t *rapid.T, declared []Resource, generation uint64) []Resource {
	drawn := drawResource(t, generation)
	gone := rapid.IntRange(0, 3).Draw(t, "delete") == 0
	var result []Resource
	for _, resource := range declared {
		if resource.Key() != drawn.Key() {
			result = append(result, resource)
		}
	}
	if gone {
		return result
	}
	return append(result, drawn)
}

func index(entries []AcceptedResource) map[Key]string {
	specs := make(map[Key]string)
	for _, entry := range entries {
		specs[entry.Resource.Key()] = string(entry.Resource.Spec)
	}
	return specs
}

// What is in force is valid as a whole, merging the same again changes nothing,
// nothing is rejected without a reason, and an accepted resource that nobody
// touched stays in force as it is.
func TestMergeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var declared []Resource
		var force []AcceptedResource
		for step := range rapid.IntRange(1, 25).Draw(t, "steps") {
			for range rapid.IntRange(1, 4).Draw(t, "writes") {
				declared = change(t, declared, uint64(step+1))
			}
			next, problems := Merge(force, declared)
			assert.Equal(t, len(findConflicts(SetFromAccepted(next))), 0)
			again, _ := Merge(next, declared)
			assert.DeepEqual(t, index(again), index(next))
			told := make(map[Key]bool)
			for _, problem := range problems {
				told[problem.Key()] = true
			}
			before, after := index(force), index(next)
			for _, resource := range declared {
				if before[resource.Key()] == string(resource.Spec) {
					assert.Equal(t, after[resource.Key()], string(resource.Spec), "%s", resource.Key())
				}
				assert.Assert(t, told[resource.Key()] || after[resource.Key()] == string(resource.Spec), "rejected without a reason: %s", resource.Key())
				_, bad := Decode(resource)
				if len(bad) > 0 {
					assert.Equal(t, after[resource.Key()], before[resource.Key()], "%s", resource.Key())
				}
			}
			force = next
		}
	})
}

// naive takes one write or deletion if all is valid with it, else leaves it.
func naive(force map[Key]Resource, key Key, write *Resource) map[Key]Resource {
	tried := make(map[Key]Resource)
	for k, resource := range force {
		tried[k] = resource
	}
	delete(tried, key)
	if write != nil {
		tried[key] = *write
	}
	var values []any
	for _, resource := range tried {
		value, problems := Decode(resource)
		if len(problems) > 0 {
			return force
		}
		values = append(values, value)
	}
	if len(findConflicts(SetFromValues(values))) > 0 {
		return force
	}
	return tried
}

// One write at a time, with what was not accepted taken back by the operator,
// gives the same as trying each alone.
func TestMergeAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var force []AcceptedResource
		expected := make(map[Key]Resource)
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			drawn := drawResource(t, uint64(step+1))
			write := &drawn
			if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
				write = nil
			}
			var kept []Resource
			for _, entry := range force {
				if entry.Resource.Key() != drawn.Key() {
					kept = append(kept, entry.Resource)
				}
			}
			if write != nil {
				kept = append(kept, drawn)
			}
			force, _ = Merge(force, kept)
			expected = naive(expected, drawn.Key(), write)
			specs := make(map[Key]string)
			for key, resource := range expected {
				specs[key] = string(resource.Spec)
			}
			assert.DeepEqual(t, index(force), specs)
		}
	})
}

// A chain of conflicts, one line each: what is declared over what is in force.
func TestMergeReasons(t *testing.T) {
	class := Resource{Kind: KindServiceClass, Name: "c", Generation: 1, Spec: json.RawMessage(`{}`)}
	workspace := Resource{Kind: KindWorkspace, Name: "w", Generation: 1, Spec: json.RawMessage(`{"classes":["c"]}`)}
	force, problems := Merge(nil, []Resource{workspace, class})
	assert.Equal(t, len(problems), 0)

	_, problems = Merge(force, []Resource{workspace})
	assert.Equal(t, fmt.Sprint(problems), `[Workspace/w: classes: ServiceClass "c" does not exist; its last accepted form stays in force until nothing refers to it]`)

	_, problems = Merge(nil, []Resource{class, class})
	assert.Equal(t, fmt.Sprint(problems), `[ServiceClass/c: name: "c" is declared twice]`)

	service := Resource{Kind: KindService, Name: "s", Spec: json.RawMessage(`{"kind":"model","models":["a","b"]}`)}
	endpoint := Resource{Kind: KindEndpoint, Name: "e", Spec: json.RawMessage(`{"service":"s","address":"http://10.0.0.1:1","dataCentre":"d","models":["b"]}`)}
	first := Resource{Kind: KindPlannedChange, Name: "p", Spec: json.RawMessage(`{"endpoints":["e"],"model":"a"}`)}
	force, problems = Merge(nil, []Resource{service, endpoint, first})
	assert.Equal(t, len(problems), 0)
	service.Spec = json.RawMessage(`{"kind":"model","models":["a"]}`)
	second := Resource{Kind: KindPlannedChange, Name: "q", Spec: json.RawMessage(`{"endpoints":["e"],"model":"b"}`)}
	_, problems = Merge(force, []Resource{service, endpoint, first, second})
	assert.Equal(t, fmt.Sprint(problems), `[PlannedChange/q: endpoints: "e" is also changed by PlannedChange "p" and neither comes after the other `+
		`Service/s: models: Endpoint/e, which is in force, does not allow it: models: "b" is not one of the models ["a"] of Service "s"]`)
}

// A new form that is rejected holds up no other new form that clashes with it.
func TestMergeRejectedHoldsUpNothing(t *testing.T) {
	class := Resource{Kind: KindServiceClass, Name: "c", Spec: json.RawMessage(`{}`)}
	digest := fmt.Sprintf(`"digests":["%064d"]`, 1)
	bad := Resource{Kind: KindWorkspace, Name: "b", Spec: json.RawMessage(`{"classes":["x","c"],` + digest + `}`)}
	good := Resource{Kind: KindWorkspace, Name: "a", Spec: json.RawMessage(`{"classes":["c"],` + digest + `}`)}
	force, problems := Merge(nil, []Resource{class, bad, good})
	assert.Equal(t, len(force), 2)
	assert.Equal(t, fmt.Sprint(problems), fmt.Sprintf(`[Workspace/b: classes: ServiceClass "x" does not exist Workspace/b: digests: "%064d" belongs to Workspace "a"]`, 1))
}
