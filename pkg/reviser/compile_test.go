package reviser_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
	"github.com/oleanderpick/oleanderpick/pkg/reviser"
)

// planWorkspaces is the number of workspaces at plan size.
const planWorkspaces = 48_000

func class(name string, tier int) declarer.Resource {
	return declarer.Resource{Kind: declarer.KindServiceClass, Name: name, Generation: 1, Spec: json.RawMessage(fmt.Sprintf(`{"tier":%d}`, tier))}
}

// workspace has two token digests and three classes.
func workspace(number, parallel int) declarer.Resource {
	spec := fmt.Sprintf(`{"digests":["%064x","%064x"],"classes":["chat","notes","background"],"parallel":%d}`, 2*number, 2*number+1, parallel)
	return declarer.Resource{Kind: declarer.KindWorkspace, Name: fmt.Sprintf("workspace-%06d", number), Generation: uint64(parallel), Spec: json.RawMessage(spec)}
}

func plan(workspaces int) []declarer.Resource {
	resources := make([]declarer.Resource, 0, workspaces+3)
	resources = append(resources, class("chat", 0), class("notes", 1), class("background", 4))
	for number := range workspaces {
		resources = append(resources, workspace(number, 1))
	}
	return resources
}

func ExampleCompile() {
	first, _ := reviser.Compile(reviser.Revision{}, []declarer.Resource{class("chat", 0)})
	second, verdicts := reviser.Compile(first, []declarer.Resource{class("chat", 9)})
	fmt.Println(first.Number, second.Number, second.Resources().Classes["chat"].Tier)
	fmt.Println(verdicts[0].Accepted, verdicts[0].Field, verdicts[0].Reason)
	// Output:
	// 1 1 0
	// false tier 9 is not between 0 and 4
}

func hashes(revision reviser.Revision) map[string]bool {
	set := make(map[string]bool)
	for _, hash := range revision.PartHashes() {
		set[hash] = true
	}
	return set
}

// rewritten returns the number and bytes of the parts that the new one adds.
func rewritten(before, after reviser.Revision) (parts, size int) {
	known := hashes(before)
	for _, part := range after.Parts {
		if !known[part.Hash] {
			parts++
			size += len(part.Contents)
		}
	}
	return parts, size
}

func head(revision reviser.Revision) reviser.Head {
	return reviser.Head{Number: revision.Number, PartHashes: revision.PartHashes(), Previous: revision.Number - 1}
}

func TestCompileAtPlanSize(t *testing.T) {
	resources := plan(planWorkspaces)
	first, verdicts := reviser.Compile(reviser.Revision{}, resources)
	assert.Equal(t, len(verdicts), len(resources))
	assert.Equal(t, len(first.Resources().Workspaces), planWorkspaces)
	for _, part := range first.Parts {
		assert.Assert(t, part.Intact() && len(part.Contents) <= reviser.MaximumPart)
		wire, _ := json.Marshal(part)
		assert.Assert(t, len(wire) < 1<<20, "a part fits an object of the platform")
	}
	wire, _ := json.Marshal(head(first))
	assert.Assert(t, len(wire) < 64<<10, "the head is small: %d", len(wire))

	resources[100] = workspace(97, 2)
	second, _ := reviser.Compile(first, resources)
	parts, size := rewritten(first, second)
	assert.Equal(t, second.Number, first.Number+1)
	assert.Equal(t, parts, 1, "one workspace's change rewrites one part")
	assert.Assert(t, size <= reviser.TargetPart)

	opened, err := reviser.Assemble(reviser.Revision{}, head(second), second.Parts)
	assert.NilError(t, err)
	assert.Equal(t, opened.Resources().Workspaces["workspace-000097"].MaxInFlight, 2)
	assert.Equal(t, len(opened.Resources().Workspaces), planWorkspaces)
}

func TestOpenedRevisionIsTheSame(t *testing.T) {
	resources := plan(3000)
	resources[5].Spec = append(json.RawMessage("\n "), resources[5].Spec...)
	first, _ := reviser.Compile(reviser.Revision{}, resources)
	assert.Assert(t, len(first.Parts) > 1)
	opened, err := reviser.Assemble(reviser.Revision{}, head(first), first.Parts)
	assert.NilError(t, err)
	assert.DeepEqual(t, opened.Resources(), first.Resources())
	again, _ := reviser.Compile(opened, resources)
	assert.Equal(t, again.Number, first.Number, "compiling over an opened revision changes nothing")
}

