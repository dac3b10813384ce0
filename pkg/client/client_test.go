package client_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/fireflylanding/fireflylanding/pkg/client"
)

// longDeadline leaves room for a busy machine; no test waits for it. Questions that run into shortDeadline are sent on a
// connection that is open already.
const (
	longDeadline  = 10 * time.Second
	shortDeadline = 500 * time.Millisecond
)

const wholeAnswer = `{"snapshot":"7","hits":[{"id":"d1","score":2.5},{"id":"d2","score":1}],` +
	`"coverage":{"total":3,"reflected":2,"missing":[{"shard":1,"reason":"REASON_SNAPSHOT_GONE"}]},"run":"RUN_STATE_RUN"}`

// TestMain guards against goroutines that outlive the client. The cleaners of fasthttp end on their own within the idle
// time after the last connection closed.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
	)
}

// verdict is what a stand-in entry does with one query.
type verdict struct {
	status int
	body   string
	// cut closes the connection after the request was read.
	cut bool
	// hang keeps the request until the client gives up.
	hang bool
}

func refuse(status int, reason, run, fresh string) verdict {
	body, _ := json.Marshal(map[string]string{"reason": reason, "run": run, "freshToken": fresh})
	return verdict{status: status, body: string(body)}
}

var answered = verdict{status: http.StatusOK, body: wholeAnswer}

// entry is a stand-in for a node that records the tokens of the queries it receives.
type entry struct {
	*httptest.Server
	mu          sync.Mutex
	verdicts    []verdict
	directory   string
	tokens      []string
	lookups     int
	lastRequest map[string]any
	// onHang is called when a request is kept; it may be nil and is set before the request is sent.
	onHang func()
	// released ends the requests that are kept, for which Client.Close waits.
	released chan struct{}
}

func newEntry(t *testing.T, verdicts ...verdict) *entry {
	t.Helper()
	e := &entry{verdicts: verdicts, released: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", e.serveEntries)
	mux.HandleFunc("POST /v1/query", e.serveQuery)
	e.Server = httptest.NewServer(mux)
	t.Cleanup(e.Close)
	return e
}

func (e *entry) address() string { return e.Listener.Addr().String() }

func (e *entry) serveEntries(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lookups++
	io.WriteString(w, e.directory)
}

func (e *entry) serveQuery(w http.ResponseWriter, r *http.Request) {
	var query map[string]any
	if err := json.NewDecoder(r.Body).Decode(&query); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.reply(w, r, e.record(query))
}

func (e *entry) record(query map[string]any) verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	text, _ := query["token"].(string)
	e.tokens = append(e.tokens, text)
	e.lastRequest = query
	return e.verdicts[min(len(e.tokens), len(e.verdicts))-1]
}

func (e *entry) reply(w http.ResponseWriter, r *http.Request, v verdict) {
	switch {
	case v.cut:
		connection, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			connection.Close()
		}
	case v.hang:
		if e.onHang != nil {
			e.onHang()
		}
		select {
		case <-r.Context().Done():
		case <-e.released:
		}
	default:
		w.WriteHeader(v.status)
		io.WriteString(w, v.body)
	}
}

func (e *entry) seen() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string{}, e.tokens...)
}

func (e *entry) setDirectory(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.directory = text
}

func (e *entry) lookupCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lookups
}

// listing returns a directory answer.
func listing(valid string, tokens []string, extra map[string]any, addresses ...string) string {
	var entries []map[string]string
	for _, address := range addresses {
		entries = append(entries, map[string]string{"id": address, "address": address})
	}
	answer := map[string]any{"entries": entries, "valid": valid, "tokens": tokens}
	for key, value := range extra {
		answer[key] = value
	}
	text, _ := json.Marshal(answer)
	return string(text)
}

