package budgeter

import "slices"

// Settings are the sizes of a budget in bytes.
type Settings struct {
	// Capacity is the number of bytes that may be held at once.
	Capacity int64
	// Reserve is the part of Capacity that only small requests may use.
	Reserve int64
	// SmallBytes is what a request may hold at most to count as small.
	SmallBytes int64
}

// Budgeter keeps a budget of bytes.
type Budgeter struct {
	settings Settings
	held     map[uint64]int64 // by request
	total    int64
	waiting  []claim // large ones, oldest first
}

// claim is a claim that waits.
type claim struct {
	request uint64
	bytes   int64
}

// New returns a budget of which nothing is held.
func New(settings Settings) *Budgeter {
	return &Budgeter{settings: settings, held: map[uint64]int64{}}
}

// Configure replaces the settings and returns the requests whose claims are granted by that.
func (b *Budgeter) Configure(settings Settings) (granted []uint64) {
	b.settings = settings

	return b.grantWaiting()
}

// Held returns the number of bytes that all requests hold.
func (b *Budgeter) Held() int64 {
	return b.total
}

// Waiting returns the number of claims that wait.
func (b *Budgeter) Waiting() int {
	return len(b.waiting)
}

// TryClaim lets a request hold further bytes, if there is room now and no older claim waits for it. It
// returns false, and changes nothing, if not.
func (b *Budgeter) TryClaim(request uint64, bytes int64) bool {
	isSmall := b.held[request]+bytes <= b.settings.SmallBytes
	if (!isSmall && len(b.waiting) > 0) || !b.hasRoom(request, bytes) {
		return false
	}
	b.grant(request, bytes)

	return true
}

// Claim is TryClaim for a request that can wait. If it returns false, the claim waits until a later
// call returns the request among those granted, or Release ends it. A request waits for one claim at a time,
// and should hold little meanwhile.
func (b *Budgeter) Claim(request uint64, bytes int64) bool {
	if b.TryClaim(request, bytes) {
		return true
	}
	b.waiting = append(b.waiting, claim{request, bytes})

	return false
}

// Release ends all that a request holds or waits for, and returns the requests whose claims are granted by
// that.
func (b *Budgeter) Release(request uint64) (granted []uint64) {
	b.total -= b.held[request]
	delete(b.held, request)
	b.waiting = slices.DeleteFunc(b.waiting, func(c claim) bool { return c.request == request })

	return b.grantWaiting()
}

// Return gives back some of the bytes that a request holds, and returns the requests whose claims are
// granted by that.
func (b *Budgeter) Return(request uint64, bytes int64) (granted []uint64) {
	bytes = min(bytes, b.held[request])
	b.held[request] -= bytes
	b.total -= bytes

	return b.grantWaiting()
}

// grantWaiting grants waiting claims in their order, until there is no room for one.
func (b *Budgeter) grantWaiting() (granted []uint64) {
	for len(b.waiting) > 0 && b.hasRoom(b.waiting[0].request, b.waiting[0].bytes) {
		next := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.grant(next.request, next.bytes)
		granted = append(granted, next.request)
	}

	return granted
}

// hasRoom reports whether a request may hold further bytes. One that exceeds the budget may if no other
// holds any, as it would never be served otherwise.
func (b *Budgeter) hasRoom(request uint64, bytes int64) bool {
	limit := b.settings.Capacity
	if b.held[request]+bytes > b.settings.SmallBytes {
		limit -= b.settings.Reserve
	}

	return b.total+bytes <= limit || b.total == b.held[request]
}

func (b *Budgeter) grant(request uint64, bytes int64) {
	b.held[request] += bytes
	b.total += bytes
}
