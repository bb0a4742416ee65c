package reviser

import (
	"slices"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

// Head is the small object that says which revision is in force.
type Head struct {
	// Number grows by one with each revision.
	Number uint64 `json:"number"`
	// PartHashes are the hashes of the parts.
	PartHashes []string `json:"parts"`
	// Fence is the fencing number of the writer's lease.
	Fence uint64 `json:"lease"`
	// Previous is the number of the revision that it was compiled over.
	Previous uint64 `json:"previous"`
	// Counter is the store's counter up to which resources were read. A
	// listing that begins before it is too old to compile from.
	Counter uint64 `json:"counter"`
}

// Same reports whether both heads stand for the same revision.
func (h Head) Same(other Head) bool {
	return h.Number == other.Number && slices.Equal(h.PartHashes, other.PartHashes)
}

func (h Head) check() error {
	if h.Number == 0 {
		return errors.New("the number is 0")
	}
	if len(h.PartHashes) > MaximumParts {
		return errors.Errorf("%d parts are more than %d", len(h.PartHashes), MaximumParts)
	}
	return nil
}

// Revision is an accepted configuration. The zero value is the empty one with
// number 0. It is immutable.
type Revision struct {
	// Number grows by one with each revision.
	Number uint64
	// Parts are its contents.
	Parts []Part

	bundles []bundle
	set     declarer.Set
}

// Resources returns the resources in force. The caller must not change its maps.
func (r Revision) Resources() declarer.Set { return r.set }

// PartHashes returns the hashes of the parts.
func (r Revision) PartHashes() []string {
	hashes := make([]string, 0, len(r.Parts))
	for _, part := range r.Parts {
		hashes = append(hashes, part.Hash)
	}
	return hashes
}

// Part returns the part with the hash.
func (r Revision) Part(hash string) (Part, bool) {
	at := slices.IndexFunc(r.Parts, func(p Part) bool { return p.Hash == hash })
	if at < 0 {
		return Part{}, false
	}
	return r.Parts[at], true
}

// Assemble builds the revision that a head stands for from its parts, in the head's
// order. It decodes only those parts that the known revision does not have.
func Assemble(known Revision, head Head, parts []Part) (Revision, error) {
	if err := head.check(); err != nil {
		return Revision{}, err
	}
	if len(parts) != len(head.PartHashes) {
		return Revision{}, errors.Errorf("%d parts are given, the head names %d", len(parts), len(head.PartHashes))
	}
	have := make(map[string]bundle, len(known.bundles))
	for _, bundle := range known.bundles {
		have[bundle.part.Hash] = bundle
	}
	bundles := make([]bundle, 0, len(parts))
	for i, part := range parts {
		opened, err := openPart(have, head.PartHashes[i], part)
		if err != nil {
			return Revision{}, err
		}
		bundles = append(bundles, opened)
	}
	return newRevision(head.Number, bundles), nil
}

func openPart(have map[string]bundle, hash string, part Part) (bundle, error) {
	if known, found := have[hash]; found {
		return known, nil
	}
	if part.Hash != hash || !part.Intact() {
		return bundle{}, errors.Errorf("the contents of part %s do not fit its hash", hash)
	}
	entries, err := part.decode()
	if err != nil {
		return bundle{}, err
	}
	return bundle{part: part, entries: entries}, nil
}

func newRevision(number uint64, bundles []bundle) Revision {
	revision := Revision{Number: number, bundles: bundles}
	for _, bundle := range bundles {
		revision.Parts = append(revision.Parts, bundle.part)
	}
	revision.set = declarer.SetFromAccepted(revision.entries())
	return revision
}

// entries returns all accepted resources.
func (r Revision) entries() []declarer.AcceptedResource {
	var entries []declarer.AcceptedResource
	for _, bundle := range r.bundles {
		entries = append(entries, bundle.entries...)
	}
	return entries
}
