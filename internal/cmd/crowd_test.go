package cmd

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/fireflylanding/fireflylanding/platform/stand"
)

const (
	// crowdMemoryMB is the memory of a node that hostile callers are let loose on, in its settings and as the bound of the test.
	crowdMemoryMB = 160
	// headsMemoryMB is the same for callers that hold little memory each.
	headsMemoryMB = 100
	// crowdBodyBytes is the operator's limit on bodies. largeBodyBytes is that of tests whose callers stay within it.
	crowdBodyBytes = 4096
	largeBodyBytes = 1 << 20
	// crowdDescriptors is the number of descriptors of a node that callers open more connections to.
	crowdDescriptors = 400
	// sendTimeout bounds how long a hostile caller sends, and holdTime is how long it then waits with its connection open.
	sendTimeout = 4 * time.Second
	holdTime    = time.Second
	// crowdReplyBytes is the size of the replies that callers don't read.
	crowdReplyBytes = 4 << 20
)

// crowd is a number of hostile callers that all do the same on a connection each. An error of send is of no interest: being cut off is fine.
type crowd struct {
	callers int
	send    func(conn net.Conn)
}

var filler = strings.Repeat("x", 1<<20)

// sendBody returns what sends a head and then bytes of a body.
func sendBody(head string, bytes int) func(net.Conn) {
	return func(conn net.Conn) {
		_, err := io.WriteString(conn, head)
		for left := bytes; left > 0 && err == nil; left -= len(filler) {
			_, err = io.WriteString(conn, filler[:min(left, len(filler))])
		}
	}
}

// sendChunks returns what sends a head and then chunks of a size, bytes in total, without the last chunk.
func sendChunks(head string, size, bytes int) func(net.Conn) {
	chunks := strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", size, filler[:size]), len(filler)/size)
	return func(conn net.Conn) {
		_, err := io.WriteString(conn, head)
		for sent := 0; sent < bytes && err == nil; sent += len(filler) {
			_, err = io.WriteString(conn, chunks)
		}
	}
}

