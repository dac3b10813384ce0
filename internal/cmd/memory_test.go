package cmd

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/fireflylanding/fireflylanding/platform/stand"
)

// Guards against searchers whose replies do not end that make a node exceed its memory, or keep it from serving other callers.
func TestNodeOutlivesEndlessReplies(t *testing.T) {
	const (
		shards   = 25
		queriers = 12
		playTime = 4 * time.Second
		path     = "/q/1"
	)
	filler := strings.Repeat("x", 64<<10)
	replies := map[string]stand.EndlessReply{
		"head":      {Start: "%sX-Long: ", Repeat: filler},
		"body":      {Start: "%s\r\n", Repeat: filler},
		"long body": {Start: "%sContent-Length: 8388608\r\n\r\n", Repeat: filler},
		"chunks":    {Start: "%sTransfer-Encoding: chunked\r\n\r\n", Repeat: fmt.Sprintf("%x\r\n%s\r\n", len(filler), filler)},
	}
	binary := buildProgram(t)
	for name, reply := range replies {
		t.Run(name, func(t *testing.T) {
			n := newSignalledNode(t, binary, true)
			services := []string{"one"}
			for i := range shards {
				service := "shard" + strconv.Itoa(i)
				services = append(services, service)
				for j, fault := range []stand.Fault{reply, stand.NoFault{}, stand.NoFault{}} {
					searcher, err := stand.StartSearcher(fmt.Sprintf("i-%s-%d", service, j), service, 2, time.Millisecond)
					if err != nil {
						t.Fatal(err)
					}
					t.Cleanup(searcher.Close)
					searcher.SetFault(func(string) stand.Fault { return fault })
					n.store.Register(searcher, searcher.Address(), "z", "ready")
				}
			}
			n.store.PutConfig(2, []stand.Route{
				{Host: "h", Prefix: "/a/", Service: "one", Unsafe: true, TimeoutMS: 5000, GoalMS: 4000},
				{Host: "h", Prefix: "/q/", Shards: services[1:], TopK: 2, MinCoverage: 0.8, TimeoutMS: 1000, GoalMS: 200},
			}, services)
			if err := n.Start(); err != nil {
				t.Fatal(err)
			}
			awaitSignalled(t, "the node is ready", func() bool { return n.ready(t.Context()) })
			ctx, cancel := context.WithTimeout(t.Context(), playTime)
			defer cancel()
			var next, sent, served, others, othersServed atomic.Int64
			var load conc.WaitGroup
			for range queriers {
				load.Go(func() {
					client := stand.NewClient()
					defer client.CloseIdleConnections()
					for ctx.Err() == nil {
						sent.Add(1)
						answer, err := stand.Send(context.Background(), client, n.IP+":"+strconv.Itoa(n.CallerPort),
							stand.Request{ID: fmt.Sprintf("%016x", next.Add(1)), Method: http.MethodGet, Host: "h", Path: path, Timeout: time.Second})
						if err == nil && answer.Status == http.StatusOK {
							served.Add(1)
						}
					}
				})
			}
			for ctx.Err() == nil {
				others.Add(1)
				if n.ask(fmt.Sprintf("%016x", next.Add(1)), "/a/1") == http.StatusOK {
					othersServed.Add(1)
				}
			}
			load.Wait()
			peak, err := stand.PeakMemory(n.Process.Pid)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("peak memory %d MB, %d of %d queries and %d of %d other requests served", peak>>20, served.Load(), sent.Load(), othersServed.Load(), others.Load())
			if peak > stand.NodeMemoryMB<<20 {
				t.Errorf("got a peak of %d MB, want at most %d", peak>>20, stand.NodeMemoryMB)
			}
			if got, want := served.Load(), sent.Load()*9/10; got < want || got == 0 {
				t.Errorf("got %d queries served, want at least %d", got, want)
			}
			if got, want := othersServed.Load(), others.Load(); got < want || got == 0 {
				t.Errorf("got %d other requests served, want %d", got, want)
			}
		})
	}
}
