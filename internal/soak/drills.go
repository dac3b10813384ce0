package soak

import "time"

// drills are faults that a round adds to the others, one at most.
var drills = []fault{
	{name: "store restored", inject: func(r *runner) func() {
		copied := r.fleet.store.Copy()
		for range otherWrites {
			r.fleet.store.Put("other/key", nil)
		}
		r.configure(r.routedService)
		return func() {
			r.fleet.store.Restore(copied)
			time.Sleep(rewriteDelay)
			r.rewriteStore()
		}
	}},
}

const (
	// otherWrites is the number of writes of other systems that a restore loses. With them, what is written again gets lower revisions than
	// what was lost.
	otherWrites = 200
	// rewriteDelay is the time after a restore in which the operator and the searchers write nothing.
	rewriteDelay = 300 * time.Millisecond
	// lapseDelay is the time after which a restored store drops the entries of searchers that are gone.
	lapseDelay = 2 * time.Second
)

// rewriteStore writes again what the operator and the searchers had written, and then the next configuration version. The entries of
// searchers that have left come back, and lapse.
func (r *runner) rewriteStore() {
	r.mu.Lock()
	version, service := r.version, r.routedService
	r.mu.Unlock()
	r.writeConfig(version, service)
	r.fleet.mu.Lock()
	searchers := append([]*proxiedSearcher(nil), r.fleet.searchers...)
	r.fleet.mu.Unlock()
	var gone []*proxiedSearcher
	for _, s := range searchers {
		switch {
		case !s.leaving:
			r.fleet.store.Register(s.Searcher, s.proxy.address(), s.zone, "ready")
		case s.announced:
			r.fleet.store.Register(s.Searcher, s.proxy.address(), s.zone, "draining")
		default:
			gone = append(gone, s)
		}
	}
	time.AfterFunc(lapseDelay, func() {
		for _, s := range gone {
			r.fleet.store.Unregister(s.Searcher)
		}
	})
	r.configure(service)
}
