package dutyholder

import (
	"cmp"
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
	type ranked struct {
		rank uint64
		name string
	}
	first := make([]ranked, 0, reserveCount+1)
	for _, member := range members {
		candidate := ranked{rankOf(duty, member), member}
		place, _ := slices.BinarySearchFunc(first, candidate, func(a, b ranked) int {
			return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
		})
		if place < reserveCount {
			first = slices.Insert(first, place, candidate)
			first = first[:min(reserveCount, len(first))]
		}
	}
	names := make([]string, 0, len(first))
	for _, f := range first {
		names = append(names, f.name)
	}

	return names
}

// The parameters of the hash FNV-1a of 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// rankOf returns the rank of a member for a duty, the FNV-1a hash of both names with its bits mixed. Each holder
// computes it for all members many times a second, so it does not allocate.
func rankOf(duty Duty, member string) uint64 {
	hash := uint64(fnvOffset)
	for _, text := range [...]string{string(duty), "\x00", member} {
		for i := range len(text) {
			hash = (hash ^ uint64(text[i])) * fnvPrime
		}
	}
	hash ^= hash >> 33 // FNV-1a alone barely spreads names that differ in the last byte.
	hash *= 0xff51afd7ed558ccd

	return hash ^ hash>>33
}