// play lets a crowd loose on an address of a process, and returns the greatest number of descriptors that the process had open meanwhile.
func (c crowd) play(t *testing.T, address string, pid int) int {
	t.Helper()
	var descriptors atomic.Int64
	ended := make(chan struct{})
	var sampler, callers conc.WaitGroup
	sampler.Go(func() {
		for {
			open, err := stand.OpenDescriptors(pid)
			if err == nil && int64(open) > descriptors.Load() {
				descriptors.Store(int64(open))
			}
			select {
			case <-ended:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	})
	conns := make([]net.Conn, c.callers)
	for i := range conns {
		callers.Go(func() {
			conn, err := net.DialTimeout("tcp", address, sendTimeout)
			if err != nil {
				return
			}
			conns[i] = conn
			_ = conn.SetDeadline(time.Now().Add(sendTimeout))
			c.send(conn)
		})
	}
	callers.Wait()
	time.Sleep(holdTime)
	close(ended)
	sampler.Wait()
	for _, conn := range conns {
		if conn != nil {
			_ = conn.Close()
		}
	}
	return int(descriptors.Load())
}

// checkBounds checks that a process lives and has stayed within its memory and descriptors.
func checkBounds(t *testing.T, process *os.Process, memoryMB, descriptors, limit int) {
	t.Helper()
	peak, err := stand.PeakMemory(process.Pid)
	if err != nil {
		t.Fatalf("the process does not live: %v", err)
	}
	t.Logf("peak memory %d MB, %d descriptors", peak>>20, descriptors)
	if peak > int64(memoryMB)<<20 {
		t.Errorf("got a peak of %d MB, want at most %d", peak>>20, memoryMB)
	}
	if descriptors > limit {
		t.Errorf("got %d descriptors open, want at most %d", descriptors, limit)
	}
}

// Guards against callers that take a node out of its memory or descriptors, or that keep it from answering others afterwards.
func TestHostileCallers(t *testing.T) {
	const (
		post   = "POST /a/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: 00000000000000b1\r\nX-Deadline-Ms: 5000\r\n"
		large  = post + "Content-Length: 16000000\r\n\r\n"
		chunks = post + "Transfer-Encoding: chunked\r\n\r\n"
		get    = "GET / HTTP/1.1\r\nHost: h\r\n"
	)
	within := post + fmt.Sprintf("Content-Length: %d\r\n\r\n", largeBodyBytes-1)
	announced := sendBody(get+"Content-Length: 4000000\r\n\r\n", 3_999_999)
	small := sendChunks(get+"Transfer-Encoding: chunked\r\n\r\n", 1<<10, 4_000_000)
	silent := "POST /silent/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: 00000000000000b3\r\nX-Deadline-Ms: 5000\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n\r\n", largeBodyBytes)
	unread := func(conn net.Conn) {
		// A small buffer leaves the answer in the memory of the node.
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, _ = io.WriteString(conn, "GET /big/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: 00000000000000b2\r\nX-Deadline-Ms: 5000\r\n\r\n")
	}
	tests := map[string]struct {
		crowd
		listener string
		// maxBody is the operator's limit on bodies, and descriptors the limit of the node's settings; 0 selects crowdBodyBytes and the default.
		maxBody, descriptors int
		// memoryMB is the memory of the node; 0 selects crowdMemoryMB.
		memoryMB int
	}{
		"announced":            {crowd: crowd{40, sendBody(large, 1)}, listener: "callers"},
		"announced and sent":   {crowd: crowd{40, sendBody(large, 15_999_999)}, listener: "callers"},
		"one chunk":            {crowd: crowd{40, sendBody(chunks+"e4e1c0\r\n", 14_999_999)}, listener: "callers"},
		"small chunks":         {crowd: crowd{40, sendChunks(chunks, 1<<10, 15_000_000)}, listener: "callers"},
		"unfinished bodies":    {crowd: crowd{250, sendBody(within, largeBodyBytes-2)}, listener: "callers", maxBody: largeBodyBytes},
		"unfinished chunks":    {crowd: crowd{250, sendChunks(chunks, 1<<10, largeBodyBytes-1<<10)}, listener: "callers", maxBody: largeBodyBytes},
		"unfinished heads":     {crowd: crowd{3500, sendBody(post+"X-Long: ", 15_000)}, listener: "callers", memoryMB: headsMemoryMB},
		"idle connections":     {crowd: crowd{600, func(net.Conn) {}}, listener: "callers", descriptors: crowdDescriptors},
		"unread answers":       {crowd: crowd{80, unread}, listener: "callers"},
		"silent searchers":     {crowd: crowd{200, sendBody(silent, largeBodyBytes)}, listener: "callers", maxBody: largeBodyBytes},
		"directory announced":  {crowd: crowd{100, announced}, listener: "directory"},
		"directory chunks":     {crowd: crowd{100, small}, listener: "directory"},
		"directory idle":       {crowd: crowd{600, func(net.Conn) {}}, listener: "directory", descriptors: crowdDescriptors},
		"checks announced":     {crowd: crowd{100, announced}, listener: "checks"},
		"checks chunks":        {crowd: crowd{100, small}, listener: "checks"},
		"metrics announced":    {crowd: crowd{100, announced}, listener: "metrics"},
		"metrics chunks":       {crowd: crowd{100, small}, listener: "metrics"},
		"metrics unread pages": {crowd: crowd{100, sendBody(strings.Repeat("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", 2000), 0)}, listener: "metrics"},
	}
	binary := buildProgram(t)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			n := newSignalledNode(t, binary, true)
			memoryMB := cmp.Or(test.memoryMB, crowdMemoryMB)
			n.MemoryMB, n.MaxDescriptors = memoryMB, test.descriptors
			n.writeSettings(t)
			big, err := stand.StartSearcher("i-big", "big", 1, time.Millisecond)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(big.Close)
			big.SetFault(func(string) stand.Fault {
				return stand.RawReply{Message: func(fields, _ string) string {
					return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", fields, crowdReplyBytes, strings.Repeat(filler, crowdReplyBytes/len(filler)))
				}}
			})
			n.store.Register(big, big.Address(), "z", "ready")
			services := append(registerSilent(t, n.store), "one", "big")
			n.store.SetMaxBodyBytes(max(test.maxBody, crowdBodyBytes))
			n.store.PutConfig(2, []stand.Route{
				{Host: "h", Prefix: "/a/", Service: "one", Unsafe: true, TimeoutMS: 5000, GoalMS: 4000},
				{Host: "h", Prefix: "/big/", Service: "big", TimeoutMS: 5000, GoalMS: 4000},
				{Host: "h", Prefix: "/silent/", Shards: services[:silentShards], TopK: 2, MinCoverage: 0.5, TimeoutMS: 5000, GoalMS: 4000},
			}, services)
			if err := n.Start(); err != nil {
				t.Fatal(err)
			}
			ports := map[string]int{"callers": n.CallerPort, "directory": n.DirectoryPort, "checks": n.ReadyPort, "metrics": metricsPort}
			address := func(listener string) string { return net.JoinHostPort(n.IP, strconv.Itoa(ports[listener])) }
			awaitSignalled(t, "the node is ready", func() bool { return n.ready(t.Context()) })
			awaitSignalled(t, "a request is answered", func() bool { return n.ask("00000000000000a1", "/a/1") == http.StatusOK })
			descriptors := test.play(t, address(test.listener), n.Process.Pid)
			awaitSignalled(t, "a request is answered", func() bool { return n.ask("00000000000000a2", "/a/1") == http.StatusOK })
			for listener, path := range map[string]string{"directory": "/v1/resolve?name=h&region=r&zone=z", "checks": "/v1/ready", "metrics": "/metrics"} {
				awaitSignalled(t, listener+" answers", func() bool { return get200(t, "http://"+address(listener)+path) })
			}
			checkBounds(t, n.Process, memoryMB, descriptors, cmp.Or(test.descriptors, maxDescriptors))
		})
	}
}

// silentShards is the number of searchers that read nothing of the requests that they get.
const silentShards = 8

