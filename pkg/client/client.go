// Package client asks questions of the system on behalf of a caller. It finds the entries through the directory, keeps
// its answer for the stated time, and repeats a question only where that cannot run it twice.
package client

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	queryPath = "/v1/query"

	// DefaultDeadline is the time that a question waits when neither it nor its context names a deadline.
	DefaultDeadline = 360 * time.Millisecond
	// DefaultConnectTimeout bounds the opening of a connection, so that a dead entry leaves time for the next.
	DefaultConnectTimeout = 150 * time.Millisecond

	// failedPause is the time for which an entry that failed is tried last.
	failedPause = 2 * time.Second
	// maxAnswerBytes bounds the size of an answer.
	maxAnswerBytes = 16 << 20
	// idleTimeout closes unused connections before an entry does, since a request on a closed one may count as lost.
	idleTimeout = 5 * time.Second
)

// Settings configure a client.
type Settings struct {
	// Addresses are the nodes to ask for the directory first. At least one is required.
	Addresses []string
	// Caller names the caller to the directory, which spreads callers by this name.
	Caller string
	// AvailabilityZone is the zone of the caller; entries in it come first.
	AvailabilityZone string
	// Deadline is the time that a question waits by default; 0 means DefaultDeadline.
	Deadline time.Duration
	// ConnectTimeout bounds the opening of a connection; 0 means DefaultConnectTimeout.
	ConnectTimeout time.Duration
}

// Client asks questions. It is safe for concurrent use; close it after the last question.
type Client struct {
	settings Settings
	http     *fasthttp.Client
	calls    conc.WaitGroup
	known    atomic.Pointer[directory]
	// renewing holds one element while a caller renews the directory.
	renewing chan struct{}
	tokens   tokens
	// failed holds the time.Time until which an address is tried last.
	failed sync.Map
}

// New returns a client. It returns an error when no address is given.
func New(settings Settings) (*Client, error) {
	if len(settings.Addresses) == 0 {
		return nil, errors.New("a client needs the address of at least one node")
	}
	if settings.Deadline <= 0 {
		settings.Deadline = DefaultDeadline
	}
	if settings.ConnectTimeout <= 0 {
		settings.ConnectTimeout = DefaultConnectTimeout
	}
	return &Client{settings: settings, http: newHTTP(settings.ConnectTimeout), renewing: make(chan struct{}, 1)}, nil
}

// newHTTP returns an HTTP client that sends each request once.
func newHTTP(connectTimeout time.Duration) *fasthttp.Client {
	return &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       maxAnswerBytes,
		MaxIdleConnDuration:       idleTimeout,
		Dial: func(address string) (net.Conn, error) {
			connection, err := net.DialTimeout("tcp", address, connectTimeout)
			if err != nil {
				return nil, &dialError{cause: err}
			}
			return connection, nil
		},
	}
}

// Close waits for requests in flight, which end by their deadlines, and closes the connections.
func (c *Client) Close() {
	c.calls.Wait()
	c.http.CloseIdleConnections()
}

// Ask sends a question and returns its answer. The error is a *Refusal.
//
// An idempotent question goes to the next entry after a connection failure. A non-idempotent question is resent only
// with the same request token, which its issuer runs at most once, and is asked anew with a fresh token only after a
// refusal that says that it was not run.
func (c *Client) Ask(ctx context.Context, q Question) (Answer, error) {
	ctx, cancel := q.withDeadline(ctx, time.Now(), c.settings.Deadline)
	defer cancel()
	entries, err := c.directory(ctx, time.Now())
	if err != nil {
		return Answer{}, &Refusal{run: NotRun, reason: ReasonUnreachable, cause: err}
	}
	first := ""
	if q.nonIdempotent {
		first = c.tokens.take()
	}
	answer, refused := c.present(ctx, entries, q, first)
	if refused == nil {
		return answer, nil
	}
	if !refused.renewable(q) {
		c.tokens.put(refused.entry, refused.freshToken)
		return Answer{}, refused.refusal
	}
	answer, refused = c.present(ctx, entries, q, c.fresh(refused))
	if refused == nil {
		return answer, nil
	}
	return Answer{}, refused.refusal
}

// fresh returns a token that was never presented.
func (c *Client) fresh(r *refused) string {
	if r.freshToken != "" {
		return r.freshToken
	}
	return c.tokens.take()
}

// refused is a refusal with what the client needs to go on.
type refused struct {
	refusal    *Refusal
	freshToken string
	entry      string
}

// renewable reports whether the question was certainly not run and needs a fresh token.
func (r *refused) renewable(q Question) bool {
	if !q.nonIdempotent || r.refusal.run != NotRun {
		return false
	}
	return r.refusal.reason == tokenMissing || r.refusal.reason == tokenNotRun
}

// Reasons of entries that the client acts on.
var (
	tokenMissing = newReason(wire.Reason_REASON_TOKEN_MISSING)
	tokenNotRun  = newReason(wire.Reason_REASON_TOKEN_NOT_RUN)
	tokenInvalid = newReason(wire.Reason_REASON_TOKEN_INVALID)
	stopping     = newReason(wire.Reason_REASON_STOPPING)
	notReady     = newReason(wire.Reason_REASON_NOT_READY)
)

