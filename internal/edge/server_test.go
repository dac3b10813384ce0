package edge

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// Guards against a retry delay that callers do not follow, so that they come back at once or not at all.
func TestRefusalDelay(t *testing.T) {
	tests := map[string]struct{ timeout, want time.Duration }{
		"unknown": {want: refusalRetryAfter},
		"long":    {timeout: time.Second, want: refusalRetryAfter},
		"short":   {timeout: 90 * time.Millisecond, want: 30 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := refusalDelay(test.timeout); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against an answer that lacks a part of the searcher's reply, or that changes when the reply's buffer is used again.
func TestAnswerHasTheWholeReply(t *testing.T) {
	tests := map[string]struct {
		bytes int
		raw   bool
	}{
		"empty":         {},
		"small":         {bytes: 100},
		"buffered":      {bytes: 2 * copiedAnswerBytes},
		"raw":           {bytes: 8 * copiedAnswerBytes, raw: true},
		"small and raw": {bytes: 100, raw: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			want := bytes.Repeat([]byte("record__"), test.bytes/8)
			reply, answer := fasthttp.AcquireResponse(), &fasthttp.Response{}
			if test.raw {
				reply.SetBodyRaw(slices.Clone(want))
			} else {
				reply.SetBody(want)
			}
			setBody(answer, reply)
			fasthttp.ReleaseResponse(reply)
			for range 10 {
				other := fasthttp.AcquireResponse()
				other.SetBody(bytes.Repeat([]byte("x"), 8*copiedAnswerBytes))
				defer fasthttp.ReleaseResponse(other)
			}
			var sent bytes.Buffer
			if _, err := answer.WriteTo(&sent); err != nil {
				t.Fatal(err)
			}
			if _, got, _ := bytes.Cut(sent.Bytes(), []byte("\r\n\r\n")); !bytes.Equal(got, want) {
				t.Errorf("got %d bytes, want the %d of the reply", len(got), len(want))
			}
		})
	}
}
