package strict

import (
	"bufio"
	"bytes"
	"io"

	"github.com/valyala/fasthttp"
)

// framing is how the end of a response's content is found: noContent, byLength, byChunks or byClose.
type framing interface{ framing() }

// noContent ends with the head.
type noContent struct{}

// byLength has a Content-Length in bytes.
type byLength struct{ bytes int64 }

// byChunks is a chunked body.
type byChunks struct{}

// byClose ends with the connection.
type byClose struct{}

func (noContent) framing() {}
func (byLength) framing()  {}
func (byChunks) framing()  {}
func (byClose) framing()   {}

// head is the head of a response, from its status line to the blank line.
type head struct {
	statusLine
	// size is the number of bytes of the head.
	size    int
	framing framing
}

// interim reports whether another response to the same request follows.
func (h head) interim() bool { return h.status < fasthttp.StatusOK }

// headScanner checks the lines of a head as they arrive.
type headScanner struct {
	statusLine
	started bool
	ended   bool
	// length is the value of the Content-Length field, unless there is none.
	length    int64
	hasLength bool
	chunked   bool
}

// peekHead checks the head of the next response and leaves it in the buffer of r, which bounds its size.
func peekHead(r *bufio.Reader) (head, error) {
	var s headScanner
	for size := 0; ; {
		// The bytes are in the buffer, so that there is no error.
		arrived, _ := r.Peek(r.Buffered())
		for !s.ended {
			i := bytes.IndexByte(arrived[size:], '\n')
			if i < 0 {
				break
			}
			line := arrived[size : size+i+1]
			size += len(line)
			if err := s.add(line); err != nil {
				return head{}, err
			}
		}
		switch {
		case s.ended:
			content, err := s.content()
			return head{statusLine: s.statusLine, size: size, framing: content}, err
		case !s.started && !canBeginStatusLine(arrived):
			return head{}, malformed(partStatusLine, arrived)
		case len(arrived) == r.Size():
			return head{}, ErrTooLong
		}
		if _, err := r.Peek(len(arrived) + 1); err != nil {
			if err == io.EOF && len(arrived) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return head{}, err
		}
	}
}

// add checks the next line of the head, which ends in a line feed.
func (s *headScanner) add(line []byte) error {
	text, ok := bytes.CutSuffix(line, []byte(crlf))
	switch {
	case !s.started:
		if ok {
			s.statusLine, ok = parseStatusLine(text)
		}
		s.started = true
		if !ok {
			return malformed(partStatusLine, line)
		}
		return nil
	case !ok:
		return malformed(partFieldLine, line)
	case len(text) == 0:
		s.ended = true
		return nil
	default:
		return s.addField(text)
	}
}

func (s *headScanner) addField(line []byte) error {
	name, value, ok := parseFieldLine(line)
	switch {
	case !ok:
		return malformed(partFieldLine, line)
	case bytes.EqualFold(name, []byte("Content-Length")):
		if s.length, ok = parseNumber(value, 10); !ok || s.hasLength {
			return malformed(partFraming, line)
		}
		s.hasLength = true
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		// No request offers other codings.
		if !bytes.EqualFold(value, []byte("chunked")) || s.chunked {
			return malformed(partFraming, line)
		}
		s.chunked = true
	}
	return nil
}

// content returns how the end of the content is found, by the rules of RFC 9112 section 6.3.
func (s *headScanner) content() (framing, error) {
	switch {
	case s.status < fasthttp.StatusOK || s.status == fasthttp.StatusNoContent:
		if s.chunked || s.length > 0 {
			return nil, malformed(partFraming, []byte("content of a response that has none"))
		}
		return noContent{}, nil
	case s.chunked && s.hasLength:
		return nil, malformed(partFraming, []byte("both Transfer-Encoding and Content-Length"))
	case s.chunked && s.minor == 0:
		return nil, malformed(partFraming, []byte("Transfer-Encoding in HTTP/1.0"))
	case s.status == fasthttp.StatusNotModified:
		return noContent{}, nil
	case s.chunked:
		return byChunks{}, nil
	case s.hasLength:
		return byLength{bytes: s.length}, nil
	default:
		return byClose{}, nil
	}
}
