package status_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/fireflylanding/fireflylanding/internal/conf"
	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/guard"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/status"
)

const (
	plansInForce = `
[care]
customer = Nykterida
rank = urgent
preference = tail

[billing]
customer = Nykterida
rank = bulk
weight = 2
`
	usesInForce = `
[care/care-desk]
queries_per_second = 200
`
)

// fakeNode is a status.Source with fixed data.
type fakeNode struct {
	lists    *plans.Lists
	sections map[string]map[string]string
}

func newFakeNode(t *testing.T) *fakeNode {
	t.Helper()
	n := &fakeNode{sections: make(map[string]map[string]string)}
	for key, text := range map[string]string{plans.PlansKey: plansInForce, plans.UsesKey: usesInForce} {
		sections, err := conf.Split(key, []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		n.sections[key] = sections
	}
	p, err := plans.ParsePlans(41, n.sections[plans.PlansKey])
	if err != nil {
		t.Fatal(err)
	}
	u, err := plans.ParseUses(17, n.sections[plans.UsesKey])
	if err != nil {
		t.Fatal(err)
	}
	n.lists = plans.NewLists(p, u)
	return n
}

func (n *fakeNode) Report(now time.Time) status.Report {
	return status.Report{
		ID:          "vm-1",
		Incarnation: 1<<63 + 1,
		State:       status.Ready,
		Documents: []status.Document{{Key: plans.PlansKey, Revision: 41, Hash: "c0ffee", Rejected: &status.Rejection{
			Revision: 42, At: now, Faults: []status.Fault{{List: "plans", Section: "care", Key: "rank", Problem: "bad"}},
		}}},
		Searchers: []status.Searcher{{ID: "s1", Limit: 2, InFlight: 1, Waiting: 3, Connections: 4}},
		Reasons:   map[string]int64{"over_rate": 5},
	}
}

func (n *fakeNode) Lists() *plans.Lists { return n.lists }

func (n *fakeNode) Sections(key string) map[string]string { return n.sections[key] }

// startServer serves the administration API and returns its base URL and its metrics registry.
func startServer(t *testing.T) (string, metrics.Registry) {
	t.Helper()
	registry := metrics.NewRegistry()
	g := guard.New(64<<20, events.Discard(), reason.NewCounters(registry, "reasons"), time.Now)
	server := status.New(newFakeNode(t), registry, g)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener, 100) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		http.DefaultClient.CloseIdleConnections()
		if err := server.Shutdown(ctx); err != nil {
			t.Errorf("shutdown: %v", err)
		}
		if err := <-served; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	return "http://" + listener.Addr().String(), registry
}

func post(t *testing.T, url, body string) (int, string) {
	t.Helper()
	reply, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	return readReply(t, reply)
}

func get(t *testing.T, url string) (int, string) {
	t.Helper()
	reply, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	return readReply(t, reply)
}

func readReply(t *testing.T, reply *http.Response) (int, string) {
	t.Helper()
	defer reply.Body.Close()
	text, err := io.ReadAll(reply.Body)
	if err != nil {
		t.Fatal(err)
	}
	return reply.StatusCode, string(text)
}

func edit(list, text string) string {
	body, _ := json.Marshal(status.Edit{List: list, Text: text})
	return string(body)
}

func decode(t *testing.T, text string, into any) {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewBufferString(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		t.Fatalf("%v in %s", err, text)
	}
}

// Guards against a status response that loses part of the report, such as the low bits of a 64-bit incarnation.
func TestStatus(t *testing.T) {
	base, _ := startServer(t)
	code, text := get(t, base+"/v1/status")
	if code != http.StatusOK {
		t.Fatalf("got status %d: %s", code, text)
	}
	var report status.Report
	decode(t, text, &report)
	if got, want := report.Incarnation, uint64(1<<63+1); got != want {
		t.Errorf("incarnation: got %d, want %d", got, want)
	}
	if got := report.Documents[0].Rejected; got == nil || got.Faults[0].Key != "rank" {
		t.Errorf("rejected revision: got %+v, want a fault of key rank", got)
	}
	if got, want := report.Reasons["over_rate"], int64(5); got != want {
		t.Errorf("reasons: got %d, want %d", got, want)
	}
	if !strings.Contains(text, `"incarnation":"9223372036854775809"`) {
		t.Errorf("incarnation is not a string in %s", text)
	}
}

// Guards against registered metrics that the response omits.
func TestMetrics(t *testing.T) {
	base, registry := startServer(t)
	metrics.GetOrRegisterCounter("refusals.over_rate", registry).Inc(3)
	code, text := get(t, base+"/v1/metrics")
	if code != http.StatusOK {
		t.Fatalf("got status %d: %s", code, text)
	}
	var all map[string]map[string]float64
	decode(t, text, &all)
	if got, want := all["refusals.over_rate"]["count"], 3.0; got != want {
		t.Errorf("counter: got %v, want %v", got, want)
	}
}

