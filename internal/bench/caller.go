package bench

import (
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/fireflylanding/fireflylanding/internal/strict"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	queryPath = "/v1/query"
	// callerConnections is the maximum number of connections to each entry. It exceeds the number of queries in flight.
	callerConnections = 8192
	// callerGrace is the time after the deadline for which a caller still waits for the answer that states the missing shards.
	callerGrace = 500 * time.Millisecond
	hitLimit    = 10
	// maxAnswerBytes is the maximum size of an answer.
	maxAnswerBytes = 16 << 20
)

// caller sends queries to the entries in turn, directly over HTTP and without retries.
type caller struct {
	entries []*fasthttp.HostClient
	next    atomic.Uint64
	// delay is the emulated one-way latency between the caller and the entries.
	delay time.Duration
}

func newCaller(addresses []string) *caller {
	c := &caller{}
	answers := strict.NewTransport(maxAnswerBytes)
	for _, address := range addresses {
		c.entries = append(c.entries, &fasthttp.HostClient{
			Addr:                      address,
			MaxConns:                  callerConnections,
			MaxIdemponentCallAttempts: 1,
			Transport:                 answers,
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

// record is one presentation of a query with its outcome.
type record struct {
	load *Load
	// intended is the scheduled send time, as an offset from the start of the trial; lag is the delay with which the query was sent.
	intended time.Duration
	lag      time.Duration
	// latency is the time from the intended send time to the answer.
	latency time.Duration
	query   *wire.Query
	body    []byte
	err     error
	// repeated is set for a further presentation of the same query, which is checked but not measured.
	repeated bool
	// answer is decoded from body after the trial, so that decoding uses no CPU time while the system under test runs. It
	// is nil if there is no answer.
	answer *wire.Answer
}

// send sends a query to the next entry and returns the body of the answer.
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

// sendNonIdempotent presents a non-idempotent query without a token, then with the token from the answer, and once more with
// the same token if the outcome is unknown or resend is set. It returns one record for each presentation except the first, or
// just the first if the answer has no token.
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

// present sends the record's query and stores the answer in the record.
func (c *caller) present(r *record, startedAt time.Time) *wire.Answer {
	r.answer = nil
	r.body, r.err = c.send(r.query)
	r.latency = time.Since(startedAt) - r.intended
	r.decode()
	return r.answer
}

// decode parses the answer from the body, unless it is already parsed or the query failed.
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
