package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflylanding/fireflylanding/platform/stand"
)

var start = time.Unix(1_700_000_000, 0)

const (
	id       = "0001"
	searcher = "i_one_1"
)

// single returns the evidence of one request that one searcher served.
func single() evidence {
	request := stand.Request{ID: id, Method: http.MethodPost, Path: "/unsafe/1", Body: "order"}
	return evidence{
		exchanges: []exchange{{
			request: request, nonIdempotent: true, node: "n", sentAt: start,
			answer: stand.Answer{Status: 200, Proof: stand.Stamp(searcher, id), Body: string(stand.ReplyBody("one", id))},
		}},
		runs: []run{{
			Run:      stand.Run{ID: id, Method: http.MethodPost, URI: "/unsafe/1", Body: "order", StartTime: start.Add(time.Second)},
			searcher: searcher, service: "one",
		}},
		allowed:    map[string][]string{"/unsafe/": {"one"}},
		drainBound: 3 * time.Second,
	}
}

// nameLimit adds a limit of one request a second at the searcher, and requests that it got within the window.
func (e *evidence) nameLimit(requests int) {
	e.limits = []limit{{searcher: searcher, perSecond: 1, during: interval{from: start.Add(10 * time.Second), to: start.Add(20 * time.Second)}}}
	// The first request is the one by which the node learns the limit.
	for i := range requests + 1 {
		one := single()
		requestID := fmt.Sprintf("limit-%d", i)
		one.exchanges[0].request.ID = requestID
		one.exchanges[0].answer.Proof = stand.Stamp(searcher, requestID)
		one.exchanges[0].answer.Body = string(stand.ReplyBody("one", requestID))
		one.runs[0].ID = requestID
		one.runs[0].StartTime = start.Add(12*time.Second + time.Duration(i)*100*time.Millisecond)
		if i == 0 {
			one.runs[0].StartTime = start.Add(11 * time.Second)
		}
		one.exchanges[0].endedAt = one.runs[0].StartTime.Add(time.Millisecond)
		e.exchanges, e.runs = append(e.exchanges, one.exchanges[0]), append(e.runs, one.runs[0])
	}
}

// merged returns the evidence of one request that was served from two of three shards.
func merged() evidence {
	return evidence{exchanges: []exchange{{
		request: stand.Request{ID: id, Method: http.MethodGet, Path: "/gather/1"},
		shards:  []string{"a", "b", "c"}, topK: 5, minCoverage: 0.6,
		answer: stand.Answer{
			Status: 200, MissingShards: 1, Body: stand.TopRecords(id, 5, "a", "b"),
			Proofs: []string{stand.Stamp("i_a_1", id), stand.Stamp("i_b_2", id)},
		},
	}}}
}

// crash adds a crashing request that ran three times, and retries of it that ran from the given times after the third on.
func (e *evidence) crash(after ...time.Duration) {
	e.quiet = []interval{{from: start.Add(-time.Minute), to: start.Add(time.Minute)}}
	for i, at := range append([]time.Duration{0, 0, 0}, after...) {
		s := single().exchanges[0]
		s.crasher, s.nonIdempotent, s.err = true, false, io.EOF
		s.request.ID, s.request.Path, s.sentAt = fmt.Sprintf("%s%d", crasherPrefix, i), "/unsafe/crasher", start.Add(at)
		r := single().runs[0]
		r.ID, r.URI, r.StartTime = s.request.ID, s.request.Path, s.sentAt
		e.exchanges, e.runs = append(e.exchanges, s), append(e.runs, r)
	}
}

// popular replaces the request by four popular ones, of which some are served, and four others of their route, which all are.
func (e *evidence) popular(served int) {
	e.quiet = []interval{{from: start.Add(-time.Minute), to: start.Add(time.Minute)}}
	e.exchanges, e.runs[0].URI, e.allowed = nil, "/safe/other", map[string][]string{"/safe/": {"one"}}
	for i := range 8 {
		s := single().exchanges[0]
		s.nonIdempotent, s.request.Path = false, "/safe/other"
		if i < 4 {
			s.request.Path = popularPath
		}
		if i < 4-served {
			s.err = io.EOF
		}
		e.exchanges = append(e.exchanges, s)
	}
}

