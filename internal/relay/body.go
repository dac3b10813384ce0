package relay

import (
	"bufio"
	"io"

	"github.com/valyala/bytebufferpool"
	"github.com/valyala/fasthttp"
)

// unknownLength is the content length that the HTTP library states for a body that ends with its connection.
const unknownLength = -2

// readReplyInto reads a reply of at most maxBody bytes of body. Its memory grows with the bytes that have arrived: the HTTP library would allocate
// the length that a searcher announces for a body or a chunk before it reads any of it.
func readReplyInto(response *fasthttp.Response, r *bufio.Reader, maxBody int) error {
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
