package relay

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fireflylanding/fireflylanding/internal/health"
	"github.com/fireflylanding/fireflylanding/internal/pool"
	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/strict"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// minRemaining is the remaining time below which an attempt is not sent, since no searcher replies within it.
	minRemaining = 2 * time.Millisecond
	// maxMismatchedReplies is the number of replies to other requests that are skipped on a connection before it is closed.
	maxMismatchedReplies = 2
	// staleConnMargin is the time beyond the round trip within which a searcher resets a connection that it no longer knows. A request that
	// the searcher runs takes longer.
	staleConnMargin = 1500 * time.Microsecond
)

// attempt is one request to one searcher.
type attempt struct {
	part     *part
	endpoint *endpoint
	sentAt   time.Time
	ticket   health.Ticket
	// roundTrip is the estimated network round trip to the searcher.
	roundTrip time.Duration
	// deadline ends the attempt; the request states the time until then.
	deadline time.Time
	// record describes the attempt in the log; it is guarded by the fanout's mu.
	record *attemptRecord

	mu sync.Mutex
	// conn is the connection in use, nil before and after. cutoff is when the connection is given up, at the latest at deadline.
	conn   *pool.Conn
	cutoff time.Time
	// sending is set before the first byte is sent, and ended when endBy came before that. At most one of them is set.
	sending bool
	ended   bool
}

// endBy makes the attempt end at the given time at the latest, and reports whether its searcher may have the request. The searcher stops
// work when its connection closes.
func (a *attempt) endBy(at time.Time) (sent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at.Before(a.cutoff) {
		a.cutoff = at
	}
	if a.conn != nil {
		// An error is ignored: the reader of the connection gets the same error.
		_ = a.conn.SetDeadline(a.cutoff)
	}
	a.ended = !a.sending
	return a.sending
}

// beginSending returns the message to send, which build makes from the request. It returns false after endBy.
func (a *attempt) beginSending(build func() []byte) (message []byte, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sending = !a.ended
	if !a.sending {
		return nil, false
	}
	return build(), true
}

// attachConn sets the connection of the attempt and applies its cutoff.
func (a *attempt) attachConn(conn *pool.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = conn
	// An error is ignored: the request gets the same error.
	_ = conn.SetDeadline(a.cutoff)
}

func (a *attempt) detachConn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
}

// result is the outcome of an attempt. response is set for a complete reply and must be released.
type result struct {
	reason   wire.Reason
	response *fasthttp.Response
	head     ReplyHead
	// sent is set once a byte of the request may have reached the searcher.
	sent bool
	// abrupt is set when the connection broke after the request was sent. staleConn is set in addition when the connection had been idle
	// before and the searcher seems not to know it any more.
	abrupt    bool
	staleConn bool
	// freshConn is set when the connection had not carried a request before.
	freshConn bool
	// waited is the time that the attempt waited for a connection.
	waited time.Duration
	// err is why no reply could be read, or nil.
	err error
}

// notRun reports whether it is certain that the searcher did not run the request.
func (r result) notRun() bool {
	return !r.sent || (r.response != nil && r.head.NotRun)
}

func (r *result) release() {
	if r.response != nil {
		fasthttp.ReleaseResponse(r.response)
		r.response = nil
	}
}

