package reviser

import (
	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

// Status is what an operator reads about the acceptance of a resource.
type Status struct {
	// Accepted says that the generation is in force.
	Accepted bool `json:"accepted"`
	// RevisionNumber is the number of the revision that decided it.
	RevisionNumber uint64 `json:"revision"`
	// Generation is the generation that was judged.
	Generation uint64 `json:"generation"`
	// Field and Reason say why it is not accepted.
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// statusOf makes the status of a verdict, with the number of the revision that
// first decided it.
func statusOf(verdict Verdict, number uint64, told Status) Status {
	status := Status{
		Accepted: verdict.Accepted, RevisionNumber: told.RevisionNumber,
		Generation: verdict.Generation, Field: verdict.Field, Reason: verdict.Reason,
	}
	if status != told || told.RevisionNumber == 0 || told.RevisionNumber > number {
		status.RevisionNumber = number
	}
	return status
}

// Listing is what a holder read of all resources.
type Listing struct {
	// LowestCounter is the store's counter at the first page read, High at the last.
	LowestCounter, HighestCounter uint64
	// ContinuesPrevious says that the listing was made by watches from the one given
	// before under the same lease, so that no kind is older than in that one;
	// Low then still is that of the first.
	ContinuesPrevious bool
	Resources         []declarer.Resource
	// Statuses are the acceptance parts of the resources' statuses.
	Statuses map[declarer.Key]Status
}

// StoredHead is what a holder read of the head.
type StoredHead struct {
	// Version is the version of the head object, 0 if there is none.
	Version uint64
	Head    Head
	// Revision is the one that the head stands for.
	Revision Revision
}
