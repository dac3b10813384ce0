package plat

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"github.com/fireflylanding/fireflylanding/internal/epoch"
)

// startServer starts a fake of the service, and returns a client for it and the counter of its calls.
func startServer(t *testing.T, handler http.HandlerFunc) (*Client, *atomic.Int64) {
	t.Helper()
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		handler(w, r)
	}))
	client := New(strings.TrimPrefix(server.URL, "http://"), WithTimeout(2*time.Second))
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client, &calls
}

// replyWith returns a handler that replies with a status, a revision unless that is empty, and a body.
func replyWith(status int, revision, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if revision != "" {
			w.Header().Set(revisionHeader, revision)
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

// errorKind returns the kind of a client error, or an empty string for nil.
func errorKind(err error) string {
	var unavailable *UnavailableError
	var rateLimited *RateLimitedError
	var unknown *UnknownKeyError
	var tooLarge *TooLargeError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &unavailable):
		return "unavailable"
	case errors.As(err, &rateLimited):
		return "rate limited"
	case errors.As(err, &unknown):
		return "unknown key"
	case errors.As(err, &tooLarge):
		return "too large"
	}
	return err.Error()
}

// Guards against status codes that are mapped to the wrong error, values above the size limit that are accepted, and automatic retries.
func TestRead(t *testing.T) {
	tests := map[string]struct {
		handler  http.HandlerFunc
		wantErr  string
		wantRev  uint64
		wantSize int
	}{
		"value":            {handler: replyWith(200, "7", "[a]\n"), wantRev: 7, wantSize: 4},
		"empty value":      {handler: replyWith(200, "8", ""), wantRev: 8},
		"1 MB":             {handler: replyWith(200, "9", strings.Repeat("x", MaxValueBytes)), wantRev: 9, wantSize: MaxValueBytes},
		"above the limit":  {handler: replyWith(200, "9", strings.Repeat("x", MaxValueBytes+valueSlackBytes+1)), wantErr: "too large"},
		"rate limited":     {handler: replyWith(429, "", ""), wantErr: "rate limited"},
		"unknown key":      {handler: replyWith(404, "", ""), wantErr: "unknown key"},
		"server error":     {handler: replyWith(500, "", ""), wantErr: "unavailable"},
		"no revision":      {handler: replyWith(200, "", "x"), wantErr: "unavailable"},
		"invalid revision": {handler: replyWith(200, "-1", "x"), wantErr: "unavailable"},
		"truncated body": {handler: func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(revisionHeader, "3")
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("short"))
		}, wantErr: "unavailable"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			client, calls := startServer(t, test.handler)
			value, err := client.Read(t.Context(), "plans")
			if got := errorKind(err); got != test.wantErr {
				t.Fatalf("error: got %q, want %q", got, test.wantErr)
			}
			if value.Revision() != test.wantRev || len(value.Data()) != test.wantSize {
				t.Errorf("got revision %d with %d bytes, want %d with %d", value.Revision(), len(value.Data()), test.wantRev, test.wantSize)
			}
			if got := calls.Load(); got != 1 {
				t.Errorf("got %d calls, want 1", got)
			}
		})
	}
}

// Guards against watches whose parameters or results differ from the protocol of the service.
func TestWatch(t *testing.T) {
	client, _ := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if got, want := r.URL.Path, "/v1/values/index/shop front"; got != want {
			t.Errorf("path: got %q, want %q", got, want)
		}
		query := r.URL.Query()
		if got, want := query.Get("wait"), "2"; got != want {
			t.Errorf("wait: got %q, want %q", got, want)
		}
		if query.Get("after") == "5" {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set(revisionHeader, "5")
		_, _ = w.Write([]byte("v"))
	})
	value, changed, err := client.Watch(t.Context(), "index/shop front", 4, 1500*time.Millisecond)
	if err != nil || !changed || value.Revision() != 5 {
		t.Errorf("change: got %d, %v, %v", value.Revision(), changed, err)
	}
	_, changed, err = client.Watch(t.Context(), "index/shop front", 5, 2*time.Second)
	if err != nil || changed {
		t.Errorf("no change: got %v, %v", changed, err)
	}
}

