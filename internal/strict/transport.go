package strict

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fireflylanding/fireflylanding/internal/meter"
	"github.com/fireflylanding/fireflylanding/internal/pool"
)

const (
	// minExpectedBytes is the least size up to which a response is not given up when all responses together exceed their budget.
	minExpectedBytes = 64 << 10
	// framingBytes is what a response may take besides its body.
	framingBytes = 256 << 10
)

// Transport reads the responses of a fasthttp client with ReadResponse. A connection is used again only after a complete response, and only while
// no further bytes have arrived on it, since these would be taken for the next response. The responses on connections of a meter.Budget draw on it;
// one that is given up fails with meter.ErrTooLong or meter.ErrBudget.
//
// It is safe for concurrent use.
type Transport struct {
	maxBody int
	// expected is the size in bytes up to which a response is not given up for the sake of others.
	expected atomic.Int64
}

// NewTransport returns a transport for responses of at most maxBody bytes of body.
func NewTransport(maxBody int) *Transport {
	t := &Transport{maxBody: maxBody}
	t.expected.Store(minExpectedBytes)
	return t
}

// Expect raises the size up to which responses are not given up to that of a response that a request asks for.
func (t *Transport) Expect(bytes int64) {
	for known := t.expected.Load(); bytes > known && !t.expected.CompareAndSwap(known, bytes); known = t.expected.Load() {
	}
}

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
	if err := t.read(conn, reader, response); err != nil {
		return false, timeoutError(err)
	}
	return reader.Buffered() == 0 && pool.Clean(conn) && !request.ConnectionClose() && !response.ConnectionClose(), nil
}

// read reads the response, within the budget of its connection if it has one.
func (t *Transport) read(conn net.Conn, reader *bufio.Reader, response *fasthttp.Response) error {
	metered, ok := conn.(*meter.Conn)
	if !ok {
		return ReadResponse(response, reader, t.maxBody)
	}
	metered.Begin(t.expected.Load(), int64(t.maxBody)+framingBytes)
	defer metered.End()
	err := ReadResponse(response, reader, t.maxBody)
	if cut := metered.Cut(); cut != nil {
		return cut
	}
	return err
}

// timeoutError returns fasthttp.ErrTimeout for a timeout, as clients of fasthttp expect, and other errors unchanged.
func timeoutError(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return fasthttp.ErrTimeout
	}
	return err
}
