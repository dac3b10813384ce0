package strict

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fireflylanding/fireflylanding/internal/broken"
)

const (
	testFields  = "X-Id: a\r\n"
	testBody    = "hello, world"
	testMaxBody = 64
)

// readText reads a response from a text that arrives as one read, or a byte a read.
func readText(text string, byteWise bool) (*fasthttp.Response, *bufio.Reader, error) {
	var source io.Reader = strings.NewReader(text)
	if byteWise {
		source = byteReader{source}
	}
	r := bufio.NewReader(source)
	response := &fasthttp.Response{}
	response.Header.DisableNormalizing()
	return response, r, ReadResponse(response, r, testMaxBody)
}

// byteReader returns one byte a read.
type byteReader struct{ io.Reader }

func (r byteReader) Read(p []byte) (int, error) { return r.Reader.Read(p[:min(len(p), 1)]) }

// Guards against a malformed response that passes, however its bytes arrive and whatever follows it.
func TestMalformedResponses(t *testing.T) {
	for name, text := range broken.Malformed(testFields, testBody) {
		t.Run(name, func(t *testing.T) {
			for _, more := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"} {
				for _, byteWise := range []bool{false, true} {
					if _, _, err := readText(text+more, byteWise); !IsMalformed(err) {
						t.Errorf("followed by %q, byte by byte %v: got error %v, want one of a malformed response", more, byteWise, err)
					}
				}
			}
		})
	}
}

// Guards against a control byte that passes at some place of some line.
func TestControlBytes(t *testing.T) {
	count := 0
	for name, text := range broken.ControlBytes(testFields, testBody) {
		count++
		if _, _, err := readText(text, count%2 == 0); !IsMalformed(err) {
			t.Errorf("%s: got error %v, want one of a malformed response", name, err)
		}
	}
	if want := 3000; count < want {
		t.Errorf("got %d messages, want at least %d", count, want)
	}
}

// Guards against sound responses of unusual form that are rejected or read as others, and against a wrong end of them.
func TestOddResponses(t *testing.T) {
	const next = "next"
	for name, text := range broken.Odd(testFields, testBody) {
		t.Run(name, func(t *testing.T) {
			for _, byteWise := range []bool{false, true} {
				response, r, err := readText(text+next, byteWise)
				if err != nil {
					t.Fatalf("got error %v, want none", err)
				}
				if got := string(response.Body()); got != testBody {
					t.Errorf("got body %q, want %q", got, testBody)
				}
				if got := string(response.Header.Peek("X-Id")); got != "a" {
					t.Errorf("got field %q, want %q", got, "a")
				}
				rest, err := io.ReadAll(r)
				if err != nil || string(rest) != next {
					t.Errorf("got rest %q and error %v, want %q", rest, err, next)
				}
			}
		})
	}
}

