// Package plat is a client for the platform's configuration service. The service is read-only: its values can be read and watched.
package plat

import (
	"context"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fireflylanding/fireflylanding/internal/epoch"
	"github.com/fireflylanding/fireflylanding/internal/pool"
)

const (
	// MaxValueBytes is the greatest size of a value that the service stores.
	MaxValueBytes = 1 << 20
	// valueSlackBytes is tolerated above MaxValueBytes, in case the service measures the size of a value slightly differently.
	valueSlackBytes = 16 << 10

	defaultTimeout = 5 * time.Second
	// watchTimeoutSlack is the time that a watch call may take in addition to its wait time.
	watchTimeoutSlack = 5 * time.Second
	// maxIdleConns is the greatest number of idle connections kept for further calls.
	maxIdleConns = 4
	// idleTimeout is the time after which an idle connection is not reused, since the service may have closed it.
	idleTimeout = 5 * time.Second

	pathPrefix     = "/v1/values/"
	revisionHeader = "X-Revision"
	// eraHeader counts how often the service came back from an older copy. A service that does not send it is in era 0.
	eraHeader = "X-Era"
)

// Value is one revision of the value of a key.
type Value struct {
	revision uint64
	data     []byte
}

// NewValue returns a value. It is for tests and fakes of the client.
func NewValue(revision uint64, data []byte) Value {
	return Value{revision: revision, data: data}
}

// Revision returns the revision that the service assigned to the value, with the era of the service as package epoch encodes it.
func (v Value) Revision() uint64 { return v.revision }

// Data returns the bytes of the value. The caller must not modify them.
func (v Value) Data() []byte { return v.data }

// Option configures a client.
type Option func(*Client)

// WithTimeout sets the timeout of a read. The default is 5 s.
func WithTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.timeout = timeout }
}

// WithDial sets the function that opens connections. It is for tests.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.dial = dial }
}

// Client reads and watches values. It never retries a call by itself, since the service limits the call rate of all nodes together. It is
// safe for concurrent use.
type Client struct {
	address string
	timeout time.Duration
	dial    func(ctx context.Context, network, address string) (net.Conn, error)

	mu   sync.Mutex
	idle []*clientConn
}

// New returns a client for the service at the given host:port address.
func New(address string, options ...Option) *Client {
	c := &Client{address: address, timeout: defaultTimeout, dial: (&net.Dialer{}).DialContext}
	for _, option := range options {
		option(c)
	}
	return c
}

// Read returns the current value of a key. The error is an *UnavailableError, *RateLimitedError, *UnknownKeyError or *TooLargeError.
func (c *Client) Read(ctx context.Context, key string) (Value, error) {
	value, _, err := c.get(ctx, key, "", c.timeout)
	return value, err
}

// Watch waits until the key has a revision other than after. It returns false if there was none within the wait time, which is rounded up
// to whole seconds. Its errors are those of Read.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, bool, error) {
	seconds := int64((wait + time.Second - 1) / time.Second)
	query := "?after=" + strconv.FormatUint(epoch.Revision(after).Number(), 10) + "&wait=" + strconv.FormatInt(seconds, 10)
	value, changed, err := c.get(ctx, key, query, time.Duration(seconds)*time.Second+watchTimeoutSlack)
	if err != nil || changed || value.revision == 0 || epoch.Revision(value.revision).Era() == epoch.Revision(after).Era() {
		return value, changed, err
	}
	// The service has the same number in another era, which belongs to another value.
	value, err = c.Read(ctx, key)
	return value, err == nil, err
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	conns := c.idle
	c.idle = nil
	c.mu.Unlock()
	for _, conn := range conns {
		conn.close()
	}
}

// get makes one call. It returns false if the service reports that the value has not changed.
func (c *Client) get(ctx context.Context, key, query string, timeout time.Duration) (Value, bool, error) {
	if err := ctx.Err(); err != nil {
		return Value{}, false, &UnavailableError{key: key, cause: err}
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + c.address + pathPrefix + escapeKey(key) + query)

	deadline := time.Now().Add(timeout)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
	if err := c.call(ctx, request, response, deadline); err != nil {
		return Value{}, false, wrapCallError(ctx, key, err)
	}
	return decode(key, response)
}