func TestOpenRefuses(t *testing.T) {
	revision, _ := reviser.Compile(reviser.Revision{}, plan(3))
	bad := reviser.Part{Hash: revision.Parts[0].Hash, Contents: []byte("[]")}
	_, err := reviser.Assemble(reviser.Revision{}, head(revision), []reviser.Part{bad})
	assert.ErrorContains(t, err, "do not fit its hash")
	_, err = reviser.Assemble(reviser.Revision{}, head(revision), nil)
	assert.ErrorContains(t, err, "0 parts are given, the head names 1")
	future := reviser.NewPart([]byte(`[{"kind":"Gateway","name":"g","spec":{}}]`))
	_, err = reviser.Assemble(reviser.Revision{}, reviser.Head{Number: 1, PartHashes: []string{future.Hash}}, []reviser.Part{future})
	assert.ErrorContains(t, err, `"Gateway" is not one of`)
	_, err = reviser.Assemble(reviser.Revision{}, reviser.Head{}, nil)
	assert.ErrorContains(t, err, "the number is 0")
}

func BenchmarkCompileOneChange(b *testing.B) {
	resources := plan(planWorkspaces)
	first, _ := reviser.Compile(reviser.Revision{}, resources)
	total, parts := 0, 0
	b.ResetTimer()
	for i := range b.N {
		number := i * 7919 % planWorkspaces
		resources[number+3] = workspace(number, 2+i)
		next, _ := reviser.Compile(first, resources)
		added, size := rewritten(first, next)
		parts += added
		total += size
		first = next
	}
	wire, _ := json.Marshal(head(first))
	b.ReportMetric(float64(total)/float64(b.N), "bytes/change")
	b.ReportMetric(float64(parts)/float64(b.N), "parts/change")
	b.ReportMetric(float64(len(first.Parts)), "parts")
	b.ReportMetric(float64(len(wire)), "head-bytes")
}

// sequential fills parts in the order of the names, the other way weighed.
func sequential(resources []declarer.Resource, size int) map[string]int {
	parts := make(map[string]int)
	var contents []byte
	flush := func() {
		parts[reviser.NewPart(contents).Hash] = len(contents)
		contents = nil
	}
	for _, resource := range resources {
		data, _ := json.Marshal(resource)
		if len(contents)+len(data) > size {
			flush()
		}
		contents = append(contents, data...)
	}
	flush()
	return parts
}

// BenchmarkSequential measures what a changed and an added workspace rewrite
// when parts are filled in the order of the names.
func BenchmarkSequential(b *testing.B) {
	for _, mode := range []string{"change", "add"} {
		b.Run(mode, func(b *testing.B) {
			total := 0
			before := sequential(plan(planWorkspaces), reviser.TargetPart)
			for i := range b.N {
				number := i * 7919 % planWorkspaces
				resources := plan(planWorkspaces)
				if mode == "change" {
					resources[number+3] = workspace(number, 2)
				} else {
					added := append([]declarer.Resource{workspace(planWorkspaces+number, 1)}, resources[number+3:]...)
					resources = append(resources[:number+3:number+3], added...)
				}
				for hash, size := range sequential(resources, reviser.TargetPart) {
					if before[hash] == 0 {
						total += size
					}
				}
			}
			b.ReportMetric(float64(total)/float64(b.N), "bytes/change")
			b.ReportMetric(float64(len(before)), "parts")
		})
	}
}

// BenchmarkAdd measures what an added workspace rewrites.
func BenchmarkAdd(b *testing.B) {
	resources := plan(planWorkspaces)
	first, _ := reviser.Compile(reviser.Revision{}, resources)
	total := 0
	for i := range b.N {
		next, _ := reviser.Compile(first, append(resources, workspace(planWorkspaces+i, 1)))
		_, size := rewritten(first, next)
		total += size
	}
	b.ReportMetric(float64(total)/float64(b.N), "bytes/change")
}

func BenchmarkOpen(b *testing.B) {
	first, _ := reviser.Compile(reviser.Revision{}, plan(planWorkspaces))
	changed := plan(planWorkspaces)
	changed[500] = workspace(497, 2)
	second, _ := reviser.Compile(first, changed)
	b.Run("whole", func(b *testing.B) {
		for range b.N {
			_, _ = reviser.Assemble(reviser.Revision{}, head(second), second.Parts)
		}
	})
	b.Run("oneChange", func(b *testing.B) {
		for range b.N {
			_, _ = reviser.Assemble(first, head(second), second.Parts)
		}
	})
}
