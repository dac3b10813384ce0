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

// longDeadline allows for a busy machine; no test waits until it passes. Questions that run into shortDeadline are sent on a
// connection that is already open.
const (
	longDeadline  = 10 * time.Second
	shortDeadline = 500 * time.Millisecond
)

const wholeAnswer = `{"snapshot":"7","hits":[{"id":"d1","score":2.5},{"id":"d2","score":1}],` +
	`"coverage":{"total":3,"reflected":2,"missing":[{"shard":1,"reason":"REASON_SNAPSHOT_GONE"}]},"run":"RUN_STATE_RUN"}`

// TestMain guards against goroutines that outlive the client. The cleaners of fasthttp end on their own within the idle timeout after
// the last connection was closed.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
	)
}

// scriptedReply is the reaction of a fake entry to one query.
type scriptedReply struct {
	status int
	body   string
	// cut closes the connection after the request has been read.
	cut bool
	// hang holds the request until the client closes the connection or released is closed.
	hang bool
}

func refusalReply(status int, reason, run, fresh string) scriptedReply {
	body, _ := json.Marshal(map[string]string{"reason": reason, "run": run, "freshToken": fresh})
	return scriptedReply{status: status, body: string(body)}
}

var answerReply = scriptedReply{status: http.StatusOK, body: wholeAnswer}

// fakeEntry is a fake node that records the tokens of the queries it receives.
type fakeEntry struct {
	*httptest.Server
	mu          sync.Mutex
	replies     []scriptedReply
	directory   string
	tokens      []string
	lookups     int
	lastRequest map[string]any
	// onHang is called when a request is held. It may be nil, and must be set before the request is sent.
	onHang func()
	// released is closed to end the held requests, for which Client.Close waits.
	released chan struct{}
}

func newFakeEntry(t *testing.T, replies ...scriptedReply) *fakeEntry {
	t.Helper()
	e := &fakeEntry{replies: replies, released: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", e.serveEntries)
	mux.HandleFunc("POST /v1/query", e.serveQuery)
	e.Server = httptest.NewServer(mux)
	t.Cleanup(e.Close)
	return e
}

func (e *fakeEntry) address() string { return e.Listener.Addr().String() }

func (e *fakeEntry) serveEntries(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lookups++
	io.WriteString(w, e.directory)
}

func (e *fakeEntry) serveQuery(w http.ResponseWriter, r *http.Request) {
	var query map[string]any
	if err := json.NewDecoder(r.Body).Decode(&query); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.reply(w, r, e.record(query))
}

func (e *fakeEntry) record(query map[string]any) scriptedReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	text, _ := query["token"].(string)
	e.tokens = append(e.tokens, text)
	e.lastRequest = query
	return e.replies[min(len(e.tokens), len(e.replies))-1]
}

func (e *fakeEntry) reply(w http.ResponseWriter, r *http.Request, v scriptedReply) {
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

func (e *fakeEntry) receivedTokens() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string{}, e.tokens...)
}

func (e *fakeEntry) setDirectoryAnswer(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.directory = text
}

func (e *fakeEntry) lookupCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lookups
}

