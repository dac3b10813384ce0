// Package strict reads HTTP/1.1 responses and rejects those that RFC 9110 and RFC 9112 call malformed. The HTTP library accepts many of them, so
// that what a server sent in error would pass as an answer, or with a body that the server did not send.
package strict

import (
	"bufio"
	"bytes"
	"io"

	"github.com/valyala/fasthttp"
)

const (
	// maxInterim is the number of interim responses that may precede a final one.
	maxInterim = 100
	// maxExtensionBytes and maxTrailerBytes bound all chunk extensions and all trailers of a response.
	maxExtensionBytes = 16 << 10
	maxTrailerBytes   = 16 << 10
)

// ReadResponse reads the next final response, of at most maxBody bytes of body. The buffer of r bounds its head. If response.SkipBody is set, the
// response is one without content, as to a HEAD request. Interim responses and trailers are dropped.
//
// The error is a *MalformedError, ErrTooLong, fasthttp.ErrBodyTooLarge, or that of the connection; io.EOF means that it closed before the first
// byte. The memory for a body grows with the bytes that have arrived, whatever length the server announces. Bytes that remain in r belong to no
// response.
func ReadResponse(response *fasthttp.Response, r *bufio.Reader, maxBody int) error {
	final, err := skipInterim(r)
	if err != nil {
		return err
	}
	if length, ok := final.framing.(byLength); ok && length.bytes > int64(maxBody) && !response.SkipBody {
		return fasthttp.ErrBodyTooLarge
	}
	buffered := r.Buffered()
	if err := response.Header.Read(r); err != nil {
		return malformed(partHead, []byte(err.Error()))
	}
	if buffered-r.Buffered() != final.size {
		return malformed(partHead, []byte("the HTTP library reads another head"))
	}
	response.ResetBody()
	if response.SkipBody {
		return nil
	}
	var body blocks
	defer body.release()
	if err := readContent(&body, r, final.framing, maxBody); err != nil {
		return err
	}
	// This status has no content, although it is framed like one with content.
	if final.status == fasthttp.StatusResetContent && body.size > 0 {
		return malformed(partFraming, []byte("content of status 205"))
	}
	body.copyTo(response)
	if _, ok := final.framing.(byClose); ok {
		response.Header.SetContentLength(body.size)
	}
	return nil
}

// skipInterim drops interim responses and returns the head of the final one.
func skipInterim(r *bufio.Reader) (head, error) {
	for range maxInterim {
		h, err := peekHead(r)
		if err != nil || !h.interim() {
			return h, err
		}
		if _, err := r.Discard(h.size); err != nil {
			return head{}, err
		}
	}
	return head{}, ErrTooLong
}

func readContent(body *blocks, r *bufio.Reader, f framing, maxBody int) error {
	switch f := f.(type) {
	case byLength:
		return appendBytes(body, r, f.bytes)
	case byChunks:
		return readChunks(body, r, maxBody)
	case byClose:
		n, err := body.readFrom(r, int64(maxBody)+1)
		if err == nil && n > int64(maxBody) {
			err = fasthttp.ErrBodyTooLarge
		}
		return err
	default:
		return nil
	}
}

// appendBytes reads exactly n bytes.
func appendBytes(body *blocks, r *bufio.Reader, n int64) error {
	read, err := body.readFrom(r, n)
	if err == nil && read < n {
		err = io.ErrUnexpectedEOF
	}
	return err
}

// readChunks reads a chunked body and its trailers.
func readChunks(body *blocks, r *bufio.Reader, maxBody int) error {
	extensionBytes := 0
	for {
		line, err := readLine(r, partChunk)
		if err != nil {
			return err
		}
		size, extensions, ok := parseChunkLine(line)
		if !ok {
			return malformed(partChunk, line)
		}
		if extensionBytes += extensions; extensionBytes > maxExtensionBytes {
			return ErrTooLong
		}
		if size == 0 {
			return skipTrailers(r)
		}
		if size > int64(maxBody-body.size) {
			return fasthttp.ErrBodyTooLarge
		}
		if err := appendBytes(body, r, size); err != nil {
			return err
		}
		if err := readChunkEnd(r); err != nil {
			return err
		}
	}
}

// readChunkEnd reads the line break after the data of a chunk.
func readChunkEnd(r *bufio.Reader) error {
	for _, want := range []byte(crlf) {
		got, err := r.ReadByte()
		if err != nil {
			return unexpectedEnd(err)
		}
		if got != want {
			return malformed(partChunk, []byte{got})
		}
	}
	return nil
}

func skipTrailers(r *bufio.Reader) error {
	for size := 0; size <= maxTrailerBytes; {
		line, err := readLine(r, partFieldLine)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return nil
		}
		if _, _, ok := parseFieldLine(line); !ok {
			return malformed(partFieldLine, line)
		}
		size += len(line)
	}
	return ErrTooLong
}

// readLine reads a line of a part and returns it without its line break. It is valid until the next read.
func readLine(r *bufio.Reader, part string) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		return nil, ErrTooLong
	}
	if err != nil {
		return nil, unexpectedEnd(err)
	}
	text, ok := bytes.CutSuffix(line, []byte(crlf))
	if !ok {
		return nil, malformed(part, line)
	}
	return text, nil
}

// unexpectedEnd returns the error of a read within a response.
func unexpectedEnd(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
