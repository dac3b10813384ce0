package queue

// Discipline is the order in which a queue serves its items: Fair or FIFO.
type Discipline interface{ discipline() }

// Fair serves ranks by priority subject to their floors, divides a rank's service time among its plans by weight, and
// refuses work that cannot meet its deadline. It is the default.
type Fair struct{}

// FIFO serves in order of arrival regardless of rank and plan, and drops only expired items. It is the baseline of load
// tests.
type FIFO struct{}

func (Fair) discipline() {}
func (FIFO) discipline() {}

// isFIFO reports whether the queue serves in order of arrival.
func (q *Queue[T]) isFIFO() bool {
	_, ok := q.settings.Discipline.(FIFO)
	return ok
}

// selectNext returns the entry to serve next. The queue must not be empty.
func (q *Queue[T]) selectNext() *entry[T] {
	if q.isFIFO() {
		return q.oldest()
	}
	return q.ranks[q.nextRank()].active.top().first
}

// oldest returns the waiting entry that arrived first.
func (q *Queue[T]) oldest() *entry[T] {
	var first *entry[T]
	for _, rs := range q.ranks {
		for _, f := range rs.active.elements {
			if first == nil || f.first.arrival < first.arrival {
				first = f.first
			}
		}
	}
	return first
}