// registerSilent registers a searcher that reads nothing for each of silentShards services, and returns the services.
func registerSilent(t *testing.T, store *stand.Store) []string {
	t.Helper()
	services := make([]string, silentShards)
	for i := range services {
		services[i] = "silent" + strconv.Itoa(i)
		searcher, err := stand.StartSearcher("i-"+services[i], services[i], 4, time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(searcher.Close)
		// Connections wait in the backlog of a listener that never accepts.
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = silent.Close() })
		store.Register(searcher, silent.Addr().String(), "z", "ready")
	}
	return services
}

// Guards against the same of callers of the command serve.
func TestServeHostileCallers(t *testing.T) {
	post := func(path, framing string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n\r\n"
	}
	within := fmt.Sprintf("Content-Length: %d", largeBodyBytes-1)
	tests := map[string]struct {
		crowd
		listener string
		limited  bool
		memoryMB int
	}{
		"unfinished bodies":        {crowd: crowd{400, sendBody(post("/v1/query", within), largeBodyBytes-2)}, listener: "callers"},
		"unfinished chunks":        {crowd: crowd{400, sendChunks(post("/v1/query", "Transfer-Encoding: chunked"), 1<<10, largeBodyBytes-1<<10)}, listener: "callers"},
		"unfinished heads":         {crowd: crowd{3500, sendBody("POST /v1/query HTTP/1.1\r\nX-Long: ", 7_000)}, listener: "callers", memoryMB: headsMemoryMB},
		"idle connections":         {crowd: crowd{connections, func(net.Conn) {}}, listener: "callers", limited: true},
		"administration bodies":    {crowd: crowd{200, sendBody(post("/v1/validate", "Content-Length: 2000000"), 1_999_999)}, listener: "administration"},
		"administration chunks":    {crowd: crowd{200, sendChunks(post("/v1/validate", "Transfer-Encoding: chunked"), 1<<10, 2_000_000-1<<20)}, listener: "administration"},
		"administration on status": {crowd: crowd{200, sendBody(post("/v1/status", "Content-Length: 2000000"), 1_999_999)}, listener: "administration"},
		"administration idle":      {crowd: crowd{connections, func(net.Conn) {}}, listener: "administration", limited: true},
	}
	binary := buildProgram(t)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			addresses := serveAddresses(t)
			memoryMB := cmp.Or(test.memoryMB, crowdMemoryMB)
			node := startServe(t, binary, addresses, memoryMB, test.limited)
			answers := func() bool { return serveAnswers(t, addresses) }
			awaitSignalled(t, "the node has started", answers)
			descriptors := test.play(t, addresses[test.listener], node.Process.Pid)
			awaitSignalled(t, "both listeners answer", answers)
			limit := maxDescriptors
			if test.limited {
				// One descriptor at least is left for what is not a caller.
				limit = descriptorLimit - 1
			}
			checkBounds(t, node.Process, memoryMB, descriptors, limit)
		})
	}
}

// maxDescriptors is more than the largest crowd needs.
const maxDescriptors = 4096

// serveAddresses returns free addresses for the listeners of the command serve, and of a configuration service that does not run.
func serveAddresses(t *testing.T) map[string]string {
	t.Helper()
	addresses := make(map[string]string)
	for _, listener := range []string{"callers", "administration", "store"} {
		address, err := stand.FreeAddress("tcp")
		if err != nil {
			t.Fatal(err)
		}
		addresses[listener] = address
	}
	return addresses
}

// serveAnswers reports whether both listeners of the command serve answer.
func serveAnswers(t *testing.T, addresses map[string]string) bool {
	return get200(t, "http://"+addresses["administration"]+"/v1/status") && get(t.Context(), "http://"+addresses["callers"]+"/v1/entries") != 0
}

// startServe starts the command serve, whose machine has memoryMB of memory. With limited set it has descriptorLimit descriptors.
func startServe(t *testing.T, binary string, addresses map[string]string, memoryMB int, limited bool) *exec.Cmd {
	t.Helper()
	config := filepath.Join(t.TempDir(), "node.ini")
	text := "[node]\nid = n\nregion = r\navailability_zone = a\nregions = r\ncaller_address = " + addresses["callers"] +
		"\npeer_address = 127.0.0.1:0\nadmin_address = " + addresses["administration"] + "\n[platform]\naddress = " + addresses["store"] +
		"\n[peers]\ndevelopment_keys = true\n[limits]\nmax_request_bytes = " + strconv.Itoa(largeBodyBytes) + "\n"
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	node := exec.Command(binary, "serve", "--config", config)
	if limited {
		node = limitDescriptors(node)
	}
	node.Env = append(os.Environ(), fmt.Sprintf("GOMEMLIMIT=%dMiB", memoryMB))
	var output nodeOutput
	node.Stdout, node.Stderr = &output, &output
	if err := node.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = node.Process.Kill()
		_ = node.Wait()
		if t.Failed() {
			t.Log(output.String())
		}
	})
	return node
}

// get200 reports whether a GET request on a new connection is answered with status 200.
func get200(t *testing.T, url string) bool { return get(t.Context(), url) == http.StatusOK }
