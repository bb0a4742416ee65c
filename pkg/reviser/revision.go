package reviser

import (
	"slices"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

// Head is the small stored object that names the newest revision and its parts.
type Head struct {
	// Number is the revision's number; each new revision has a higher one.
	Number uint64 `json:"number"`
	// PartHashes are the hashes of the revision's parts, in order.
	PartHashes []string `json:"parts"`
	// Fence is the fencing token of the lease under which the head was written.
	Fence uint64 `json:"lease"`
	// PreviousNumber is the number of the stored head that this one replaces.
	PreviousNumber uint64 `json:"previous"`
	// StoreCounter is the highest value of the store's write counter at which
	// resources were read. A listing that begins below it is too old to compile.
	StoreCounter uint64 `json:"counter"`
}

// IsSameRevision reports whether both heads have the same number and parts.
func (h Head) IsSameRevision(other Head) bool {
	return h.Number == other.Number && slices.Equal(h.PartHashes, other.PartHashes)
}

// validate returns an error if the number is 0 or there are more than MaxParts parts.
func (h Head) validate() error {
	if h.Number == 0 {
		return errors.New("the revision number is 0")
	}
	if len(h.PartHashes) > MaxParts {
		return errors.Errorf("%d parts exceed the limit of %d", len(h.PartHashes), MaxParts)
	}
	return nil
}

// Revision is a numbered, immutable configuration that consists of accepted
// resources. The zero value is empty and has number 0.
type Revision struct {
	// Number is the revision's number; each new revision has a higher one.
	Number uint64
	// Parts hold the encoded resources.
	Parts []Part

	decodedParts []decodedPart
	resources    declarer.Set
}

// Resources returns the resources of the revision. The caller must not change its maps.
func (r Revision) Resources() declarer.Set { return r.resources }

// PartHashes returns the hashes of the revision's parts, in order.
func (r Revision) PartHashes() []string {
	hashes := make([]string, 0, len(r.Parts))
	for _, part := range r.Parts {
		hashes = append(hashes, part.Hash)
	}
	return hashes
}

// Part returns the part with the hash, or false if the revision has none.
func (r Revision) Part(hash string) (Part, bool) {
	index := slices.IndexFunc(r.Parts, func(p Part) bool { return p.Hash == hash })
	if index < 0 {
		return Part{}, false
	}
	return r.Parts[index], true
}

// Assemble builds the revision that a head names from its parts, which must be in the
// head's order. It decodes only those parts that the known revision does not have, and
// fails if a part does not match its hash or holds an invalid resource.
func Assemble(known Revision, head Head, parts []Part) (Revision, error) {
	if err := head.validate(); err != nil {
		return Revision{}, err
	}
	if len(parts) != len(head.PartHashes) {
		return Revision{}, errors.Errorf("%d parts are given, the head names %d", len(parts), len(head.PartHashes))
	}
	decodedByHash := make(map[string]decodedPart, len(known.decodedParts))
	for _, decoded := range known.decodedParts {
		decodedByHash[decoded.part.Hash] = decoded
	}
	decodedParts := make([]decodedPart, 0, len(parts))
	for i, part := range parts {
		decoded, err := verifyAndDecode(decodedByHash, head.PartHashes[i], part)
		if err != nil {
			return Revision{}, err
		}
		decodedParts = append(decodedParts, decoded)
	}
	return newRevision(head.Number, decodedParts), nil
}

// verifyAndDecode returns the known part with the hash if there is one; otherwise it
// checks the part against the hash and decodes it.
func verifyAndDecode(decodedByHash map[string]decodedPart, hash string, part Part) (decodedPart, error) {
	if known, found := decodedByHash[hash]; found {
		return known, nil
	}
	if part.Hash != hash || !part.IsIntact() {
		return decodedPart{}, errors.Errorf("the contents of part %s do not match its hash", hash)
	}
	entries, err := part.decode()
	if err != nil {
		return decodedPart{}, err
	}
	return decodedPart{part: part, entries: entries}, nil
}

func newRevision(number uint64, decodedParts []decodedPart) Revision {
	revision := Revision{Number: number, decodedParts: decodedParts}
	for _, decoded := range decodedParts {
		revision.Parts = append(revision.Parts, decoded.part)
	}
	revision.resources = declarer.SetFromAccepted(revision.entries())
	return revision
}

// entries returns the resources of all parts with their decoded values.
func (r Revision) entries() []declarer.AcceptedResource {
	var entries []declarer.AcceptedResource
	for _, decoded := range r.decodedParts {
		entries = append(entries, decoded.entries...)
	}
	return entries
}
