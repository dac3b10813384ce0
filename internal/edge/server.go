// Package edge is the HTTP listener for callers whose requests are forwarded to searchers unchanged. It enforces the operator's limits,
// finds the route, and writes the answer.
package edge

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/guard"
	"github.com/fireflylanding/fireflylanding/internal/intake"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/relay"
	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// readBufferBytes bounds the size of a head, whatever the operator's limit.
	readBufferBytes = 16 << 10
	// maxBodyBytes bounds the size of a body, whatever the operator's limit.
	maxBodyBytes = 16 << 20
	// connBytes is what a connection takes without bodies and answers: the buffers of the HTTP library for a head, an answer and the start of
	// a body, the stack of its goroutine and its state.
	connBytes = readBufferBytes + 4<<10 + 8<<10 + 12<<10
	// copiedAnswerBytes is the size up to which an answer is copied to the buffer that a connection keeps.
	copiedAnswerBytes = 4 << 10
)

// Codec translates the header fields of callers' requests and answers.
type Codec interface {
	relay.Codec
	// ParseCaller reads the caller's request id, and how long the caller waits; the timeout is 0 when the caller gave none.
	ParseCaller(head *fasthttp.RequestHeader) (id string, timeout time.Duration)
	// WriteForwarded copies the end-to-end fields of a searcher's reply to an answer.
	WriteForwarded(answer *fasthttp.ResponseHeader, reply *fasthttp.ResponseHeader)
	// WriteMerged writes the proofs of origin of the shards that replied, and the number of shards that are missing.
	WriteMerged(answer *fasthttp.ResponseHeader, id string, proofs []string, missing int)
	// WriteRefused writes the retry delay, unless it is 0.
	WriteRefused(answer *fasthttp.ResponseHeader, id string, after time.Duration)
}

// Sources provide the state that the server consults for each request.
type Sources struct {
	// Table returns the route table in force, nil before the first version.
	Table func() *route.Table
	// Gate returns the refusal of all requests while the node starts or stops, and nil otherwise.
	Gate func() *reason.Refusal
	// Leaving reports whether callers should move their connections to another node.
	Leaving func() bool
	Clock   func() time.Time
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	engine   *relay.Engine
	codec    Codec
	sources  Sources
	logger   *events.Logger
	counters *reason.Counters
	guard    *guard.Guard
	http     *fasthttp.Server
}

// New returns a server that runs requests on an engine. The guard bounds its connections.
func New(engine *relay.Engine, codec Codec, sources Sources, g *guard.Guard, logger *events.Logger, counters *reason.Counters) *Server {
	s := &Server{engine: engine, codec: codec, sources: sources, guard: g, logger: logger, counters: counters}
	s.http = &fasthttp.Server{
		Handler:                       s.handle,
		ErrorHandler:                  s.handleReadError,
		ReadBufferSize:                readBufferBytes,
		MaxRequestBodySize:            maxBodyBytes,
		StreamRequestBody:             true,
		ReadTimeout:                   headerTimeoutPlaceholder,
		IdleTimeout:                   idleTimeoutPlaceholder,
		DisableHeaderNamesNormalizing: true,
		DisablePreParseMultipartForm:  true,
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		NoDefaultContentType:          true,
		CloseOnShutdown:               true,
		Logger:                        discardLogger{},
	}
	g.Attach(s.http, func() int { return s.limits().MaxBodyBytes })
	return s
}

// discardLogger discards the library's log lines; malformed requests are logged as events.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve accepts at most a number of connections at a time until Shutdown is called.
func (s *Server) Serve(l net.Listener, connections int) error {
	class := guard.Class{Name: "callers", Connections: connections, ConnBytes: connBytes}
	return s.http.Serve(&listener{Listener: s.guard.Listen(l, class), limits: s.limits})
}

// Shutdown closes the listener and idle connections, and waits until the other connections have closed or ctx ends, whose error it returns then.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

// Connections returns the number of open connections.
func (s *Server) Connections() int { return int(s.http.GetOpenConnectionsCount()) }

