// Package broken holds malformed HTTP/1.1 responses for tests of the code that reads responses.
package broken

import (
	"strconv"
)

// Malformed returns malformed responses by name, each with the given header fields, which end with a line break, and body. All of them are
// malformed in what they contain, and not since something is missing at their end.
func Malformed(fields, body string) map[string]string { return statusLines(fields, body) }

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
	messages := make(map[string]string)
	for name, line := range lines {
		messages[name] = line + fields + length(body) + "\r\n" + body
	}
	return messages
}