// Guards against a watch that outlives its context, which would delay a graceful shutdown by the wait time, and against leaked
// goroutines.
func TestWatchEndsWithContext(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	entered := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(entered)
		<-r.Context().Done()
	}))
	defer server.Close()
	client := New(strings.TrimPrefix(server.URL, "http://"))
	defer client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-entered
		cancel()
	}()
	started := time.Now()
	_, _, err := client.Watch(ctx, "plans", 1, 30*time.Second)
	if !errors.Is(err, context.Canceled) || errorKind(err) != "unavailable" {
		t.Errorf("got %v, want an unavailable error caused by the context", err)
	}
	if got := time.Since(started); got > 5*time.Second {
		t.Errorf("the watch returned after %v although its context was cancelled", got)
	}
}

// Guards against calls that hang when the service accepts a connection but never answers.
func TestReadTimeout(t *testing.T) {
	client, _ := startServer(t, func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := client.Read(ctx, "plans"); errorKind(err) != "unavailable" {
		t.Errorf("got %v, want unavailable", err)
	}
}

// Guards against a refused connection that is not reported as unavailable.
func TestRefusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := New(address).Read(t.Context(), "plans"); errorKind(err) != "unavailable" {
		t.Errorf("got %v, want unavailable", err)
	}
}

// Guards against replies that are returned to the wrong one of many concurrent calls, also after some calls were cancelled.
func TestConcurrentCalls(t *testing.T) {
	client, _ := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(revisionHeader, "1")
		_, _ = w.Write([]byte(strings.TrimPrefix(r.URL.Path, pathPrefix)))
	})
	var group sync.WaitGroup
	for _, key := range []string{"plans", "uses", "vms/a", "vms/b", "index/c", "index/d"} {
		group.Go(func() {
			for i := range 30 {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				if i%3 == 0 {
					time.AfterFunc(100*time.Microsecond, cancel)
				}
				value, err := client.Read(ctx, key)
				if err == nil && string(value.Data()) != key {
					t.Errorf("got %q for key %q", value.Data(), key)
				}
				if err != nil && ctx.Err() == nil {
					t.Errorf("%s: %v", key, err)
				}
				cancel()
			}
		})
	}
	group.Wait()
}

// Guards against a value that a restored service stores under a revision that it gave out before, and that is taken for the known one.
func TestRestoredService(t *testing.T) {
	at := func(era, number uint64) uint64 {
		revision, err := epoch.New(era, number)
		if err != nil {
			t.Fatal(err)
		}
		return uint64(revision)
	}
	tests := map[string]struct {
		era         string
		after       uint64
		wantErr     string
		wantChanged bool
		wantRev     uint64
	}{
		"same era":             {era: "1", after: at(1, 5)},
		"number in a new era":  {era: "2", after: at(1, 5), wantChanged: true, wantRev: at(2, 5)},
		"first era":            {era: "1", after: at(0, 5), wantChanged: true, wantRev: at(1, 5)},
		"service without eras": {after: at(0, 5)},
		"invalid era":          {era: "two", after: at(1, 5), wantErr: "unavailable"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			client, _ := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(revisionHeader, "5")
				if test.era != "" {
					w.Header().Set(eraHeader, test.era)
				}
				if r.URL.Query().Get("after") == "5" {
					w.WriteHeader(http.StatusNotModified)
				}
			})
			value, changed, err := client.Watch(t.Context(), "plans", test.after, time.Second)
			if got := errorKind(err); got != test.wantErr {
				t.Fatalf("error: got %q, want %q", got, test.wantErr)
			}
			if changed != test.wantChanged || (changed && value.Revision() != test.wantRev) {
				t.Errorf("got change %v to %v, want %v to %v", changed, epoch.Revision(value.Revision()), test.wantChanged, epoch.Revision(test.wantRev))
			}
		})
	}
}
