// Package client sends questions to the query tier on behalf of a caller. It discovers the entries through the directory, caches the
// directory's answer for its validity, and retries a non-idempotent question only where that cannot run it twice.
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

	"github.com/fireflylanding/fireflylanding/internal/meter"
	"github.com/fireflylanding/fireflylanding/internal/strict"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	queryPath = "/v1/query"

	// DefaultDeadline is the time that a question waits if neither the question nor its context sets a deadline.
	DefaultDeadline = 360 * time.Millisecond
	// DefaultConnectTimeout is the maximum time to open a connection. It is short so that a failed entry leaves time to try the next.
	DefaultConnectTimeout = 150 * time.Millisecond

	// failurePenalty is the time for which an entry is tried last after it failed.
	failurePenalty = 2 * time.Second
	// maxAnswerBytes is the maximum size of an answer, and answerMemory the bytes that all answers in reading may take.
	maxAnswerBytes = 16 << 20
	answerMemory   = 32 << 20
	// maxHitBytes is more than a hit of an answer takes, with an id of the usual length.
	maxHitBytes = 256
	// idleTimeout is the time after which an unused connection is closed. It is shorter than the idle timeout of an entry, since a
	// request on a connection that the entry has closed may count as lost.
	idleTimeout = 5 * time.Second
)

// Settings configure a client.
type Settings struct {
	// Addresses are the nodes that the first directory request is sent to. At least one is required.
	Addresses []string
	// Caller is the name of the caller. The directory distributes callers over the entries by this name.
	Caller string
	// AvailabilityZone is the availability zone of the caller. Entries in this zone come first.
	AvailabilityZone string
	// Deadline is the time that a question waits by default. 0 means DefaultDeadline.
	Deadline time.Duration
	// ConnectTimeout is the maximum time to open a connection. 0 means DefaultConnectTimeout.
	ConnectTimeout time.Duration
}

// Client sends questions to the query tier. It is safe for concurrent use. Close it after the last question.
type Client struct {
	settings Settings
	http     *fasthttp.Client
	answers  *strict.Transport
	calls    conc.WaitGroup
	cached   atomic.Pointer[directory]
	// refreshing holds one element while a caller refreshes the directory.
	refreshing chan struct{}
	tokens     tokens
	// failedUntil maps an address to the time.Time until which it is tried last.
	failedUntil sync.Map
}

// New returns a client. It returns an error if the settings contain no address.
func New(settings Settings) (*Client, error) {
	if len(settings.Addresses) == 0 {
		return nil, errors.New("at least one node address is required")
	}
	if settings.Deadline <= 0 {
		settings.Deadline = DefaultDeadline
	}
	if settings.ConnectTimeout <= 0 {
		settings.ConnectTimeout = DefaultConnectTimeout
	}
	answers := strict.NewTransport(maxAnswerBytes)
	return &Client{settings: settings, http: newHTTP(settings.ConnectTimeout, answers), answers: answers, refreshing: make(chan struct{}, 1)}, nil
}

// newHTTP returns an HTTP client that sends each request only once, without automatic retries, and reads the answers within a common budget.
func newHTTP(connectTimeout time.Duration, answers *strict.Transport) *fasthttp.Client {
	dial := meter.NewBudget(answerMemory).Dialer(func(_ context.Context, address string) (net.Conn, error) {
		connection, err := net.DialTimeout("tcp", address, connectTimeout)
		if err != nil {
			return nil, &unsentError{cause: err}
		}
		return connection, nil
	})
	return &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Transport:                 answers,
		MaxIdleConnDuration:       idleTimeout,
		// connectTimeout bounds the dial.
		Dial: func(address string) (net.Conn, error) { return dial(context.Background(), address) },
	}
}

// Close waits for the requests in flight, which end at their deadlines at the latest, and closes the connections.
func (c *Client) Close() {
	c.calls.Wait()
	c.http.CloseIdleConnections()
}

