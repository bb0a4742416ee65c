package placer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// numberedBlocks returns the blocks of a prompt, of 16 tokens each.
func numberedBlocks(prompt uint64, shared, count int) []placer.PromptBlock {
	blocks := make([]placer.PromptBlock, 0, count)
	for n := range count {
		id := uint64(n + 1)
		if n >= shared {
			id += prompt << 32
		}
		blocks = append(blocks, placer.PromptBlock{ID: id, Tokens: 16})
	}

	return blocks
}

// Whatever the prompt: no token is lost, there are few blocks, and another prompt that begins with the same
// blocks and is as long has the same combined blocks as far as whole ones are shared.
func TestCombinedBlocksKeepTokensAndSharedBeginnings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 5000).Draw(t, "count")
		shared := rapid.IntRange(0, count).Draw(t, "shared")
		first, second := placer.CombineBlocks(numberedBlocks(1, shared, count)), placer.CombineBlocks(numberedBlocks(2, shared, count))
		assert.Assert(t, len(first) <= 65)
		tokens, common := 0, 0
		for n := range first {
			tokens += first[n].Tokens
			if first[n] == second[n] && common == n {
				common++
			}
		}
		assert.Equal(t, tokens, 16*count)
		if count > 65 {
			size := (count + 62) / 64
			assert.Assert(t, common >= shared/(2*size)-1, "%d blocks are shared", common)
		}
	})
}

// Guards against an instance that stops answering in a burst of prompts of many parts: the blocks that it
// reports to its peers are limited, and so is the work for them.
func TestReportedBlocksAreLimited(t *testing.T) {
	p := newPlacer("a", engines(1))
	for n := range uint64(24) {
		request := longRequest(1, n)
		request.Blocks = placer.CombineBlocks(numberedBlocks(n, 0, 1000))
		p.RecordSent(start, n, pick(t, p, start, request), request)
	}
	total := 0
	for _, ids := range p.LocalPrefills(start.Add(time.Second)) {
		total += len(ids)
	}
	assert.Assert(t, total > 0 && total <= 256, "%d blocks", total)
}

// BenchmarkPromptOfManyParts shows the time that a prompt of many parts takes with a report on it.
func BenchmarkPromptOfManyParts(b *testing.B) {
	for _, parts := range []int{10, 100, 1000, 4000} {
		b.Run(fmt.Sprint(parts), func(b *testing.B) {
			p := newPlacer("a", engines(12))
			id := uint64(0)
			for b.Loop() {
				id++
				request := placer.Request{Service: "llm", PromptTokens: 16 * parts, Blocks: placer.CombineBlocks(numberedBlocks(id, parts/2, parts))}
				if choice, ok := p.Pick(start, request); ok {
					p.RecordSent(start, id, choice, request)
				}
				p.LocalPrefills(start)
				p.RecordResult(start, id, placer.Finished)
			}
		})
	}
}
