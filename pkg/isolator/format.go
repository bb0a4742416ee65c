package isolator

import (
	"slices"
	"strconv"
)

// FormatBlocks returns the sorted IDs of prompt blocks, without repetition, for logs.
func FormatBlocks(ids []uint64) string {
	var text []byte
	for i, id := range slices.Compact(slices.Sorted(slices.Values(ids))) {
		if i > 0 {
			text = append(text, ' ')
		}
		text = strconv.AppendUint(text, id, 16)
	}

	return string(text)
}

// BlocksByProgress returns the blocks of the prompts whose answers had not begun when an
// endpoint crashed, and those of the others.
func BlocksByProgress(prompts []Prompt) (unbegun, begun []uint64) {
	for _, prompt := range prompts {
		if prompt.HasBegun {
			begun = append(begun, prompt.Blocks...)
		} else {
			unbegun = append(unbegun, prompt.Blocks...)
		}
	}

	return unbegun, begun
}
