package intake

import "time"

const (
	// The learned work follows shorter samples by fallWeight and longer ones by riseWeight, so that it stays near the time that a request
	// takes when it does not queue.
	fallWeight = 0.2
	riseWeight = 0.02
	// doubtShare is the fraction by which a refusal on an idle node lowers the learned work: twice too much is corrected by 35 refusals.
	doubtShare = 0.02
	// minWork bounds the learned work from below, in milliseconds.
	minWork = 0.1
)

// works holds the learned work of each route in milliseconds: the time of a request that does not queue.
type works struct {
	byRoute map[string]float64
	// greatest is the work of the costliest route.
	greatest float64
}

func newWorks() works { return works{byRoute: make(map[string]float64)} }

// unit returns the work of the costliest route, 1 while none is known.
func (w *works) unit() float64 {
	if w.greatest == 0 {
		return 1
	}
	return w.greatest
}

// cost returns the work of a route. A route that is not known yet counts as the costliest.
func (w *works) cost(route string) float64 {
	if work, ok := w.byRoute[route]; ok {
		return work
	}
	return w.unit()
}

// learn records how long a request took. While much of the limit is in use, longer samples tell of queues and not of work.
func (w *works) learn(route string, took time.Duration, used bool) {
	sample := max(milliseconds(took), minWork)
	work, ok := w.byRoute[route]
	switch {
	case !ok:
		work = sample
	case sample < work:
		work += (sample - work) * fallWeight
	case !used:
		work += (sample - work) * riseWeight
	}
	w.set(route, work)
}

// doubt lowers the work of a route of which a request was refused for it while nothing ran. Only requests that run correct what was learned while
// searchers were slow, so that a route could be refused for good otherwise.
func (w *works) doubt(route string) {
	if work, ok := w.byRoute[route]; ok {
		w.set(route, max(work*(1-doubtShare), minWork))
	}
}

func (w *works) set(route string, work float64) {
	w.byRoute[route] = work
	w.greatest = 0
	for _, other := range w.byRoute {
		w.greatest = max(w.greatest, other)
	}
}