// perform sends the request to the searcher and reads the reply. ctx bounds the wait for a connection.
func (e *Engine) perform(ctx context.Context, a *attempt, request *Request) result {
	conn, err := a.endpoint.pool.Get(ctx, e.clock(), request.Route.Policy().Rank)
	waited := e.clock().Sub(a.sentAt)
	if err != nil {
		return result{reason: connectReason(err), waited: waited}
	}
	a.attachConn(conn)
	unsent := func(r wire.Reason) result {
		a.detachConn()
		a.endpoint.pool.Put(conn, e.clock(), 0)
		return result{reason: r, waited: waited}
	}
	now := e.clock()
	if r := e.withheld(now, a, request.Route); r != wire.Reason_REASON_UNSPECIFIED {
		return unsent(r)
	}
	size := int64(len(request.Head) + len(request.Body))
	if !a.endpoint.load.take(size) {
		return unsent(wire.Reason_REASON_MEMORY)
	}
	defer a.endpoint.load.release(size)
	remaining := a.deadline.Sub(now)
	var message []byte
	ok := false
	if remaining >= minRemaining {
		message, ok = a.beginSending(func() []byte { return e.attemptMessage(a, request, remaining) })
	}
	if !ok {
		return unsent(wire.Reason_REASON_EXPIRED)
	}
	// A searcher may reply before it has read a long body, so the reply is read even after a failed write.
	_, writeErr := conn.Write(message)
	if body := separateBody(request); len(body) > 0 && writeErr == nil {
		_, writeErr = conn.Write(body)
	}
	sentAt := e.clock()
	r := e.readReply(conn, a.part.service, request)
	r.waited, r.freshConn = waited, !conn.Reused()
	r.staleConn = r.abrupt && conn.Reused() && e.clock().Sub(sentAt) < a.roundTrip+staleConnMargin
	a.detachConn()
	e.releaseConn(a, conn, r, writeErr == nil)
	return r
}

// withheld returns why an attempt must not be sent any more that has waited for its connection, or REASON_UNSPECIFIED.
func (e *Engine) withheld(now time.Time, a *attempt, r *route.Route) wire.Reason {
	switch {
	case a.endpoint.pacer.Paused(now):
		return wire.Reason_REASON_SEARCHER_PAUSED
	case !a.endpoint.pacer.MaySend(now, a.sentAt):
		// Requests that have waited for a connection would arrive at a cold searcher together.
		return wire.Reason_REASON_SEARCHER_COLD
	case !e.balancer.homes(r).Allow(e.balancer.location.Regions[a.endpoint.searcher.Zone()]):
		return wire.Reason_REASON_HOME_REGION
	default:
		return wire.Reason_REASON_UNSPECIFIED
	}
}

// attemptMessage returns the bytes of the request as the attempt sends them, without a body that is sent by itself.
func (e *Engine) attemptMessage(a *attempt, request *Request, remaining time.Duration) []byte {
	message := make([]byte, 0, len(request.Head)+min(len(request.Body), maxCopiedBody)+attemptHeadBytes)
	message = append(message, request.Head...)
	message = e.codec.AppendAttempt(message, remaining, a.endpoint.searcher.ID())
	if separateBody(request) != nil {
		return message
	}
	return append(message, request.Body...)
}

// separateBody returns the body if it is sent by itself. Copies of a long body for the attempts at all shards would take many times the memory
// that the caller's request draws on.
func separateBody(request *Request) []byte {
	if len(request.Body) <= maxCopiedBody {
		return nil
	}
	return request.Body
}

// maxCopiedBody is the size in bytes up to which a body is sent in one write with its head.
const maxCopiedBody = 4 << 10

// attemptHeadBytes is the space reserved for the head fields that differ between attempts.
const attemptHeadBytes = 128

func connectReason(err error) wire.Reason {
	switch {
	case errors.Is(err, context.Canceled):
		return wire.Reason_REASON_CANCELLED
	case errors.Is(err, pool.ErrClosed):
		return wire.Reason_REASON_SEARCHER_LEAVING
	default:
		return wire.Reason_REASON_CONNECT_FAILED
	}
}

// readReply reads the reply of a service to the request and records its size.
func (e *Engine) readReply(conn *pool.Conn, service string, request *Request) result {
	size := e.replySizeOf(service)
	expected, allowance := size.bounds(request.Route.Target())
	end := beginReply(conn, expected, allowance)
	r := e.readMatchingReply(conn, request)
	if end() {
		r.release()
		size.recordCut()
		return result{reason: wire.Reason_REASON_REPLY_TOO_LONG, sent: true}
	}
	if r.reason == wire.Reason_REASON_UNSPECIFIED {
		size.recordWhole(int64(len(r.response.Body())))
	}
	return r
}

