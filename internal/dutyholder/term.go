package dutyholder

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// Duty names calls that one instance makes for all. It is also the name of the lease object.
type Duty string

// The duties.
const (
	// UsageReport is the duty to report the requests of the workspaces.
	UsageReport Duty = "usage-report"
	// Autoscale is the duty to order endpoints.
	Autoscale Duty = "autoscale"
)

// Term is the right to make a duty's calls.
type Term struct {
	// Fence is the fencing token of the calls. Every later term has a higher one.
	Fence uint64
	// EndsAt is a reading of the clock since boot before which the last byte must have left.
	EndsAt time.Duration
}

const (
	// candidateCount is the number of instances that try to hold a duty: one that holds it and one
	// that takes over.
	candidateCount = 2
	// reserveCount is the number of instances that have what a holder needs. A holder that is no
	// candidate any more, since an instance came back, goes on while it is among them, and the next
	// candidate is one of them.
	reserveCount = 3
)

// Reserve returns which of the named live instances have what the holder of a duty needs: the first
// ones by a hash of the names, so that different duties have different holders. The first of them
// are the candidates.
func Reserve(duty Duty, members []string) []string {
	rank := func(member string) uint64 {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(string(duty) + "\x00" + member))
		mixed := hash.Sum64()
		mixed ^= mixed >> 33 // FNV-1a alone barely spreads names that differ in the last byte.
		mixed *= 0xff51afd7ed558ccd
		mixed ^= mixed >> 33

		return mixed
	}
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b string) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b)) })

	return ordered[:min(reserveCount, len(ordered))]
}