// directoryAnswer returns a directory answer in JSON.
func directoryAnswer(valid string, tokens []string, extra map[string]any, addresses ...string) string {
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

// warmUp makes the client cache the directory and open a connection.
func warmUp(t *testing.T, c *client.Client) {
	t.Helper()
	if _, err := c.Ask(context.Background(), client.NewQuestion("care", "care-desk", "lamp")); err != nil {
		t.Fatal(err)
	}
}

// unusedAddress returns an address on which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// Guards against an answer whose parts are lost or mixed up by the client.
func TestAnswerAccessors(t *testing.T) {
	e := newFakeEntry(t, answerReply)
	e.setDirectoryAnswer(directoryAnswer("30s", nil, nil, e.address()))
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

// Guards against a retry that could run a non-idempotent question twice, against an idempotent question that is not retried, and
// against the state "not run" after an entry whose reply was lost.
func TestAskSequence(t *testing.T) {
	const (
		notRun  = "RUN_STATE_NOT_RUN"
		unknown = "RUN_STATE_UNKNOWN"
		ran     = "RUN_STATE_RUN"
	)
	cut := scriptedReply{cut: true}
	missing := refusalReply(503, "REASON_TOKEN_MISSING", notRun, "fresh")
	tests := map[string]struct {
		nonIdempotent bool
		tokens        []string
		first         []scriptedReply
		second        []scriptedReply
		wantFirst     []string
		wantSecond    []string
		wantReason    client.Reason
		wantRun       client.RunState
	}{
		"idempotent, answered by the first entry":                  {first: []scriptedReply{answerReply}, second: []scriptedReply{answerReply}, wantFirst: []string{""}, wantRun: client.Run},
		"idempotent, retried after a closed connection":            {first: []scriptedReply{cut}, second: []scriptedReply{answerReply}, wantFirst: []string{""}, wantSecond: []string{""}, wantRun: client.Run},
		"idempotent, lost at all entries":                          {first: []scriptedReply{cut}, second: []scriptedReply{cut}, wantFirst: []string{""}, wantSecond: []string{""}, wantReason: client.ReasonConnectionLost, wantRun: client.Unknown},
		"idempotent, refused by a limit is not retried":            {first: []scriptedReply{refusalReply(429, "REASON_OVER_RATE", notRun, "")}, second: []scriptedReply{answerReply}, wantFirst: []string{""}, wantReason: "over_rate", wantRun: client.NotRun},
		"idempotent, retried after a stopping entry":               {first: []scriptedReply{refusalReply(503, "REASON_STOPPING", notRun, "")}, second: []scriptedReply{answerReply}, wantFirst: []string{""}, wantSecond: []string{""}, wantRun: client.Run},
		"idempotent, refused after a lost reply":                   {first: []scriptedReply{cut}, second: []scriptedReply{refusalReply(429, "REASON_OVER_RATE", notRun, "")}, wantFirst: []string{""}, wantSecond: []string{""}, wantReason: "over_rate", wantRun: client.Unknown},
		"idempotent, retried after a malformed answer":             {first: []scriptedReply{{status: 200, body: `{"snapshot":`}}, second: []scriptedReply{answerReply}, wantFirst: []string{""}, wantSecond: []string{""}, wantRun: client.Run},
		"unknown reason of a later version":                        {first: []scriptedReply{refusalReply(503, "REASON_OF_LATER_VERSION", notRun, "")}, second: []scriptedReply{answerReply}, wantFirst: []string{""}, wantReason: "", wantRun: client.NotRun},
		"non-idempotent, answered":                                 {nonIdempotent: true, tokens: []string{"a"}, first: []scriptedReply{answerReply}, second: []scriptedReply{answerReply}, wantFirst: []string{"a"}, wantRun: client.Run},
		"non-idempotent, refused since it completed":               {nonIdempotent: true, tokens: []string{"a"}, first: []scriptedReply{cut}, second: []scriptedReply{refusalReply(409, "REASON_TOKEN_COMPLETED", ran, "")}, wantFirst: []string{"a"}, wantSecond: []string{"a"}, wantReason: "token_completed", wantRun: client.Run},
		"non-idempotent, refused since it is running":              {nonIdempotent: true, tokens: []string{"a"}, first: []scriptedReply{cut}, second: []scriptedReply{refusalReply(409, "REASON_TOKEN_RUNNING", unknown, "")}, wantFirst: []string{"a"}, wantSecond: []string{"a"}, wantReason: "token_running", wantRun: client.Unknown},
		"non-idempotent, not retried after unknown":                {nonIdempotent: true, tokens: []string{"a", "b"}, first: []scriptedReply{refusalReply(504, "REASON_CONNECTION_LOST", unknown, "fresh")}, second: []scriptedReply{answerReply}, wantFirst: []string{"b"}, wantReason: "connection_lost", wantRun: client.Unknown},
		"non-idempotent, not retried, issuer gone":                 {nonIdempotent: true, tokens: []string{"a"}, first: []scriptedReply{refusalReply(504, "REASON_TOKEN_ISSUER_GONE", unknown, "fresh")}, second: []scriptedReply{answerReply}, wantFirst: []string{"a"}, wantReason: "token_issuer_gone", wantRun: client.Unknown},
		"non-idempotent, sent with the fresh token if it had none": {nonIdempotent: true, first: []scriptedReply{missing, answerReply}, second: []scriptedReply{answerReply}, wantFirst: []string{"", "fresh"}, wantRun: client.Run},
		"non-idempotent, sent with the fresh token if not run":     {nonIdempotent: true, tokens: []string{"a"}, first: []scriptedReply{refusalReply(409, "REASON_TOKEN_NOT_RUN", notRun, "fresh"), answerReply}, second: []scriptedReply{answerReply}, wantFirst: []string{"a", "fresh"}, wantRun: client.Run},
		"token not run with an unknown run state":                  {nonIdempotent: true, tokens: []string{"a"}, first: []scriptedReply{refusalReply(409, "REASON_TOKEN_NOT_RUN", unknown, "fresh"), answerReply}, second: []scriptedReply{answerReply}, wantFirst: []string{"a"}, wantReason: "token_not_run", wantRun: client.Unknown},
		"non-idempotent, sent with a fresh token only once":        {nonIdempotent: true, first: []scriptedReply{missing}, second: []scriptedReply{answerReply}, wantFirst: []string{"", "fresh"}, wantReason: "token_missing", wantRun: client.NotRun},
		"non-idempotent, refused by a limit is not retried":        {nonIdempotent: true, tokens: []string{"a"}, first: []scriptedReply{refusalReply(429, "REASON_OVER_RATE", notRun, "fresh")}, second: []scriptedReply{answerReply}, wantFirst: []string{"a"}, wantReason: "over_rate", wantRun: client.NotRun},
		"non-idempotent, refused after a lost reply":               {nonIdempotent: true, tokens: []string{"a"}, first: []scriptedReply{cut}, second: []scriptedReply{refusalReply(429, "REASON_OVER_RATE", notRun, "fresh")}, wantFirst: []string{"a"}, wantSecond: []string{"a"}, wantReason: "over_rate", wantRun: client.Unknown},
		"non-idempotent, stopping after a lost reply":              {nonIdempotent: true, tokens: []string{"a"}, first: []scriptedReply{cut}, second: []scriptedReply{refusalReply(503, "REASON_STOPPING", notRun, "fresh")}, wantFirst: []string{"a"}, wantSecond: []string{"a"}, wantReason: "stopping", wantRun: client.Unknown},
		"non-idempotent, lost at all entries":                      {nonIdempotent: true, tokens: []string{"a"}, first: []scriptedReply{cut}, second: []scriptedReply{cut}, wantFirst: []string{"a"}, wantSecond: []string{"a"}, wantReason: client.ReasonConnectionLost, wantRun: client.Unknown},
		"non-idempotent, lost without a token cannot have run":     {nonIdempotent: true, first: []scriptedReply{cut}, second: []scriptedReply{cut}, wantFirst: []string{""}, wantSecond: []string{""}, wantReason: client.ReasonConnectionLost, wantRun: client.NotRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			first, second := newFakeEntry(t, test.first...), newFakeEntry(t, test.second...)
			first.setDirectoryAnswer(directoryAnswer("30s", test.tokens, nil, first.address(), second.address()))
			c := newClient(t, first.address())
			question := client.NewQuestion("dispatch", "dispatch-tool", "lamp 4")
			if test.nonIdempotent {
				question = client.NewQuestion("dispatch", "dispatch-tool", "lamp 4", client.NonIdempotent("order-1"))
			}
			answer, err := c.Ask(context.Background(), question)
			checkOutcome(t, answer, err, test.wantReason, test.wantRun)
			checkTokens(t, "first entry", first.receivedTokens(), test.wantFirst)
			checkTokens(t, "second entry", second.receivedTokens(), test.wantSecond)
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

// Guards against an automatic retry by the HTTP library, which would send a non-idempotent request twice to one entry.
func TestClosedConnectionCausesNoRepeat(t *testing.T) {
	tests := map[string]struct{ warm bool }{
		"new connection":    {},
		"reused connection": {warm: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			replies := []scriptedReply{{cut: true}}
			if test.warm {
				replies = []scriptedReply{answerReply, {cut: true}}
			}
			e := newFakeEntry(t, replies...)
			e.setDirectoryAnswer(directoryAnswer("30s", []string{"a", "b"}, nil, e.address()))
			c := newClient(t, e.address())
			question := client.NewQuestion("dispatch", "dispatch-tool", "lamp 4", client.NonIdempotent("order-1"))
			want := len(replies)
			for range want - 1 {
				if _, err := c.Ask(context.Background(), question); err != nil {
					t.Fatal(err)
				}
			}
			_, err := c.Ask(context.Background(), question)
			checkOutcome(t, client.Answer{}, err, client.ReasonConnectionLost, client.Unknown)
			if got := len(e.receivedTokens()); got != want {
				t.Errorf("requests at the server: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against the use of entries that the directory no longer lists, and against a directory request for every question.
func TestDirectoryRefresh(t *testing.T) {
	tests := map[string]struct {
		valid    string
		pause    time.Duration
		wantMost int
		wantMove bool
	}{
		"cached while valid":          {valid: "30s", wantMost: 1},
		"refreshed after it expired":  {valid: "0.1s", pause: 150 * time.Millisecond, wantMost: 2, wantMove: true},
		"invalid validity is bounded": {valid: "-5s", pause: 150 * time.Millisecond, wantMost: 2, wantMove: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			old, replacement := newFakeEntry(t, answerReply), newFakeEntry(t, answerReply)
			old.setDirectoryAnswer(directoryAnswer(test.valid, nil, nil, old.address()))
			c := newClient(t, old.address())
			question := client.NewQuestion("care", "care-desk", "lamp")
			if _, err := c.Ask(context.Background(), question); err != nil {
				t.Fatal(err)
			}
			old.setDirectoryAnswer(directoryAnswer("30s", nil, nil, replacement.address()))
			time.Sleep(test.pause)
			if _, err := c.Ask(context.Background(), question); err != nil {
				t.Fatal(err)
			}
			if got := old.lookupCount(); got > test.wantMost {
				t.Errorf("directory requests: got %d, want at most %d", got, test.wantMost)
			}
			if got := len(replacement.receivedTokens()) == 1; got != test.wantMove {
				t.Errorf("asked the replacement: got %v, want %v", got, test.wantMove)
			}
		})
	}
}

// Guards against a caller that gets no answer because one node is down, isolated or resuming.
func TestDirectorySources(t *testing.T) {
	tests := map[string]struct {
		first      func(t *testing.T, other string) string
		wantSecond int
	}{
		"configured node is down": {first: func(t *testing.T, _ string) string { return unusedAddress(t) }, wantSecond: 1},
		"node is alone": {first: func(t *testing.T, _ string) string {
			e := newFakeEntry(t, answerReply)
			e.setDirectoryAnswer(directoryAnswer("30s", nil, map[string]any{"alone": true}, e.address()))
			return e.address()
		}, wantSecond: 1},
		"node is resuming": {first: func(t *testing.T, _ string) string {
			e := newFakeEntry(t, answerReply)
			e.setDirectoryAnswer(directoryAnswer("30s", nil, map[string]any{"resuming": true}, e.address()))
			return e.address()
		}, wantSecond: 1},
		"empty answer": {first: func(t *testing.T, _ string) string {
			e := newFakeEntry(t, answerReply)
			e.setDirectoryAnswer(`{}`)
			return e.address()
		}, wantSecond: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			second := newFakeEntry(t, answerReply)
			second.setDirectoryAnswer(directoryAnswer("30s", nil, nil, second.address()))
			c := newClient(t, test.first(t, second.address()), second.address())
			if _, err := c.Ask(context.Background(), client.NewQuestion("care", "care-desk", "lamp")); err != nil {
				t.Fatal(err)
			}
			if got := len(second.receivedTokens()); got != test.wantSecond {
				t.Errorf("questions at the second node: got %d, want %d", got, test.wantSecond)
			}
		})
	}
}

// Guards against the state "unknown" for a non-idempotent question that was never sent and could therefore be retried safely.
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
			live := newFakeEntry(t, answerReply)
			addresses := []string{unusedAddress(t)}
			if test.live {
				addresses = append(addresses, live.address())
			}
			live.setDirectoryAnswer(directoryAnswer("30s", []string{"a"}, nil, addresses...))
			c := newClient(t, live.address())
			question := client.NewQuestion("dispatch", "dispatch-tool", "lamp", client.NonIdempotent("order-1"))
			answer, err := c.Ask(context.Background(), question)
			checkOutcome(t, answer, err, test.wantReason, test.wantRun)
		})
	}
}

// Guards against the use of tokens whose issuer is down. They would lead to the state "unknown" although the question never ran.
func TestTokensOfDeadNodeAreForgotten(t *testing.T) {
	issuer, other := newFakeEntry(t, answerReply), newFakeEntry(t, answerReply)
	issuer.setDirectoryAnswer(directoryAnswer("30s", []string{"a", "b", "c"}, nil, issuer.address(), other.address()))
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
	checkTokens(t, "other entry", other.receivedTokens(), []string{"", ""})
}

// Guards against a question that outlives its deadline or its context, and against a retry after the deadline.
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
			hung, idle := newFakeEntry(t, answerReply, scriptedReply{hang: true}), newFakeEntry(t, answerReply)
			hung.setDirectoryAnswer(directoryAnswer("30s", []string{"a"}, nil, hung.address(), idle.address()))
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
			if got := len(idle.receivedTokens()); got != 0 {
				t.Errorf("requests at the other entry: got %d, want 0", got)
			}
		})
	}
}

// Guards against an unresponsive entry that receives every question and lets each one run into its deadline.
func TestHungEntryIsTriedLast(t *testing.T) {
	hung, live := newFakeEntry(t, answerReply, scriptedReply{hang: true}), newFakeEntry(t, answerReply)
	hung.setDirectoryAnswer(directoryAnswer("30s", nil, nil, hung.address(), live.address()))
	c := newClient(t, hung.address())
	warmUp(t, c)
	_, err := c.Ask(context.Background(), client.NewQuestion("care", "care-desk", "lamp", client.WithDeadline(shortDeadline)))
	checkOutcome(t, client.Answer{}, err, client.ReasonDeadline, client.Unknown)
	if _, err := c.Ask(context.Background(), client.NewQuestion("care", "care-desk", "lamp")); err != nil {
		t.Fatal(err)
	}
	if got := len(live.receivedTokens()); got != 1 {
		t.Errorf("questions at the live entry: got %d, want 1", got)
	}
}

// Guards against a client that cannot discover any entry.
func TestNewNeedsAnAddress(t *testing.T) {
	if _, err := client.New(client.Settings{Caller: "web-1"}); err == nil {
		t.Error("got no error, want one")
	}
}
