package reviser

import (
	"fmt"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

// SourceStore is the source of a head or part that comes from the platform's store
// rather than from a peer.
const SourceStore = ""

// Action is something for the caller of a state machine to do. It is one of the
// types below.
type Action interface{ isAction() }

// FetchPart asks for a part; answer with PartArrived or PartFailed.
type FetchPart struct {
	Hash string
	// Source is the name of a peer, or Store.
	Source string
}

// ApplyRevision puts a revision in force.
type ApplyRevision struct {
	Revision Revision
}

// ReportRefusal reports that something offered was not used; for logs and counters.
type ReportRefusal struct {
	RevisionNumber uint64
	Source         string
	Reason         string
}

// LoadHead asks for the head object and the revision it stands for; answer with
// Loaded or LoadFailed.
type LoadHead struct{}

// WritePart asks to write a part whatever is there; answer with PartWritten or
// PartUnwritten.
type WritePart struct {
	Part Part
}

// WriteHead asks to write the head if its version is still Version, or to
// create it if Version is 0. Answer with HeadWritten, HeadConflicted or
// HeadUnwritten.
type WriteHead struct {
	Head            Head
	ExpectedVersion uint64
}

// WriteStatus asks to write the acceptance into a resource's status; answer
// with StatusWritten or StatusUnwritten.
type WriteStatus struct {
	Key    declarer.Key
	Status Status
}

// DeletePart asks to delete a part that no recent revision uses, if its version
// is still Version. No answer is needed.
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

func tooLarge(parts int) string {
	return fmt.Sprintf("the configuration as a whole needs %d parts, more than %d", parts, MaximumParts)
}
