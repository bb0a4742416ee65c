package emulator

import (
	"cmp"
	"container/heap"
	"time"
)

// streamState is the state of a stream, as the engine's API names it.
type streamState string

const (
	stateUnknown   streamState = "unknown"
	stateQueued    streamState = "queued"
	stateRunning   streamState = "running"
	stateFinished  streamState = "finished"
	stateCancelled streamState = "cancelled"
	stateLost      streamState = "lost" // Ended by a crash; never sent to clients.
)

// stream is one sequence with its prompt and its answer.
type stream struct {
	id            string
	model         string
	isChat        bool
	priority      int
	arrivalNumber uint64 // Counts the accepted requests of the engine.
	isPoison      bool
	prefixHashes  []uint64 // Hashes of the prompt up to the end of each block.
	promptTokens  int      // Length of the prompt.
	answerTokens  int      // Length of the whole answer.
	finishReason  string   // Why the answer ends: "stop" or "length".

	state              streamState
	hasStarted         bool
	remainingPrefill   int // Tokens to prefill before the next token is generated.
	kvTokens           int // Tokens that the stream holds in KV memory.
	generatedTokens    int
	endedAt            time.Time
	subscribers        []chan struct{}
	lastUnsubscribedAt time.Time // Time of the latest unsubscription.
	heapIndex          int       // Index in the heap of the wait queue.
}

func (s *stream) isEnded() bool {
	return s.state == stateFinished || s.state == stateCancelled || s.state == stateLost
}

// notifySubscribers signals an update to every subscriber.
func (s *stream) notifySubscribers() {
	for _, updates := range s.subscribers {
		select {
		case updates <- struct{}{}:
		default:
		}
	}
}

// subscribe adds a subscriber and returns the channel that signals updates to it.
func (s *stream) subscribe() chan struct{} {
	updates := make(chan struct{}, 1)
	s.subscribers = append(s.subscribers, updates)

	return updates
}

// unsubscribe removes the subscriber with the given channel.
func (s *stream) unsubscribe(updates chan struct{}, now time.Time) {
	for i := range s.subscribers {
		if s.subscribers[i] == updates {
			s.subscribers = append(s.subscribers[:i], s.subscribers[i+1:]...)

			break
		}
	}
	s.lastUnsubscribedAt = now
}

// compareStreams orders streams by priority and then by arrival. A lower priority
// number is a higher priority.
func compareStreams(a, b *stream) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrivalNumber, b.arrivalNumber))
}

// isBefore reports whether s is served before other.
func (s *stream) isBefore(other *stream) bool {
	return compareStreams(s, other) < 0
}

// waitQueue holds the waiting streams in a heap, the oldest of the highest priority
// first.
type waitQueue struct {
	streams []*stream
}

func (q *waitQueue) add(s *stream) {
	heap.Push((*streamHeap)(q), s)
}

func (q *waitQueue) peek() *stream {
	return q.streams[0]
}

func (q *waitQueue) remove(s *stream) {
	heap.Remove((*streamHeap)(q), s.heapIndex)
}

// streamHeap implements heap.Interface for a waitQueue.
type streamHeap waitQueue

func (h *streamHeap) Len() int           { return len(h.streams) }
func (h *streamHeap) Less(i, j int) bool { return h.streams[i].isBefore(h.streams[j]) }

func (h *streamHeap) Swap(i, j int) {
	h.streams[i], h.streams[j] = h.streams[j], h.streams[i]
	h.streams[i].heapIndex = i
	h.streams[j].heapIndex = j
}

func (h *streamHeap) Push(x any) {
	added, ok := x.(*stream)
	if !ok {
		return
	}
	added.heapIndex = len(h.streams)
	h.streams = append(h.streams, added)
}

func (h *streamHeap) Pop() any {
	last := h.streams[len(h.streams)-1]
	h.streams[len(h.streams)-1] = nil
	h.streams = h.streams[:len(h.streams)-1]

	return last
}