// readMatchingReply reads the reply to the request and skips late replies to other requests.
func (e *Engine) readMatchingReply(conn *pool.Conn, request *Request) result {
	response := fasthttp.AcquireResponse()
	response.SkipBody = request.HeadOnly
	response.Header.DisableNormalizing()
	for range maxMismatchedReplies + 1 {
		if err := strict.ReadResponse(response, conn.Reader(), maxReplyBytes); err != nil {
			fasthttp.ReleaseResponse(response)
			r := result{reason: readReason(err), sent: true, err: err}
			r.abrupt = r.reason == wire.Reason_REASON_CONNECTION_LOST
			return r
		}
		head := e.codec.ParseReply(&response.Header)
		if head.Contradictory {
			fasthttp.ReleaseResponse(response)
			return result{reason: wire.Reason_REASON_REPLY_MALFORMED, sent: true, err: errContradictory}
		}
		if head.RequestID == "" || head.RequestID == request.ID {
			return result{reason: replyReason(response, head), response: response, head: head, sent: true}
		}
		e.counters.Add(wire.Reason_REASON_REPLY_MISMATCH)
		if response.Header.ConnectionClose() {
			break
		}
		response.Reset()
		response.SkipBody = request.HeadOnly
		response.Header.DisableNormalizing()
	}
	fasthttp.ReleaseResponse(response)
	return result{reason: wire.Reason_REASON_REPLY_MISMATCH, sent: true}
}

// errContradictory is the error of a reply that names two different request ids or proofs of origin.
var errContradictory = errors.New("two different request ids or proofs of origin")

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &timeout) && timeout.Timeout())
}

func readReason(err error) wire.Reason {
	switch {
	case isTimeout(err):
		return wire.Reason_REASON_CONNECTION_SILENT
	case errors.Is(err, fasthttp.ErrBodyTooLarge), errors.Is(err, strict.ErrTooLong):
		return wire.Reason_REASON_REPLY_TOO_LONG
	case strict.IsMalformed(err):
		return wire.Reason_REASON_REPLY_MALFORMED
	default:
		return wire.Reason_REASON_CONNECTION_LOST
	}
}

// replyReason classifies a complete reply. REASON_UNSPECIFIED is a success with proof of its origin.
func replyReason(response *fasthttp.Response, head ReplyHead) wire.Reason {
	status := response.StatusCode()
	switch {
	case head.NotRun && status == fasthttp.StatusMisdirectedRequest:
		return wire.Reason_REASON_WRONG_SEARCHER
	case head.NotRun:
		return wire.Reason_REASON_SEARCHER_SHED
	case status < 200 || status > 299:
		return wire.Reason_REASON_SEARCHER_ERROR
	case head.Proof == "" || len(response.Header.ContentEncoding()) > 0:
		return wire.Reason_REASON_UNPROVEN
	default:
		return wire.Reason_REASON_UNSPECIFIED
	}
}

// releaseConn returns the connection to the pool, or closes it when its state is uncertain after the reply.
func (e *Engine) releaseConn(a *attempt, conn *pool.Conn, r result, wrote bool) {
	if r.staleConn {
		a.endpoint.pool.DiscardStale(conn, e.clock())
		return
	}
	reusable := wrote && r.response != nil && r.reason != wire.Reason_REASON_UNPROVEN
	if !reusable || r.head.Closes || r.response.Header.ConnectionClose() {
		a.endpoint.pool.Discard(conn)
		if r.reason == wire.Reason_REASON_CONNECTION_SILENT {
			a.endpoint.pool.DropIdle(a.sentAt)
		}
		return
	}
	a.endpoint.pool.Put(conn, e.clock(), r.head.KeepAlive)
}
