package reviser_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
	"github.com/oleanderpick/oleanderpick/pkg/reviser"
)

// plannedWorkspaces is the number of workspaces that the capacity plan expects.
const plannedWorkspaces = 48_000

// newClass returns a service class. Tiers above 4 are invalid.
func newClass(name string, tier int) declarer.Resource {
	return declarer.Resource{Kind: declarer.KindServiceClass, Name: name, Generation: 1, Spec: json.RawMessage(fmt.Sprintf(`{"tier":%d}`, tier))}
}

// newWorkspace returns a workspace with two bearer token digests and three classes. Its
// generation is the value of maxInFlight.
func newWorkspace(number, maxInFlight int) declarer.Resource {
	spec := fmt.Sprintf(`{"digests":["%064x","%064x"],"classes":["chat","notes","background"],"parallel":%d}`, 2*number, 2*number+1, maxInFlight)
	return declarer.Resource{Kind: declarer.KindWorkspace, Name: fmt.Sprintf("workspace-%06d", number), Generation: uint64(maxInFlight), Spec: json.RawMessage(spec)}
}

// newConfiguration returns three service classes and the given number of workspaces.
func newConfiguration(workspaceCount int) []declarer.Resource {
	resources := make([]declarer.Resource, 0, workspaceCount+3)
	resources = append(resources, newClass("chat", 0), newClass("notes", 1), newClass("background", 4))
	for number := range workspaceCount {
		resources = append(resources, newWorkspace(number, 1))
	}
	return resources
}

func ExampleCompile() {
	first, _ := reviser.Compile(reviser.Revision{}, []declarer.Resource{newClass("chat", 0)})
	second, verdicts := reviser.Compile(first, []declarer.Resource{newClass("chat", 9)})
	fmt.Println(first.Number, second.Number, second.Resources().Classes["chat"].Tier)
	fmt.Println(verdicts[0].Accepted, verdicts[0].Field, verdicts[0].Reason)
	// Output:
	// 1 1 0
	// false tier 9 is not between 0 and 4
}

// partHashSet returns the hashes of the revision's parts as a set.
func partHashSet(revision reviser.Revision) map[string]bool {
	set := make(map[string]bool)
	for _, hash := range revision.PartHashes() {
		set[hash] = true
	}
	return set
}

// addedParts returns the number and the total size in bytes of the parts that only the
// later revision has.
func addedParts(before, after reviser.Revision) (count, size int) {
	knownHashes := partHashSet(before)
	for _, part := range after.Parts {
		if !knownHashes[part.Hash] {
			count++
			size += len(part.Contents)
		}
	}
	return count, size
}

// headOf returns the head that names the revision.
func headOf(revision reviser.Revision) reviser.Head {
	return reviser.Head{Number: revision.Number, PartHashes: revision.PartHashes(), PreviousNumber: revision.Number - 1}
}

func TestCompileAtPlannedSizeRewritesOnePartPerChange(t *testing.T) {
	resources := newConfiguration(plannedWorkspaces)
	first, verdicts := reviser.Compile(reviser.Revision{}, resources)
	assert.Equal(t, len(verdicts), len(resources))
	assert.Equal(t, len(first.Resources().Workspaces), plannedWorkspaces)
	for _, part := range first.Parts {
		assert.Assert(t, part.IsIntact() && len(part.Contents) <= reviser.MaxPartBytes)
		encoded, _ := json.Marshal(part)
		assert.Assert(t, len(encoded) < 1<<20, "a part is too large for an object in the platform's store")
	}
	encoded, _ := json.Marshal(headOf(first))
	assert.Assert(t, len(encoded) < 64<<10, "the head has %d bytes", len(encoded))

	resources[100] = newWorkspace(97, 2)
	second, _ := reviser.Compile(first, resources)
	parts, size := addedParts(first, second)
	assert.Equal(t, second.Number, first.Number+1)
	assert.Equal(t, parts, 1, "a change of one workspace rewrites one part")
	assert.Assert(t, size <= reviser.TargetPartBytes)

	assembled, err := reviser.Assemble(reviser.Revision{}, headOf(second), second.Parts)
	assert.NilError(t, err)
	assert.Equal(t, assembled.Resources().Workspaces["workspace-000097"].MaxInFlight, 2)
	assert.Equal(t, len(assembled.Resources().Workspaces), plannedWorkspaces)
}

func TestAssembledRevisionEqualsCompiledRevision(t *testing.T) {
	resources := newConfiguration(3000)
	resources[5].Spec = append(json.RawMessage("\n "), resources[5].Spec...)
	first, _ := reviser.Compile(reviser.Revision{}, resources)
	assert.Assert(t, len(first.Parts) > 1)
	assembled, err := reviser.Assemble(reviser.Revision{}, headOf(first), first.Parts)
	assert.NilError(t, err)
	assert.DeepEqual(t, assembled.Resources(), first.Resources())
	recompiled, _ := reviser.Compile(assembled, resources)
	assert.Equal(t, recompiled.Number, first.Number, "compiling over an assembled revision changes nothing")
}

