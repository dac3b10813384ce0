package plat

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// lane is one connection, which carries one call at a time. fasthttp's own clients take no context and keep a cleaner goroutine for
// up to 10 s after their last use, so the calls use its message codec on connections that are opened and closed here.
type lane struct {
	conn   net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// idleSince is the time of the last use.
	idleSince time.Time
}

func newLane(conn net.Conn) *lane {
	return &lane{conn: conn, reader: bufio.NewReader(conn), writer: bufio.NewWriter(conn)}
}

// do sends one request and returns when the response is complete, the deadline passed or ctx ended. After an error, or when it returns
// false, the lane must be closed.
func (l *lane) do(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response, deadline time.Time) (bool, error) {
	stop := context.AfterFunc(ctx, l.close)
	err := l.exchange(request, response, deadline)
	reusable := stop() && err == nil && !response.ConnectionClose()
	return reusable, err
}

func (l *lane) exchange(request *fasthttp.Request, response *fasthttp.Response, deadline time.Time) error {
	if err := l.conn.SetDeadline(deadline); err != nil {
		return err
	}
	if err := request.Write(l.writer); err != nil {
		return err
	}
	if err := l.writer.Flush(); err != nil {
		return err
	}
	return response.ReadLimitBody(l.reader, MaxValueBytes+valueSlackBytes)
}

// close ends the connection; a call in progress returns with an error.
func (l *lane) close() {
	_ = l.conn.Close()
}