// Ask sends a question and returns its answer. The error is a *Refusal.
//
// An idempotent question is retried at the next entry after a connection failure. A non-idempotent question is resent only with the same
// request token, for which the token's issuer runs it at most once. It is sent with a fresh token only after a refusal that states that
// it was not run.
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
	answer, refused := c.sendToEntries(ctx, entries, q, first)
	if refused == nil {
		return answer, nil
	}
	if !refused.needsFreshToken(q) {
		c.tokens.put(refused.entry, refused.freshToken)
		return Answer{}, refused.refusal
	}
	answer, refused = c.sendToEntries(ctx, entries, q, c.nextToken(refused))
	if refused == nil {
		return answer, nil
	}
	return Answer{}, refused.refusal
}

// nextToken returns a token that was never sent: the one from the refusal, or else an unused one. It may be empty.
func (c *Client) nextToken(r *refusedQuestion) string {
	if r.freshToken != "" {
		return r.freshToken
	}
	return c.tokens.take()
}

// refusedQuestion is a refusal with the data that the client needs to continue.
type refusedQuestion struct {
	refusal    *Refusal
	freshToken string
	entry      string
}

// needsFreshToken reports whether the question was certainly not run and can be sent again with a fresh token.
func (r *refusedQuestion) needsFreshToken(q Question) bool {
	if !q.nonIdempotent || r.refusal.run != NotRun {
		return false
	}
	return r.refusal.reason == reasonTokenMissing || r.refusal.reason == reasonTokenNotRun
}

// Reasons from entries that the client handles.
var (
	reasonTokenMissing = newReason(wire.Reason_REASON_TOKEN_MISSING)
	reasonTokenNotRun  = newReason(wire.Reason_REASON_TOKEN_NOT_RUN)
	reasonTokenInvalid = newReason(wire.Reason_REASON_TOKEN_INVALID)
	reasonStopping     = newReason(wire.Reason_REASON_STOPPING)
	reasonNotReady     = newReason(wire.Reason_REASON_NOT_READY)
)

// sendToEntries sends the question to one entry after the other, always with the same token, until one gives an answer or a refusal
// that holds for all entries.
func (c *Client) sendToEntries(ctx context.Context, entries *directory, q Question, token string) (Answer, *refusedQuestion) {
	// mayHaveRun is set once a request was sent whose outcome is unknown.
	mayHaveRun := false
	last := &refusedQuestion{refusal: &Refusal{run: NotRun, reason: ReasonUnreachable}}
	for _, address := range c.orderByFailure(entries.addresses, time.Now()) {
		got, err := c.send(ctx, address, q, token)
		if err != nil {
			mayHaveRun = mayHaveRun || q.mayRun(token) && !isUnsent(err)
			last = &refusedQuestion{refusal: newFailure(ctx, mayHaveRun, err)}
			if !errors.Is(ctx.Err(), context.Canceled) {
				c.recordFailure(address, time.Now())
			}
			if isDone(ctx, err) {
				break
			}
			continue
		}
		if got.refusal == nil {
			c.tokens.put(address, got.freshToken)
			return got.answer, nil
		}
		last = &refusedQuestion{refusal: got.refusal.withPossibleRun(mayHaveRun), freshToken: got.freshToken, entry: address}
		if !got.refusal.allowsNextEntry() {
			break
		}
	}
	return Answer{}, last
}

// mayRun reports whether an entry may run the question. A non-idempotent question without a token is always refused.
func (q Question) mayRun(token string) bool { return !q.nonIdempotent || token != "" }

// isDone reports whether the deadline of the question has passed or its context was cancelled.
func isDone(ctx context.Context, err error) bool {
	return ctx.Err() != nil || errors.Is(err, fasthttp.ErrTimeout)
}

// allowsNextEntry reports whether the refusal only concerns the entry that returned it, so that the next entry can be tried.
func (r *Refusal) allowsNextEntry() bool {
	return r.run == NotRun && (r.reason == reasonStopping || r.reason == reasonNotReady)
}

// withPossibleRun changes the run state from NotRun to Unknown if an earlier entry may have run the question. Refusals about the token
// keep their state, since they state the outcome of the token. Other refusals only state what one entry did.
func (r *Refusal) withPossibleRun(mayHaveRun bool) *Refusal {
	if !mayHaveRun || r.run != NotRun || r.reason == reasonTokenNotRun || r.reason == reasonTokenInvalid || r.reason == reasonTokenMissing {
		return r
	}
	return &Refusal{run: Unknown, reason: r.reason, detail: r.detail, cause: r.cause}
}

