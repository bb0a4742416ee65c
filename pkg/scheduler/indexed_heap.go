package scheduler

// heapElement is an element that stores its index in an indexedHeap.
type heapElement[T any] interface {
	sortsBefore(other T) bool
	index() int
	setIndex(index int)
}

// noIndex is the index of an element that is in no heap, and of a lane that is not active.
const noIndex = -1

// indexedHeap is a binary heap whose elements can be moved and removed by their index.
type indexedHeap[T heapElement[T]] struct {
	elements []T
}

func (h *indexedHeap[T]) first() (T, bool) {
	if len(h.elements) == 0 {
		var zero T

		return zero, false
	}

	return h.elements[0], true
}

func (h *indexedHeap[T]) push(element T) {
	element.setIndex(len(h.elements))
	h.elements = append(h.elements, element)
	h.siftUp(element.index())
}

func (h *indexedHeap[T]) remove(element T) {
	index := element.index()
	if index == noIndex {
		return
	}
	last := len(h.elements) - 1
	h.swap(index, last)
	var zero T
	h.elements[last] = zero
	h.elements = h.elements[:last]
	element.setIndex(noIndex)
	if index < last {
		h.fix(h.elements[index])
	}
}

// fix restores the heap order after the sort key of an element changed.
func (h *indexedHeap[T]) fix(element T) {
	h.siftUp(element.index())
	h.siftDown(element.index())
}

func (h *indexedHeap[T]) swap(i, j int) {
	if i == j {
		return
	}
	h.elements[i], h.elements[j] = h.elements[j], h.elements[i]
	h.elements[i].setIndex(i)
	h.elements[j].setIndex(j)
}

func (h *indexedHeap[T]) siftUp(index int) {
	for index > 0 {
		parent := (index - 1) / 2
		if !h.elements[index].sortsBefore(h.elements[parent]) {
			return
		}
		h.swap(index, parent)
		index = parent
	}
}

func (h *indexedHeap[T]) siftDown(index int) {
	for {
		child := 2*index + 1
		if child >= len(h.elements) {
			return
		}
		if right := child + 1; right < len(h.elements) && h.elements[right].sortsBefore(h.elements[child]) {
			child = right
		}
		if !h.elements[child].sortsBefore(h.elements[index]) {
			return
		}
		h.swap(index, child)
		index = child
	}
}
