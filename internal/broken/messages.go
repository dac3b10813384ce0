// Package broken holds HTTP/1.1 responses for tests of the code that reads responses: malformed ones, which must be rejected, and unusual ones,
// which are sound.
package broken

import (
	"fmt"
	"iter"
	"maps"
	"strconv"
	"strings"
)

// Malformed returns malformed responses by name, each with the given header fields, which end with a line break, and body. All of them are
// malformed in what they contain, and not since something is missing at their end.
func Malformed(fields, body string) map[string]string {
	all := make(map[string]string)
	for _, messages := range []map[string]string{
		statusLines(fields, body), fieldLines(fields, body), framing(fields, body), chunkLines(fields, body), trailers(fields, body), interim(fields, body),
	} {
		maps.Copy(all, messages)
	}
	return all
}

// withLines returns the messages that contain each of the lines.
func withLines(lines map[string]string, message func(line string) string) map[string]string {
	messages := make(map[string]string, len(lines))
	for name, line := range lines {
		messages[name] = message(line)
	}
	return messages
}

// length returns the Content-Length line of a body.
func length(body string) string { return "Content-Length: " + strconv.Itoa(len(body)) + "\r\n" }

func statusLines(fields, body string) map[string]string {
	lines := map[string]string{
		"status 000":                "HTTP/1.1 000 OK\r\n",
		"status 099":                "HTTP/1.1 099 OK\r\n",
		"status 600":                "HTTP/1.1 600 OK\r\n",
		"status 999":                "HTTP/1.1 999 OK\r\n",
		"status of two digits":      "HTTP/1.1 20 OK\r\n",
		"status of four digits":     "HTTP/1.1 2000 OK\r\n",
		"status with a letter":      "HTTP/1.1 2OO OK\r\n",
		"status with a sign":        "HTTP/1.1 +20 OK\r\n",
		"no status":                 "HTTP/1.1 OK\r\n",
		"no version":                "200 OK\r\n",
		"no space after the status": "HTTP/1.1 200\r\n",
		"two spaces before status":  "HTTP/1.1  200 OK\r\n",
		"tab before status":         "HTTP/1.1\t200 OK\r\n",
		"tab after status":          "HTTP/1.1 200\tOK\r\n",
		"space before the version":  " HTTP/1.1 200 OK\r\n",
		"blank line first":          "\r\nHTTP/1.1 200 OK\r\n",
		"line feed first":           "\nHTTP/1.1 200 OK\r\n",
		"version 2.0":               "HTTP/2.0 200 OK\r\n",
		"version 0.9":               "HTTP/0.9 200 OK\r\n",
		"version of two digits":     "HTTP/1.10 200 OK\r\n",
		"version without a dot":     "HTTP/11 200 OK\r\n",
		"protocol in small letters": "http/1.1 200 OK\r\n",
		"other protocol":            "ICAP/1.1 200 OK\r\n",
		"status line ends in LF":    "HTTP/1.1 200 OK\n",
		"status line ends in CR CR": "HTTP/1.1 200 OK\r\r\n",
		"CR in the reason":          "HTTP/1.1 200 O\rK\r\n",
		"NUL in the reason":         "HTTP/1.1 200 O\x00K\r\n",
		"DEL in the reason":         "HTTP/1.1 200 O\x7fK\r\n",
		"switch of protocols":       "HTTP/1.1 101 Switching Protocols\r\n",
	}
	return withLines(lines, func(line string) string { return line + fields + length(body) + "\r\n" + body })
}

