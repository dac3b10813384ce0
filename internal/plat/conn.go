package plat

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fireflylanding/fireflylanding/internal/strict"
)

// clientConn is one connection, which carries one call at a time. The clients of fasthttp take no context and keep a cleaner goroutine
// running for up to 10 s after their last use, so this package uses only the codec of fasthttp and manages its connections itself.
type clientConn struct {
	conn   net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// lastUsed is the time of the last use.
	lastUsed time.Time
}

func newClientConn(conn net.Conn) *clientConn {
	return &clientConn{conn: conn, reader: bufio.NewReader(conn), writer: bufio.NewWriter(conn)}
}

// do sends one request and returns when the response is complete, the deadline has passed or ctx is done. It reports whether the
// connection can be reused. If not, or after an error, the connection must be closed.
func (c *clientConn) do(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response, deadline time.Time) (bool, error) {
	stop := context.AfterFunc(ctx, c.close)
	err := c.exchange(request, response, deadline)
	reusable := stop() && err == nil && !response.ConnectionClose() && c.reader.Buffered() == 0
	return reusable, err
}

// exchange writes the request and reads the response.
func (c *clientConn) exchange(request *fasthttp.Request, response *fasthttp.Response, deadline time.Time) error {
	if err := c.conn.SetDeadline(deadline); err != nil {
		return err
	}
	if err := request.Write(c.writer); err != nil {
		return err
	}
	if err := c.writer.Flush(); err != nil {
		return err
	}
	return strict.ReadResponse(response, c.reader, MaxValueBytes+valueSlackBytes)
}

// close closes the connection. A call in progress returns an error.
func (c *clientConn) close() {
	_ = c.conn.Close()
}