// Guards against a response that is cut or too long and passes as whole, and against one that is whole and does not.
func TestReadResponse(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	tests := map[string]struct {
		text string
		skip bool
		want string
		// wantErr is the expected error, nil if there is none. rest is what must be left on the connection.
		wantErr error
		rest    string
	}{
		"length":                   {text: ok + "Content-Length: 5\r\n\r\nhellonext", want: "hello", rest: "next"},
		"no body":                  {text: ok + "Content-Length: 0\r\n\r\nnext", rest: "next"},
		"longest body":             {text: ok + "Content-Length: 64\r\n\r\n" + strings.Repeat("x", 64), want: strings.Repeat("x", 64)},
		"length too long":          {text: ok + "Content-Length: 65\r\n\r\n", wantErr: fasthttp.ErrBodyTooLarge},
		"length beyond 64 bits":    {text: ok + "Content-Length: 99999999999999999999\r\n\r\n", wantErr: fasthttp.ErrBodyTooLarge},
		"longest chunks":           {text: ok + "Transfer-Encoding: chunked\r\n\r\n3f\r\n" + strings.Repeat("x", 63) + "\r\n1\r\ny\r\n0\r\n\r\n", want: strings.Repeat("x", 63) + "y"},
		"chunks too long":          {text: ok + "Transfer-Encoding: chunked\r\n\r\n3f\r\n" + strings.Repeat("x", 63) + "\r\n2\r\n", wantErr: fasthttp.ErrBodyTooLarge},
		"chunk beyond 64 bits":     {text: ok + "Transfer-Encoding: chunked\r\n\r\n10000000000000005\r\nhello", wantErr: fasthttp.ErrBodyTooLarge},
		"to the end":               {text: ok + "\r\nhello", want: "hello"},
		"to the end too long":      {text: ok + "\r\n" + strings.Repeat("x", 65), wantErr: fasthttp.ErrBodyTooLarge},
		"answer to HEAD":           {text: ok + "Content-Length: 5\r\n\r\nnext", skip: true, rest: "next"},
		"long answer to HEAD":      {text: ok + "Content-Length: 65\r\n\r\nnext", skip: true, rest: "next"},
		"no content":               {text: "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\nnext", rest: "next"},
		"not modified":             {text: "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\nnext", rest: "next"},
		"empty reset content":      {text: "HTTP/1.1 205 Reset Content\r\nContent-Length: 0\r\n\r\nnext", rest: "next"},
		"nothing":                  {wantErr: io.EOF},
		"head cut":                 {text: ok + "Content-Length: 5\r\n", wantErr: io.ErrUnexpectedEOF},
		"body cut":                 {text: ok + "Content-Length: 5\r\n\r\nhell", wantErr: io.ErrUnexpectedEOF},
		"chunk cut":                {text: ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhel", wantErr: io.ErrUnexpectedEOF},
		"chunk end cut":            {text: ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r", wantErr: io.ErrUnexpectedEOF},
		"last chunk missing":       {text: ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", wantErr: io.ErrUnexpectedEOF},
		"end of trailers missing":  {text: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-More: a\r\n", wantErr: io.ErrUnexpectedEOF},
		"final response missing":   {text: "HTTP/1.1 100 Continue\r\n\r\n", wantErr: io.EOF},
		"long line of the head":    {text: ok + "X-Long: " + strings.Repeat("x", 8<<10), wantErr: ErrTooLong},
		"long chunk extension":     {text: ok + "Transfer-Encoding: chunked\r\n\r\n5;" + strings.Repeat("x", 8<<10), wantErr: ErrTooLong},
		"many chunk extensions":    {text: ok + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;"+strings.Repeat("x", 1<<10)+"\r\ny\r\n", 17), wantErr: ErrTooLong},
		"many trailers":            {text: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("X-More: a\r\n", 2<<10), wantErr: ErrTooLong},
		"interim responses on end": {text: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 200), wantErr: ErrTooLong},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := bufio.NewReader(strings.NewReader(test.text))
			response := &fasthttp.Response{SkipBody: test.skip}
			if err := ReadResponse(response, r, testMaxBody); !errors.Is(err, test.wantErr) {
				t.Fatalf("got error %v, want %v", err, test.wantErr)
			}
			if test.wantErr != nil {
				return
			}
			if got := string(response.Body()); got != test.want {
				t.Errorf("got body %q, want %q", got, test.want)
			}
			if rest, err := io.ReadAll(r); err != nil || string(rest) != test.rest {
				t.Errorf("got rest %q and error %v, want %q", rest, err, test.rest)
			}
		})
	}
}

// FuzzReadResponse guards against responses that another strict reader, that of net/http, finds malformed or reads with another body.
func FuzzReadResponse(f *testing.F) {
	for _, text := range broken.Malformed(testFields, testBody) {
		f.Add([]byte(text))
	}
	for _, text := range broken.Odd(testFields, testBody) {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		response, _, err := readText(string(text), false)
		if err != nil {
			return
		}
		other, err := http.ReadResponse(bufio.NewReader(skipTo(string(text))), nil)
		if err != nil {
			t.Fatalf("got a response from %q, which net/http rejects: %v", text, err)
		}
		body, err := io.ReadAll(other.Body)
		if err != nil && strings.Contains(err.Error(), "invalid byte in chunk length") {
			t.Skip("net/http rejects white space in chunk extensions, which RFC 9112 tells recipients to accept")
		}
		if err != nil {
			t.Fatalf("got a response from %q, whose body net/http rejects: %v", text, err)
		}
		if got := string(response.Body()); got != string(body) || response.StatusCode() != other.StatusCode {
			t.Errorf("got status %d and body %q from %q, net/http reads %d and %q", response.StatusCode(), got, text, other.StatusCode, body)
		}
	})
}

// skipTo returns what follows the interim responses of a text, which net/http does not skip.
func skipTo(text string) io.Reader {
	for strings.HasPrefix(text, "HTTP/1.") && len(text) > statusAt && text[statusAt] == '1' {
		_, text, _ = strings.Cut(text, "\r\n\r\n")
	}
	return strings.NewReader(text)
}
