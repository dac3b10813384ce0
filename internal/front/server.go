// Package front is the HTTP listener towards callers: queries and the directory.
package front

import (
	"context"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// readTimeout ends connections whose request does not arrive, so that slow callers hold no resources.
	readTimeout = 5 * time.Second
	// idleTimeout ends connections without a further request.
	idleTimeout = 2 * time.Minute
	// maxConnections bounds the memory that callers' connections take.
	maxConnections = 65536
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 8192
	// maxNameBytes bounds the caller and zone of a directory request.
	maxNameBytes = 256
)

// Querier answers queries.
type Querier interface {
	Query(ctx context.Context, now time.Time, query *wire.Query) *wire.Answer
}

// Directory answers which entries a caller is to use, or refuses.
type Directory interface {
	Entries(now time.Time, caller, zone string) (*wire.Entries, *reason.Refusal)
}

// Server is the listener towards callers. It is safe for concurrent use.
type Server struct {
	app       *fiber.App
	asker     Querier
	directory Directory
	counters  *reason.Counters
	clock     func() time.Time
}

// New returns a server; maxBodyBytes bounds a request.
func New(asker Querier, directory Directory, counters *reason.Counters, maxBodyBytes int, clock func() time.Time) *Server {
	s := &Server{asker: asker, directory: directory, counters: counters, clock: clock}
	s.app = fiber.New(fiber.Config{
		AppName:        "fireflylanding",
		BodyLimit:      maxBodyBytes,
		ReadBufferSize: maxHeaderBytes,
		ReadTimeout:    readTimeout,
		IdleTimeout:    idleTimeout,
		Concurrency:    maxConnections,
		ErrorHandler:   s.fail,
	})
	s.app.Post("/v1/query", s.query)
	s.app.Get("/v1/entries", s.entries)
	return s
}

// Serve answers on the listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	return s.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
}

// Shutdown stops accepting and returns when all requests are answered or ctx ended.
func (s *Server) Shutdown(ctx context.Context) error { return s.app.ShutdownWithContext(ctx) }

// decoder refuses unknown fields, so that a misspelt field is an error and not a silent default.
var decoder = protojson.UnmarshalOptions{DiscardUnknown: false, RecursionLimit: 16}

func (s *Server) query(c fiber.Ctx) error {
	now := s.clock()
	query := &wire.Query{}
	// The body is valid during the request only, and a decoded string may share its memory.
	if err := decoder.Unmarshal(slices.Clone(c.Body()), query); err != nil {
		return s.refuse(c, reason.New(wire.Reason_REASON_BAD_REQUEST, err.Error()))
	}
	answer := s.asker.Query(c.Context(), now, query)
	return s.reply(c, statusCode(answer), answer)
}

func (s *Server) entries(c fiber.Ctx) error {
	caller, zone := c.Query("caller"), c.Query("zone")
	if len(caller) > maxNameBytes || len(zone) > maxNameBytes {
		return s.refuse(c, reason.New(wire.Reason_REASON_BAD_REQUEST, "caller or zone is too long"))
	}
	// The library's strings are valid during the request only.
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

func (s *Server) refuse(c fiber.Ctx, refusal *reason.Refusal) error {
	s.counters.Add(refusal.Reason())
	answer := wire.Answer_builder{Run: refusal.RunState(), Reason: refusal.Reason(), Detail: refusal.Error()}.Build()
	return s.reply(c, statusCode(answer), answer)
}

// fail answers errors of the library, such as a body that is too large or an unknown path.
func (s *Server) fail(c fiber.Ctx, err error) error {
	s.counters.Add(wire.Reason_REASON_BAD_REQUEST)
	code := fiber.StatusInternalServerError
	run := wire.RunState_RUN_STATE_UNKNOWN
	if library, ok := err.(*fiber.Error); ok {
		code = library.Code
		run = wire.RunState_RUN_STATE_NOT_RUN
	}
	answer := wire.Answer_builder{Run: run, Reason: wire.Reason_REASON_BAD_REQUEST, Detail: err.Error()}.Build()
	return s.reply(c, code, answer)
}

// statusCode maps an answer to HTTP. The body says whether the request was run; the code only classes it.
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