func (s *Server) limits() route.Limits {
	if table := s.sources.Table(); table != nil {
		return table.Limits()
	}
	return route.Limits{}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	now := s.sources.Clock()
	id, timeout := s.codec.ParseCaller(&ctx.Request.Header)
	s.answer(ctx, id, s.serve(ctx, now, id, timeout))
	if s.sources.Leaving() {
		ctx.SetConnectionClose()
	}
}

// serve finds the route of a request and runs it.
func (s *Server) serve(ctx *fasthttp.RequestCtx, now time.Time, id string, timeout time.Duration) relay.Answer {
	if refusal := s.sources.Gate(); refusal != nil {
		return s.refuse(id, timeout, refusal.Reason())
	}
	table := s.sources.Table()
	if table == nil {
		return s.refuse(id, timeout, wire.Reason_REASON_NOT_READY)
	}
	if r := exceededLimit(&ctx.Request, table.Limits()); r != wire.Reason_REASON_UNSPECIFIED {
		return s.refuse(id, timeout, r)
	}
	if id == "" {
		return s.refuse(id, timeout, wire.Reason_REASON_BAD_REQUEST)
	}
	found, ok := table.Find(string(ctx.Request.Header.Host()), string(ctx.Request.Header.RequestURI()))
	if !ok {
		return s.refuse(id, timeout, wire.Reason_REASON_ROUTE_UNKNOWN)
	}
	body, err := guard.ReadBody(ctx, min(table.Limits().MaxBodyBytes, maxBodyBytes))
	if err != nil {
		return s.refuseBody(ctx, id, timeout, err)
	}
	// A body may arrive long after its head. The time that it takes is the caller's, not that of the searchers.
	received := s.sources.Clock()
	remaining := remainingTimeout(timeout, received.Sub(now))
	if refusal := s.sources.Gate(); refusal != nil {
		return s.refuse(id, remaining, refusal.Reason())
	}
	if remaining < 0 {
		return s.refuse(id, timeout, wire.Reason_REASON_DEADLINE)
	}
	return s.engine.Serve(received, &relay.Request{
		ID:         id,
		Route:      found,
		Version:    table.Version(),
		Timeout:    remaining,
		Head:       s.codec.AppendHead(nil, &ctx.Request.Header, len(body)),
		Body:       body,
		HeadOnly:   ctx.Request.Header.IsHead(),
		CallerGone: callerGone(ctx.Conn()),
	})
}

// remainingTimeout returns how long a caller still waits, 0 if that is unknown, and a negative time if it does not wait any more.
func remainingTimeout(timeout, elapsed time.Duration) time.Duration {
	switch {
	case timeout <= 0:
		return 0
	case elapsed >= timeout:
		return -1
	default:
		return timeout - max(elapsed, 0)
	}
}

// exceededLimit returns the reason for the operator's limit that a request exceeds, or REASON_UNSPECIFIED.
func exceededLimit(request *fasthttp.Request, limits route.Limits) wire.Reason {
	switch {
	case len(request.Header.Header()) > limits.MaxHeaderBytes:
		return wire.Reason_REASON_HEAD_TOO_LARGE
	case request.Header.ContentLength() > limits.MaxBodyBytes:
		return wire.Reason_REASON_BODY_TOO_LARGE
	default:
		return wire.Reason_REASON_UNSPECIFIED
	}
}

func callerGone(c net.Conn) func() bool {
	if watched, ok := c.(*conn); ok {
		return watched.closedByPeer
	}
	return func() bool { return false }
}

// refuseBody refuses a request whose body was not read.
func (s *Server) refuseBody(ctx *fasthttp.RequestCtx, id string, timeout time.Duration, err error) relay.Answer {
	switch {
	case errors.Is(err, guard.ErrTooLong):
		return s.refuse(id, timeout, wire.Reason_REASON_BODY_TOO_LARGE)
	case errors.Is(err, guard.ErrNoMemory):
		return s.refuse(id, timeout, wire.Reason_REASON_MEMORY)
	}
	// The rest of the body can't be told from a next request.
	ctx.SetConnectionClose()
	return s.refuse(id, timeout, readReason(err))
}