func fieldLines(fields, body string) map[string]string {
	lines := map[string]string{
		"blank in a name":             "X Other: a\r\n",
		"tab in a name":               "X\tOther: a\r\n",
		"blank before the colon":      "X-Other : a\r\n",
		"tab before the colon":        "X-Other\t: a\r\n",
		"control byte in a name":      "X-O\x01ther: a\r\n",
		"NUL in a name":               "X-O\x00ther: a\r\n",
		"CR in a name":                "X-O\rther: a\r\n",
		"DEL in a name":               "X-O\x7fther: a\r\n",
		"CR before the colon":         "X-Other\r: a\r\n",
		"separator in a name":         "X(Other): a\r\n",
		"quote in a name":             "\"X-Other\": a\r\n",
		"name beyond ASCII":           "X-\xc3\x96ther: a\r\n",
		"empty name":                  ": a\r\n",
		"blank name":                  " : a\r\n",
		"no colon":                    "X-Other\r\n",
		"folded value":                "X-Other: a\r\n b\r\n",
		"folded value with a tab":     "X-Other: a\r\n\tb\r\n",
		"folded empty line":           "X-Other: a\r\n \r\n",
		"CR in a value":               "X-Other: a\rb\r\n",
		"NUL in a value":              "X-Other: a\x00b\r\n",
		"control byte in a value":     "X-Other: a\x1bb\r\n",
		"DEL in a value":              "X-Other: a\x7fb\r\n",
		"field ends in LF":            "X-Other: a\n",
		"field ends in CR CR LF":      "X-Other: a\r\r\n",
		"blank line of LF":            "X-Other: a\r\n\n",
		"blank line of LF after LF":   "X-Other: a\n\n",
		"blank in the name of length": "Content Length: 1\r\n",
	}
	messages := withLines(lines, func(line string) string { return "HTTP/1.1 200 OK\r\n" + fields + line + length(body) + "\r\n" + body })
	messages["blank before the first name"] = "HTTP/1.1 200 OK\r\n X-Other: a\r\n" + fields + length(body) + "\r\n" + body
	messages["head ends in LF"] = "HTTP/1.1 200 OK\r\n" + fields + length(body) + "\n" + body
	messages["failure with a blank in a name"] = "HTTP/1.1 500 Failed\r\n" + fields + "X Other: a\r\n" + length(body) + "\r\n" + body
	messages["rejection with a blank in a name"] = "HTTP/1.1 503 Busy\r\n" + fields + "X Other: a\r\nContent-Length: 0\r\n\r\n"
	messages["no content with a blank in a name"] = "HTTP/1.1 204 No Content\r\n" + fields + "X Other: a\r\n\r\n"
	return messages
}

func framing(fields, body string) map[string]string {
	n := strconv.Itoa(len(body))
	shorter := strconv.Itoa(len(body) - 1)
	chunks := chunked(body)
	heads := map[string]string{
		"blank before the colon of length":     "Content-Length : " + n + "\r\n",
		"blank in the name Content-Length":     "Content Length: " + n + "\r\n",
		"tab in the name Content-Length":       "Content-\tLength: " + n + "\r\n",
		"control byte before Content-Length":   "\x01Content-Length: " + n + "\r\n",
		"two different lengths":                "Content-Length: " + n + "\r\nContent-Length: " + shorter + "\r\n",
		"list of different lengths":            "Content-Length: " + n + ", " + shorter + "\r\n",
		"length with plus":                     "Content-Length: +" + n + "\r\n",
		"length with minus":                    "Content-Length: -" + n + "\r\n",
		"length with a letter":                 "Content-Length: " + n + "x\r\n",
		"length in hexadecimal":                "Content-Length: 0x" + n + "\r\n",
		"length with a blank":                  "Content-Length: " + n + " 0\r\n",
		"length with a fraction":               "Content-Length: " + n + ".0\r\n",
		"empty length":                         "Content-Length: \r\n",
		"length and chunks":                    length(body) + "Transfer-Encoding: chunked\r\n",
		"chunks and length":                    "Transfer-Encoding: chunked\r\n" + length(body),
		"unknown transfer coding":              "Transfer-Encoding: rot13\r\n" + length(body),
		"identity as transfer coding":          "Transfer-Encoding: identity\r\n" + length(body),
		"empty transfer coding":                "Transfer-Encoding: \r\n" + length(body),
		"chunked not last":                     "Transfer-Encoding: chunked, gzip\r\n",
		"chunked twice":                        "Transfer-Encoding: chunked, chunked\r\n",
		"chunked in two fields":                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"chunked with a parameter":             "Transfer-Encoding: chunked;a=b\r\n",
		"blank before the colon of the coding": "Transfer-Encoding : chunked\r\n",
		"blank in the name of the coding":      "Transfer Encoding: chunked\r\n",
	}
	messages := withLines(heads, func(head string) string {
		content := body
		if strings.Contains(head, "chunked") {
			content = chunks
		}
		return "HTTP/1.1 200 OK\r\n" + fields + head + "\r\n" + content
	})
	messages["chunks in version 1.0"] = "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks
	messages["no content with a body"] = "HTTP/1.1 204 No Content\r\n" + fields + length(body) + "\r\n" + body
	messages["no content in chunks"] = "HTTP/1.1 204 No Content\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks
	messages["not modified with a bad length"] = "HTTP/1.1 304 Not Modified\r\n" + fields + "Content-Length: 5x\r\n\r\n"
	messages["reset content with a body"] = "HTTP/1.1 205 Reset Content\r\n" + fields + length(body) + "\r\n" + body
	return messages
}

