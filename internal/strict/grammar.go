package strict

import (
	"bytes"
	"math"
)

// partStatusLine is the part of a response that errors name.
const partStatusLine = "status line"

const (
	crlf       = "\r\n"
	versionOne = "HTTP/1."
)

// Offsets in a status line, whose parts before the reason phrase have fixed lengths.
const (
	minorAt   = len(versionOne)
	statusAt  = minorAt + 2
	reasonAt  = statusAt + 4
	minStatus = 100
	maxStatus = 599
	// statusSwitching switches to another protocol, which no request asks for.
	statusSwitching = 101
)

// statusLine holds the values of a status line.
type statusLine struct {
	minor  int
	status int
}

// parseStatusLine parses a status line without its line break.
func parseStatusLine(line []byte) (statusLine, bool) {
	if len(line) < reasonAt || !bytes.HasPrefix(line, []byte(versionOne)) || line[minorAt+1] != ' ' || line[reasonAt-1] != ' ' {
		return statusLine{}, false
	}
	minor, ok := parseNumber(line[minorAt:minorAt+1], 10)
	status, okStatus := parseNumber(line[statusAt:reasonAt-1], 10)
	if !ok || !okStatus || status < minStatus || status > maxStatus || status == statusSwitching || !isText(line[reasonAt:]) {
		return statusLine{}, false
	}
	return statusLine{minor: int(minor), status: int(status)}, true
}

// canBeginStatusLine reports whether a sound status line may begin with the bytes that have arrived.
func canBeginStatusLine(arrived []byte) bool {
	n := min(len(arrived), len(versionOne))
	return string(arrived[:n]) == versionOne[:n]
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