// readReason returns why a request could not be read.
func readReason(err error) wire.Reason {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		return wire.Reason_REASON_HEAD_TOO_LARGE
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return wire.Reason_REASON_BODY_TOO_LARGE
	case errors.As(err, &timeout) && timeout.Timeout():
		return wire.Reason_REASON_REQUEST_TIMEOUT
	default:
		return wire.Reason_REASON_BAD_REQUEST
	}
}

// refuse counts and logs a request that is not run, and returns the answer.
func (s *Server) refuse(id string, timeout time.Duration, r wire.Reason) relay.Answer {
	s.counters.Add(r)
	s.logger.Log(wire.Event_EVENT_REQUEST_FAILED, zap.String("request", id), zap.String("reason", reason.Name(r)), zap.Bool("not_run", true))
	return relay.Refused{Reason: r, NotRun: true, RetryAfter: refusalDelay(timeout)}
}

// refusalRetryAfter is the delay that callers are told to wait after a refusal by the server itself.
const refusalRetryAfter = 100 * time.Millisecond

// refusalDelay returns the retry delay for a caller that waits for the given time, 0 if unknown.
func refusalDelay(timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return refusalRetryAfter
	}
	return min(refusalRetryAfter, intake.LongestReturn(timeout))
}

// answer writes an answer to the response.
func (s *Server) answer(ctx *fasthttp.RequestCtx, id string, answer relay.Answer) {
	switch answer := answer.(type) {
	case relay.Forwarded:
		defer fasthttp.ReleaseResponse(answer.Response)
		ctx.SetStatusCode(answer.Response.StatusCode())
		s.codec.WriteForwarded(&ctx.Response.Header, &answer.Response.Header)
		setBody(&ctx.Response, answer.Response)
	case relay.Merged:
		ctx.SetStatusCode(fasthttp.StatusOK)
		s.codec.WriteMerged(&ctx.Response.Header, id, answer.Proofs, answer.Missing)
		ctx.Response.SetBodyRaw(answer.Records)
	case relay.Refused:
		code := statusCode(answer)
		ctx.SetStatusCode(code)
		after := time.Duration(0)
		if code == fasthttp.StatusServiceUnavailable {
			after = answer.RetryAfter
		}
		s.codec.WriteRefused(&ctx.Response.Header, id, after)
	}
}

// setBody moves the body of a reply to an answer. A connection keeps the buffer of a body that is copied, so that only small ones are.
func setBody(answer, reply *fasthttp.Response) {
	body := reply.Body()
	if len(body) <= copiedAnswerBytes {
		answer.SetBody(body)
		return
	}
	// The buffer of the reply is used again, unless it is taken out. A body that was set without a buffer is not in it.
	reply.SwapBody(nil)
	answer.SetBodyRaw(body)
}

// statusCode returns the HTTP status of a refusal. Status 503 guarantees that the request did not run; 502 and 504 guarantee nothing.
func statusCode(refused relay.Refused) int {
	switch refused.Reason {
	case wire.Reason_REASON_BAD_REQUEST:
		return fasthttp.StatusBadRequest
	case wire.Reason_REASON_ROUTE_UNKNOWN:
		return fasthttp.StatusNotFound
	case wire.Reason_REASON_HEAD_TOO_LARGE:
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case wire.Reason_REASON_BODY_TOO_LARGE:
		return fasthttp.StatusRequestEntityTooLarge
	case wire.Reason_REASON_REQUEST_TIMEOUT:
		return fasthttp.StatusRequestTimeout
	}
	switch {
	case refused.NotRun:
		return fasthttp.StatusServiceUnavailable
	case refused.Reason == wire.Reason_REASON_DEADLINE:
		return fasthttp.StatusGatewayTimeout
	default:
		return fasthttp.StatusBadGateway
	}
}

// handleReadError answers a request that could not be read.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	r := readReason(err)
	code := statusCode(relay.Refused{Reason: r, NotRun: true})
	s.counters.Add(r)
	s.logger.Log(wire.Event_EVENT_REQUEST_FAILED, zap.Int("status", code), zap.Error(err))
	ctx.SetStatusCode(code)
	ctx.SetConnectionClose()
}
