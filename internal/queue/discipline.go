package queue

// Discipline is the order in which a queue serves its items: Fair or FIFO.
type Discipline interface{ discipline() }

// Fair serves by rank with floors, shares a rank among its plans by weight, and refuses work that cannot meet its
// deadline. It is the default.
type Fair struct{}

// FIFO serves in order of arrival whatever the rank and plan, and drops expired items only. The load tool compares with it.
type FIFO struct{}

func (Fair) discipline() {}
func (FIFO) discipline() {}

// isFIFO reports whether the queue serves in order of arrival.
func (q *Queue[T]) isFIFO() bool {
	_, ok := q.settings.Discipline.(FIFO)
	return ok
}

// selectNext returns the entry to serve next; the queue is not empty.
func (q *Queue[T]) selectNext() *entry[T] {
	if q.isFIFO() {
		return q.oldest()
	}
	return q.ranks[q.nextRank()].active.top().first
}

// oldest returns the waiting entry that arrived first.
func (q *Queue[T]) oldest() *entry[T] {
	var first *entry[T]
	for _, b := range q.ranks {
		for _, f := range b.active.elements {
			if first == nil || f.first.arrival < first.arrival {
				first = f.first
			}
		}
	}
	return first
}