// call makes one exchange on an idle or new connection.
func (c *Client) call(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response, deadline time.Time) error {
	conn, err := c.acquireConn(ctx, deadline)
	if err != nil {
		return err
	}
	reusable, err := conn.do(ctx, request, response, deadline)
	c.releaseConn(conn, reusable)
	return err
}

// wrapCallError converts the error of a failed call to an error of this package. If ctx is done, the cause is the error of ctx.
func wrapCallError(ctx context.Context, key string, err error) error {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return &TooLargeError{key: key}
	}
	if ctxErr := ctx.Err(); ctxErr != nil {
		err = ctxErr
	}
	return &UnavailableError{key: key, cause: err}
}

// decode converts a response into a value or the error for its status.
func decode(key string, response *fasthttp.Response) (Value, bool, error) {
	switch status := response.StatusCode(); status {
	case fasthttp.StatusOK:
		return decodeValue(key, response)
	case fasthttp.StatusNotModified:
		return decodeUnchanged(key, response)
	case fasthttp.StatusTooManyRequests:
		return Value{}, false, &RateLimitedError{key: key}
	case fasthttp.StatusNotFound:
		return Value{}, false, &UnknownKeyError{key: key}
	default:
		return Value{}, false, &UnavailableError{key: key, cause: errors.Newf("unexpected status %d", status)}
	}
}

// decodeUnchanged returns a value without data, which has the service's revision if the reply names it.
func decodeUnchanged(key string, response *fasthttp.Response) (Value, bool, error) {
	if len(response.Header.Peek(revisionHeader)) == 0 {
		return Value{}, false, nil
	}
	revision, err := decodeRevision(response)
	if err != nil {
		return Value{}, false, &UnavailableError{key: key, cause: err}
	}
	return Value{revision: revision}, false, nil
}

// decodeRevision returns the revision and the era that a reply names.
func decodeRevision(response *fasthttp.Response) (uint64, error) {
	text := string(response.Header.Peek(revisionHeader))
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.Newf("header %s is %q, want a revision", revisionHeader, text)
	}
	era := uint64(0)
	if text := string(response.Header.Peek(eraHeader)); text != "" {
		if era, err = strconv.ParseUint(text, 10, 64); err != nil {
			return 0, errors.Newf("header %s is %q, want a count", eraHeader, text)
		}
	}
	revision, err := epoch.New(era, number)
	return uint64(revision), err
}

func decodeValue(key string, response *fasthttp.Response) (Value, bool, error) {
	revision, err := decodeRevision(response)
	if err != nil {
		return Value{}, false, &UnavailableError{key: key, cause: err}
	}
	body := response.Body()
	if len(body) > MaxValueBytes+valueSlackBytes {
		return Value{}, false, &TooLargeError{key: key}
	}
	return Value{revision: revision, data: append([]byte(nil), body...)}, true, nil
}

// escapeKey returns the key as an escaped URL path. Slashes in the key stay path separators.
func escapeKey(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return strings.Join(parts, "/")
}

// acquireConn returns an idle connection, or opens one if there is none.
func (c *Client) acquireConn(ctx context.Context, deadline time.Time) (*clientConn, error) {
	if idle := c.acquireIdleConn(); idle != nil {
		return idle, nil
	}
	dialCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn, err := c.dial(dialCtx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	return newClientConn(conn), nil
}

// acquireIdleConn returns the most recently released idle connection, or nil. It closes connections that exceed idleTimeout and those on which bytes
// have arrived or that the service has closed.
func (c *Client) acquireIdleConn() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := len(c.idle); n > 0; n = len(c.idle) {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		if time.Since(conn.lastUsed) < idleTimeout && pool.Clean(conn.conn) {
			return conn
		}
		conn.close()
	}
	return nil
}

// releaseConn returns a connection to the idle ones after use. A connection that is not reusable is closed, since it may still deliver an
// old reply.
func (c *Client) releaseConn(conn *clientConn, reusable bool) {
	conn.lastUsed = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !reusable || len(c.idle) >= maxIdleConns {
		conn.close()
		return
	}
	c.idle = append(c.idle, conn)
}
