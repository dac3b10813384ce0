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
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// leastRemaining is the time below which an attempt is not sent, since no searcher replies within it.
	leastRemaining = 2 * time.Millisecond
	// maxStrays is the number of replies to other requests that are skipped on a connection before it is given up.
	maxStrays = 2
	// forgottenMargin is the time beyond the round trip within which a searcher resets a connection that it has forgotten. Requests that it
	// runs take longer.
	forgottenMargin = 1500 * time.Microsecond
	// maxReplyBytes bounds a reply's body.
	maxReplyBytes = 8 << 20
)

// attempt is one request to one searcher.
type attempt struct {
	part    *part
	station *station
	sentAt  time.Time
	ticket  health.Ticket
	// distance is the round trip to the searcher.
	distance time.Duration
	// deadline ends the attempt; the searcher is told the time until then.
	deadline time.Time
	// step shows the attempt in the log; it is guarded by the flight's mu.
	step *step

	mu sync.Mutex
	// conn is the connection in use, nil before and after. ends is the time at which it is given up.
	conn *pool.Conn
	ends time.Time
}

// cut ends the attempt at a time at the latest. The searcher stops when the connection closes.
func (a *attempt) cut(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at.Before(a.ends) {
		a.ends = at
	}
	if a.conn == nil {
		return
	}
	// A connection that fails here fails its reader too.
	_ = a.conn.SetDeadline(a.ends)
}

// use makes conn the connection of the attempt.
func (a *attempt) use(conn *pool.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = conn
	// As above: the request meets the same error.
	_ = conn.SetDeadline(a.ends)
}

func (a *attempt) unuse() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
}

// result is how an attempt ended. Response is set for a whole reply and must be released.
type result struct {
	reason   wire.Reason
	response *fasthttp.Response
	head     ReplyHead
	// sent is set once a byte of the request may have reached the searcher.
	sent bool
	// abrupt is set when the searcher's connection broke after the request was sent. It is forgotten when the searcher seems not to have
	// known the connection any more, which rested before.
	abrupt    bool
	forgotten bool
}

// notRun reports whether the searcher surely did not run the request.
func (r result) notRun() bool {
	return !r.sent || (r.response != nil && r.head.NotRun)
}

func (r *result) release() {
	if r.response != nil {
		fasthttp.ReleaseResponse(r.response)
		r.response = nil
	}
}

// wasCut reports whether the attempt was given an earlier end.
func (a *attempt) wasCut() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ends.Before(a.deadline)
}

// perform sends the request to the searcher and reads the reply. The context ends the wait for a connection.
func (e *Engine) perform(ctx context.Context, a *attempt, request *Request) result {
	conn, err := a.station.pool.Get(ctx, e.clock(), request.Route.Policy().Rank)
	if err != nil {
		return result{reason: connectReason(err)}
	}
	a.use(conn)
	remaining := a.deadline.Sub(e.clock())
	if remaining < leastRemaining || a.wasCut() {
		a.unuse()
		a.station.pool.Put(conn, e.clock(), 0)
		return result{reason: wire.Reason_REASON_EXPIRED}
	}
	message := make([]byte, 0, len(request.Head)+len(request.Body)+attemptHeadBytes)
	message = append(message, request.Head...)
	message = e.codec.AppendAttempt(message, remaining, a.station.searcher.ID())
	message = append(message, request.Body...)
	// A searcher may answer before it has read a long body, so the reply is read also after a failed write.
	_, writeErr := conn.Write(message)
	sentAt := e.clock()
	r := e.read(conn, request)
	r.forgotten = r.abrupt && conn.Reused() && e.clock().Sub(sentAt) < a.distance+forgottenMargin
	a.unuse()
	e.giveBack(a, conn, r, writeErr == nil)
	return r
}

// attemptHeadBytes is room for the parts of the head that differ between attempts.
const attemptHeadBytes = 128

func connectReason(err error) wire.Reason {
	if errors.Is(err, context.Canceled) {
		return wire.Reason_REASON_CANCELLED
	}
	return wire.Reason_REASON_CONNECT_FAILED
}

// read reads the reply to the request and skips late replies to others.
func (e *Engine) read(conn *pool.Conn, request *Request) result {
	response := fasthttp.AcquireResponse()
	response.SkipBody = request.HeadOnly
	response.Header.DisableNormalizing()
	for range maxStrays + 1 {
		if err := response.ReadLimitBody(conn.Reader(), maxReplyBytes); err != nil {
			fasthttp.ReleaseResponse(response)
			return result{reason: readReason(err), sent: true, abrupt: !isTimeout(err)}
		}
		head := e.codec.ParseReply(&response.Header)
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

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &timeout) && timeout.Timeout())
}

func readReason(err error) wire.Reason {
	if isTimeout(err) {
		return wire.Reason_REASON_CONNECTION_SILENT
	}
	return wire.Reason_REASON_CONNECTION_LOST
}

// replyReason classifies a whole reply; REASON_UNSPECIFIED is a success with proof of its origin.
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

// giveBack returns the connection for the next request, or closes it when the reply left it in doubt.
func (e *Engine) giveBack(a *attempt, conn *pool.Conn, r result, wrote bool) {
	if r.forgotten {
		a.station.pool.Forgotten(conn, e.clock())
		return
	}
	whole := wrote && r.response != nil && r.reason != wire.Reason_REASON_UNPROVEN
	if !whole || r.head.Closes || r.response.Header.ConnectionClose() {
		a.station.pool.Discard(conn)
		if r.reason == wire.Reason_REASON_CONNECTION_SILENT {
			a.station.pool.DropIdle(a.sentAt)
		}
		return
	}
	a.station.pool.Put(conn, e.clock(), r.head.KeepAlive)
}