// chunked returns a body as one chunk.
func chunked(body string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body) }

// chunkedHead returns the head of a chunked response.
func chunkedHead(fields string) string {
	return "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n"
}

func chunkLines(fields, body string) map[string]string {
	size := strconv.FormatInt(int64(len(body)), 16)
	bodies := map[string]string{
		"empty chunk size":             "\r\n" + body + "\r\n0\r\n\r\n",
		"chunk size with plus":         "+" + size + "\r\n" + body + "\r\n0\r\n\r\n",
		"chunk size with minus":        "-" + size + "\r\n" + body + "\r\n0\r\n\r\n",
		"chunk size with 0x":           "0x" + size + "\r\n" + body + "\r\n0\r\n\r\n",
		"chunk size of no digits":      "g\r\n" + body + "\r\n0\r\n\r\n",
		"blank before the chunk size":  " " + size + "\r\n" + body + "\r\n0\r\n\r\n",
		"blank after the chunk size":   size + " \r\n" + body + "\r\n0\r\n\r\n",
		"chunk line ends in LF":        size + "\n" + body + "\r\n0\r\n\r\n",
		"chunk line ends in CR CR LF":  size + "\r\r\n" + body + "\r\n0\r\n\r\n",
		"chunk shorter than its size":  fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n0\r\n\r\n0\r\n\r\n", len(body)+1, body),
		"chunk longer than its size":   fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body)-1, body),
		"chunk ends in LF":             size + "\r\n" + body + "\n0\r\n\r\n",
		"chunk ends in CR":             size + "\r\n" + body + "\r0\r\n\r\n",
		"chunk ends in LF CR":          size + "\r\n" + body + "\n\r0\r\n\r\n",
		"empty extension":              size + ";\r\n" + body + "\r\n0\r\n\r\n",
		"extension without a name":     size + ";=a\r\n" + body + "\r\n0\r\n\r\n",
		"extension without a value":    size + ";a=\r\n" + body + "\r\n0\r\n\r\n",
		"extension with a blank":       size + ";a b\r\n" + body + "\r\n0\r\n\r\n",
		"NUL in an extension":          size + ";a\x00b\r\n" + body + "\r\n0\r\n\r\n",
		"CR in an extension":           size + ";a\rb\r\n" + body + "\r\n0\r\n\r\n",
		"LF in an extension":           size + ";a\nb\r\n" + body + "\r\n0\r\n\r\n",
		"control byte in a quotation":  size + ";a=\"\x01\"\r\n" + body + "\r\n0\r\n\r\n",
		"quotation without an end":     size + ";a=\"b\r\n" + body + "\r\n0\r\n\r\n",
		"text after a quotation":       size + ";a=\"b\"c\r\n" + body + "\r\n0\r\n\r\n",
		"extension without semicolon":  size + " a=b\r\n" + body + "\r\n0\r\n\r\n",
		"last chunk line ends in LF":   size + "\r\n" + body + "\r\n0\n\r\n",
		"control byte after last size": size + "\r\n" + body + "\r\n0\x01\r\n\r\n",
		"body ends in LF":              size + "\r\n" + body + "\r\n0\r\n\n",
		"body ends in CR CR LF":        size + "\r\n" + body + "\r\n0\r\n\r\r\n",
	}
	return withLines(bodies, func(text string) string { return chunkedHead(fields) + text })
}

