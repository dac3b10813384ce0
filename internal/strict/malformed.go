package strict

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrTooLong is the error of a response whose head, chunk extensions or trailer section exceed their limits. A body that is too long fails with
// fasthttp.ErrBodyTooLarge.
var ErrTooLong = errors.New("head, chunk extensions or trailers of the response are too long")

// MalformedError reports a response that violates the grammar or the framing rules of HTTP/1.1. Nothing of the response may be used, and its
// connection must be closed.
type MalformedError struct {
	part string
	text string
}

// maxQuotedBytes bounds how much of a malformed response an error quotes.
const maxQuotedBytes = 64

func malformed(part string, text []byte) error {
	return &MalformedError{part: part, text: string(text[:min(len(text), maxQuotedBytes)])}
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed %s of the response: %q", e.part, e.text)
}

// IsMalformed reports whether err is or wraps a MalformedError.
func IsMalformed(err error) bool {
	var malformed *MalformedError
	return errors.As(err, &malformed)
}