// Guards against a soak that does not detect a violated promise: each kind of violation is injected into sound evidence.
func TestCheckFindsPlantedViolations(t *testing.T) {
	tests := map[string]struct {
		evidence func() evidence
		inject   func(e *evidence)
		want     string
	}{
		"no violation, single":      {evidence: single, inject: func(*evidence) {}},
		"no violation, merged":      {evidence: merged, inject: func(*evidence) {}},
		"no answer":                 {evidence: single, inject: func(e *evidence) { e.exchanges[0].err = io.EOF }},
		"ran twice":                 {evidence: single, inject: func(e *evidence) { e.runs = append(e.runs, e.runs[0]) }, want: "at most once"},
		"refused, but ran":          {evidence: single, inject: func(e *evidence) { e.exchanges[0].answer.Status = 503 }, want: "not run"},
		"never sent":                {evidence: single, inject: func(e *evidence) { e.runs = append(e.runs, run{Run: stand.Run{ID: "other"}}) }, want: "unasked"},
		"another path":              {evidence: single, inject: func(e *evidence) { e.runs[0].URI = "/unsafe/2" }, want: "unchanged"},
		"another body":              {evidence: single, inject: func(e *evidence) { e.runs[0].Body = "" }, want: "unchanged"},
		"another service":           {evidence: single, inject: func(e *evidence) { e.allowed["/unsafe/"] = []string{"two"} }, want: "route"},
		"proof of another":          {evidence: single, inject: func(e *evidence) { e.exchanges[0].answer.Proof = stand.Stamp("i_one_2", id) }, want: "own answer"},
		"answer of another":         {evidence: single, inject: func(e *evidence) { e.exchanges[0].answer.Body = string(stand.ReplyBody("one", "0002")) }, want: "own answer"},
		"truncated answer":          {evidence: single, inject: func(e *evidence) { e.exchanges[0].answer.Body = e.exchanges[0].answer.Body[:20] }, want: "own answer"},
		"denied":                    {evidence: single, inject: func(e *evidence) { e.exchanges[0].answer.Status = 403 }, want: "denied"},
		"missing not stated":        {evidence: merged, inject: func(e *evidence) { e.exchanges[0].answer.MissingShards = 0 }, want: "coverage"},
		"a shard twice":             {evidence: merged, inject: func(e *evidence) { e.exchanges[0].answer.Proofs[1] = stand.Stamp("i_a_9", id) }, want: "coverage"},
		"a shard outside the route": {evidence: merged, inject: func(e *evidence) { e.exchanges[0].answer.Proofs[1] = stand.Stamp("i_z_1", id) }, want: "coverage"},
		"proof of another id":       {evidence: merged, inject: func(e *evidence) { e.exchanges[0].answer.Proofs[1] = stand.Stamp("i_b_2", "x") }, want: "coverage"},
		"too few shards":            {evidence: merged, inject: func(e *evidence) { e.exchanges[0].minCoverage = 0.9 }, want: "coverage"},
		"records of another shard":  {evidence: merged, inject: func(e *evidence) { e.exchanges[0].answer.Body = stand.TopRecords(id, 5, "a", "c") }, want: "records"},
		"new work after leaving": {evidence: single, inject: func(e *evidence) {
			e.departures = []departure{{searcher: searcher, leavingSince: start.Add(-4 * time.Second)}}
			e.quiet = []interval{{from: start.Add(-10 * time.Second), to: start.Add(10 * time.Second)}}
		}, want: "drain"},
		"new work after leaving, through another node than the one cut off": {evidence: single, inject: func(e *evidence) {
			e.departures = []departure{{searcher: searcher, leavingSince: start.Add(-4 * time.Second), cutOff: "other"}}
			e.quiet = []interval{{from: start.Add(-10 * time.Second), to: start.Add(10 * time.Second)}}
		}, want: "drain"},
		"new work after leaving, through the node cut off": {evidence: single, inject: func(e *evidence) {
			e.departures = []departure{{searcher: searcher, leavingSince: start.Add(-4 * time.Second), cutOff: "n"}}
			e.quiet = []interval{{from: start.Add(-10 * time.Second), to: start.Add(10 * time.Second)}}
		}},
		"within the limit": {evidence: single, inject: func(e *evidence) { e.nameLimit(11) }},
		"beyond the limit, from nodes that did not know it": {evidence: single, inject: func(e *evidence) {
			e.nameLimit(12)
			for i := range e.exchanges {
				e.exchanges[i].node = fmt.Sprintf("n%d", i)
			}
		}},
		"beyond the limit":                           {evidence: single, inject: func(e *evidence) { e.nameLimit(12) }, want: "limit"},
		"popular request, served as often as others": {evidence: single, inject: func(e *evidence) { e.popular(3) }},
		"popular request, served less often":         {evidence: single, inject: func(e *evidence) { e.popular(2) }, want: "popular"},
		"crashing request, retried early":            {evidence: single, inject: func(e *evidence) { e.crash(1, 2, 3, 4, contactTime) }},
		"crashing request, three late retries": {evidence: single, inject: func(e *evidence) {
			e.crash(contactTime+1, contactTime+2, contactTime+3)
		}},
		"crashing request, four late retries": {evidence: single, inject: func(e *evidence) {
			e.crash(contactTime+1, contactTime+2, contactTime+3, contactTime+4)
		}, want: "crash"},
		"crashing request, four late retries at a disturbed node": {evidence: single, inject: func(e *evidence) {
			e.crash(contactTime+1, contactTime+2, contactTime+3, contactTime+4)
			e.disturbances = []disturbance{{node: "n", during: e.quiet[0]}}
		}},
		"crashing request, four late retries during faults": {evidence: single, inject: func(e *evidence) {
			e.crash(contactTime+1, contactTime+2, contactTime+3, contactTime+4)
			e.quiet = nil
		}},
		"new work after leaving, during a fault": {evidence: single, inject: func(e *evidence) {
			e.departures = []departure{{searcher: searcher, leavingSince: start.Add(-4 * time.Second)}}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := test.evidence()
			test.inject(&e)
			var got []string
			for _, v := range findViolations(e) {
				if !slices.Contains(got, v.Promise) {
					got = append(got, v.Promise)
				}
			}
			var want []string
			if test.want != "" {
				want = []string{test.want}
			}
			if !slices.Equal(got, want) {
				t.Errorf("got violations of %v, want %v", got, want)
			}
		})
	}
}

// Guards against counting a request that no node read as cut off, and against not counting one that a node had read.
func TestCutOff(t *testing.T) {
	tests := map[string]struct {
		err  error
		ran  bool
		want bool
	}{
		"answered":                  {ran: true},
		"caller's deadline passed":  {err: errors.Wrap(context.DeadlineExceeded, "ask"), ran: true},
		"closed before it was read": {err: io.EOF},
		"closed after it ran":       {err: io.EOF, ran: true, want: true},
		"closed during the answer":  {err: io.ErrUnexpectedEOF, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := cutOff(test.err, test.ran); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
