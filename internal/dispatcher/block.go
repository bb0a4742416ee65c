package dispatcher

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
