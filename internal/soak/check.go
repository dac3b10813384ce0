package soak

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/fireflylanding/fireflylanding/platform/stand"
)

// exchange is a request of a caller with the answer that it got.
type exchange struct {
	request       stand.Request
	nonIdempotent bool
	// crasher is set if the request crashes each searcher that runs it. Its path and body identify it among the requests that do.
	crasher     bool
	shards      []string
	topK        int
	minCoverage float64
	node        string
	sentAt      time.Time
	endedAt     time.Time
	answer      stand.Answer
	err         error
}

// run is one execution of a request that a searcher began.
type run struct {
	stand.Run
	searcher string
	service  string
}

// departure records when a searcher began to leave, whether it was announced as draining or its entry was removed. cutOff is the node that
// could not learn of it from the store, if any.
type departure struct {
	searcher     string
	leavingSince time.Time
	cutOff       string
}

// limit is a limit that a searcher named.
type limit struct {
	searcher  string
	perSecond float64
	during    interval
}

// evidence is everything that callers and searchers observed during a soak.
type evidence struct {
	exchanges  []exchange
	runs       []run
	departures []departure
	limits     []limit
	// allowed maps a path prefix to the services to which any version of the configuration routed it.
	allowed map[string][]string
	// drainBound is the time after a searcher began to leave in which new requests may still reach it, while no fault is active.
	drainBound time.Duration
	// quiet holds the intervals without a fault, which begin after the recovery time that the promises allow.
	quiet []interval
	// disturbances are those of single nodes within quiet intervals.
	disturbances []disturbance
	// violations are those that were found while the soak ran.
	violations []Violation
}

type interval struct{ from, to time.Time }

func (s interval) contains(at time.Time) bool { return !at.Before(s.from) && !at.After(s.to) }

// Violation is a promise that an observation contradicts.
type Violation struct {
	// Promise is the name of the promise; Detail describes the observation.
	Promise string
	Detail  string
}

// String returns the promise and the detail.
func (v Violation) String() string { return v.Promise + ": " + v.Detail }

// findViolations returns the violations that the evidence shows.
func findViolations(e evidence) []Violation {
	exchangeByID := make(map[string]exchange, len(e.exchanges))
	for _, s := range e.exchanges {
		exchangeByID[s.request.ID] = s
	}
	runs := make(map[string][]run)
	for _, r := range e.runs {
		runs[r.ID] = append(runs[r.ID], r)
	}
	var found []Violation
	report := func(promise, format string, values ...any) {
		found = append(found, Violation{Promise: promise, Detail: fmt.Sprintf(format, values...)})
	}
	for id, list := range runs {
		s, ok := exchangeByID[id]
		if !ok {
			report("unasked", "request %q, %s %s, ran at %s and no caller sent it", id, list[0].Method, list[0].URI, list[0].searcher)
			continue
		}
		checkRuns(s, list, e, report)
	}
	for _, s := range e.exchanges {
		checkAnswer(s, runs[s.request.ID], report)
	}
	checkDrain(e, exchangeByID, report)
	checkLimits(e, exchangeByID, report)
	checkCrashers(e, exchangeByID, report)
	checkPopular(e, report)
	return found
}

type reportFunc func(promise, format string, values ...any)

// checkRuns compares a request with its runs.
func checkRuns(s exchange, list []run, e evidence, report reportFunc) {
	if s.nonIdempotent && len(list) > 1 {
		report("at most once", "non-idempotent request %s ran %d times", s.request.ID, len(list))
	}
	for _, r := range list {
		if r.Method != s.request.Method || r.URI != s.request.Path || r.Body != s.request.Body {
			report("unchanged", "request %s reached %s as %s %s", s.request.ID, r.searcher, r.Method, r.URI)
		}
		if services := e.allowed[routePrefix(s.request.Path)]; !slices.Contains(services, r.service) {
			report("route", "request %s for %s ran at service %s, allowed are %v", s.request.ID, s.request.Path, r.service, services)
		}
	}
}

// routePrefix returns the first segment of a path with its slashes, or the whole path if it has only one.
func routePrefix(path string) string {
	if end := bytes.IndexByte([]byte(path[1:]), '/'); end >= 0 {
		return path[:end+2]
	}
	return path
}

// checkAnswer compares an answer with the runs of its request and with the answers that searchers give.
func checkAnswer(s exchange, list []run, report reportFunc) {
	if s.err != nil {
		return
	}
	switch status := s.answer.Status; {
	case (status == 503 || status == 429 || status == 408 || status == 421) && s.nonIdempotent && len(list) > 0:
		report("not run", "request %s was answered %d and ran %d times", s.request.ID, status, len(list))
	case status >= 300 && status < 500 && status != 404 && status != 429 && status != 408 && status != 421:
		report("denied", "request %s was answered %d", s.request.ID, status)
	case status < 200 || status > 299:
	case len(s.shards) > 0:
		checkMerged(s, report)
	default:
		checkForwarded(s, list, report)
	}
}

