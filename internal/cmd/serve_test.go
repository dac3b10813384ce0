package cmd

import (
	"context"
	"io"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/fireflylanding/fireflylanding/internal/conf"
	"github.com/fireflylanding/fireflylanding/internal/sigs"
)

// Guards against goroutines that outlive a node, such as the one that waits for signals.
func TestServeEndsItsGoroutines(t *testing.T) {
	// The owner of the signals lives as long as the process, and is not the node's.
	signals := sigs.New()
	before := goleak.IgnoreCurrent()
	settings, err := conf.Load("node.ini", []byte("[node]\nid = n\nregion = r\navailability_zone = a\nregions = r\ncaller_address = 127.0.0.1:0\n"+
		"peer_address = 127.0.0.1:0\nadmin_address = 127.0.0.1:0\n[platform]\naddress = 127.0.0.1:1\n[peers]\ndevelopment_keys = true\n"))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if err := serve(ctx, signals, settings, io.Discard); err != nil {
		t.Errorf("got %v, want a clean end", err)
	}
	// The connection and worker cleaners of fasthttp stop on their own within 10 s.
	goleak.VerifyNone(t, before, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"), goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"))
}
