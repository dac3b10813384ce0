package queue

import "container/heap"

// indexed is a heap whose elements know their position, so that any of them can be removed in O(log n).
type indexed[E any] struct {
	elements []E
	less     func(a, b E) bool
	// place stores an element's position; -1 means that it is not in the heap.
	place func(e E, position int)
}

// Len is part of heap.Interface.
func (h *indexed[E]) Len() int { return len(h.elements) }

// Less is part of heap.Interface.
func (h *indexed[E]) Less(i, j int) bool { return h.less(h.elements[i], h.elements[j]) }

// Swap is part of heap.Interface.
func (h *indexed[E]) Swap(i, j int) {
	h.elements[i], h.elements[j] = h.elements[j], h.elements[i]
	h.place(h.elements[i], i)
	h.place(h.elements[j], j)
}

// Push is part of heap.Interface.
func (h *indexed[E]) Push(e any) {
	h.place(e.(E), len(h.elements))
	h.elements = append(h.elements, e.(E))
}

// Pop is part of heap.Interface.
func (h *indexed[E]) Pop() any {
	var zero E
	last := len(h.elements) - 1
	e := h.elements[last]
	h.elements[last] = zero
	h.elements = h.elements[:last]
	h.place(e, -1)
	return e
}

func (h *indexed[E]) add(e E) { heap.Push(h, e) }

func (h *indexed[E]) remove(position int) { heap.Remove(h, position) }

func (h *indexed[E]) fix(position int) { heap.Fix(h, position) }

// top returns the least element; the heap must not be empty.
func (h *indexed[E]) top() E { return h.elements[0] }
