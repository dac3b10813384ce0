// Package reach estimates the share of the searchers that a node reaches, from the requests and connections that it makes anyway. A node that
// reaches few of them while other nodes reach most has lost its own links.
package reach

import "time"

const (
	// silenceLimit is the time over which requests to a searcher must have got no reply to be evidence that it is not reached.
	silenceLimit = 700 * time.Millisecond
	// evidenceWindow is the age up to which evidence on a searcher counts.
	evidenceWindow = 2 * time.Second
	// evidenceShare is the share of the searchers for which there must be recent evidence, between minEvidence and maxEvidence of them.
	// Otherwise the few that a node uses without a reply look like all.
	evidenceShare = 1.0 / 3
	minEvidence   = 3
	maxEvidence   = 24
	// minProbes is the number of recent probes from which they are an estimate of their own, for a node that gets too few requests.
	minProbes = 4
	// lowShare is the share below which a node counts as having lost its links.
	lowShare = 0.7
)

// Reach is an estimate of the share of the searchers that a node reaches. The zero value is unknown.
type Reach struct {
	known bool
	share float64
}

// Unknown is the reach of a node without recent evidence.
var Unknown = Reach{}

// Of returns the reach for a share between 0 and 1.
func Of(share float64) Reach { return Reach{known: true, share: min(max(share, 0), 1)} }

// Known reports whether there is an estimate.
func (r Reach) Known() bool { return r.known }

// Share returns the estimated share, 1 while it is unknown.
func (r Reach) Share() float64 {
	if !r.known {
		return 1
	}
	return r.share
}

// Low reports whether the node is known to reach few searchers.
func (r Reach) Low() bool { return r.known && r.share < lowShare }

// BelowOthers reports whether a node reaches so much less than the best other node that callers are better served there.
func (r Reach) BelowOthers(best Reach) bool {
	return r.known && best.known && r.share < lowShare*best.share
}

// Sample counts searchers by their evidence.
type Sample struct {
	all, reached, lost int
	// probed counts the searchers with a recent probe, probeReached those of them that it reached.
	probed, probeReached int
}

// Add adds a searcher.
func (s *Sample) Add(now time.Time, link *Link) {
	s.all++
	if success, ok := link.recentProbe(now); ok {
		s.probed++
		if success {
			s.probeReached++
		}
	}
	switch link.evidence(now) {
	case lost:
		s.lost++
	case reached:
		s.reached++
	}
}

// Reach returns the estimate. With too little evidence from requests the probes decide, and without enough of them a low estimate stays, since
// a node that gets no requests learns nothing.
func (s *Sample) Reach(previous Reach) Reach {
	total := s.reached + s.lost
	switch {
	case total >= min(max(int(evidenceShare*float64(s.all)), minEvidence), maxEvidence):
		return Of(float64(s.reached) / float64(total))
	case s.probed > 0 && s.probed >= min(minProbes, s.all):
		return Of(float64(s.probeReached) / float64(s.probed))
	case previous.Low():
		return previous
	default:
		return Unknown
	}
}
