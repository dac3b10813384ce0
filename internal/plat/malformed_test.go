package plat

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fireflylanding/fireflylanding/internal/broken"
)

const (
	malformedFields = "X-Revision: 7\r\n"
	malformedBody   = "[plan]"
)

// readOnce reads a value from a server that sends an answer, and reports whether the connection of the answer is closed afterwards.
func readOnce(t *testing.T, answer broken.Answer) (value Value, err error, closed bool) {
	t.Helper()
	answer.Watched = true
	server, err := broken.Start(func(*fasthttp.Request) broken.Answer { return answer })
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	client := New(server.Address(), WithTimeout(2*time.Second))
	defer client.Close()
	value, err = client.Read(context.Background(), "plans")
	for end := time.Now().Add(2 * time.Second); server.Watched() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return value, err, server.Watched() == 0
}

// Guards against a malformed answer that is believed or leaves its connection in use.
func TestMalformedAnswer(t *testing.T) {
	messages := broken.Malformed(malformedFields, malformedBody)
	messages["unchanged with a blank in a name"] = "HTTP/1.1 304 Not Modified\r\n" + malformedFields + "X Other: a\r\n\r\n"
	messages["unknown key with a blank in a name"] = "HTTP/1.1 404 Not Found\r\nX Other: a\r\nContent-Length: 0\r\n\r\n"
	for name, message := range messages {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, closes := range []bool{false, true} {
				_, err, closed := readOnce(t, broken.Answer{Message: message, Closes: closes})
				if got, want := errorKind(err), "unavailable"; got != want {
					t.Errorf("closes %v: got error %q, want %q", closes, got, want)
				}
				if !closed {
					t.Errorf("closes %v: got an open connection, want it closed", closes)
				}
			}
		})
	}
}

// Guards against a control byte at any place of a line of an answer that passes.
func TestControlByteInAnswer(t *testing.T) {
	var answer broken.Answer
	server, err := broken.Start(func(*fasthttp.Request) broken.Answer { return answer })
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	client := New(server.Address(), WithTimeout(2*time.Second))
	defer client.Close()
	for _, closes := range []bool{false, true} {
		for name, message := range broken.ControlBytes(malformedFields, malformedBody) {
			answer = broken.Answer{Message: message, Closes: closes}
			if _, err := client.Read(t.Context(), "plans"); errorKind(err) != "unavailable" {
				t.Errorf("%s, closes %v: got error %v, want one that the service is unavailable", name, closes, err)
			}
		}
	}
}

// Guards against sound answers of unusual form that are rejected or read as others.
func TestOddAnswer(t *testing.T) {
	for name, message := range broken.Odd(malformedFields, malformedBody) {
		t.Run(name, func(t *testing.T) {
			value, err, _ := readOnce(t, broken.Answer{Message: message, Closes: true})
			if name == "unknown status of class 2" {
				if got, want := errorKind(err), "unavailable"; got != want {
					t.Errorf("got error %q, want %q", got, want)
				}
				return
			}
			if err != nil || value.Revision() != 7 || string(value.Data()) != malformedBody {
				t.Errorf("got %q at revision %d and error %v, want %q at 7", value.Data(), value.Revision(), err, malformedBody)
			}
		})
	}
}

// Guards against bytes after an answer that are taken for the answer to the next call, which may ask for another key.
func TestExtraBytesAfterAnswer(t *testing.T) {
	other := broken.Sound("200 OK", "X-Revision: 9\r\n", "[other]")
	tests := map[string]broken.Answer{
		"with the answer": {Message: broken.Sound("200 OK", malformedFields, malformedBody) + other},
		"later":           {Message: broken.Sound("200 OK", malformedFields, malformedBody), Extra: other},
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			server, err := broken.Start(func(*fasthttp.Request) broken.Answer { return answer })
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			client := New(server.Address(), WithTimeout(2*time.Second))
			defer client.Close()
			for i := range 3 {
				value, err := client.Read(t.Context(), "plans")
				if err != nil || string(value.Data()) != malformedBody {
					t.Errorf("got %q and error %v, want %q", value.Data(), err, malformedBody)
				}
				if answer.Extra != "" && !server.AwaitExtra(i+1) {
					t.Fatal("the extra bytes were not sent")
				}
			}
		})
	}
}

// Guards against an error that does not tell what was wrong with an answer.
func TestMalformedAnswerIsNamed(t *testing.T) {
	_, err, _ := readOnce(t, broken.Answer{Message: "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n"})
	var unavailable *UnavailableError
	if !errors.As(err, &unavailable) {
		t.Fatalf("got error %v, want one that the service is unavailable", err)
	}
	if got, want := err.Error(), `configuration service unavailable for plans: malformed status line of the response: "HTTP/1.1 000 OK\r\n"`; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
