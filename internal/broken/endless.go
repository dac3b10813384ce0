package broken

import (
	"fmt"
	"strings"
)

// fillerBytes is the size of what an endless answer repeats.
const fillerBytes = 64 << 10

// Endless returns answers that do not end until the client closes the connection, by name. A body or chunk that announces its length announces
// the given number of bytes, and does not end there.
func Endless(length int) map[string]Answer {
	const ok = "HTTP/1.1 200 OK\r\n"
	const chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
	filler := strings.Repeat("x", fillerBytes)
	lines := strings.Repeat("X-More: more\r\n", 1000)
	answers := map[string]Answer{
		"no response":         {Message: "x", Repeat: filler},
		"head":                {Message: ok, Repeat: lines},
		"one line":            {Message: ok + "X-Long: ", Repeat: filler},
		"body without length": {Message: ok + "\r\n", Repeat: filler},
		"long body":           {Message: ok + fmt.Sprintf("Content-Length: %d\r\n\r\n", length), Repeat: filler},
		"chunks":              {Message: chunked, Repeat: fmt.Sprintf("%x\r\n%s\r\n", len(filler), filler)},
		"long chunk":          {Message: chunked + fmt.Sprintf("%x\r\n", length), Repeat: filler},
		"chunk extension":     {Message: chunked + "5;", Repeat: filler},
		"trailers":            {Message: chunked + "0\r\n", Repeat: lines},
	}
	for name, answer := range answers {
		answer.Watched = true
		answers[name] = answer
	}
	return answers
}
