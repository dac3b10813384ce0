package pace

// Limit is what a reply of a searcher says about the requests that the searcher takes from all nodes together. The zero value names no limit.
type Limit struct {
	perSecond float64
	named     bool
}

// PerSecond returns a limit of so many requests a second.
func PerSecond(requests float64) Limit { return Limit{perSecond: requests, named: true} }

// Named reports whether the reply named a limit.
func (l Limit) Named() bool { return l.named }

// PerSecond returns the limit in requests a second.
func (l Limit) PerSecond() float64 { return l.perSecond }
