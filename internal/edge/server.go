// Package edge is the HTTP listener for callers whose requests are passed on to searchers unchanged: it enforces the operator's limits,
// finds the route, and writes the answer.
package edge

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/relay"
	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// readBufferBytes bounds a head, whatever the operator's limit.
	readBufferBytes = 16 << 10
	// maxBodyBytes bounds a body, whatever the operator's limit.
	maxBodyBytes = 16 << 20
)

// Codec knows the names in the heads of callers' requests and answers.
type Codec interface {
	relay.Codec
	// ParseCaller reads what a caller says in the head of a request: its id, and how long it waits, 0 when it does not say.
	ParseCaller(head *fasthttp.RequestHeader) (id string, patience time.Duration)
	// WriteForwarded puts the end-to-end fields of a searcher's reply into an answer.
	WriteForwarded(answer *fasthttp.ResponseHeader, reply *fasthttp.ResponseHeader)
	// WriteMerged states the proofs of the shards that are in, and the number of those that are not.
	WriteMerged(answer *fasthttp.ResponseHeader, id string, proofs []string, missing int)
	// WriteRefused states when to come back, unless it is 0.
	WriteRefused(answer *fasthttp.ResponseHeader, id string, after time.Duration)
}

// Sources are what the server consults for each request.
type Sources struct {
	// Table returns the routes in force, nil before the first version.
	Table func() *route.Table
	// Gate refuses requests while the node starts or ends, and returns nil otherwise.
	Gate func() *reason.Refusal
	// Leaving reports whether callers should move their connections elsewhere.
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
	http     *fasthttp.Server
}

// New returns a server that runs requests with an engine.
func New(engine *relay.Engine, codec Codec, sources Sources, logger *events.Logger, counters *reason.Counters) *Server {
	s := &Server{engine: engine, codec: codec, sources: sources, logger: logger, counters: counters}
	s.http = &fasthttp.Server{
		Handler:                       s.handle,
		ErrorHandler:                  s.malformed,
		ReadBufferSize:                readBufferBytes,
		MaxRequestBodySize:            maxBodyBytes,
		ReadTimeout:                   headerWait,
		IdleTimeout:                   idleWait,
		DisableHeaderNamesNormalizing: true,
		DisablePreParseMultipartForm:  true,
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		NoDefaultContentType:          true,
		CloseOnShutdown:               true,
		Logger:                        quiet{},
	}
	return s
}

// quiet drops the library's own lines; malformed requests are logged as events.
type quiet struct{}

// Printf is part of fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	return s.http.Serve(&listener{Listener: l, limits: s.limits})
}

// Shutdown closes the listener and idle connections and waits for requests in flight, at most until the server's own limits.
func (s *Server) Shutdown() error { return s.http.Shutdown() }

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
	id, patience := s.codec.ParseCaller(&ctx.Request.Header)
	s.answer(ctx, id, s.serve(ctx, now, id, patience))
	if s.sources.Leaving() {
		ctx.SetConnectionClose()
	}
}

// serve finds the route of a request and runs it.
func (s *Server) serve(ctx *fasthttp.RequestCtx, now time.Time, id string, patience time.Duration) relay.Answer {
	if refusal := s.sources.Gate(); refusal != nil {
		return s.refuse(id, refusal.Reason())
	}
	table := s.sources.Table()
	if table == nil {
		return s.refuse(id, wire.Reason_REASON_NOT_READY)
	}
	if r := exceeded(&ctx.Request, table.Limits()); r != wire.Reason_REASON_UNSPECIFIED {
		return s.refuse(id, r)
	}
	if id == "" {
		return s.refuse(id, wire.Reason_REASON_BAD_REQUEST)
	}
	found, ok := table.Find(string(ctx.Request.Header.Host()), string(ctx.Request.Header.RequestURI()))
	if !ok {
		return s.refuse(id, wire.Reason_REASON_ROUTE_UNKNOWN)
	}
	body := ctx.Request.Body()
	return s.engine.Serve(now, &relay.Request{
		ID:         id,
		Route:      found,
		Version:    table.Version(),
		Timeout:    patience,
		Head:       s.codec.AppendHead(nil, &ctx.Request.Header, len(body)),
		Body:       body,
		HeadOnly:   ctx.Request.Header.IsHead(),
		CallerGone: gone(ctx.Conn()),
	})
}

// exceeded returns which limit of the operator a request breaks, or REASON_UNSPECIFIED.
func exceeded(request *fasthttp.Request, limits route.Limits) wire.Reason {
	switch {
	case len(request.Header.Header()) > limits.MaxHeaderBytes:
		return wire.Reason_REASON_HEAD_TOO_LARGE
	case len(request.Body()) > limits.MaxBodyBytes:
		return wire.Reason_REASON_BODY_TOO_LARGE
	default:
		return wire.Reason_REASON_UNSPECIFIED
	}
}

func gone(c net.Conn) func() bool {
	if watched, ok := c.(*conn); ok {
		return watched.gone
	}
	return func() bool { return false }
}

// refuse answers a request that is not run.
func (s *Server) refuse(id string, r wire.Reason) relay.Answer {
	s.counters.Add(r)
	s.logger.Log(wire.Event_EVENT_REQUEST_FAILED, zap.String("request", id), zap.String("reason", reason.Name(r)), zap.Bool("not_run", true))
	return relay.Refused{Reason: r, NotRun: true, RetryAfter: refusedAfter}
}

// refusedAfter is what callers are told to wait after a refusal at the door.
const refusedAfter = 100 * time.Millisecond

// answer writes an answer.
func (s *Server) answer(ctx *fasthttp.RequestCtx, id string, answer relay.Answer) {
	switch answer := answer.(type) {
	case relay.Forwarded:
		defer fasthttp.ReleaseResponse(answer.Response)
		ctx.SetStatusCode(answer.Response.StatusCode())
		s.codec.WriteForwarded(&ctx.Response.Header, &answer.Response.Header)
		ctx.Response.SetBody(answer.Response.Body())
	case relay.Merged:
		ctx.SetStatusCode(fasthttp.StatusOK)
		s.codec.WriteMerged(&ctx.Response.Header, id, answer.Proofs, answer.Missing)
		ctx.Response.SetBodyRaw(answer.Records)
	case relay.Refused:
		code := status(answer)
		ctx.SetStatusCode(code)
		after := time.Duration(0)
		if code == fasthttp.StatusServiceUnavailable {
			after = answer.RetryAfter
		}
		s.codec.WriteRefused(&ctx.Response.Header, id, after)
	}
}

// status returns the status of a refusal. 503 promises that the request did not run; 502 and 504 promise nothing.
func status(refused relay.Refused) int {
	switch refused.Reason {
	case wire.Reason_REASON_BAD_REQUEST:
		return fasthttp.StatusBadRequest
	case wire.Reason_REASON_ROUTE_UNKNOWN:
		return fasthttp.StatusNotFound
	case wire.Reason_REASON_HEAD_TOO_LARGE:
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case wire.Reason_REASON_BODY_TOO_LARGE:
		return fasthttp.StatusRequestEntityTooLarge
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

// malformed answers a request that could not be read.
func (s *Server) malformed(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	code := fasthttp.StatusBadRequest
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		code = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		code = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		code = fasthttp.StatusRequestTimeout
	}
	s.counters.Add(wire.Reason_REASON_BAD_REQUEST)
	s.logger.Log(wire.Event_EVENT_REQUEST_FAILED, zap.Int("status", code), zap.Error(err))
	ctx.SetStatusCode(code)
	ctx.SetConnectionClose()
}