func newClient(t *testing.T, addresses ...string) *client.Client {
	t.Helper()
	c, err := client.New(client.Settings{Addresses: addresses, Caller: "web-1", AvailabilityZone: "z1", Deadline: longDeadline})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// warmUp makes the client learn the directory and open a connection.
func warmUp(t *testing.T, c *client.Client) {
	t.Helper()
	if _, err := c.Ask(context.Background(), client.NewQuestion("care", "care-desk", "lamp")); err != nil {
		t.Fatal(err)
	}
}

// deadAddress returns an address on which nothing listens.
func deadAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// Guards against an answer whose parts are dropped or mixed up on the way to the caller.
func TestAnswerAccessors(t *testing.T) {
	e := newEntry(t, answered)
	e.setDirectory(listing("30s", nil, nil, e.address()))
	c := newClient(t, e.address())
	answer, err := c.Ask(context.Background(), client.NewQuestion("care", "care-desk", "lamp", client.WithLimit(5)))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := answer.Snapshot(), uint64(7); got != want {
		t.Errorf("snapshot: got %d, want %d", got, want)
	}
	if got := answer.Hits(); len(got) != 2 || got[0].ID() != "d1" || got[0].Score() != 2.5 {
		t.Errorf("hits: got %v", got)
	}
	coverage := answer.Coverage()
	if coverage.Total() != 3 || coverage.Reflected() != 2 || coverage.Complete() {
		t.Errorf("coverage: got %+v, want 2 of 3", coverage)
	}
	missing := coverage.Missing()
	if len(missing) != 1 || missing[0].Shard() != 1 || missing[0].Reason() != "snapshot_gone" {
		t.Fatalf("missing: got %+v, want shard 1 with snapshot_gone", missing)
	}
	if got, want := missing[0].Reason().Text(), "the searcher no longer has the index snapshot"; got != want {
		t.Errorf("text: got %q, want %q", got, want)
	}
	if got, want := answer.Run(), client.Run; got != want {
		t.Errorf("run state: got %v, want %v", got, want)
	}
	if got, want := e.lastRequest["limit"], 5.0; got != want {
		t.Errorf("limit sent: got %v, want %v", got, want)
	}
}

// Guards against a repeat that could run a non-idempotent question twice, against a lost idempotent question, and
// against a "not run" verdict after an entry whose own verdict was lost.
func TestAskSequence(t *testing.T) {
	const (
		notRun  = "RUN_STATE_NOT_RUN"
		unknown = "RUN_STATE_UNKNOWN"
		ran     = "RUN_STATE_RUN"
	)
	cut := verdict{cut: true}
	missing := refuse(503, "REASON_TOKEN_MISSING", notRun, "fresh")
	tests := map[string]struct {
		nonIdempotent bool
		tokens        []string
		first         []verdict
		second        []verdict
		wantFirst     []string
		wantSecond    []string
		wantReason    client.Reason
		wantRun       client.RunState
	}{
		"idempotent answered by the first entry":           {first: []verdict{answered}, second: []verdict{answered}, wantFirst: []string{""}, wantRun: client.Run},
		"idempotent moves on after a closed connection":    {first: []verdict{cut}, second: []verdict{answered}, wantFirst: []string{""}, wantSecond: []string{""}, wantRun: client.Run},
		"idempotent lost at all entries":                   {first: []verdict{cut}, second: []verdict{cut}, wantFirst: []string{""}, wantSecond: []string{""}, wantReason: client.ReasonConnectionLost, wantRun: client.Unknown},
		"idempotent refused by limit is not repeated":      {first: []verdict{refuse(429, "REASON_OVER_RATE", notRun, "")}, second: []verdict{answered}, wantFirst: []string{""}, wantReason: "over_rate", wantRun: client.NotRun},
		"idempotent moves on from a stopping entry":        {first: []verdict{refuse(503, "REASON_STOPPING", notRun, "")}, second: []verdict{answered}, wantFirst: []string{""}, wantSecond: []string{""}, wantRun: client.Run},
		"idempotent refused after a lost verdict":          {first: []verdict{cut}, second: []verdict{refuse(429, "REASON_OVER_RATE", notRun, "")}, wantFirst: []string{""}, wantSecond: []string{""}, wantReason: "over_rate", wantRun: client.Unknown},
		"idempotent with an unreadable answer moves on":    {first: []verdict{{status: 200, body: `{"snapshot":`}}, second: []verdict{answered}, wantFirst: []string{""}, wantSecond: []string{""}, wantRun: client.Run},
		"unknown reason of a later version":                {first: []verdict{refuse(503, "REASON_OF_LATER_VERSION", notRun, "")}, second: []verdict{answered}, wantFirst: []string{""}, wantReason: "", wantRun: client.NotRun},
		"non-idempotent answered":                          {nonIdempotent: true, tokens: []string{"a"}, first: []verdict{answered}, second: []verdict{answered}, wantFirst: []string{"a"}, wantRun: client.Run},
		"non-idempotent learns that it completed":          {nonIdempotent: true, tokens: []string{"a"}, first: []verdict{cut}, second: []verdict{refuse(409, "REASON_TOKEN_COMPLETED", ran, "")}, wantFirst: []string{"a"}, wantSecond: []string{"a"}, wantReason: "token_completed", wantRun: client.Run},
		"non-idempotent learns that it runs":               {nonIdempotent: true, tokens: []string{"a"}, first: []verdict{cut}, second: []verdict{refuse(409, "REASON_TOKEN_RUNNING", unknown, "")}, wantFirst: []string{"a"}, wantSecond: []string{"a"}, wantReason: "token_running", wantRun: client.Unknown},
		"non-idempotent is not repeated after unknown":     {nonIdempotent: true, tokens: []string{"a", "b"}, first: []verdict{refuse(504, "REASON_CONNECTION_LOST", unknown, "fresh")}, second: []verdict{answered}, wantFirst: []string{"b"}, wantReason: "connection_lost", wantRun: client.Unknown},
		"non-idempotent is not repeated, issuer gone":      {nonIdempotent: true, tokens: []string{"a"}, first: []verdict{refuse(504, "REASON_TOKEN_ISSUER_GONE", unknown, "fresh")}, second: []verdict{answered}, wantFirst: []string{"a"}, wantReason: "token_issuer_gone", wantRun: client.Unknown},
		"non-idempotent without token takes the fresh one": {nonIdempotent: true, first: []verdict{missing, answered}, second: []verdict{answered}, wantFirst: []string{"", "fresh"}, wantRun: client.Run},
		"non-idempotent not run takes the fresh token":     {nonIdempotent: true, tokens: []string{"a"}, first: []verdict{refuse(409, "REASON_TOKEN_NOT_RUN", notRun, "fresh"), answered}, second: []verdict{answered}, wantFirst: []string{"a", "fresh"}, wantRun: client.Run},
		"token not run with an unknown run state":          {nonIdempotent: true, tokens: []string{"a"}, first: []verdict{refuse(409, "REASON_TOKEN_NOT_RUN", unknown, "fresh"), answered}, second: []verdict{answered}, wantFirst: []string{"a"}, wantReason: "token_not_run", wantRun: client.Unknown},
		"non-idempotent is asked anew only once":           {nonIdempotent: true, first: []verdict{missing}, second: []verdict{answered}, wantFirst: []string{"", "fresh"}, wantReason: "token_missing", wantRun: client.NotRun},
		"non-idempotent refused by limit is not repeated":  {nonIdempotent: true, tokens: []string{"a"}, first: []verdict{refuse(429, "REASON_OVER_RATE", notRun, "fresh")}, second: []verdict{answered}, wantFirst: []string{"a"}, wantReason: "over_rate", wantRun: client.NotRun},
		"non-idempotent refused after a lost verdict":      {nonIdempotent: true, tokens: []string{"a"}, first: []verdict{cut}, second: []verdict{refuse(429, "REASON_OVER_RATE", notRun, "fresh")}, wantFirst: []string{"a"}, wantSecond: []string{"a"}, wantReason: "over_rate", wantRun: client.Unknown},
		"non-idempotent, stopping after a lost verdict":    {nonIdempotent: true, tokens: []string{"a"}, first: []verdict{cut}, second: []verdict{refuse(503, "REASON_STOPPING", notRun, "fresh")}, wantFirst: []string{"a"}, wantSecond: []string{"a"}, wantReason: "stopping", wantRun: client.Unknown},
		"non-idempotent lost at all entries":               {nonIdempotent: true, tokens: []string{"a"}, first: []verdict{cut}, second: []verdict{cut}, wantFirst: []string{"a"}, wantSecond: []string{"a"}, wantReason: client.ReasonConnectionLost, wantRun: client.Unknown},
		"lost without a token cannot have run":             {nonIdempotent: true, first: []verdict{cut}, second: []verdict{cut}, wantFirst: []string{""}, wantSecond: []string{""}, wantReason: client.ReasonConnectionLost, wantRun: client.NotRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			first, second := newEntry(t, test.first...), newEntry(t, test.second...)
			first.setDirectory(listing("30s", test.tokens, nil, first.address(), second.address()))
			c := newClient(t, first.address())
			question := client.NewQuestion("dispatch", "dispatch-tool", "lamp 4")
			if test.nonIdempotent {
				question = client.NewQuestion("dispatch", "dispatch-tool", "lamp 4", client.NonIdempotent("order-1"))
			}
			answer, err := c.Ask(context.Background(), question)
			checkOutcome(t, answer, err, test.wantReason, test.wantRun)
			checkTokens(t, "first entry", first.seen(), test.wantFirst)
			checkTokens(t, "second entry", second.seen(), test.wantSecond)
		})
	}
}

