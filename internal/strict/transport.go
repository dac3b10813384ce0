package strict

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fireflylanding/fireflylanding/internal/pool"
)

// Transport reads the responses of a fasthttp client with ReadResponse. A connection is used again only after a complete response, and only while
// no further bytes have arrived on it, since these would be taken for the next response.
type Transport struct {
	maxBody int
}

// NewTransport returns a transport for responses of at most maxBody bytes of body.
func NewTransport(maxBody int) *Transport { return &Transport{maxBody: maxBody} }

// RoundTrip implements fasthttp.RoundTripper. It never asks for a retry.
func (t *Transport) RoundTrip(client *fasthttp.HostClient, request *fasthttp.Request, response *fasthttp.Response) (retry bool, err error) {
	var deadline time.Time
	if timeout := request.GetTimeOut(); timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	conn, err := client.AcquireConn(request.GetTimeOut(), request.ConnectionClose())
	for err == nil && !conn.LastUseTime().IsZero() && !pool.Clean(conn.Conn()) {
		client.CloseConn(conn)
		conn, err = client.AcquireConn(request.GetTimeOut(), request.ConnectionClose())
	}
	if err != nil {
		return false, err
	}
	response.ParseNetConn(conn.Conn())
	reusable, err := t.exchange(client, conn.Conn(), deadline, request, response)
	if reusable {
		client.ReleaseConn(conn)
	} else {
		client.CloseConn(conn)
	}
	return false, err
}

// exchange sends the request and reads the response. It reports whether the connection may carry another request.
func (t *Transport) exchange(client *fasthttp.HostClient, conn net.Conn, deadline time.Time, request *fasthttp.Request, response *fasthttp.Response) (reusable bool, err error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return false, err
	}
	writer := client.AcquireWriter(conn)
	defer client.ReleaseWriter(writer)
	if err := request.Write(writer); err != nil {
		return false, timeoutError(err)
	}
	if err := writer.Flush(); err != nil {
		return false, timeoutError(err)
	}
	reader := client.AcquireReader(conn)
	defer client.ReleaseReader(reader)
	response.SkipBody = response.SkipBody || request.Header.IsHead()
	if client.DisableHeaderNamesNormalizing {
		response.Header.DisableNormalizing()
	}
	if err := ReadResponse(response, reader, t.maxBody); err != nil {
		return false, timeoutError(err)
	}
	return reader.Buffered() == 0 && !request.ConnectionClose() && !response.ConnectionClose(), nil
}

// timeoutError returns fasthttp.ErrTimeout for a timeout, as clients of fasthttp expect, and other errors unchanged.
func timeoutError(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return fasthttp.ErrTimeout
	}
	return err
}