func trailers(fields, body string) map[string]string {
	lines := map[string]string{
		"trailer with a blank in its name":         "X Other: a\r\n",
		"trailer with a blank before its colon":    "X-Other : a\r\n",
		"trailer with a control byte in its name":  "X-\x02Other: a\r\n",
		"trailer with a control byte in its value": "X-Other: a\x02\r\n",
		"trailer without a colon":                  "X-Other\r\n",
		"trailer without a name":                   ": a\r\n",
		"trailer with a folded value":              "X-Other: a\r\n b\r\n",
		"trailer that starts with a blank":         " X-Other: a\r\n",
		"trailer with CR in its value":             "X-Other: a\rb\r\n",
		"trailer that ends in LF":                  "X-Other: a\n",
	}
	return withLines(lines, func(line string) string {
		return chunkedHead(fields) + fmt.Sprintf("%x\r\n%s\r\n0\r\n%s\r\n", len(body), body, line)
	})
}

func interim(fields, body string) map[string]string {
	final := "HTTP/1.1 200 OK\r\n" + fields + length(body) + "\r\n" + body
	return map[string]string{
		"interim response with a blank in a name":    "HTTP/1.1 103 Early Hints\r\nX Other: a\r\n\r\n" + final,
		"interim response with a control byte":       "HTTP/1.1 100 Con\x01tinue\r\n\r\n" + final,
		"interim response that ends in LF":           "HTTP/1.1 100 Continue\r\n\n" + final,
		"interim response with a body":               "HTTP/1.1 100 Continue\r\n" + length(body) + "\r\n" + body + final,
		"interim response in chunks":                 "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body) + final,
		"broken final response after an interim one": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n" + fields + length(body) + "\r\n" + body,
	}
}