func TestAssembleRejectsInvalidHeadsAndParts(t *testing.T) {
	revision, _ := reviser.Compile(reviser.Revision{}, newConfiguration(3))
	corrupt := reviser.Part{Hash: revision.Parts[0].Hash, Contents: []byte("[]")}
	_, err := reviser.Assemble(reviser.Revision{}, headOf(revision), []reviser.Part{corrupt})
	assert.ErrorContains(t, err, "do not match its hash")
	_, err = reviser.Assemble(reviser.Revision{}, headOf(revision), nil)
	assert.ErrorContains(t, err, "0 parts are given, the head names 1")
	unknownKind := reviser.NewPart([]byte(`[{"kind":"Gateway","name":"g","spec":{}}]`))
	_, err = reviser.Assemble(reviser.Revision{}, reviser.Head{Number: 1, PartHashes: []string{unknownKind.Hash}}, []reviser.Part{unknownKind})
	assert.ErrorContains(t, err, `"Gateway" is not one of`)
	_, err = reviser.Assemble(reviser.Revision{}, reviser.Head{}, nil)
	assert.ErrorContains(t, err, "the revision number is 0")
}

// BenchmarkCompileOneChange measures what a change of one workspace rewrites, and the
// sizes of the revision and of its head.
func BenchmarkCompileOneChange(b *testing.B) {
	resources := newConfiguration(plannedWorkspaces)
	first, _ := reviser.Compile(reviser.Revision{}, resources)
	totalBytes, partCount := 0, 0
	b.ResetTimer()
	for i := range b.N {
		number := i * 7919 % plannedWorkspaces
		resources[number+3] = newWorkspace(number, 2+i)
		next, _ := reviser.Compile(first, resources)
		addedCount, size := addedParts(first, next)
		partCount += addedCount
		totalBytes += size
		first = next
	}
	encoded, _ := json.Marshal(headOf(first))
	b.ReportMetric(float64(totalBytes)/float64(b.N), "bytes/change")
	b.ReportMetric(float64(partCount)/float64(b.N), "parts/change")
	b.ReportMetric(float64(len(first.Parts)), "parts")
	b.ReportMetric(float64(len(encoded)), "head-bytes")
}

// partsInNameOrder fills parts in the order of the resource names and returns their
// sizes by hash. It is the alternative to distributing resources by the hash of the key.
func partsInNameOrder(resources []declarer.Resource, maxBytes int) map[string]int {
	sizes := make(map[string]int)
	var contents []byte
	flush := func() {
		sizes[reviser.NewPart(contents).Hash] = len(contents)
		contents = nil
	}
	for _, resource := range resources {
		data, _ := json.Marshal(resource)
		if len(contents)+len(data) > maxBytes {
			flush()
		}
		contents = append(contents, data...)
	}
	flush()
	return sizes
}

// BenchmarkPartsInNameOrder measures how many bytes of parts a changed and an added
// workspace rewrite if parts are filled in the order of the names.
func BenchmarkPartsInNameOrder(b *testing.B) {
	for _, mode := range []string{"change", "add"} {
		b.Run(mode, func(b *testing.B) {
			totalBytes := 0
			before := partsInNameOrder(newConfiguration(plannedWorkspaces), reviser.TargetPartBytes)
			for i := range b.N {
				number := i * 7919 % plannedWorkspaces
				resources := newConfiguration(plannedWorkspaces)
				if mode == "change" {
					resources[number+3] = newWorkspace(number, 2)
				} else {
					added := append([]declarer.Resource{newWorkspace(plannedWorkspaces+number, 1)}, resources[number+3:]...)
					resources = append(resources[:number+3:number+3], added...)
				}
				for hash, size := range partsInNameOrder(resources, reviser.TargetPartBytes) {
					if before[hash] == 0 {
						totalBytes += size
					}
				}
			}
			b.ReportMetric(float64(totalBytes)/float64(b.N), "bytes/change")
			b.ReportMetric(float64(len(before)), "parts")
		})
	}
}

// BenchmarkCompileAddedWorkspace measures how many bytes of parts an added workspace
// rewrites.
func BenchmarkCompileAddedWorkspace(b *testing.B) {
	resources := newConfiguration(plannedWorkspaces)
	first, _ := reviser.Compile(reviser.Revision{}, resources)
	totalBytes := 0
	for i := range b.N {
		next, _ := reviser.Compile(first, append(resources, newWorkspace(plannedWorkspaces+i, 1)))
		_, size := addedParts(first, next)
		totalBytes += size
	}
	b.ReportMetric(float64(totalBytes)/float64(b.N), "bytes/change")
}

// BenchmarkAssemble compares decoding all parts with decoding only a changed one.
func BenchmarkAssemble(b *testing.B) {
	first, _ := reviser.Compile(reviser.Revision{}, newConfiguration(plannedWorkspaces))
	changed := newConfiguration(plannedWorkspaces)
	changed[500] = newWorkspace(497, 2)
	second, _ := reviser.Compile(first, changed)
	b.Run("whole", func(b *testing.B) {
		for range b.N {
			_, _ = reviser.Assemble(reviser.Revision{}, headOf(second), second.Parts)
		}
	})
	b.Run("oneChange", func(b *testing.B) {
		for range b.N {
			_, _ = reviser.Assemble(first, headOf(second), second.Parts)
		}
	})
}
