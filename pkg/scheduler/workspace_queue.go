package scheduler

// fairnessQuantumBits is the resolution at which fair queueing compares workspaces:
// within 1,024 tokens, the older request goes first, so that a workspace that used a few
// more tokens than others does not miss its latency target.
const fairnessQuantumBits = 10

// workspaceQueue holds the waiting requests of a workspace in one tier of a lane. The
// queues of a tier are served by start-time fair queueing, measured in tokens.
type workspaceQueue struct {
	workspace     string
	waiting       requestList
	waitingTokens int
	// virtualStart is the virtual time, in tokens, at which the next request may start.
	virtualStart int64
	heapIndex    int
	idle         bool
}

func newWorkspaceQueue(workspace string) *workspaceQueue {
	return &workspaceQueue{workspace: workspace, waiting: requestList{kind: workspaceQueueList}, heapIndex: noIndex}
}

// sortsBefore orders queues by virtual start time and then by their oldest request.
func (w *workspaceQueue) sortsBefore(other *workspaceQueue) bool {
	if quantum, otherQuantum := w.virtualStart>>fairnessQuantumBits,
		other.virtualStart>>fairnessQuantumBits; quantum != otherQuantum {
		return quantum < otherQuantum
	}

	return w.waiting.head.sequence < other.waiting.head.sequence
}

func (w *workspaceQueue) index() int { return w.heapIndex }

func (w *workspaceQueue) setIndex(index int) { w.heapIndex = index }

// workspaceBacklog holds the waiting requests of a workspace in a tier, over all lanes.
type workspaceBacklog struct {
	workspace    string
	tier         int
	waitingCount int
	unprotected  requestList
	heapIndex    int
}

func newWorkspaceBacklog(workspace string, tier int) *workspaceBacklog {
	return &workspaceBacklog{
		workspace: workspace, tier: tier,
		unprotected: requestList{kind: backlogUnprotectedList}, heapIndex: noIndex,
	}
}

// sortsBefore orders the workspace with the most waiting requests first; of equals, the
// one with the newest evictable request.
func (b *workspaceBacklog) sortsBefore(other *workspaceBacklog) bool {
	if b.waitingCount != other.waitingCount {
		return b.waitingCount > other.waitingCount
	}

	return b.unprotected.tail.sequence > other.unprotected.tail.sequence
}

func (b *workspaceBacklog) index() int { return b.heapIndex }

func (b *workspaceBacklog) setIndex(index int) { b.heapIndex = index }
