package granter

import (
	"cmp"
	"maps"
	"slices"
)

// minMeanBorrowers is the minimum mean number of borrowers of an endpoint. If there
// are too few members for it, each uses more endpoints than Settings.SubsetSize.
const minMeanBorrowers = 4

// remoteDivisor sets how many endpoints of a subset lie in other data centres: one in
// remoteDivisor.
const remoteDivisor = 4

// HomeOf returns the member that is the home of the endpoint: the one with the highest
// rendezvous hash. It returns "" if there are no members.
func HomeOf(endpoint string, members []string) string {
	home, highestScore := "", uint64(0)
	key := hashName(endpoint)
	for _, member := range members {
		score := mixBits(key ^ mixBits(hashName(member)))
		if home == "" || score > highestScore || (score == highestScore && member < home) {
			home, highestScore = member, score
		}
	}
	return home
}

// hashName returns the 64-bit FNV-1a hash of a name.
func hashName(name string) uint64 {
	sum := uint64(14695981039346656037)
	for i := range len(name) {
		sum = (sum ^ uint64(name[i])) * 1099511628211
	}
	return sum
}

// mixBits is the finalizer of splitmix64. With it, names that differ in one letter get
// unrelated hashes.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// placement decides which members use which endpoints. Members and endpoints are
// arranged on a ring in the order of their hashes, and a member uses consecutive
// endpoints from its own position on. Every member uses the same number of endpoints
// of a group, and all endpoints of a group have the same number of borrowers, give or
// take one for each ring.
type placement struct {
	subsetSize  int
	dataCentres map[string]string // data centre of each member
	ring        *memberRing
	groups      [][]Endpoint               // each sorted by hash
	views       map[string]*dataCentreView // by data centre, filled on demand
}

// memberRing is the members in the order of their hashes, and their positions.
type memberRing struct {
	members   []string
	positions map[string]int
}

// dataCentreView is a placement as seen from one data centre: the ring of its members,
// and for each group the endpoints inside it (local) and outside it (remote).
type dataCentreView struct {
	ring          *memberRing
	local, remote [][]Endpoint
}

func newPlacement(subsetSize int, endpoints []Endpoint, members []string, dataCentres map[string]string) *placement {
	p := &placement{subsetSize: subsetSize, dataCentres: dataCentres, ring: newMemberRing(members), views: map[string]*dataCentreView{}}
	groups := map[string][]Endpoint{}
	for _, e := range endpoints {
		groups[e.Group] = append(groups[e.Group], e)
	}
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		p.groups = append(p.groups, sortByHash(groups[name], func(e Endpoint) string { return e.Name }))
	}
	return p
}

func newMemberRing(members []string) *memberRing {
	r := &memberRing{members: sortByHash(members, func(name string) string { return name }), positions: map[string]int{}}
	for i, name := range r.members {
		r.positions[name] = i
	}
	return r
}

// sortByHash returns the items sorted by the hashes of their names, without
// duplicates.
func sortByHash[T any](items []T, name func(T) string) []T {
	items = slices.Clone(items)
	slices.SortFunc(items, func(x, y T) int {
		return cmp.Or(cmp.Compare(mixBits(hashName(name(x))), mixBits(hashName(name(y)))), cmp.Compare(name(x), name(y)))
	})
	return slices.CompactFunc(items, func(x, y T) bool { return name(x) == name(y) })
}

// endpointsOf returns the endpoints that a member uses.
func (p *placement) endpointsOf(member string) []Endpoint {
	var used []Endpoint
	for i, group := range p.groups {
		size := max(p.subsetSize, (minMeanBorrowers*len(group)+len(p.ring.members)-1)/max(1, len(p.ring.members)))
		if len(group) <= size {
			used = append(used, group...)
			continue
		}
		used = append(used, p.subsetOfGroup(i, member, size)...)
	}
	return used
}

// subsetOfGroup returns the endpoints of a group that a member uses: size endpoints,
// most of them from the member's own data centre if that is known.
func (p *placement) subsetOfGroup(group int, member string, size int) []Endpoint {
	dataCentre, known := p.dataCentres[member]
	if !known {
		return p.ring.endpointsFrom(p.groups[group], member, size)
	}
	view := p.viewOf(dataCentre)
	used := view.ring.endpointsFrom(view.local[group], member, size-size/remoteDivisor)
	return append(used, view.ring.endpointsFrom(view.remote[group], member, size-len(used))...)
}

// viewOf returns the view of a data centre, and builds it on the first call.
func (p *placement) viewOf(dataCentre string) *dataCentreView {
	if view := p.views[dataCentre]; view != nil {
		return view
	}
	localMembers := slices.DeleteFunc(slices.Clone(p.ring.members), func(name string) bool { return p.dataCentres[name] != dataCentre })
	view := &dataCentreView{ring: newMemberRing(localMembers)}
	for _, group := range p.groups {
		var local, remote []Endpoint
		for _, e := range group {
			if e.DataCentre == dataCentre {
				local = append(local, e)
			} else {
				remote = append(remote, e)
			}
		}
		view.local = append(view.local, local)
		view.remote = append(view.remote, remote)
	}
	p.views[dataCentre] = view
	return view
}

// endpointsFrom returns count consecutive endpoints from the member's position on, or
// all endpoints if there are fewer.
func (r *memberRing) endpointsFrom(endpoints []Endpoint, member string, count int) []Endpoint {
	start := r.positions[member] * len(endpoints) / max(1, len(r.members))
	chosen := make([]Endpoint, 0, count)
	for i := range min(count, len(endpoints)) {
		chosen = append(chosen, endpoints[(start+i)%len(endpoints)])
	}
	return chosen
}

// borrowersByEndpoint returns, for each endpoint, the members that use it, sorted.
func (p *placement) borrowersByEndpoint() map[string][]string {
	borrowers := map[string][]string{}
	for _, member := range slices.Sorted(slices.Values(p.ring.members)) {
		for _, e := range p.endpointsOf(member) {
			borrowers[e.Name] = append(borrowers[e.Name], member)
		}
	}
	return borrowers
}