// Odd returns sound responses of unusual form by name. They end with their length, so that the connection may stay open.
func Odd(fields, body string) map[string]string {
	n := len(body)
	whole := func(line, more string) string { return line + fields + more + length(body) + "\r\n" + body }
	inChunks := func(text string) string { return chunkedHead(fields) + text }
	return map[string]string{
		"no reason":                      whole("HTTP/1.1 200 \r\n", ""),
		"reason of several words":        whole("HTTP/1.1 200 all is\twell \xc3\x9c\r\n", ""),
		"unknown status of class 2":      whole("HTTP/1.1 299 Odd\r\n", ""),
		"later minor version":            whole("HTTP/1.2 200 OK\r\n", ""),
		"later minor version in chunks":  "HTTP/1.9 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body),
		"version 1.0":                    whole("HTTP/1.0 200 OK\r\n", ""),
		"empty value":                    whole("HTTP/1.1 200 OK\r\n", "X-Other:\r\n"),
		"no blank after the colon":       whole("HTTP/1.1 200 OK\r\n", "X-Other:a\r\n"),
		"blanks and tabs around a value": whole("HTTP/1.1 200 OK\r\n", "X-Other: \t a\t b \t\r\n"),
		"value beyond ASCII":             whole("HTTP/1.1 200 OK\r\n", "X-Other: \xff\xc3\x9c\r\n"),
		"value with colons":              whole("HTTP/1.1 200 OK\r\n", "X-Other: :a: b:\r\n"),
		"all characters of a name":       whole("HTTP/1.1 200 OK\r\n", "!#$%&'*+-.^_`|~09azAZ: a\r\n"),
		"names in other case":            "HTTP/1.1 200 OK\r\n" + fields + strings.ToUpper(length(body)) + "\r\n" + body,
		"length with leading zeros":      "HTTP/1.1 200 OK\r\n" + fields + fmt.Sprintf("Content-Length: 000%d\r\n\r\n", n) + body,
		"interim responses":              "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n" + whole("HTTP/1.1 200 OK\r\n", ""),
		"coding in capitals":             "HTTP/1.1 200 OK\r\n" + fields + "TRANSFER-ENCODING: CHUNKED\r\n\r\n" + chunked(body),
		"chunk size with leading zeros":  inChunks(fmt.Sprintf("000%X\r\n%s\r\n0000\r\n\r\n", n, body)),
		"a chunk for each half":          inChunks(fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", n/2, body[:n/2], n-n/2, body[n/2:])),
		"chunk extensions":               inChunks(fmt.Sprintf("%x;a;b=c;d=\"e \\\" \t;\"\r\n%s\r\n0;last\r\n\r\n", n, body)),
		"blanks in a chunk extension":    inChunks(fmt.Sprintf("%x \t; a = b ;c\r\n%s\r\n0\r\n\r\n", n, body)),
		"trailers":                       inChunks(fmt.Sprintf("%x\r\n%s\r\n0\r\nX-Other: a\r\nX-Empty:\r\n\r\n", n, body)),
	}
}

// control returns the control bytes of ASCII.
func control() []byte {
	bytes := []byte{0x7f}
	for b := range byte(0x20) {
		bytes = append(bytes, b)
	}
	return bytes
}

// ControlBytes returns malformed responses that each have one control byte at one place of a line: the status line, each line of the given header
// fields, the lines that frame the body, the sizes of chunks, a trailer, and the blank lines. Each line ends before its line feed, so that a byte
// between carriage return and line feed is among them. Left out are a tab where white space is allowed, and a line feed that ends a blank line, after
// which the rest is sound.
func ControlBytes(fields, body string) iter.Seq2[string, string] {
	chunk := fmt.Sprintf("%x;a=b\r\n", len(body))
	responses := [][]piece{
		{{"status line", "HTTP/1.1 200 OK\r\n"}, {"fields", fields}, {"length", length(body)}, {blankLine, "\r\n"}, {"", body}},
		{
			{"", "HTTP/1.1 200 OK\r\n" + fields}, {"coding", "Transfer-Encoding: chunked\r\n"}, {"", "\r\n"}, {"chunk", chunk}, {"", body},
			{"end of chunk", "\r\n"}, {"last chunk", "0\r\n"}, {"trailer", "X-Other: a\r\n"}, {lastLine, "\r\n"},
		},
	}
	return func(yield func(name, message string) bool) {
		for _, pieces := range responses {
			for i, p := range pieces {
				if p.name != "" && !insertControls(pieces, i, yield) {
					return
				}
			}
		}
	}
}

// Names of the pieces that end a head and the trailers.
const (
	blankLine = "blank line"
	lastLine  = "end"
)

// piece is a part of a response. Control bytes are inserted if it has a name.
type piece struct{ name, text string }

// insertControls yields the response with each control byte at each place of the piece at the index.
func insertControls(pieces []piece, index int, yield func(name, message string) bool) bool {
	before, after := "", ""
	for i, p := range pieces {
		if i < index {
			before += p.text
		} else if i > index {
			after += p.text
		}
	}
	text := pieces[index].text
	for at := range text {
		for _, b := range control() {
			if b == '\t' && tabAllowed(text, at) || b == '\n' && at == 1 && endsSection(pieces[index].name) {
				continue
			}
			message := before + text[:at] + string([]byte{b}) + text[at:] + after
			if !yield(fmt.Sprintf("byte 0x%02x at %d of the %s", b, at, pieces[index].name), message) {
				return false
			}
		}
	}
	return true
}

// tabAllowed reports whether a tab may be inserted at the place of a text: within or around the value of a field, in a reason, and around the
// parts of a chunk extension.
func tabAllowed(text string, at int) bool {
	line := text[strings.LastIndex(text[:at], "\n")+1 : at]
	if strings.HasPrefix(text, "HTTP/") {
		return strings.Count(line, " ") >= 2 && text[at] != '\n'
	}
	return strings.ContainsAny(line, ":;") && text[at] != '\n' || strings.HasPrefix(text[at:], ";")
}

// endsSection reports whether a piece is the blank line that ends a head or the trailers.
func endsSection(name string) bool { return name == blankLine || name == lastLine }
