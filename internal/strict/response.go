// Package strict reads HTTP/1.1 responses and rejects malformed ones, which the HTTP library accepts.
package strict

import (
	"bufio"
	"bytes"
	"io"

	"github.com/valyala/bytebufferpool"
	"github.com/valyala/fasthttp"
)

// unknownLength is the content length that the HTTP library states for a body that ends with its connection.
const unknownLength = -2

// ReadResponse reads a response of at most maxBody bytes of body. A malformed one fails with a *MalformedError. The memory grows with the bytes
// that have arrived: the HTTP library would allocate the length that a server announces for a body or a chunk before it reads any of it.
func ReadResponse(response *fasthttp.Response, r *bufio.Reader, maxBody int) error {
	if err := peekStatusLine(r); err != nil {
		return err
	}
	response.StreamBody = true
	if err := response.ReadLimitBody(r, maxBody); err != nil {
		return err
	}
	stream := response.BodyStream()
	if stream == nil {
		return nil
	}
	length := response.Header.ContentLength()
	if length > maxBody {
		return fasthttp.ErrBodyTooLarge
	}
	body := bytebufferpool.Get()
	defer bytebufferpool.Put(body)
	n, err := body.ReadFrom(io.LimitReader(stream, int64(maxBody)+1))
	if err != nil {
		return err
	}
	if n > int64(maxBody) {
		return fasthttp.ErrBodyTooLarge
	}
	// This also closes the stream.
	response.SetBody(body.B)
	if length == unknownLength {
		response.Header.SetContentLength(len(body.B))
	}
	return nil
}

// peekStatusLine checks the status line of the next response and leaves it in the buffer of r.
func peekStatusLine(r *bufio.Reader) error {
	for {
		// The bytes are in the buffer, so that there is no error.
		arrived, _ := r.Peek(r.Buffered())
		if i := bytes.IndexByte(arrived, '\n'); i >= 0 {
			text, ok := bytes.CutSuffix(arrived[:i+1], []byte(crlf))
			if _, sound := parseStatusLine(text); !ok || !sound {
				return malformed(partStatusLine, arrived[:i+1])
			}
			return nil
		}
		if !canBeginStatusLine(arrived) {
			return malformed(partStatusLine, arrived)
		}
		if _, err := r.Peek(len(arrived) + 1); err != nil {
			return err
		}
	}
}