func checkOutcome(t *testing.T, answer client.Answer, err error, wantReason client.Reason, wantRun client.RunState) {
	t.Helper()
	if err == nil {
		if wantReason != "" || answer.Run() != wantRun {
			t.Errorf("got an answer with state %v, want reason %q, state %v", answer.Run(), wantReason, wantRun)
		}
		return
	}
	refusal := client.AsRefusal(err)
	if refusal == nil {
		t.Fatalf("got error %v, want a refusal", err)
	}
	if refusal.Reason() != wantReason || refusal.Run() != wantRun {
		t.Errorf("got refusal %q with state %v (%v), want %q with state %v", refusal.Reason(), refusal.Run(), err, wantReason, wantRun)
	}
}

func checkTokens(t *testing.T, who string, got, want []string) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("%s: got requests with tokens %q, want %q", who, got, want)
	}
	for i := range got {
		if got[i] != want[i] {
			t.Errorf("%s: got requests with tokens %q, want %q", who, got, want)
		}
	}
}

// Guards against an automatic retry of the HTTP library: it would send a non-idempotent request twice to one entry.
func TestClosedConnectionCausesNoRepeat(t *testing.T) {
	tests := map[string]struct{ warm bool }{
		"new connection":    {},
		"reused connection": {warm: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			verdicts := []verdict{{cut: true}}
			if test.warm {
				verdicts = []verdict{answered, {cut: true}}
			}
			e := newEntry(t, verdicts...)
			e.setDirectory(listing("30s", []string{"a", "b"}, nil, e.address()))
			c := newClient(t, e.address())
			question := client.NewQuestion("dispatch", "dispatch-tool", "lamp 4", client.NonIdempotent("order-1"))
			want := len(verdicts)
			for range want - 1 {
				if _, err := c.Ask(context.Background(), question); err != nil {
					t.Fatal(err)
				}
			}
			_, err := c.Ask(context.Background(), question)
			checkOutcome(t, client.Answer{}, err, client.ReasonConnectionLost, client.Unknown)
			if got := len(e.seen()); got != want {
				t.Errorf("requests at the server: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against use of entries that the directory no longer names, and against a directory request per question.
func TestDirectoryRefresh(t *testing.T) {
	tests := map[string]struct {
		valid    string
		pause    time.Duration
		wantMost int
		wantMove bool
	}{
		"kept while valid":        {valid: "30s", wantMost: 1},
		"renewed after its time":  {valid: "0.1s", pause: 150 * time.Millisecond, wantMost: 2, wantMove: true},
		"invalid time is bounded": {valid: "-5s", pause: 150 * time.Millisecond, wantMost: 2, wantMove: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			old, replacement := newEntry(t, answered), newEntry(t, answered)
			old.setDirectory(listing(test.valid, nil, nil, old.address()))
			c := newClient(t, old.address())
			question := client.NewQuestion("care", "care-desk", "lamp")
			if _, err := c.Ask(context.Background(), question); err != nil {
				t.Fatal(err)
			}
			old.setDirectory(listing("30s", nil, nil, replacement.address()))
			time.Sleep(test.pause)
			if _, err := c.Ask(context.Background(), question); err != nil {
				t.Fatal(err)
			}
			if got := old.lookupCount(); got > test.wantMost {
				t.Errorf("directory requests: got %d, want at most %d", got, test.wantMost)
			}
			if got := len(replacement.seen()) == 1; got != test.wantMove {
				t.Errorf("asked the replacement: got %v, want %v", got, test.wantMove)
			}
		})
	}
}

// Guards against a caller that is stuck because one node is dead, cut off or resuming.
func TestDirectorySources(t *testing.T) {
	tests := map[string]struct {
		first      func(t *testing.T, other string) string
		wantSecond int
	}{
		"dead bootstrap": {first: func(t *testing.T, _ string) string { return deadAddress(t) }, wantSecond: 1},
		"node is alone": {first: func(t *testing.T, _ string) string {
			e := newEntry(t, answered)
			e.setDirectory(listing("30s", nil, map[string]any{"alone": true}, e.address()))
			return e.address()
		}, wantSecond: 1},
		"node resumes": {first: func(t *testing.T, _ string) string {
			e := newEntry(t, answered)
			e.setDirectory(listing("30s", nil, map[string]any{"resuming": true}, e.address()))
			return e.address()
		}, wantSecond: 1},
		"empty answer": {first: func(t *testing.T, _ string) string {
			e := newEntry(t, answered)
			e.setDirectory(`{}`)
			return e.address()
		}, wantSecond: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			second := newEntry(t, answered)
			second.setDirectory(listing("30s", nil, nil, second.address()))
			c := newClient(t, test.first(t, second.address()), second.address())
			if _, err := c.Ask(context.Background(), client.NewQuestion("care", "care-desk", "lamp")); err != nil {
				t.Fatal(err)
			}
			if got := len(second.seen()); got != test.wantSecond {
				t.Errorf("questions at the second node: got %d, want %d", got, test.wantSecond)
			}
		})
	}
}

// Guards against "unknown" for a non-idempotent question that was never written, since it could be asked again safely.
func TestDeadEntry(t *testing.T) {
	tests := map[string]struct {
		live       bool
		wantReason client.Reason
		wantRun    client.RunState
	}{
		"next entry answers": {live: true, wantRun: client.Run},
		"no entry answers":   {wantReason: client.ReasonUnreachable, wantRun: client.NotRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			live := newEntry(t, answered)
			addresses := []string{deadAddress(t)}
			if test.live {
				addresses = append(addresses, live.address())
			}
			live.setDirectory(listing("30s", []string{"a"}, nil, addresses...))
			c := newClient(t, live.address())
			question := client.NewQuestion("dispatch", "dispatch-tool", "lamp", client.NonIdempotent("order-1"))
			answer, err := c.Ask(context.Background(), question)
			checkOutcome(t, answer, err, test.wantReason, test.wantRun)
		})
	}
}

// Guards against tokens of a dead issuer, which would end as unknown although the question never ran.
func TestTokensOfDeadNodeAreForgotten(t *testing.T) {
	issuer, other := newEntry(t, answered), newEntry(t, answered)
	issuer.setDirectory(listing("30s", []string{"a", "b", "c"}, nil, issuer.address(), other.address()))
	c := newClient(t, issuer.address())
	question := client.NewQuestion("care", "care-desk", "lamp")
	if _, err := c.Ask(context.Background(), question); err != nil {
		t.Fatal(err)
	}
	issuer.Close()
	if _, err := c.Ask(context.Background(), question); err != nil {
		t.Fatal(err)
	}
	dispatch := client.NewQuestion("dispatch", "dispatch-tool", "lamp", client.NonIdempotent("order-1"))
	if _, err := c.Ask(context.Background(), dispatch); err != nil {
		t.Fatal(err)
	}
	checkTokens(t, "other entry", other.seen(), []string{"", ""})
}

// Guards against a question that outlives its deadline or its context, and against a repeat after the deadline.
func TestDeadlineAndCancel(t *testing.T) {
	tests := map[string]struct {
		cancel     bool
		wantReason client.Reason
	}{
		"deadline":  {wantReason: client.ReasonDeadline},
		"cancelled": {cancel: true, wantReason: client.ReasonCancelled},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			hung, idle := newEntry(t, answered, verdict{hang: true}), newEntry(t, answered)
			hung.setDirectory(listing("30s", []string{"a"}, nil, hung.address(), idle.address()))
			c := newClient(t, hung.address())
			defer close(hung.released)
			warmUp(t, c)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			deadline := client.WithDeadline(shortDeadline)
			if test.cancel {
				hung.onHang = cancel
				deadline = client.WithDeadline(longDeadline)
			}
			question := client.NewQuestion("dispatch", "dispatch-tool", "lamp", client.NonIdempotent("order-1"), deadline)
			_, err := c.Ask(ctx, question)
			checkOutcome(t, client.Answer{}, err, test.wantReason, client.Unknown)
			if got := len(idle.seen()); got != 0 {
				t.Errorf("requests at the other entry: got %d, want 0", got)
			}
		})
	}
}

// Guards against a hung entry that takes every question and lets each run into its deadline.
func TestHungEntryIsTriedLast(t *testing.T) {
	hung, live := newEntry(t, answered, verdict{hang: true}), newEntry(t, answered)
	hung.setDirectory(listing("30s", nil, nil, hung.address(), live.address()))
	c := newClient(t, hung.address())
	warmUp(t, c)
	_, err := c.Ask(context.Background(), client.NewQuestion("care", "care-desk", "lamp", client.WithDeadline(shortDeadline)))
	checkOutcome(t, client.Answer{}, err, client.ReasonDeadline, client.Unknown)
	if _, err := c.Ask(context.Background(), client.NewQuestion("care", "care-desk", "lamp")); err != nil {
		t.Fatal(err)
	}
	if got := len(live.seen()); got != 1 {
		t.Errorf("questions at the live entry: got %d, want 1", got)
	}
}

// Guards against a client that can never find an entry.
func TestNewNeedsAnAddress(t *testing.T) {
	if _, err := client.New(client.Settings{Caller: "web-1"}); err == nil {
		t.Error("got no error, want one")
	}
}
