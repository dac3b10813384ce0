package queue

import "container/heap"

// indexedHeap is a heap whose elements record their position, so that any element can be removed in O(log n).
type indexedHeap[E any] struct {
	elements []E
	less     func(a, b E) bool
	// setPosition stores an element's position, -1 when it is not in the heap.
	setPosition func(e E, position int)
}

// Len implements heap.Interface.
func (h *indexedHeap[E]) Len() int { return len(h.elements) }

// Less implements heap.Interface.
func (h *indexedHeap[E]) Less(i, j int) bool { return h.less(h.elements[i], h.elements[j]) }

// Swap implements heap.Interface.
func (h *indexedHeap[E]) Swap(i, j int) {
	h.elements[i], h.elements[j] = h.elements[j], h.elements[i]
	h.setPosition(h.elements[i], i)
	h.setPosition(h.elements[j], j)
}

// Push implements heap.Interface.
func (h *indexedHeap[E]) Push(e any) {
	h.setPosition(e.(E), len(h.elements))
	h.elements = append(h.elements, e.(E))
}

// Pop implements heap.Interface.
func (h *indexedHeap[E]) Pop() any {
	var zero E
	last := len(h.elements) - 1
	e := h.elements[last]
	h.elements[last] = zero
	h.elements = h.elements[:last]
	h.setPosition(e, -1)
	return e
}

func (h *indexedHeap[E]) add(e E) { heap.Push(h, e) }

func (h *indexedHeap[E]) remove(position int) { heap.Remove(h, position) }

func (h *indexedHeap[E]) fix(position int) { heap.Fix(h, position) }

// top returns the first element. The heap must not be empty.
func (h *indexedHeap[E]) top() E { return h.elements[0] }
