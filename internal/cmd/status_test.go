package cmd

import (
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/fireflylanding/fireflylanding/internal/broken"
)

// Guards against a malformed answer of a node that is shown as its status.
func TestStatusOfMalformedAnswer(t *testing.T) {
	tests := map[string]struct {
		message string
		wantErr string
	}{
		"sound":           {message: broken.Sound("200 OK", "", "{}")},
		"status 000":      {message: broken.Sound("000 OK", "", "{}"), wantErr: "malformed status line"},
		"blank in a name": {message: broken.Sound("200 OK", "X Other: a\r\n", "{}"), wantErr: "malformed field line"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server, err := broken.Start(func(*fasthttp.Request) broken.Answer { return broken.Answer{Message: test.message} })
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			var shown strings.Builder
			err = printStatus(&shown, "http://"+server.Address()+"/v1/status")
			if test.wantErr == "" {
				if err != nil || shown.String() != "{}\n" {
					t.Errorf("got %q and error %v, want {}", shown.String(), err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), test.wantErr) || shown.Len() > 0 {
				t.Errorf("got %q and error %v, want one with %q", shown.String(), err, test.wantErr)
			}
		})
	}
}
