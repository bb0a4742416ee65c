package decoder

import "hash/fnv"

const (
	// PrefixBlockBytes is the size of the blocks in which prompts are hashed, in
	// bytes.
	PrefixBlockBytes = 256
	// MaxPrefixHashes is the maximum number of prefix hashes of one prompt.
	MaxPrefixHashes = 16
)

// PrefixHashes returns hashes of the prompt's prefixes, shortest prefix first. Each
// prefix is longer than the one before by the same number of blocks, which is the smallest
// power of two that gives at most MaxPrefixHashes hashes for the whole prompt.
func PrefixHashes(prompt []byte) []uint64 {
	blockCount := len(prompt) / PrefixBlockBytes
	blocksPerHash := 1
	for blockCount/blocksPerHash > MaxPrefixHashes {
		blocksPerHash *= 2
	}

	digest := fnv.New64a()
	hashes := make([]uint64, 0, min(blockCount, MaxPrefixHashes))
	for block := 1; block <= blockCount; block++ {
		_, _ = digest.Write(prompt[(block-1)*PrefixBlockBytes : block*PrefixBlockBytes])
		if block%blocksPerHash == 0 {
			hashes = append(hashes, digest.Sum64())
		}
	}

	return hashes
}
