package reviser

import (
	"fmt"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

// SourceStore is the source of a head or part that comes from the platform's store
// instead of a peer.
const SourceStore = ""

// Action is an operation that a state machine asks its caller to carry out. It is
// one of the types below.
type Action interface{ isAction() }

// FetchPart asks the caller to fetch a part and to report the result with
// Applier.OnPartFetched or Applier.OnPartFetchFailed.
type FetchPart struct {
	// Hash is the hash of the part's contents.
	Hash string
	// Source is the name of the peer to ask, or SourceStore.
	Source string
}

// ApplyRevision asks the caller to put the revision in force on this instance.
type ApplyRevision struct {
	Revision Revision
}

// ReportRefusal reports that a head, a part or a listing was not used, and why. It is
// meant for logs and counters.
type ReportRefusal struct {
	// RevisionNumber is the number of the refused revision, 0 for a part or a listing.
	RevisionNumber uint64
	// Source is the name of a peer, or SourceStore.
	Source string
	Reason string
}

// LoadHead asks the caller to read the head object and the revision that it names, and
// to report the result with Publisher.OnHeadLoaded or OnHeadLoadFailed.
type LoadHead struct{}

// WritePart asks the caller to write a part unconditionally, and to report the
// result with Publisher.OnPartWritten or OnPartWriteFailed.
type WritePart struct {
	Part Part
}

// WriteHead asks the caller to update the head if its version is still
// ExpectedVersion, or to create it if ExpectedVersion is 0, and to report the result
// with Publisher.OnHeadWritten, OnHeadWriteConflict or OnHeadWriteFailed.
type WriteHead struct {
	Head            Head
	ExpectedVersion uint64
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
	Hash            string
	ExpectedVersion uint64
}

func (FetchPart) isAction()     {}
func (ApplyRevision) isAction() {}
func (ReportRefusal) isAction() {}
func (LoadHead) isAction()      {}
func (WritePart) isAction()     {}
func (WriteHead) isAction()     {}
func (WriteStatus) isAction()   {}
func (DeletePart) isAction()    {}

func tooManyPartsReason(partCount int) string {
	return fmt.Sprintf("the configuration as a whole needs %d parts, more than %d", partCount, MaxParts)
}
