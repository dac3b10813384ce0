package intake

import "time"

// servicesFrom returns n services from the first one on.
func servicesFrom(first, n int) []int {
	var services []int
	for i := range n {
		services = append(services, first+i)
	}
	return services
}

// pausing is searchers of 4 slots that pause for 300 ms every 7.5 s, three to a shard, behind nodes that do not see each other.
func pausing(nodes, shards int) site {
	return site{nodes: nodes, services: shards + 1, replicas: 3, slots: 4, pauseEvery: 7500 * time.Millisecond, pauseFor: 300 * time.Millisecond}
}

// payroll returns the request kinds of the payroll deployment, whose searchers are used to a fifth in calm. Fetches use the last service.
func payroll(shards int) []class {
	all := servicesFrom(0, shards)
	return []class{
		{name: "staff", rank: 1, perSecond: 79.2, work: 28 * time.Millisecond, goal: 400 * time.Millisecond, deadline: 2500 * time.Millisecond, coverage: 0.9, lateValue: 0.05, services: all},
		{name: "name", rank: 2, perSecond: 26.4, work: 9200 * time.Microsecond, goal: 150 * time.Millisecond, deadline: 1200 * time.Millisecond, coverage: 0.85, lateValue: 0.1, services: all},
		{name: "payslip", rank: 2, perSecond: 6.6, work: 220 * time.Millisecond, goal: time.Second, deadline: 10 * time.Second, coverage: 1, lateValue: 0.3, services: []int{shards}},
	}
}

// exercises returns the request kinds of the exercises deployment over shards.
func exercises(shards int) []class {
	all := servicesFrom(0, shards)
	return []class{
		{name: "browse", rank: 1, perSecond: 63.1, work: 15 * time.Millisecond, goal: 200 * time.Millisecond, deadline: 2500 * time.Millisecond, coverage: 0.9, lateValue: 0.05, services: all},
		{name: "hint", rank: 0, perSecond: 36.4, work: 5 * time.Millisecond, goal: 100 * time.Millisecond, deadline: 1500 * time.Millisecond, coverage: 0.85, lateValue: 0.04, services: all},
		{name: "grade", rank: 2, perSecond: 10, work: 120 * time.Millisecond, goal: time.Second, deadline: 8 * time.Second, coverage: 1, lateValue: 0.44, services: []int{shards}},
	}
}

const (
	floodBegin = 4 * time.Second
	floodEnd   = 12 * time.Second
	playLength = 16 * time.Second
)

// flooded returns a play of a site with a flood of a class, or of all classes when it is empty.
func flooded(s site, classes []class, floodClass string, times float64) *play {
	return &play{site: s, classes: classes, floods: []flood{{from: floodBegin, to: floodEnd, times: times, class: floodClass}},
		length: playLength, countFrom: floodBegin, countTo: floodEnd}
}

// slowed makes half of the searchers four times slower.
func slowed(s site) site {
	s.slowShare, s.slowFactor = 0.5, 4
	return s
}

// eagerly makes all callers come back at once after a refusal.
func eagerly(classes []class) []class {
	for i := range classes {
		classes[i].eager = true
	}
	return classes
}

// loads are the plays on which the limiter and its alternatives are compared.
func loads() map[string]func() *play {
	const nodes, shards = 12, 12
	return map[string]func() *play{
		"calm payroll":           func() *play { return flooded(pausing(nodes, shards), payroll(shards), "", 1) },
		"calm exercises":         func() *play { return flooded(pausing(nodes, shards), exercises(shards), "", 1) },
		"calm payroll half slow": func() *play { return flooded(slowed(pausing(nodes, shards)), payroll(shards), "", 1) },
		"payroll all x8 shedding": func() *play {
			s := pausing(nodes, shards)
			s.searcherQueue = 16
			return flooded(s, payroll(shards), "", 8)
		},
		"payroll all x2":           func() *play { return flooded(pausing(nodes, shards), payroll(shards), "", 2) },
		"payroll all x4":           func() *play { return flooded(pausing(nodes, shards), payroll(shards), "", 4) },
		"payroll all x8 40 nodes":  func() *play { return flooded(pausing(40, shards), payroll(shards), "", 8) },
		"payroll all x8 2 nodes":   func() *play { return flooded(pausing(2, shards), payroll(shards), "", 8) },
		"payroll all x8":           func() *play { return flooded(pausing(nodes, shards), payroll(shards), "", 8) },
		"payroll all x20":          func() *play { return flooded(pausing(nodes, shards), payroll(shards), "", 20) },
		"payroll all x5 half slow": func() *play { return flooded(slowed(pausing(nodes, shards)), payroll(shards), "", 5) },
		"payroll all x8 eager":     func() *play { return flooded(pausing(nodes, shards), eagerly(payroll(shards)), "", 8) },
		"payroll name x20":         func() *play { return flooded(pausing(nodes, shards), payroll(shards), "name", 20) },
		"exercises browse x20":     func() *play { return flooded(pausing(nodes, shards), exercises(shards), "browse", 20) },
		"exercises hint x20":       func() *play { return flooded(pausing(nodes, shards), exercises(shards), "hint", 20) },
		"exercises all x20":        func() *play { return flooded(pausing(nodes, shards), exercises(shards), "", 20) },
	}
}
