package scheduler

import "time"

// trackedRequest is a waiting or dispatched request with its positions in the
// scheduler's lists and heaps.
type trackedRequest struct {
	request Request
	// sequence numbers requests in order of arrival; a requeued request keeps its number.
	sequence uint64
	// guaranteeEnd is the end of the wait that was guaranteed on arrival.
	guaranteeEnd time.Duration
	// expiry is the end of the guaranteed wait or, if that is earlier, the last time at
	// which a dispatch can still meet the deadline.
	expiry time.Duration
	// protected is set once a request of a lower tier was dispatched while this one
	// waited. From then on it is neither evicted nor expired.
	protected bool
	// inFlight is set from dispatch until the request is finished or requeued.
	inFlight bool

	lane           *lane
	workspaceQueue *workspaceQueue
	classQueue     *classQueue
	backlog        *workspaceBacklog
	links          [listKindCount]listLink
	heapIndex      int
}

// sortsBefore orders requests by expiry and then by arrival.
func (r *trackedRequest) sortsBefore(other *trackedRequest) bool {
	if r.expiry != other.expiry {
		return r.expiry < other.expiry
	}

	return r.sequence < other.sequence
}

func (r *trackedRequest) index() int { return r.heapIndex }

func (r *trackedRequest) setIndex(index int) { r.heapIndex = index }

// listKind selects the link of a trackedRequest that a requestList uses.
type listKind int

const (
	// workspaceQueueList holds the requests of a workspace in a tier of a lane.
	workspaceQueueList listKind = iota
	// classQueueList holds the requests of a class in a tier of a lane.
	classQueueList
	// tierUnprotectedList holds the unprotected requests of a tier of a lane.
	tierUnprotectedList
	// backlogUnprotectedList holds the unprotected requests of a workspace in a tier,
	// over all lanes.
	backlogUnprotectedList

	// listKindCount is the number of kinds.
	listKindCount
)

// listLink holds the neighbours of a request in one list.
type listLink struct {
	previous, next *trackedRequest
}

// requestList is a doubly linked list of requests in order of arrival.
type requestList struct {
	kind       listKind
	head, tail *trackedRequest
	count      int
}

func (l *requestList) pushBack(r *trackedRequest) {
	l.insertAfter(l.tail, r)
}

// insertFromHead inserts a request before those that arrived after it. It searches from
// the head.
func (l *requestList) insertFromHead(r *trackedRequest) {
	var previous *trackedRequest
	next := l.head
	for next != nil && next.sequence < r.sequence {
		previous = next
		next = next.links[l.kind].next
	}
	l.insertAfter(previous, r)
}

func (l *requestList) insertAfter(previous, r *trackedRequest) {
	next := l.head
	if previous != nil {
		next = previous.links[l.kind].next
	}
	r.links[l.kind] = listLink{previous: previous, next: next}
	l.linkNeighbours(previous, r)
	l.linkNeighbours(r, next)
	l.count++
}

func (l *requestList) remove(r *trackedRequest) {
	removedLink := r.links[l.kind]
	l.linkNeighbours(removedLink.previous, removedLink.next)
	r.links[l.kind] = listLink{}
	l.count--
}

// linkNeighbours makes two requests neighbours in the list; nil stands for an end of the
// list.
func (l *requestList) linkNeighbours(left, right *trackedRequest) {
	if left == nil {
		l.head = right
	} else {
		left.links[l.kind].next = right
	}
	if right == nil {
		l.tail = left
	} else {
		right.links[l.kind].previous = left
	}
}
