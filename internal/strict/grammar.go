package strict

import (
	"bytes"
	"math"
	"strings"

	"github.com/valyala/fasthttp"
)

// Parts of a response that errors name.
const (
	partHead       = "head"
	partStatusLine = "status line"
	partFieldLine  = "field line"
	partFraming    = "framing"
	partChunk      = "chunk"
)

const (
	crlf       = "\r\n"
	whitespace = " \t"
	versionOne = "HTTP/1."
)

// Offsets in a status line, whose parts before the reason phrase have fixed lengths.
const (
	minorAt   = len(versionOne)
	statusAt  = minorAt + 2
	reasonAt  = statusAt + 4
	minStatus = 100
	maxStatus = 599
)

// statusLine holds the values of a status line.
type statusLine struct {
	minor  int
	status int
}

// parseStatusLine parses a status line without its line break. It rejects a switch to another protocol, which no request asks for.
func parseStatusLine(line []byte) (statusLine, bool) {
	if len(line) < reasonAt || !bytes.HasPrefix(line, []byte(versionOne)) || line[minorAt+1] != ' ' || line[reasonAt-1] != ' ' {
		return statusLine{}, false
	}
	minor, ok := parseNumber(line[minorAt:minorAt+1], 10)
	status, okStatus := parseNumber(line[statusAt:reasonAt-1], 10)
	if !ok || !okStatus || status < minStatus || status > maxStatus || status == fasthttp.StatusSwitchingProtocols || !isText(line[reasonAt:]) {
		return statusLine{}, false
	}
	return statusLine{minor: int(minor), status: int(status)}, true
}

// canBeginStatusLine reports whether a sound status line may begin with the bytes that have arrived.
func canBeginStatusLine(arrived []byte) bool {
	n := min(len(arrived), len(versionOne))
	return string(arrived[:n]) == versionOne[:n]
}

// parseFieldLine splits a field line without its line break. A line that continues the previous one is rejected, as RFC 9112 section 5.2 allows
// a gateway.
func parseFieldLine(line []byte) (name, value []byte, ok bool) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 || leadingToken(name) != len(name) || !isText(value) {
		return nil, nil, false
	}
	return name, bytes.Trim(value, whitespace), true
}

// parseNumber parses a number of at least one digit and no sign. A number beyond the range of int64 is returned as the greatest one.
func parseNumber(text []byte, base int64) (int64, bool) {
	if len(text) == 0 {
		return 0, false
	}
	n := int64(0)
	for _, c := range text {
		digit := digitValue(c)
		if digit < 0 || digit >= base {
			return 0, false
		}
		if n > (math.MaxInt64-digit)/base {
			n = math.MaxInt64
			continue
		}
		n = n*base + digit
	}
	return n, true
}

// digitValue returns the value of a hexadecimal digit, or -1.
func digitValue(c byte) int64 {
	switch {
	case '0' <= c && c <= '9':
		return int64(c - '0')
	case 'a' <= c && c <= 'f':
		return int64(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int64(c-'A') + 10
	default:
		return -1
	}
}

// parseChunkLine returns the size of a chunk from its line without the line break, and the number of bytes of the extensions.
func parseChunkLine(line []byte) (size int64, extensions int, ok bool) {
	digits := 0
	for digits < len(line) && digitValue(line[digits]) >= 0 {
		digits++
	}
	rest := line[digits:]
	for len(rest) > 0 {
		if rest, ok = cutExtension(rest); !ok {
			return 0, 0, false
		}
	}
	size, ok = parseNumber(line[:digits], 16)
	return size, len(line) - digits, ok
}

// cutExtension returns what follows the chunk extension at the start of rest.
func cutExtension(rest []byte) ([]byte, bool) {
	rest = bytes.TrimLeft(rest, whitespace)
	if len(rest) == 0 || rest[0] != ';' {
		return nil, false
	}
	rest = bytes.TrimLeft(rest[1:], whitespace)
	name := leadingToken(rest)
	if name == 0 {
		return nil, false
	}
	rest = rest[name:]
	value, hasValue := bytes.CutPrefix(bytes.TrimLeft(rest, whitespace), []byte("="))
	if !hasValue {
		return rest, true
	}
	value = bytes.TrimLeft(value, whitespace)
	n := leadingToken(value)
	if n == 0 {
		n = leadingQuotation(value)
	}
	return value[n:], n > 0
}

// leadingToken returns the length of the token at the start of text.
func leadingToken(text []byte) int {
	for i, c := range text {
		if !isTokenByte(c) {
			return i
		}
	}
	return len(text)
}

// leadingQuotation returns the length of the quoted string at the start of text, or 0 if there is none.
func leadingQuotation(text []byte) int {
	if len(text) == 0 || text[0] != '"' {
		return 0
	}
	for i := 1; i < len(text); i++ {
		switch {
		case text[i] == '"':
			return i + 1
		case !isTextByte(text[i]):
			return 0
		case text[i] == '\\':
			i++
			if i == len(text) || !isTextByte(text[i]) {
				return 0
			}
		}
	}
	return 0
}

func isTokenByte(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// isText reports whether all bytes may stand in a field value or a reason phrase.
func isText(text []byte) bool {
	for _, c := range text {
		if !isTextByte(c) {
			return false
		}
	}
	return true
}

func isTextByte(c byte) bool { return c == '\t' || c >= ' ' && c != 0x7f }
