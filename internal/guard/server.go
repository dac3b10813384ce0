package guard

import (
	"io"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// firstReadBytes is the room for a body whose length is not announced, and for the first bytes of a longer one.
	firstReadBytes = 8 << 10
	// smallAnswerBytes is the size up to which answers are not counted, since the buffers of a connection take them.
	smallAnswerBytes = 4 << 10
)

// ErrTooLong is the error of a request whose body exceeds its limit.
var ErrTooLong = errors.New("the body of the request exceeds the limit")

// Attach makes a server report what its connections are doing. Call it before the server accepts connections. A request that announces a body
// beyond limit is handled without reading any of it, for its handler to refuse; a nil limit leaves bodies to the server.
func (g *Guard) Attach(server *fasthttp.Server, limit func() int) {
	next := server.Handler
	if limit != nil {
		handleTooLong(server, limit)
	}
	server.ConnState = func(conn net.Conn, s fasthttp.ConnState) {
		c := From(conn)
		switch {
		case c == nil:
		case s == fasthttp.StateActive:
			c.enter(g.clock(), receiving)
		case s == fasthttp.StateIdle:
			c.release()
			c.linger.Store(false)
			c.enter(g.clock(), idle)
		}
	}
	server.Handler = func(ctx *fasthttp.RequestCtx) {
		c := From(ctx.Conn())
		if c == nil {
			next(ctx)
			return
		}
		if c.closed.Load() {
			// Nobody would get the answer.
			ctx.SetConnectionClose()
			return
		}
		if length := ctx.Request.Header.ContentLength(); length == 0 || length == identity {
			c.enter(g.clock(), running)
		} else if limit != nil {
			// The handler may answer without reading the body.
			c.linger.Store(true)
		}
		next(ctx)
		c.enter(g.clock(), sending)
		if bytes := len(ctx.Response.Body()); bytes > smallAnswerBytes {
			c.holdAnswer(int64(bytes))
		}
	}
}

// handleTooLong makes a server that streams bodies handle requests that announce a body beyond a limit before any of it arrives. The library
// would wait for its start, unless the request expects the server to ask for the body.
func handleTooLong(server *fasthttp.Server, limit func() int) {
	server.HeaderReceived = func(head *fasthttp.RequestHeader) fasthttp.RequestConfig {
		if head.ContentLength() > limit() {
			head.Set(fasthttp.HeaderExpect, "100-continue")
		}
		return fasthttp.RequestConfig{}
	}
	server.ExpectHandler = func(ctx *fasthttp.RequestCtx) int {
		if ctx.Request.Header.ContentLength() <= limit() {
			return fasthttp.StatusContinue
		}
		server.Handler(ctx)
		return ctx.Response.StatusCode()
	}
}

// chunked and identity are the content lengths by which the HTTP library marks a request with chunks and one without a length.
const (
	chunked  = -1
	identity = -2
)

// ReadBody reads the body of a request of a server that streams bodies. Its memory grows with the bytes that arrive, and draws on the budget
// until the answer is written. The body isn't used again by the server. The caller of ReadBody counts its refusal. It returns ErrTooLong,
// ErrNoMemory, or the error of the connection.
func ReadBody(ctx *fasthttp.RequestCtx, limit int) ([]byte, error) {
	c := From(ctx.Conn())
	body, err := readBody(ctx, c, limit)
	if c == nil {
		return body, err
	}
	if errors.Is(err, ErrNoMemory) {
		c.listener.guard.recordRestricted(c.listener.guard.clock(), wire.Reason_REASON_MEMORY, c.listener.class.Name)
	}
	if err != nil {
		c.release()
		c.linger.Store(errors.IsAny(err, ErrTooLong, ErrNoMemory))
		return nil, err
	}
	c.linger.Store(false)
	c.enter(c.listener.guard.clock(), running)
	return body, nil
}

// Hold draws further bytes that a request needs from the budget until its answer is written. It returns ErrNoMemory if there is no room.
func Hold(ctx *fasthttp.RequestCtx, bytes int) error {
	if c := From(ctx.Conn()); c != nil {
		return c.hold(int64(bytes))
	}
	return nil
}

func readBody(ctx *fasthttp.RequestCtx, c *Conn, limit int) ([]byte, error) {
	length := ctx.Request.Header.ContentLength()
	stream := ctx.RequestBodyStream()
	switch {
	case length == 0 || length == identity:
		return nil, nil
	case length > limit || stream == nil:
		// Without a stream the body exceeded the limit when its head arrived, and the server did not ask for it. The limit may be higher now.
		return nil, ErrTooLong
	}
	// One byte beyond the limit tells a body that exceeds it.
	longest := limit + 1
	if length != chunked {
		longest = length
	}
	var body []byte
	for size := min(longest, firstReadBytes); ; size = min(longest, 2*size) {
		if c != nil {
			if err := c.hold(int64(size)); err != nil {
				return nil, err
			}
		}
		grown := make([]byte, size)
		n, err := readFull(stream, grown, copy(grown, body))
		if c != nil && len(body) > 0 {
			c.add(-int64(len(body)))
		}
		body = grown[:n]
		switch {
		case errors.Is(err, io.EOF) && length != chunked && n < length:
			return nil, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF) || err == nil && n == length:
			return body, nil
		case err != nil:
			return nil, err
		case n > limit:
			return nil, ErrTooLong
		}
	}
}

// readFull reads into a buffer from an offset until it is full or the stream ends, and returns the end of what it has read.
func readFull(stream io.Reader, buffer []byte, offset int) (int, error) {
	for offset < len(buffer) {
		n, err := stream.Read(buffer[offset:])
		offset += n
		if err != nil {
			return offset, err
		}
	}
	return offset, nil
}
