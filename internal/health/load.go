package health

import (
	"math"
	"time"
)

// loadFadeTime is the time constant with which reported figures lose their weight. They change many times a second; after half a second 4% of
// their weight is left.
const loadFadeTime = 150 * time.Millisecond

const (
	// maxReportedWork bounds the waiting requests and the slots that a searcher may report. Searchers queue a few dozen requests.
	maxReportedWork = 4096
	// maxSlowness is the greatest plausible slowness, and minSlowness the least.
	maxSlowness = 100.0
	minSlowness = 0.01
)

// Load is what a searcher reports of the work of all nodes on it. The zero value reports nothing.
type Load struct {
	running, waiting, slots float64
	// slowness is how long work takes, as a multiple of the usual; 0 if the searcher did not say.
	slowness float64
}

// NewLoad returns figures of a searcher: the requests that run and wait, its slots, and how long work takes as a multiple of the usual, 1 if it
// did not say. It returns false if they are not plausible.
func NewLoad(running, waiting, slots, slowness float64) (Load, bool) {
	plausible := slots >= 1 && slots <= maxReportedWork && running >= 0 && running <= slots && waiting >= 0 && waiting <= maxReportedWork &&
		slowness >= minSlowness && slowness <= maxSlowness
	if !plausible {
		return Load{}, false
	}
	return Load{running: running, waiting: waiting, slots: slots, slowness: slowness}, true
}

// Reported reports whether there are figures.
func (l Load) Reported() bool { return l.slots > 0 }

// rounds returns the number of service rounds ahead of the next request if so many requests arrived since the report.
func (l Load) rounds(since int) float64 {
	return max(l.running+l.waiting+float64(since)+1-l.slots, 0) / l.slots
}

// ObserveLoad records figures that a reply carried.
func (t *Tracker) ObserveLoad(now time.Time, load Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if load.Reported() {
		t.load, t.loadAt = load, now
	}
}

// loadWeight returns the weight of the last figures, from 1 when they are new to 0.
func (t *Tracker) loadWeight(now time.Time) float64 {
	if !t.load.Reported() {
		return 0
	}
	return math.Exp(-float64(max(now.Sub(t.loadAt), 0)) / float64(loadFadeTime))
}

// queue returns the number of service rounds ahead of the next request: by this node's own requests, and by those of all nodes as far as the
// figures are fresh.
func (t *Tracker) queue(now time.Time) float64 {
	own := float64(len(t.outstanding)) / float64(t.concurrency)
	weight := t.loadWeight(now)
	if weight == 0 {
		return own
	}
	since := 0
	for i := len(t.outstanding) - 1; i >= 0 && t.outstanding[i].sentAt.After(t.loadAt); i-- {
		since++
	}
	return own + weight*(t.load.rounds(since)-own)
}

// slowness returns how long work takes as a multiple of the time that the mean latency was measured with.
func (t *Tracker) slowness(now time.Time) float64 {
	usual := t.meanSlowness
	if usual == 0 {
		usual = 1
	}
	return 1 + t.loadWeight(now)*(t.load.slowness/usual-1)
}

// recordSlowness averages the slowness over the same samples as the mean latency.
func (t *Tracker) recordSlowness(now time.Time) {
	sample := 1 + t.loadWeight(now)*(t.load.slowness-1)
	if t.meanSlowness == 0 {
		t.meanSlowness = sample
	} else {
		t.meanSlowness += (sample - t.meanSlowness) * sampleWeight
	}
}