// newFailure returns the refusal for a request that got no answer.
func newFailure(ctx context.Context, mayHaveRun bool, err error) *Refusal {
	refusal := &Refusal{run: NotRun, reason: ReasonUnreachable, cause: err}
	if mayHaveRun {
		refusal.run = Unknown
	}
	if !isUnsent(err) {
		refusal.reason = ReasonConnectionLost
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		refusal.reason = ReasonCancelled
	case ctx.Err() != nil || errors.Is(err, fasthttp.ErrTimeout):
		refusal.reason = ReasonDeadline
	case errors.Is(err, errMalformedAnswer):
		refusal.reason = ReasonBadAnswer
	}
	return refusal
}

// errMalformedAnswer marks the error of an answer that is not a valid HTTP response or could not be decoded.
var errMalformedAnswer = errors.New("malformed answer")

// entryReply is the reply of an entry: an answer or a refusal.
type entryReply struct {
	answer     Answer
	refusal    *Refusal
	freshToken string
}

// send sends the question to an entry once.
func (c *Client) send(ctx context.Context, address string, q Question, token string) (entryReply, error) {
	deadline, _ := ctx.Deadline()
	body, err := protojson.Marshal(q.message(token, time.Until(deadline)))
	if err != nil {
		return entryReply{}, &unsentError{cause: err}
	}
	c.answers.Expect(int64(q.limit) * maxHitBytes)
	got, err := c.roundTrip(ctx, fasthttp.MethodPost, "http://"+address+queryPath, body)
	if err != nil {
		return entryReply{}, err
	}
	message := &wire.Answer{}
	if err := readOptions.Unmarshal(got.body, message); err != nil {
		return entryReply{}, errors.Mark(errors.Wrapf(err, "status %d", got.status), errMalformedAnswer)
	}
	if got.status == fasthttp.StatusOK {
		return entryReply{answer: newAnswer(message), freshToken: message.GetFreshToken()}, nil
	}
	refusal := &Refusal{run: newRunState(message.GetRun()), reason: newReason(message.GetReason()), detail: message.GetDetail()}
	return entryReply{refusal: refusal, freshToken: message.GetFreshToken()}, nil
}

// response is an HTTP response or the error of the request.
type response struct {
	status int
	body   []byte
	err    error
}

// roundTrip performs an HTTP request. It returns when ctx ends, and the request then continues until its deadline at the latest.
func (c *Client) roundTrip(ctx context.Context, method, uri string, body []byte) (response, error) {
	if err := ctx.Err(); err != nil {
		return response{}, &unsentError{cause: err}
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
		if strict.IsMalformed(err) {
			err = errors.Mark(err, errMalformedAnswer)
		}
		return response{err: err}
	}
	return response{status: reply.StatusCode(), body: append([]byte(nil), reply.Body()...)}
}

// orderByFailure returns the addresses with those that failed recently at the end.
func (c *Client) orderByFailure(addresses []string, now time.Time) []string {
	var good, bad []string
	for _, address := range addresses {
		if until, ok := c.failedUntil.Load(address); ok && now.Before(until.(time.Time)) {
			bad = append(bad, address)
			continue
		}
		good = append(good, address)
	}
	return append(good, bad...)
}

// recordFailure records that an address did not answer and discards the tokens that it issued.
func (c *Client) recordFailure(address string, now time.Time) {
	c.failedUntil.Store(address, now.Add(failurePenalty))
	c.tokens.discardFrom(address)
}

// unsentError is the error of a request that was certainly not sent.
type unsentError struct{ cause error }

// Error returns the text of the underlying error.
func (e *unsentError) Error() string { return e.cause.Error() }

// Unwrap returns the underlying error.
func (e *unsentError) Unwrap() error { return e.cause }

func isUnsent(err error) bool {
	var unsent *unsentError
	return errors.As(err, &unsent) || errors.Is(err, fasthttp.ErrNoFreeConns)
}
