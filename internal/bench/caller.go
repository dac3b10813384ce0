package bench

import (
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	queryPath = "/v1/query"
	// callerConnections is the number of connections to each entry, beyond all queries in flight.
	callerConnections = 8192
	// callerGrace is the time beyond the deadline that a caller waits for the statement of what is missing.
	callerGrace = 500 * time.Millisecond
	hitLimit    = 10
)

// caller sends queries to the entries in turn, straight over HTTP.
type caller struct {
	entries []*fasthttp.HostClient
	next    atomic.Uint64
	// delay is the emulated one-way latency between the caller and the entries.
	delay time.Duration
}

func newCaller(addresses []string) *caller {
	c := &caller{}
	for _, address := range addresses {
		c.entries = append(c.entries, &fasthttp.HostClient{
			Addr:                      address,
			MaxConns:                  callerConnections,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		})
	}
	return c
}

func (c *caller) close() {
	for _, e := range c.entries {
		e.CloseIdleConnections()
	}
}

// record is one presentation of a query and what came of it.
type record struct {
	load *Load
	// intended is when the query was to be sent, since the start of the trial; lag is by how much it was sent late.
	intended time.Duration
	lag      time.Duration
	// latency counts from the intended send time to the answer.
	latency time.Duration
	query   *wire.Query
	body    []byte
	err     error
	// repeated marks a further presentation, which is checked but not measured.
	repeated bool
	// answer is decoded from body after the trial, so that decoding takes no time from the system under test. It is
	// nil when there was none.
	answer *wire.Answer
}

// send presents a query to the next entry and returns the body of its answer.
func (c *caller) send(query *wire.Query) ([]byte, error) {
	body, err := protojson.Marshal(query)
	if err != nil {
		return nil, err
	}
	entry := c.entries[c.next.Add(1)%uint64(len(c.entries))]
	request, reply := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(reply)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + entry.Addr + queryPath)
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(body)
	time.Sleep(c.delay)
	defer time.Sleep(c.delay)
	if err := entry.DoTimeout(request, reply, query.GetDeadline().AsDuration()+callerGrace); err != nil {
		return nil, err
	}
	return append([]byte(nil), reply.Body()...), nil
}

// sendNonIdempotent presents a non-idempotent query without a token, then with the token that it is given, and again with the
// same token when the outcome is unknown or resend is set. It returns one record for each presentation but the first.
func (c *caller) sendNonIdempotent(first record, startedAt time.Time, resend bool) []record {
	answer := c.present(&first, startedAt)
	if answer.GetFreshToken() == "" {
		return []record{first}
	}
	second := first
	second.query = withToken(first.query, answer.GetFreshToken())
	answer = c.present(&second, startedAt)
	records := []record{second}
	if resend || answer == nil || answer.GetRun() == wire.RunState_RUN_STATE_UNKNOWN {
		third := second
		third.repeated = true
		c.present(&third, startedAt)
		records = append(records, third)
	}
	return records
}

// present sends the record's query and notes the answer in it.
func (c *caller) present(r *record, startedAt time.Time) *wire.Answer {
	r.answer = nil
	r.body, r.err = c.send(r.query)
	r.latency = time.Since(startedAt) - r.intended
	r.decode()
	return r.answer
}

// decode reads the answer from the body.
func (r *record) decode() {
	if r.err != nil || r.answer != nil {
		return
	}
	answer := &wire.Answer{}
	if r.err = protojson.Unmarshal(r.body, answer); r.err == nil {
		r.answer = answer
	}
}

func newQuery(l *Load, text string) *wire.Query {
	query := wire.Query_builder{
		Plan:       l.Plan,
		Collection: collection,
		Query:      text,
		Deadline:   durationpb.New(l.Deadline),
		Limit:      hitLimit,
	}
	if l.NonIdempotent {
		query.NonIdempotent = true
		query.Key = text
	}
	return query.Build()
}

func withToken(query *wire.Query, token string) *wire.Query {
	next := wire.Query_builder{
		Plan:          query.GetPlan(),
		Collection:    query.GetCollection(),
		Query:         query.GetQuery(),
		Key:           query.GetKey(),
		NonIdempotent: query.GetNonIdempotent(),
		Deadline:      query.GetDeadline(),
		Limit:         query.GetLimit(),
		Token:         token,
	}
	return next.Build()
}