// checkForwarded checks that an answer is exactly that of one of the searchers that ran the request.
func checkForwarded(s exchange, list []run, report reportFunc) {
	for _, r := range list {
		if s.answer.Proof == stand.Stamp(r.searcher, s.request.ID) && s.answer.Body == string(stand.ReplyBody(r.service, s.request.ID)) {
			return
		}
	}
	report("own answer", "request %s got proof %q and %d bytes, which no searcher that ran it gave", s.request.ID, s.answer.Proof, len(s.answer.Body))
}

// checkMerged compares an answer merged over shards with the shard answers that it names. A searcher's id contains its service, see
// searcherID.
func checkMerged(s exchange, report reportFunc) {
	var services []string
	for _, proof := range s.answer.Proofs {
		service := serviceOfProof(proof, s.request.ID)
		if service == "" || slices.Contains(services, service) || !slices.Contains(s.shards, service) {
			report("coverage", "request %s names proof %q, which is not that of another shard of its route", s.request.ID, proof)
			return
		}
		services = append(services, service)
	}
	if len(services)+s.answer.MissingShards != len(s.shards) {
		report("coverage", "request %s states %d shards reflected and %d missing of %d", s.request.ID, len(services), s.answer.MissingShards, len(s.shards))
	}
	if float64(len(services)) < s.minCoverage*float64(len(s.shards)) {
		report("coverage", "request %s was served from %d of %d shards", s.request.ID, len(services), len(s.shards))
	}
	if s.answer.Body != stand.TopRecords(s.request.ID, s.topK, services...) {
		report("records", "request %s got records that are not the greatest of its reflected shards", s.request.ID)
	}
}

// checkDrain finds runs that began later than the drain bound after their searcher began to leave. It reports a run only if one quiet
// interval contains both the start of the run and the end of the bound.
func checkDrain(e evidence, exchangeByID map[string]exchange, report reportFunc) {
	for _, l := range e.departures {
		bound := l.leavingSince.Add(e.drainBound)
		for _, r := range e.runs {
			if r.searcher != l.searcher || !r.StartTime.After(bound) {
				continue
			}
			if l.cutOff != "" && exchangeByID[r.ID].node == l.cutOff {
				continue
			}
			if slices.ContainsFunc(e.quiet, func(s interval) bool { return s.contains(r.StartTime) && s.contains(bound) }) {
				report("drain", "request %s reached %s %v after it began to leave", r.ID, r.searcher, r.StartTime.Sub(l.leavingSince))
			}
		}
	}
}

const (
	// limitWindow is the time over which requests are counted against a limit.
	limitWindow = 4 * time.Second
	// limitOnset is the time from a node's first answer that names a limit after which its requests count.
	limitOnset = 500 * time.Millisecond
	// limitExcess and limitAllowance are what is allowed beyond the limit.
	limitExcess    = 1.5
	limitAllowance = 5
)

// checkLimits counts the requests to searchers that named a limit, from the nodes that knew it.
func checkLimits(e evidence, exchangeByID map[string]exchange, report reportFunc) {
	for _, l := range e.limits {
		at := countedRuns(e, exchangeByID, l)
		allowed := int(limitExcess*l.perSecond*limitWindow.Seconds()) + limitAllowance
		for i := allowed; i < len(at); i++ {
			if span := at[i].Sub(at[i-allowed]); span < limitWindow {
				report("limit", "%s named %v requests a second and got %d in %v", l.searcher, l.perSecond, allowed+1, span)
				break
			}
		}
	}
}

// countedRuns returns the start times of the runs that count against a limit, in order.
func countedRuns(e evidence, exchangeByID map[string]exchange, l limit) []time.Time {
	var runs []run
	learnedAt := make(map[string]time.Time)
	for _, r := range e.runs {
		if r.searcher != l.searcher || !l.during.contains(r.StartTime) {
			continue
		}
		runs = append(runs, r)
		s := exchangeByID[r.ID]
		if known, ok := learnedAt[s.node]; !ok || s.endedAt.Before(known) {
			learnedAt[s.node] = s.endedAt
		}
	}
	var at []time.Time
	for _, r := range runs {
		if !r.StartTime.Before(learnedAt[exchangeByID[r.ID].node].Add(limitOnset)) {
			at = append(at, r.StartTime)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	return at
}
