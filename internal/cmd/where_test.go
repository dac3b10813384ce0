package cmd

import (
	"encoding/json"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/fireflylanding/fireflylanding/internal/broken"
	"github.com/fireflylanding/fireflylanding/internal/relay"
	"github.com/fireflylanding/fireflylanding/internal/tier"
)

// Guards against an explanation that hides why a request is refused or a searcher is not chosen, against a query that names another request, and
// against an error that is shown as an explanation.
func TestWhere(t *testing.T) {
	weight := 3.0
	full := tier.PlacementReport{Node: "front-1", Zone: "attica-a", Region: "attica", Host: "h", Path: "/a/1?x=2&y", Ready: true, RoutesVersion: 7,
		EvacuatedZones: []string{"attica-b"}, Placement: &relay.PlacementReport{Route: "lookup", Target: "split", Restricted: true, Homes: []string{"attica"}, Goal: 400, Deadline: 800,
			Admission: relay.AdmissionReport{Decision: "wait", Group: "s1", Limit: &relay.LimitReport{Limit: 32, InFlight: 30, Waiting: 2}},
			Services: []relay.ServicePlacement{{Service: "s1", Weight: &weight, Chosen: "i-1", Searchers: []relay.SearcherPlacement{
				{ID: "i-1", Zone: "attica-a", Verdict: "chosen", MayBeChosen: true, Latency: 28}, {ID: "i-2", Zone: "attica-a", Verdict: "higher_cost", MayBeChosen: true},
				{ID: "i-3", Zone: "kriti-a", Verdict: "outside_home_regions"}}}}}}
	tests := map[string]struct {
		report tier.PlacementReport
		status int
		flags  []string
		want   []string
		code   int
	}{
		"text": {report: full, status: fasthttp.StatusOK, want: []string{"routes version 7\n", "evacuated zones: attica-b", "route lookup (split", "home regions: attica\n",
			"admission: wait, group s1: 30 of 32 in flight, 2 waiting", "service s1 (weight 3), to i-1", "higher cost, close", "outside home regions"}},
		"json":      {report: full, status: fasthttp.StatusOK, flags: []string{"--json"}, want: []string{`"verdict":"outside_home_regions"`}},
		"no route":  {report: tier.PlacementReport{Host: "h", Path: "/z", Ready: true, Refusal: "route_unknown"}, status: fasthttp.StatusOK, want: []string{"refused at once: route_unknown", "no route for host h and path /z"}},
		"not ready": {report: tier.PlacementReport{Refusal: "not_ready"}, status: fasthttp.StatusOK, want: []string{", not ready", "refused at once: not_ready"}},
		"stranded": {report: tier.PlacementReport{Stranded: true, Refusal: "links_lost", Placement: &relay.PlacementReport{Restricted: true, Admission: relay.AdmissionReport{Decision: "run"}}}, status: fasthttp.StatusOK,
			want: []string{", stranded", "refused at once: links_lost", "none is valid", "admission: run, not limited"}},
		"rejected":     {status: fasthttp.StatusBadRequest, code: exitFailure, want: []string{"status 400"}},
		"unknown flag": {flags: []string{"--odd"}, code: exitUsage, want: []string{"odd"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			body, err := json.Marshal(test.report)
			if err != nil {
				t.Fatal(err)
			}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			go func() {
				// The server ends with its listener.
				_ = fasthttp.Serve(listener, func(ctx *fasthttp.RequestCtx) {
					args := ctx.QueryArgs()
					if string(ctx.Path()) != "/v1/placement" || string(args.Peek("host")) != "h" || string(args.Peek("path")) != "/a/1?x=2&y" || string(args.Peek("timeout_ms")) != "800" {
						t.Errorf("got query %s", ctx.RequestURI())
					}
					ctx.SetStatusCode(test.status)
					ctx.SetBody(body)
				})
			}()
			arguments := append([]string{"where", "--admin", listener.Addr().String(), "--host", "h", "--path", "/a/1?x=2&y", "--timeout-ms", "800"}, test.flags...)
			code, stdout, stderr := run(arguments...)
			if code != test.code {
				t.Errorf("got exit code %d, want %d", code, test.code)
			}
			for _, want := range test.want {
				if !strings.Contains(stdout+stderr, want) {
					t.Errorf("got no %q in\n%s%s", want, stdout, stderr)
				}
			}
		})
	}
}

// Guards against a malformed answer that is shown as an explanation.
func TestWhereOfMalformedAnswer(t *testing.T) {
	for name, message := range map[string]string{"not JSON": broken.Sound("200 OK", "", "{"), "status 000": broken.Sound("000 OK", "", "{}")} {
		t.Run(name, func(t *testing.T) {
			server, err := broken.Start(func(*fasthttp.Request) broken.Answer { return broken.Answer{Message: message} })
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			var shown strings.Builder
			if err := printPlacement(&shown, "http://"+server.Address()+"/v1/placement", false); err == nil || shown.Len() > 0 {
				t.Errorf("got %q and error %v, want an error only", shown.String(), err)
			}
		})
	}
}
