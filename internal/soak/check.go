package soak

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/fireflylanding/fireflylanding/platform/stand"
)

// sent is a caller's request with its answer.
type sent struct {
	request stand.Request
	unsafe  bool
	shards  []string
	top     int
	least   float64
	node    string
	at      time.Time
	ended   time.Time
	answer  stand.Answer
	err     error
}

// run is a request that a searcher began to work on.
type run struct {
	stand.Run
	searcher string
	service  string
}

// left is a searcher that said it leaves, and when; address is its own.
type left struct {
	searcher string
	at       time.Time
}

// evidence is all that callers and searchers saw.
type evidence struct {
	sent []sent
	runs []run
	left []left
	// allowed maps a path prefix to the services that any version of the configuration let it go to.
	allowed map[string][]string
	// drainBound is the time after which a searcher that leaves gets nothing new, in calm times.
	drainBound time.Duration
	// calm are the spans without any trouble in the time before that the rules grant.
	calm []span
	// found are the broken promises that were seen while the soak ran.
	found []Violation
}

type span struct{ from, to time.Time }

func (s span) contains(at time.Time) bool { return !at.Before(s.from) && !at.After(s.to) }

// Violation is a broken promise.
type Violation struct {
	// Promise names it; Detail says what was seen.
	Promise string
	Detail  string
}

// String returns the promise and what was seen.
func (v Violation) String() string { return v.Promise + ": " + v.Detail }

// check returns the promises that the evidence shows broken.
func check(e evidence) []Violation {
	byID := make(map[string]sent, len(e.sent))
	for _, s := range e.sent {
		byID[s.request.ID] = s
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
		s, ok := byID[id]
		if !ok {
			report("unasked", "request %s ran at %s and no caller sent it", id, list[0].searcher)
			continue
		}
		checkRuns(s, list, e, report)
	}
	for _, s := range e.sent {
		checkAnswer(s, runs[s.request.ID], report)
	}
	checkDrain(e, report)
	return found
}

type reporter func(promise, format string, values ...any)

// checkRuns holds a request against its runs.
func checkRuns(s sent, list []run, e evidence, report reporter) {
	if s.unsafe && len(list) > 1 {
		report("at most once", "non-idempotent request %s ran %d times", s.request.ID, len(list))
	}
	for _, r := range list {
		if r.Method != s.request.Method || r.URI != s.request.Path || r.Body != s.request.Body {
			report("unchanged", "request %s reached %s as %s %s", s.request.ID, r.searcher, r.Method, r.URI)
		}
		if services := e.allowed[prefixOf(s.request.Path)]; !slices.Contains(services, r.service) {
			report("route", "request %s for %s ran at service %s, allowed are %v", s.request.ID, s.request.Path, r.service, services)
		}
	}
}

// prefixOf returns the first part of a path with its slashes.
func prefixOf(path string) string {
	if end := bytes.IndexByte([]byte(path[1:]), '/'); end >= 0 {
		return path[:end+2]
	}
	return path
}

// checkAnswer holds an answer against what searchers would have said.
func checkAnswer(s sent, list []run, report reporter) {
	if s.err != nil {
		return
	}
	switch status := s.answer.Status; {
	case (status == 503 || status == 429 || status == 408 || status == 421) && s.unsafe && len(list) > 0:
		report("not run", "request %s was answered %d and ran %d times", s.request.ID, status, len(list))
	case status >= 300 && status < 500 && status != 404 && status != 429 && status != 408 && status != 421:
		report("denied", "request %s was answered %d", s.request.ID, status)
	case status < 200 || status > 299:
	case len(s.shards) > 0:
		checkMerged(s, report)
	default:
		checkPassed(s, list, report)
	}
}

func checkPassed(s sent, list []run, report reporter) {
	for _, r := range list {
		if s.answer.Proof == stand.Stamp(r.searcher, s.request.ID) && s.answer.Body == string(stand.ReplyBody(r.service, s.request.ID)) {
			return
		}
	}
	report("own answer", "request %s got proof %q and %d bytes, which no searcher that ran it gave", s.request.ID, s.answer.Proof, len(s.answer.Body))
}

// checkMerged holds an answer over shards against the parts that it names. Service names stand in searchers' ids, see stationID.
func checkMerged(s sent, report reporter) {
	var services []string
	for _, proof := range s.answer.Proofs {
		service := serviceOfProof(proof, s.request.ID)
		if service == "" || slices.Contains(services, service) || !slices.Contains(s.shards, service) {
			report("coverage", "request %s names proof %q, which is none of a further shard", s.request.ID, proof)
			return
		}
		services = append(services, service)
	}
	if len(services)+s.answer.MissingShards != len(s.shards) {
		report("coverage", "request %s names %d shards in and %d missing of %d", s.request.ID, len(services), s.answer.MissingShards, len(s.shards))
	}
	if float64(len(services)) < s.least*float64(len(s.shards)) {
		report("coverage", "request %s was served from %d of %d shards", s.request.ID, len(services), len(s.shards))
	}
	if s.answer.Body != stand.TopRecords(s.request.ID, s.top, services...) {
		report("records", "request %s got records that are not the greatest of its parts", s.request.ID)
	}
}

// checkDrain looks for new work at searchers that left, in calm times.
func checkDrain(e evidence, report reporter) {
	for _, l := range e.left {
		bound := l.at.Add(e.drainBound)
		for _, r := range e.runs {
			if r.searcher != l.searcher || !r.StartTime.After(bound) {
				continue
			}
			if slices.ContainsFunc(e.calm, func(s span) bool { return s.contains(r.StartTime) && s.contains(bound) }) {
				report("drain", "request %s reached %s %v after it began to leave", r.ID, r.searcher, r.StartTime.Sub(l.at))
			}
		}
	}
}
