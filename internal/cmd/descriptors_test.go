package cmd

import (
	"context"
	"net"
	"net/http"
	"os/exec"
	"strconv"
	"testing"
	"time"
)

const (
	// descriptorLimit is more than a node needs without callers, and less than a test opens at it.
	descriptorLimit = 100
	connections     = 200
	// exhaustedTime is how long a test keeps the descriptors of a node in use.
	exhaustedTime = time.Second
	// metricsPort is the default port of the metrics listener.
	metricsPort = 9464
)

// limitDescriptors returns a command that runs another one, which has not started yet, with at most descriptorLimit descriptors.
func limitDescriptors(command *exec.Cmd) *exec.Cmd {
	limited := exec.Command("sh", append([]string{"-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(descriptorLimit)}, command.Args...)...)
	limited.Stdout, limited.Stderr = command.Stdout, command.Stderr
	return limited
}

// exhaustDescriptors opens more connections to an address than its process has descriptors, and closes them after exhaustedTime.
func exhaustDescriptors(t *testing.T, address string) {
	t.Helper()
	for range connections {
		conn, err := net.DialTimeout("tcp", address, signalTimeout)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	time.Sleep(exhaustedTime)
}

// get returns the status of the answer to a GET request on a new connection, 0 if there was none.
func get(ctx context.Context, url string) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Guards against a listener of a node that ends for good because all descriptors were in use for a moment, while the node stays ready.
func TestListenersOutliveLackOfDescriptors(t *testing.T) {
	binary := buildProgram(t)
	for _, exhausted := range []string{"callers", "directory", "checks", "metrics"} {
		t.Run(exhausted, func(t *testing.T) {
			t.Parallel()
			n := newSignalledNode(t, binary, true)
			n.Cmd = limitDescriptors(n.Cmd)
			if err := n.Start(); err != nil {
				t.Fatal(err)
			}
			addresses := map[string]string{
				"callers":   net.JoinHostPort(n.IP, strconv.Itoa(n.CallerPort)),
				"directory": net.JoinHostPort(n.IP, strconv.Itoa(n.DirectoryPort)),
				"checks":    net.JoinHostPort(n.IP, strconv.Itoa(n.ReadyPort)),
				"metrics":   net.JoinHostPort(n.IP, strconv.Itoa(metricsPort)),
			}
			awaitSignalled(t, "the node is ready", func() bool { return n.ready(t.Context()) })
			exhaustDescriptors(t, addresses[exhausted])
			awaitSignalled(t, "callers are served", func() bool { return n.ask("00000000000000a1", "/a/1") == http.StatusOK })
			for listener, path := range map[string]string{"directory": "/v1/resolve?name=h&region=r&zone=z", "checks": "/v1/ready", "metrics": "/metrics"} {
				awaitSignalled(t, listener+" answers", func() bool { return get(t.Context(), "http://"+addresses[listener]+path) == http.StatusOK })
			}
		})
	}
}

// Guards against the same loss of a listener by the command serve.
func TestServeListenersOutliveLackOfDescriptors(t *testing.T) {
	binary := buildProgram(t)
	for _, exhausted := range []string{"callers", "administration"} {
		t.Run(exhausted, func(t *testing.T) {
			t.Parallel()
			addresses := serveAddresses(t)
			startServe(t, binary, addresses, crowdMemoryMB, true)
			answers := func() bool { return serveAnswers(t, addresses) }
			awaitSignalled(t, "the node has started", answers)
			exhaustDescriptors(t, addresses[exhausted])
			awaitSignalled(t, "both listeners answer", answers)
		})
	}
}
