package reviser

import (
	"fmt"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

// Store is the source of a head or part that comes from the platform's store
// instead of a peer.
const Store = ""

// Action is an operation that a state machine asks its caller to carry out. It is
// one of the types below.
type Action interface{ isAction() }

// Fetch asks the caller to fetch a part and to report the result with
// Applier.OnPartFetched or Applier.OnPartFetchFailed.
type Fetch struct {
	// Hash is the hash of the part's contents.
	Hash string
	// Source is the name of the peer to ask, or SourceStore.
	From string
}

// Apply asks the caller to put the revision in force on this instance.
type Apply struct {
	Revision Revision
}

// Refuse reports that a head, a part or a listing was not used, and why. It is
// meant for logs and counters.
type Refuse struct {
	// RevisionNumber is the number of the refused revision, 0 for a part or a listing.
	Number uint64
	// Source is the name of a peer, or SourceStore.
	From   string
	Reason string
}

// Load asks the caller to read the head object and the revision that it names, and
// to report the result with Publisher.OnHeadLoaded or OnHeadLoadFailed.
type Load struct{}

// WritePart asks the caller to write a part unconditionally, and to report the
// result with Publisher.OnPartWritten or OnPartWriteFailed.
type WritePart struct {
	Part Part
}

// WriteHead asks the caller to update the head if its version is still
// ExpectedVersion, or to create it if ExpectedVersion is 0, and to report the result
// with Publisher.OnHeadWritten, OnHeadWriteConflict or OnHeadWriteFailed.
type WriteHead struct {
	Head    Head
	Version uint64
}

// WriteStatus asks the caller to write the acceptance into the status of a resource,
// and to report the result with Publisher.OnStatusWritten or OnStatusWriteFailed.
type WriteStatus struct {
	Key    declarer.Key
	Status Status
}

// DeletePart asks the caller to delete a part that no recent revision uses, if its
// version is still ExpectedVersion. The result need not be reported.
type DeletePart struct {
	Hash    string
	Version uint64
}

func (Fetch) isAction()       {}
func (Apply) isAction()       {}
func (Refuse) isAction()      {}
func (Load) isAction()        {}
func (WritePart) isAction()   {}
func (WriteHead) isAction()   {}
func (WriteStatus) isAction() {}
func (DeletePart) isAction()  {}

func tooManyPartsReason(partCount int) string {
	return fmt.Sprintf("the configuration as a whole needs %d parts, more than %d", partCount, MaxParts)
}
