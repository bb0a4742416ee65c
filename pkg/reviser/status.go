package reviser

import (
	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

// Status tells an operator whether a generation of a resource was accepted. It is
// stored in the resource's status.
type Status struct {
	// Accepted is true if the generation is in force.
	Accepted bool `json:"accepted"`
	// RevisionNumber is the number of the revision that accepted or rejected the generation.
	RevisionNumber uint64 `json:"revision"`
	// Generation is the resource's generation that was accepted or rejected.
	Generation uint64 `json:"generation"`
	// Field and Reason name the invalid field and say why the generation was rejected.
	// If it is accepted they are a warning.
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// newStatus returns the status for a verdict. If the verdict is the one in the known
// status, the revision number stays that of the revision that decided it first, unless
// that is 0 or higher than the current number.
func newStatus(verdict Verdict, revisionNumber uint64, known Status) Status {
	status := Status{
		Accepted: verdict.Accepted, RevisionNumber: known.RevisionNumber,
		Generation: verdict.Generation, Field: verdict.Field, Reason: verdict.Reason,
	}
	if status != known || known.RevisionNumber == 0 || known.RevisionNumber > revisionNumber {
		status.RevisionNumber = revisionNumber
	}
	return status
}

// Listing holds all resources as the lease holder read them from the store.
type Listing struct {
	// LowestCounter and HighestCounter are values of the store's write counter:
	// every kind was read at the lowest or later, and none later than the highest.
	LowestCounter, HighestCounter uint64
	// ContinuesPrevious is true if watches updated the previous listing under the
	// same lease, so that no kind is older than it was there. LowestCounter then
	// keeps the value of the first listing under the lease.
	ContinuesPrevious bool
	Resources         []declarer.Resource
	// Statuses holds the stored acceptance status of each resource that has one.
	Statuses map[declarer.Key]Status
}

// StoredHead is the head as the lease holder read it from the store.
type StoredHead struct {
	// Version is the stored version of the head object, 0 if there is none.
	Version uint64
	Head    Head
	// Revision is the revision that the head names.
	Revision Revision
}
