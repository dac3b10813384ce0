// Package status serves the administration API of a node: the status report, the metrics, and the validation and preview of edits to
// the list of plans and the list of uses. The API is read-only: it cannot change configuration.
package status

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/rcrowley/go-metrics"

	"github.com/fireflylanding/fireflylanding/internal/guard"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// MaxEditBytes is the maximum size of a request body. A list holds up to 1 MB and grows when it is escaped in JSON.
	MaxEditBytes = 2 << 20

	// readTimeout is the maximum time to receive a request.
	readTimeout = 10 * time.Second
	// writeTimeout is the maximum time to send a response.
	writeTimeout = 10 * time.Second
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = time.Minute
	// connBytes is what a connection takes without bodies and answers: the buffers of the HTTP library for a head, an answer and the start of
	// a body, the stack of its goroutine and its state.
	connBytes = 28 << 10
	// decodeFactor is how many times the memory of its body the decoding and the comparison of an edit take.
	decodeFactor = 4
)

// Source supplies the data of the administration API. It must be safe for concurrent use.
type Source interface {
	// Report returns the status report at the given time.
	Report(now time.Time) Report
	// Lists returns the list of plans and the list of uses in force.
	Lists() *plans.Lists
	// Sections returns the canonical sections of a document in force. The caller must not modify the result.
	Sections(key string) map[string]string
}

// Server is the HTTP server of the administration API.
type Server struct {
	source   Source
	registry metrics.Registry
	guard    *guard.Guard
	app      *fiber.App
}

// New returns a server for the data of the source and the metrics of the registry. The guard bounds its connections.
func New(source Source, registry metrics.Registry, g *guard.Guard) *Server {
	s := &Server{source: source, registry: registry, guard: g}
	s.app = fiber.New(fiber.Config{
		AppName:   "fireflylanding administration",
		BodyLimit: MaxEditBytes,
		// Bodies are read by the handlers that use them, within the memory for callers.
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		ReadTimeout:                  readTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  idleTimeout,
		ErrorHandler:                 sendError,
	})
	s.app.Get("/v1/status", s.sendStatus)
	s.app.Get("/v1/metrics", s.sendMetrics)
	s.app.Post("/v1/validate", s.sendValidation)
	s.app.Post("/v1/preview", s.sendPreview)
	g.Attach(s.app.Server(), func() int { return MaxEditBytes })
	return s
}

// Serve serves requests on the listener until Shutdown is called, on at most a number of connections at a time. It returns nil after a
// shutdown.
func (s *Server) Serve(listener net.Listener, connections int) error {
	class := guard.Class{Name: "administration", Connections: connections, ConnBytes: connBytes, Reserved: true}
	return s.app.Listener(s.guard.Listen(listener, class), fiber.ListenConfig{DisableStartupMessage: true})
}

// Shutdown closes the listener and waits for requests in flight until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.app.ShutdownWithContext(ctx)
}

func (s *Server) sendStatus(c fiber.Ctx) error {
	return c.JSON(s.source.Report(time.Now()))
}

func (s *Server) sendMetrics(c fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	var text bytes.Buffer
	metrics.WriteJSONOnce(s.registry, &text)
	return c.Send(text.Bytes())
}

func (s *Server) sendValidation(c fiber.Ctx) error {
	edit, err := s.receiveEdit(c)
	if err != nil {
		return err
	}
	return c.JSON(validate(edit))
}

func (s *Server) sendPreview(c fiber.Ctx) error {
	edit, err := s.receiveEdit(c)
	if err != nil {
		return err
	}
	p, err := preview(edit, s.source)
	if err != nil {
		return err
	}
	return c.JSON(p)
}

// receiveEdit reads and decodes the edit in a request.
func (s *Server) receiveEdit(c fiber.Ctx) (Edit, error) {
	body, err := guard.ReadBody(c.RequestCtx(), MaxEditBytes)
	if err == nil {
		err = guard.Hold(c.RequestCtx(), decodeFactor*len(body))
	}
	switch {
	case errors.Is(err, guard.ErrTooLong):
		return Edit{}, fiber.ErrRequestEntityTooLarge
	case errors.Is(err, guard.ErrNoMemory):
		s.guard.Count(wire.Reason_REASON_MEMORY)
		return Edit{}, fiber.ErrServiceUnavailable
	case err != nil:
		// The rest of the body can't be told from a next request.
		c.RequestCtx().SetConnectionClose()
		return Edit{}, badRequest(err.Error())
	}
	return readEdit(body)
}

// readEdit decodes the edit in a request body. Its error has the status 400.
func readEdit(body []byte) (Edit, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	var received struct {
		List string  `json:"list"`
		Text *string `json:"text"`
	}
	if err := decoder.Decode(&received); err != nil {
		return Edit{}, badRequest("the body is not a JSON object with list and text: " + err.Error())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Edit{}, badRequest("the body has data after the JSON object")
	}
	if received.List != plans.PlansKey && received.List != plans.UsesKey {
		return Edit{}, badRequest("list must be plans or uses")
	}
	if received.Text == nil {
		return Edit{}, badRequest("text is missing")
	}
	return Edit{List: received.List, Text: *received.Text}, nil
}

func badRequest(text string) error { return fiber.NewError(fiber.StatusBadRequest, text) }

// ErrorBody is the body of a response with another status than 200.
type ErrorBody struct {
	Error string `json:"error"`
}

// sendError responds with the status of a fiber error, or with 500 for other errors.
func sendError(c fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var known *fiber.Error
	if errors.As(err, &known) {
		status = known.Code
	}
	return c.Status(status).JSON(ErrorBody{Error: err.Error()})
}
