package reviser

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

// Limits on the size and number of parts.
const (
	// TargetPartBytes is the size in bytes above which a part is split in two.
	TargetPartBytes = 128 << 10
	// MaxPartBytes is the size in bytes of the largest part that is accepted.
	MaxPartBytes = 700 << 10
	// MaxParts is the largest number of parts that a revision may have.
	MaxParts = 4096
)

// Part is a piece of a revision, named by the hash of its contents.
type Part struct {
	// Hash is the SHA-256 sum of Contents in hex.
	Hash string `json:"hash"`
	// Contents is a JSON list of resources.
	Contents []byte `json:"contents"`
}

// NewPart returns a part with the contents and their hash.
func NewPart(contents []byte) Part {
	return Part{Hash: hashContents(contents), Contents: contents}
}

// IsIntact reports whether the contents match the hash and are at most MaxPartBytes
// long.
func (p Part) IsIntact() bool {
	return len(p.Contents) <= MaxPartBytes && hashContents(p.Contents) == p.Hash
}

func hashContents(contents []byte) string {
	sum := sha256.Sum256(contents)
	return hex.EncodeToString(sum[:])
}

// decode returns the resources in the part. It fails if one of them is invalid.
func (p Part) decode() ([]declarer.AcceptedResource, error) {
	var resources []declarer.Resource
	if err := json.Unmarshal(p.Contents, &resources); err != nil {
		return nil, errors.Wrapf(err, "part %s", p.Hash)
	}
	entries := make([]declarer.AcceptedResource, 0, len(resources))
	for _, resource := range resources {
		value, problems := declarer.DecodeAccepted(resource)
		if len(problems) > 0 {
			return nil, errors.Errorf("part %s: %s", p.Hash, problems[0])
		}
		entries = append(entries, declarer.AcceptedResource{Resource: resource, Value: value})
	}
	return entries, nil
}

// encodedEntry is an encoded resource with the hash of its key, which decides the part
// that it goes to.
type encodedEntry struct {
	keyHash uint64
	entry   declarer.AcceptedResource
	encoded []byte
}

// decodedPart is a part together with its decoded resources.
type decodedPart struct {
	part    Part
	entries []declarer.AcceptedResource
}

// partition distributes entries over parts by the leading bits of the hashes of
// their keys. A part is split only if it is larger than TargetPartBytes, so that the
// parts depend on nothing but the entries and a change of one entry rewrites one part.
func partition(entries []declarer.AcceptedResource) ([]decodedPart, error) {
	items := make([]encodedEntry, 0, len(entries))
	for _, entry := range entries {
		data, err := encodeResource(entry.Resource)
		if err != nil {
			return nil, err
		}
		items = append(items, encodedEntry{keyHash: hashKey(entry.Resource.Key()), entry: entry, encoded: data})
	}
	slices.SortStableFunc(items, func(a, b encodedEntry) int {
		if a.keyHash != b.keyHash {
			return compareUnequal(a.keyHash, b.keyHash)
		}
		return a.entry.Resource.Key().Compare(b.entry.Resource.Key())
	})
	return splitByHashBit(nil, items, highestHashBit), nil
}

// compareUnequal compares two numbers that are known to differ, for use in a sort.
func compareUnequal(a, b uint64) int {
	if a < b {
		return -1
	}
	return 1
}

// highestHashBit is the bit of a key's hash that decides the first split.
const highestHashBit = 63

// splitByHashBit appends the parts of the items, whose key hashes agree in all bits
// above bit. Items that are too large for one part are split by that bit.
func splitByHashBit(parts []decodedPart, items []encodedEntry, bit int) []decodedPart {
	if len(items) == 0 {
		return parts
	}
	if encodedSize(items) <= TargetPartBytes || bit < 0 {
		return append(parts, newDecodedPart(items))
	}
	middle, _ := slices.BinarySearchFunc(items, uint64(1), func(i encodedEntry, one uint64) int {
		return int(i.keyHash>>bit&1) - int(one)
	})
	parts = splitByHashBit(parts, items[:middle], bit-1)
	return splitByHashBit(parts, items[middle:], bit-1)
}

// encodedSize returns the size in bytes of the items encoded as a JSON list.
func encodedSize(items []encodedEntry) int {
	size := 2
	for _, item := range items {
		size += len(item.encoded) + 1
	}
	return size
}

// newDecodedPart encodes the items as the JSON list of one part.
func newDecodedPart(items []encodedEntry) decodedPart {
	var contents bytes.Buffer
	contents.Grow(encodedSize(items))
	entries := make([]declarer.AcceptedResource, 0, len(items))
	contents.WriteByte('[')
	for i, item := range items {
		if i > 0 {
			contents.WriteByte(',')
		}
		contents.Write(item.encoded)
		entries = append(entries, item.entry)
	}
	contents.WriteByte(']')
	return decodedPart{part: NewPart(contents.Bytes()), entries: entries}
}

func encodeResource(resource declarer.Resource) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(resource); err != nil {
		return nil, errors.Wrapf(err, "encode %s", resource.Key())
	}
	return bytes.TrimSpace(buffer.Bytes()), nil
}

// hashKey returns the first 64 bits of the SHA-256 sum of the key.
func hashKey(key declarer.Key) uint64 {
	sum := sha256.Sum256([]byte(key.String()))
	return binary.BigEndian.Uint64(sum[:8])
}
