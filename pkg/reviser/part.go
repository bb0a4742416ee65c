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

// Sizes of parts, in bytes, and their number.
const (
	// TargetPart is the size above which a part is split in two.
	TargetPart = 128 << 10
	// MaximumPart is the largest contents accepted.
	MaximumPart = 700 << 10
	// MaximumParts is the largest number of parts of one revision.
	MaximumParts = 4096
)

// Part is a piece of a revision, named by the hash of its contents.
type Part struct {
	// Hash is the SHA-256 sum of Contents in hex.
	Hash string `json:"hash"`
	// Contents is a JSON list of resources.
	Contents []byte `json:"contents"`
}

// NewPart names the contents by their hash.
func NewPart(contents []byte) Part {
	return Part{Hash: hashOf(contents), Contents: contents}
}

// Intact reports whether the contents fit the hash.
func (p Part) Intact() bool {
	return len(p.Contents) <= MaximumPart && hashOf(p.Contents) == p.Hash
}

func hashOf(contents []byte) string {
	sum := sha256.Sum256(contents)
	return hex.EncodeToString(sum[:])
}

// decode returns the resources in the part.
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

// item is an encoded resource with the hash that decides its part.
type item struct {
	place uint64
	entry declarer.AcceptedResource
	data  []byte
}

// bundle is a part with its decoded resources.
type bundle struct {
	part    Part
	entries []declarer.AcceptedResource
}

// pack distributes entries over parts by the leading bits of the hash of their
// keys. A part is split only where it grows over TargetPart, so that the parts
// depend on nothing but the entries and a change of one rewrites one part.
func pack(entries []declarer.AcceptedResource) ([]bundle, error) {
	items := make([]item, 0, len(entries))
	for _, entry := range entries {
		data, err := encode(entry.Resource)
		if err != nil {
			return nil, err
		}
		items = append(items, item{place: placeOf(entry.Resource.Key()), entry: entry, data: data})
	}
	slices.SortStableFunc(items, func(a, b item) int {
		if a.place != b.place {
			return compareUint(a.place, b.place)
		}
		return a.entry.Resource.Key().Compare(b.entry.Resource.Key())
	})
	return split(nil, items, topBit), nil
}

func compareUint(a, b uint64) int {
	if a < b {
		return -1
	}
	return 1
}

// topBit is the bit of the place by which the first split is made.
const topBit = 63

// split appends the parts of the items, which agree on all bits above bit.
func split(bundles []bundle, items []item, bit int) []bundle {
	if len(items) == 0 {
		return bundles
	}
	if sizeOf(items) <= TargetPart || bit < 0 {
		return append(bundles, join(items))
	}
	middle, _ := slices.BinarySearchFunc(items, uint64(1), func(i item, one uint64) int {
		return int(i.place>>bit&1) - int(one)
	})
	bundles = split(bundles, items[:middle], bit-1)
	return split(bundles, items[middle:], bit-1)
}

func sizeOf(items []item) int {
	size := 2
	for _, item := range items {
		size += len(item.data) + 1
	}
	return size
}

func join(items []item) bundle {
	var contents bytes.Buffer
	contents.Grow(sizeOf(items))
	entries := make([]declarer.AcceptedResource, 0, len(items))
	contents.WriteByte('[')
	for i, item := range items {
		if i > 0 {
			contents.WriteByte(',')
		}
		contents.Write(item.data)
		entries = append(entries, item.entry)
	}
	contents.WriteByte(']')
	return bundle{part: NewPart(contents.Bytes()), entries: entries}
}

func encode(resource declarer.Resource) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(resource); err != nil {
		return nil, errors.Wrapf(err, "encode %s", resource.Key())
	}
	return bytes.TrimSpace(buffer.Bytes()), nil
}

func placeOf(key declarer.Key) uint64 {
	sum := sha256.Sum256([]byte(key.String()))
	return binary.BigEndian.Uint64(sum[:8])
}
