// Package plat is the client of the platform's configuration service, which can only be read and watched.
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
)

const (
	// MaxValueBytes is the greatest value of the service.
	MaxValueBytes = 1 << 20
	// valueSlackBytes allows for a service that counts the limit slightly differently.
	valueSlackBytes = 16 << 10

	defaultTimeout = 5 * time.Second
	// watchSlack is the time that a watch may take beyond its wait.
	watchSlack = 5 * time.Second
	// idleConnections is the number of connections kept for further calls.
	idleConnections = 4
	// idleLife is the time after which an idle connection is not used again, as the service may have closed it.
	idleLife = 5 * time.Second

	pathPrefix     = "/v1/values/"
	revisionHeader = "X-Revision"
)

// Value is one revision of a value.
type Value struct {
	revision uint64
	data     []byte
}

// NewValue returns a value for tests and stand-ins.
func NewValue(revision uint64, data []byte) Value {
	return Value{revision: revision, data: data}
}

// Revision returns the revision that the service gave.
func (v Value) Revision() uint64 { return v.revision }

// Data returns the value. The caller must not change it.
func (v Value) Data() []byte { return v.data }

// Option changes a client.
type Option func(*Client)

// WithTimeout sets the time that a read may take, and that a watch may take to connect; default 5 s.
func WithTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.timeout = timeout }
}

// WithDial sets how connections are opened, for tests.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.dial = dial }
}

// Client reads and watches values. It never repeats a call on its own, since the service limits the calls of the whole fleet.
// It is safe for concurrent use.
type Client struct {
	address string
	timeout time.Duration
	dial    func(ctx context.Context, network, address string) (net.Conn, error)

	mu   sync.Mutex
	idle []*lane
}

// New returns a client of the service at an address and TCP port.
func New(address string, options ...Option) *Client {
	c := &Client{address: address, timeout: defaultTimeout, dial: (&net.Dialer{}).DialContext}
	for _, option := range options {
		option(c)
	}
	return c
}

// Read returns the present value of a key. Its errors are *UnavailableError, *OverRateError, *UnknownKeyError and *TooLargeError.
func (c *Client) Read(ctx context.Context, key string) (Value, error) {
	value, _, err := c.get(ctx, key, "", c.timeout)
	return value, err
}

// Watch waits for a revision of a key other than after, and returns false when there was none within the wait, which
// is rounded up to whole seconds. Its errors are those of Read.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, bool, error) {
	seconds := int64((wait + time.Second - 1) / time.Second)
	query := "?after=" + strconv.FormatUint(after, 10) + "&wait=" + strconv.FormatInt(seconds, 10)
	return c.get(ctx, key, query, time.Duration(seconds)*time.Second+watchSlack)
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	lanes := c.idle
	c.idle = nil
	c.mu.Unlock()
	for _, l := range lanes {
		l.close()
	}
}

func (c *Client) get(ctx context.Context, key, query string, timeout time.Duration) (Value, bool, error) {
	if err := ctx.Err(); err != nil {
		return Value{}, false, &UnavailableError{key: key, cause: err}
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + c.address + pathPrefix + escape(key) + query)

	deadline := time.Now().Add(timeout)
	if end, ok := ctx.Deadline(); ok && end.Before(deadline) {
		deadline = end
	}
	if err := c.call(ctx, request, response, deadline); err != nil {
		return Value{}, false, callError(ctx, key, err)
	}
	return decode(key, response)
}

func (c *Client) call(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response, deadline time.Time) error {
	l, err := c.take(ctx, deadline)
	if err != nil {
		return err
	}
	reusable, err := l.do(ctx, request, response, deadline)
	c.give(l, reusable)
	return err
}

// callError names the cause of a failed call: the end of its context, if that ended it.
func callError(ctx context.Context, key string, err error) error {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return &TooLargeError{key: key}
	}
	if ctxErr := ctx.Err(); ctxErr != nil {
		err = ctxErr
	}
	return &UnavailableError{key: key, cause: err}
}

func decode(key string, response *fasthttp.Response) (Value, bool, error) {
	switch status := response.StatusCode(); status {
	case fasthttp.StatusOK:
		return decodeValue(key, response)
	case fasthttp.StatusNotModified:
		return Value{}, false, nil
	case fasthttp.StatusTooManyRequests:
		return Value{}, false, &RateLimitedError{key: key}
	case fasthttp.StatusNotFound:
		return Value{}, false, &UnknownKeyError{key: key}
	default:
		return Value{}, false, &UnavailableError{key: key, cause: errors.Newf("status %d", status)}
	}
}

func decodeValue(key string, response *fasthttp.Response) (Value, bool, error) {
	text := string(response.Header.Peek(revisionHeader))
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return Value{}, false, &UnavailableError{key: key, cause: errors.Newf("header %s is %q", revisionHeader, text)}
	}
	body := response.Body()
	if len(body) > MaxValueBytes+valueSlackBytes {
		return Value{}, false, &TooLargeError{key: key}
	}
	return Value{revision: revision, data: append([]byte(nil), body...)}, true, nil
}

// escape returns the key as a path; slashes separate its parts.
func escape(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return strings.Join(parts, "/")
}

// take returns an idle connection or opens one.
func (c *Client) take(ctx context.Context, deadline time.Time) (*lane, error) {
	if l := c.takeIdle(); l != nil {
		return l, nil
	}
	connect, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn, err := c.dial(connect, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	return newLane(conn), nil
}

func (c *Client) takeIdle() *lane {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := len(c.idle); n > 0; n = len(c.idle) {
		l := c.idle[n-1]
		c.idle = c.idle[:n-1]
		if time.Since(l.idleSince) < idleLife {
			return l
		}
		l.close()
	}
	return nil
}

// give returns a lane after use. One that is not reusable is closed, since its connection may still deliver an old reply.
func (c *Client) give(l *lane, reusable bool) {
	l.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !reusable || len(c.idle) >= idleConnections {
		l.close()
		return
	}
	c.idle = append(c.idle, l)
}