// Guards against an invalid edit that is reported as valid, and against a fault without its position.
func TestValidate(t *testing.T) {
	tests := map[string]struct {
		list string
		text string
		want []status.Fault
	}{
		"valid plans":      {list: "plans", text: plansInForce},
		"valid uses":       {list: "uses", text: usesInForce},
		"empty list":       {list: "uses", text: ""},
		"unknown rank":     {list: "plans", text: "[care]\ncustomer = N\nrank = high\n", want: []status.Fault{{List: "plans", Section: "care", Key: "rank", Problem: `"high" is not one of urgent, routine, bulk`}}},
		"weight too great": {list: "plans", text: "[care]\ncustomer = N\nrank = bulk\nweight = 1001\n", want: []status.Fault{{List: "plans", Section: "care", Key: "weight", Problem: "1001 is above the maximum 1000"}}},
		"unknown key":      {list: "plans", text: "[care]\ncustomer = N\nrank = bulk\ncolour = red\n", want: []status.Fault{{List: "plans", Section: "care", Key: "colour", Problem: "unknown key"}}},
		"no collection":    {list: "uses", text: "[care]\nqueries_per_second = 1\n", want: []status.Fault{{List: "uses", Section: "care", Problem: "section must be named PLAN/COLLECTION"}}},
		"section twice":    {list: "plans", text: "[care]\ncustomer = N\nrank = bulk\n[care]\n", want: []status.Fault{{List: "plans", Section: "care", Problem: "section appears twice"}}},
		"two faults in order": {list: "uses", text: "[b/x]\n[a/x]\nqueries_per_second = -1\n", want: []status.Fault{
			{List: "uses", Section: "a/x", Key: "queries_per_second", Problem: "-1 is below the minimum 0"},
			{List: "uses", Section: "b/x", Key: "queries_per_second", Problem: "required key is missing (greatest rate of queries of the plan to the collection in each region)"},
		}},
	}
	base, _ := startServer(t)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			code, text := post(t, base+"/v1/validate", edit(test.list, test.text))
			if code != http.StatusOK {
				t.Fatalf("got status %d: %s", code, text)
			}
			var result status.ValidationResult
			decode(t, text, &result)
			if got, want := result.OK, len(test.want) == 0; got != want {
				t.Errorf("ok: got %v, want %v", got, want)
			}
			if !slices.Equal(result.Faults, test.want) {
				t.Errorf("faults: got %+v, want %+v", result.Faults, test.want)
			}
		})
	}
}

// Guards against a preview that omits a change or shows one where there is none.
func TestPreview(t *testing.T) {
	empty := status.Preview{OK: true, Faults: []status.Fault{}, Added: []status.SectionChange{}, Removed: []status.SectionChange{}, Changed: []status.SectionChange{}, Warnings: []string{}}
	tests := map[string]struct {
		list string
		text string
		want func(p *status.Preview)
	}{
		"no change": {list: "plans", text: plansInForce, want: func(p *status.Preview) {}},
		"default written out": {list: "plans", text: strings.Replace(plansInForce, "rank = urgent", "rank = urgent\nweight = 1", 1),
			want: func(p *status.Preview) {}},
		"weight and preference changed": {list: "plans", text: strings.NewReplacer("weight = 2", "weight = 5", "preference = tail", "").Replace(plansInForce),
			want: func(p *status.Preview) {
				p.Changed = []status.SectionChange{
					{Section: "billing", Fields: []status.FieldChange{{Key: "weight", Old: "2", New: "5"}}},
					{Section: "care", Fields: []status.FieldChange{{Key: "preference", Old: "tail", New: "coverage"}}},
				}
			}},
		"plan renamed": {list: "plans", text: strings.Replace(plansInForce, "[billing]", "[invoices]", 1),
			want: func(p *status.Preview) {
				p.Added = []status.SectionChange{{Section: "invoices", Fields: []status.FieldChange{
					{Key: "customer", New: "Nykterida"}, {Key: "rank", New: "bulk"}, {Key: "weight", New: "2"}, {Key: "preference", New: "coverage"}}}}
				p.Removed = []status.SectionChange{{Section: "billing", Fields: []status.FieldChange{
					{Key: "customer", Old: "Nykterida"}, {Key: "rank", Old: "bulk"}, {Key: "weight", Old: "2"}, {Key: "preference", Old: "coverage"}}}}
			}},
		"use of a missing plan": {list: "uses", text: usesInForce + "[orders/care-desk]\nqueries_per_second = 0.5\n",
			want: func(p *status.Preview) {
				p.Added = []status.SectionChange{{Section: "orders/care-desk", Fields: []status.FieldChange{
					{Key: "queries_per_second", New: "0.5"}, {Key: "concurrent", New: "1000"}}}}
				p.Warnings = []string{"[orders/care-desk] has no effect: plan orders is not in the list of plans in force"}
			}},
		"invalid edit": {list: "uses", text: "[care/care-desk]\nqueries_per_second = many\n",
			want: func(p *status.Preview) {
				p.OK = false
				p.Faults = []status.Fault{{List: "uses", Section: "care/care-desk", Key: "queries_per_second", Problem: `"many" is not a number`}}
			}},
	}
	base, _ := startServer(t)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			want := empty
			want.List = test.list
			want.Revision = map[string]uint64{"plans": 41, "uses": 17}[test.list]
			test.want(&want)
			code, got := post(t, base+"/v1/preview", edit(test.list, test.text))
			if code != http.StatusOK {
				t.Fatalf("got status %d: %s", code, got)
			}
			wantText, err := json.Marshal(want)
			if err != nil {
				t.Fatal(err)
			}
			if got != string(wantText) {
				t.Errorf("got\n%s\nwant\n%s", got, wantText)
			}
		})
	}
}

