// Package front serves the HTTP API for callers: queries and directory requests.
package front

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/fireflylanding/fireflylanding/internal/guard"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// readTimeout is the maximum time to receive a request. It keeps slow callers from holding resources.
	readTimeout = 5 * time.Second
	// idleTimeout is the time after which a connection without a further request is closed.
	idleTimeout = 2 * time.Minute
	// maxConnections is the maximum number of connections. It bounds the memory that they use.
	maxConnections = 65536
	// connBytes is what a connection takes without bodies and answers: the buffers of the HTTP library for a head, an answer and the start of
	// a body, the stack of its goroutine and its state.
	connBytes = maxHeaderBytes + 4<<10 + 8<<10 + 12<<10
	// maxHeaderBytes is the maximum size of a request header.
	maxHeaderBytes = 8192
	// maxNameBytes is the maximum length of the caller and of the zone in a directory request.
	maxNameBytes = 256
)

// Querier runs queries.
type Querier interface {
	Query(ctx context.Context, now time.Time, query *wire.Query) *wire.Answer
}

// Directory returns the entries that a caller should use, or a refusal.
type Directory interface {
	Entries(now time.Time, caller, zone string) (*wire.Entries, *reason.Refusal)
}

// Server is the HTTP server for callers. It is safe for concurrent use.
type Server struct {
	app       *fiber.App
	querier   Querier
	directory Directory
	counters  *reason.Counters
	guard     *guard.Guard
	maxBody   int
	clock     func() time.Time
}

// New returns a server. The guard bounds its connections, and maxBodyBytes is the maximum size of a request body.
func New(querier Querier, directory Directory, counters *reason.Counters, g *guard.Guard, maxBodyBytes int, clock func() time.Time) *Server {
	s := &Server{querier: querier, directory: directory, counters: counters, guard: g, maxBody: maxBodyBytes, clock: clock}
	s.app = fiber.New(fiber.Config{
		AppName:   "fireflylanding",
		BodyLimit: maxBodyBytes,
		// Bodies are read by the handlers that use them, within the memory for callers.
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		ReadBufferSize:               maxHeaderBytes,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		Concurrency:                  maxConnections,
		ErrorHandler:                 s.handleError,
	})
	s.app.Post("/v1/query", s.query)
	s.app.Get("/v1/entries", s.entries)
	g.Attach(s.app.Server(), func() int { return maxBodyBytes })
	return s
}

// Serve serves requests on the listener until Shutdown is called, on at most a number of connections at a time.
func (s *Server) Serve(listener net.Listener, connections int) error {
	class := guard.Class{Name: "callers", Connections: min(connections, maxConnections), ConnBytes: connBytes}
	return s.app.Listener(s.guard.Listen(listener, class), fiber.ListenConfig{DisableStartupMessage: true})
}

// Shutdown stops accepting requests. It returns when all requests are answered or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.app.ShutdownWithContext(ctx) }

// decodeOptions reject unknown fields, so that a misspelled field causes an error instead of a silent default.
var decodeOptions = protojson.UnmarshalOptions{DiscardUnknown: false, RecursionLimit: 16}

func (s *Server) query(c fiber.Ctx) error {
	query := &wire.Query{}
	body, err := guard.ReadBody(c.RequestCtx(), s.maxBody)
	if err != nil {
		return s.refuseBody(c, err)
	}
	if err := decodeOptions.Unmarshal(body, query); err != nil {
		return s.refuse(c, reason.New(wire.Reason_REASON_BAD_REQUEST, err.Error()))
	}
	answer := s.querier.Query(c.Context(), s.clock(), query)
	return s.reply(c, statusCode(answer), answer)
}

func (s *Server) entries(c fiber.Ctx) error {
	caller, zone := c.Query("caller"), c.Query("zone")
	if len(caller) > maxNameBytes || len(zone) > maxNameBytes {
		return s.refuse(c, reason.New(wire.Reason_REASON_BAD_REQUEST, "caller or zone is too long"))
	}
	// Strings of fiber are only valid during the request.
	entries, refusal := s.directory.Entries(s.clock(), strings.Clone(caller), strings.Clone(zone))
	if refusal != nil {
		return s.refuse(c, refusal)
	}
	return s.reply(c, fiber.StatusOK, entries)
}

func (s *Server) reply(c fiber.Ctx, code int, message proto.Message) error {
	var body []byte
	var err error
	if body, err = protojson.Marshal(message); err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(code).Send(body)
}

// refuseBody refuses a request whose body was not read.
func (s *Server) refuseBody(c fiber.Ctx, err error) error {
	var timeout net.Error
	switch {
	case errors.Is(err, guard.ErrTooLong):
		return fiber.ErrRequestEntityTooLarge
	case errors.Is(err, guard.ErrNoMemory):
		return s.refuse(c, reason.New(wire.Reason_REASON_MEMORY, ""))
	}
	// The rest of the body can't be told from a next request.
	c.RequestCtx().SetConnectionClose()
	if errors.As(err, &timeout) && timeout.Timeout() {
		return s.refuse(c, reason.New(wire.Reason_REASON_REQUEST_TIMEOUT, ""))
	}
	return s.refuse(c, reason.New(wire.Reason_REASON_BAD_REQUEST, err.Error()))
}

func (s *Server) refuse(c fiber.Ctx, refusal *reason.Refusal) error {
	s.counters.Add(refusal.Reason())
	answer := wire.Answer_builder{Run: refusal.RunState(), Reason: refusal.Reason(), Detail: refusal.Error()}.Build()
	return s.reply(c, statusCode(answer), answer)
}

// handleError responds to errors of fiber, such as a body that is too large or an unknown path.
func (s *Server) handleError(c fiber.Ctx, err error) error {
	s.counters.Add(wire.Reason_REASON_BAD_REQUEST)
	code := fiber.StatusInternalServerError
	run := wire.RunState_RUN_STATE_UNKNOWN
	if fiberError, ok := err.(*fiber.Error); ok {
		code = fiberError.Code
		run = wire.RunState_RUN_STATE_NOT_RUN
	}
	answer := wire.Answer_builder{Run: run, Reason: wire.Reason_REASON_BAD_REQUEST, Detail: err.Error()}.Build()
	return s.reply(c, code, answer)
}

// statusCode returns the HTTP status code of an answer. The code only classifies the outcome; the body states
// whether the request was run.
func statusCode(answer *wire.Answer) int {
	switch answer.GetReason() {
	case wire.Reason_REASON_UNSPECIFIED:
		return fiber.StatusOK
	case wire.Reason_REASON_BAD_REQUEST:
		return fiber.StatusBadRequest
	case wire.Reason_REASON_PLAN_UNKNOWN, wire.Reason_REASON_USE_NOT_LISTED:
		return fiber.StatusForbidden
	case wire.Reason_REASON_OVER_RATE, wire.Reason_REASON_OVER_CONCURRENT, wire.Reason_REASON_ADMISSION, wire.Reason_REASON_NODE_BUSY:
		return fiber.StatusTooManyRequests
	case wire.Reason_REASON_TOKEN_MISSING, wire.Reason_REASON_TOKEN_INVALID, wire.Reason_REASON_TOKEN_RUNNING,
		wire.Reason_REASON_TOKEN_COMPLETED, wire.Reason_REASON_TOKEN_NOT_RUN, wire.Reason_REASON_TOKEN_UNKNOWN:
		return fiber.StatusConflict
	}
	if answer.GetRun() == wire.RunState_RUN_STATE_NOT_RUN {
		return fiber.StatusServiceUnavailable
	}
	return fiber.StatusGatewayTimeout
}