// present sends the question to one entry after the other, always with the same token, until one answers.
func (c *Client) present(ctx context.Context, entries *directory, q Question, token string) (Answer, *refused) {
	// mayHaveRun is set once a request was written whose verdict was lost.
	mayHaveRun := false
	last := &refused{refusal: &Refusal{run: NotRun, reason: ReasonUnreachable}}
	for _, address := range c.order(entries.addresses, time.Now()) {
		got, err := c.send(ctx, address, q, token)
		if err != nil {
			mayHaveRun = mayHaveRun || q.couldRun(token) && !isDialError(err)
			last = &refused{refusal: newFailure(ctx, mayHaveRun, err)}
			if !errors.Is(ctx.Err(), context.Canceled) {
				c.fail(address, time.Now())
			}
			if isOver(ctx, err) {
				break
			}
			continue
		}
		if got.refusal == nil {
			c.tokens.put(address, got.freshToken)
			return got.answer, nil
		}
		last = &refused{refusal: got.refusal.after(mayHaveRun), freshToken: got.freshToken, entry: address}
		if !got.refusal.passesOn() {
			break
		}
	}
	return Answer{}, last
}

// couldRun reports whether an entry may run the question: a non-idempotent one without a token is always refused.
func (q Question) couldRun(token string) bool { return !q.nonIdempotent || token != "" }

// isOver reports whether the time for the question has passed or its context was cancelled.
func isOver(ctx context.Context, err error) bool {
	return ctx.Err() != nil || errors.Is(err, fasthttp.ErrTimeout)
}

// passesOn reports whether the refusal concerns only the entry that gave it.
func (r *Refusal) passesOn() bool {
	return r.run == NotRun && (r.reason == stopping || r.reason == notReady)
}

// after weakens "not run" to unknown when an earlier entry may have run the question. Only the issuer's verdict on the
// token stands, since the other reasons tell what one entry did, not what became of the token.
func (r *Refusal) after(mayHaveRun bool) *Refusal {
	if !mayHaveRun || r.run != NotRun || r.reason == tokenNotRun || r.reason == tokenInvalid || r.reason == tokenMissing {
		return r
	}
	return &Refusal{run: Unknown, reason: r.reason, detail: r.detail, cause: r.cause}
}

// newFailure returns the refusal of a request without an answer.
func newFailure(ctx context.Context, mayHaveRun bool, err error) *Refusal {
	refusal := &Refusal{run: NotRun, reason: ReasonUnreachable, cause: err}
	if mayHaveRun {
		refusal.run = Unknown
	}
	if !isDialError(err) {
		refusal.reason = ReasonConnectionLost
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		refusal.reason = ReasonCancelled
	case ctx.Err() != nil || errors.Is(err, fasthttp.ErrTimeout):
		refusal.reason = ReasonDeadline
	case errors.Is(err, errUnreadable):
		refusal.reason = ReasonBadAnswer
	}
	return refusal
}

// errUnreadable marks an answer that is not in the expected form.
var errUnreadable = errors.New("unreadable answer")

// reception is what an entry answered: an answer or a refusal.
type reception struct {
	answer     Answer
	refusal    *Refusal
	freshToken string
}

// send sends the question to one entry, once.
func (c *Client) send(ctx context.Context, address string, q Question, token string) (reception, error) {
	deadline, _ := ctx.Deadline()
	body, err := protojson.Marshal(q.message(token, time.Until(deadline)))
	if err != nil {
		return reception{}, &dialError{cause: err}
	}
	got, err := c.roundTrip(ctx, fasthttp.MethodPost, "http://"+address+queryPath, body)
	if err != nil {
		return reception{}, err
	}
	message := &wire.Answer{}
	if err := readOptions.Unmarshal(got.body, message); err != nil {
		return reception{}, errors.Mark(errors.Wrapf(err, "status %d", got.status), errUnreadable)
	}
	if got.status == fasthttp.StatusOK {
		return reception{answer: newAnswer(message), freshToken: message.GetFreshToken()}, nil
	}
	refusal := &Refusal{run: newRunState(message.GetRun()), reason: newReason(message.GetReason()), detail: message.GetDetail()}
	return reception{refusal: refusal, freshToken: message.GetFreshToken()}, nil
}

// response is an HTTP response.
type response struct {
	status int
	body   []byte
	err    error
}

// roundTrip performs one HTTP request. It returns early when ctx ends; the request then ends at its deadline.
func (c *Client) roundTrip(ctx context.Context, method, uri string, body []byte) (response, error) {
	if err := ctx.Err(); err != nil {
		return response{}, &dialError{cause: err}
	}
	done := make(chan response, 1)
	deadline, _ := ctx.Deadline()
	c.calls.Go(func() { done <- c.do(method, uri, body, deadline) })
	select {
	case got := <-done:
		return got, got.err
	case <-ctx.Done():
		return response{}, ctx.Err()
	}
}

func (c *Client) do(method, uri string, body []byte, deadline time.Time) response {
	request, reply := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(reply)
	request.Header.SetMethod(method)
	request.SetRequestURI(uri)
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBody(body)
	}
	if err := c.http.DoDeadline(request, reply, deadline); err != nil {
		return response{err: err}
	}
	return response{status: reply.StatusCode(), body: append([]byte(nil), reply.Body()...)}
}

// order moves addresses that failed recently to the end.
func (c *Client) order(addresses []string, now time.Time) []string {
	var good, bad []string
	for _, address := range addresses {
		if until, ok := c.failed.Load(address); ok && now.Before(until.(time.Time)) {
			bad = append(bad, address)
			continue
		}
		good = append(good, address)
	}
	return append(good, bad...)
}

// fail records that an address did not answer, and forgets the tokens that it gave.
func (c *Client) fail(address string, now time.Time) {
	c.failed.Store(address, now.Add(failedPause))
	c.tokens.forget(address)
}

// dialError is the error of a request that was never written.
type dialError struct{ cause error }

// Error returns the text of the cause.
func (e *dialError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.cause }

func isDialError(err error) bool {
	var dial *dialError
	return errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns)
}
