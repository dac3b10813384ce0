package soak

import (
	"context"
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

// single returns the evidence of one served request to one searcher.
func single() evidence {
	request := stand.Request{ID: id, Method: http.MethodPost, Path: "/unsafe/1", Body: "order"}
	return evidence{
		sent: []sent{{
			request: request, unsafe: true, node: "n", at: start,
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

// merged returns the evidence of one served request over three shards, of which one is missing.
func merged() evidence {
	return evidence{sent: []sent{{
		request: stand.Request{ID: id, Method: http.MethodGet, Path: "/gather/1"},
		shards:  []string{"a", "b", "c"}, top: 5, least: 0.6,
		answer: stand.Answer{
			Status: 200, MissingShards: 1, Body: stand.TopRecords(id, 5, "a", "b"),
			Proofs: []string{stand.Stamp("i_a_1", id), stand.Stamp("i_b_2", id)},
		},
	}}}
}

// Guards against a soak that cannot see a broken promise: each is planted once.
func TestCheckFindsPlantedViolations(t *testing.T) {
	tests := map[string]struct {
		evidence func() evidence
		plant    func(e *evidence)
		want     string
	}{
		"nothing, single":       {evidence: single, plant: func(*evidence) {}},
		"nothing, merged":       {evidence: merged, plant: func(*evidence) {}},
		"no answer":             {evidence: single, plant: func(e *evidence) { e.sent[0].err = io.EOF }},
		"ran twice":             {evidence: single, plant: func(e *evidence) { e.runs = append(e.runs, e.runs[0]) }, want: "at most once"},
		"refused, but ran":      {evidence: single, plant: func(e *evidence) { e.sent[0].answer.Status = 503 }, want: "not run"},
		"never sent":            {evidence: single, plant: func(e *evidence) { e.runs = append(e.runs, run{Run: stand.Run{ID: "other"}}) }, want: "unasked"},
		"another path":          {evidence: single, plant: func(e *evidence) { e.runs[0].URI = "/unsafe/2" }, want: "unchanged"},
		"another body":          {evidence: single, plant: func(e *evidence) { e.runs[0].Body = "" }, want: "unchanged"},
		"another service":       {evidence: single, plant: func(e *evidence) { e.allowed["/unsafe/"] = []string{"two"} }, want: "route"},
		"proof of another":      {evidence: single, plant: func(e *evidence) { e.sent[0].answer.Proof = stand.Stamp("i_one_2", id) }, want: "own answer"},
		"answer of another":     {evidence: single, plant: func(e *evidence) { e.sent[0].answer.Body = string(stand.ReplyBody("one", "0002")) }, want: "own answer"},
		"half an answer":        {evidence: single, plant: func(e *evidence) { e.sent[0].answer.Body = e.sent[0].answer.Body[:20] }, want: "own answer"},
		"denied":                {evidence: single, plant: func(e *evidence) { e.sent[0].answer.Status = 403 }, want: "denied"},
		"missing not stated":    {evidence: merged, plant: func(e *evidence) { e.sent[0].answer.MissingShards = 0 }, want: "coverage"},
		"a shard twice":         {evidence: merged, plant: func(e *evidence) { e.sent[0].answer.Proofs[1] = stand.Stamp("i_a_9", id) }, want: "coverage"},
		"a shard of no route":   {evidence: merged, plant: func(e *evidence) { e.sent[0].answer.Proofs[1] = stand.Stamp("i_z_1", id) }, want: "coverage"},
		"proof of another id":   {evidence: merged, plant: func(e *evidence) { e.sent[0].answer.Proofs[1] = stand.Stamp("i_b_2", "x") }, want: "coverage"},
		"too few shards":        {evidence: merged, plant: func(e *evidence) { e.sent[0].least = 0.9 }, want: "coverage"},
		"records of other part": {evidence: merged, plant: func(e *evidence) { e.sent[0].answer.Body = stand.TopRecords(id, 5, "a", "c") }, want: "records"},
		"new work after leaving": {evidence: single, plant: func(e *evidence) {
			e.left = []left{{searcher: searcher, at: start.Add(-4 * time.Second)}}
			e.calm = []span{{from: start.Add(-10 * time.Second), to: start.Add(10 * time.Second)}}
		}, want: "drain"},
		"new work after leaving, in trouble": {evidence: single, plant: func(e *evidence) {
			e.left = []left{{searcher: searcher, at: start.Add(-4 * time.Second)}}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := test.evidence()
			test.plant(&e)
			var got []string
			for _, v := range check(e) {
				if !slices.Contains(got, v.Promise) {
					got = append(got, v.Promise)
				}
			}
			var want []string
			if test.want != "" {
				want = []string{test.want}
			}
			if !slices.Equal(got, want) {
				t.Errorf("got broken promises %v, want %v", got, want)
			}
		})
	}
}

// Guards against taking a request that nobody read for one that was cut off, and the other way round.
func TestCutOff(t *testing.T) {
	tests := map[string]struct {
		err  error
		ran  bool
		want bool
	}{
		"answered":                  {ran: true},
		"caller's own time ended":   {err: errors.Wrap(context.DeadlineExceeded, "ask"), ran: true},
		"closed before it was read": {err: io.EOF},
		"closed after it ran":       {err: io.EOF, ran: true, want: true},
		"closed amid the answer":    {err: io.ErrUnexpectedEOF, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := cutOff(test.err, test.ran); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