// Guards against invalid input that is accepted, or refused without a reason.
func TestBadInput(t *testing.T) {
	tests := map[string]struct {
		body     string
		wantCode int
		wantText string
	}{
		"no JSON":            {body: "[care]", wantCode: 400, wantText: "not a JSON object"},
		"empty body":         {body: "", wantCode: 400, wantText: "not a JSON object"},
		"unknown field":      {body: `{"list":"plans","text":"","force":true}`, wantCode: 400, wantText: `unknown field \"force\"`},
		"unknown list":       {body: `{"list":"vms/Attica","text":""}`, wantCode: 400, wantText: "list must be plans or uses"},
		"no text":            {body: `{"list":"plans"}`, wantCode: 400, wantText: "text is missing"},
		"text is not a text": {body: `{"list":"plans","text":7}`, wantCode: 400, wantText: "not a JSON object"},
		"second object":      {body: `{"list":"plans","text":""}{}`, wantCode: 400, wantText: "data after the JSON object"},
	}
	base, _ := startServer(t)
	for _, path := range []string{"/v1/validate", "/v1/preview"} {
		for name, test := range tests {
			t.Run(path+" "+name, func(t *testing.T) {
				code, text := post(t, base+path, test.body)
				if code != test.wantCode {
					t.Errorf("status: got %d, want %d", code, test.wantCode)
				}
				if !strings.Contains(text, test.wantText) {
					t.Errorf("body: got %s, want it to contain %q", text, test.wantText)
				}
			})
		}
	}
}

// Guards against a request body that exhausts the memory of the node. The test sends only the header, since the server closes the
// connection without reading the body.
func TestBodyTooLong(t *testing.T) {
	base, _ := startServer(t)
	connection, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	header := fmt.Sprintf("POST /v1/validate HTTP/1.1\r\nHost: node\r\nContent-Length: %d\r\n\r\n", status.MaxEditBytes+1)
	if _, err := io.WriteString(connection, header); err != nil {
		t.Fatal(err)
	}
	reply, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	code, text := readReply(t, reply)
	if code != http.StatusRequestEntityTooLarge || !strings.Contains(text, "Request Entity Too Large") {
		t.Errorf("got status %d and %s, want 413 with a reason", code, text)
	}
}

// Guards against a limit that refuses a list of the maximum size that the configuration service stores.
func TestGreatestList(t *testing.T) {
	const listBytes = 1_000_000
	base, _ := startServer(t)
	line := "# " + strings.Repeat("x", 77) + "\n"
	code, text := post(t, base+"/v1/validate", edit("plans", strings.Repeat(line, listBytes/len(line))))
	if code != http.StatusOK || text != `{"ok":true,"faults":[]}` {
		t.Errorf("got status %d and %s, want a valid list", code, text)
	}
}

// Guards against an administration API that can change configuration or serves unknown paths.
func TestUnknownRequests(t *testing.T) {
	tests := map[string]struct {
		method string
		path   string
		want   int
	}{
		"unknown path":    {method: http.MethodGet, path: "/v1/plans", want: 404},
		"put plans":       {method: http.MethodPut, path: "/v1/plans", want: 404},
		"get on validate": {method: http.MethodGet, path: "/v1/validate", want: 405},
		"post on status":  {method: http.MethodPost, path: "/v1/status", want: 405},
	}
	base, _ := startServer(t)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequest(test.method, base+test.path, nil)
			if err != nil {
				t.Fatal(err)
			}
			reply, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			code, text := readReply(t, reply)
			if code != test.want {
				t.Errorf("got status %d (%s), want %d", code, text, test.want)
			}
		})
	}
}
