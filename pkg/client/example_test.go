package client_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/fireflylanding/fireflylanding/pkg/client"
)

// newFakeNode returns a fake node that gives the same answer to every question.
func newFakeNode(status int, body string) *httptest.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"entries":[{"id":"vm-1","address":%q}],"valid":"30s","tokens":["t1"]}`, r.Host)
	})
	mux.HandleFunc("POST /v1/query", func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(status)
		io.WriteString(w, body)
	})
	return httptest.NewServer(mux)
}

func ExampleClient_Ask() {
	node := newFakeNode(http.StatusOK, `{"snapshot":"12","hits":[{"id":"jersey-4","score":3}],`+
		`"coverage":{"total":2,"reflected":1,"missing":[{"shard":1,"reason":"REASON_NO_REPLICA"}]},"run":"RUN_STATE_RUN"}`)
	defer node.Close()
	asker, err := client.New(client.Settings{
		Addresses:        []string{node.Listener.Addr().String()},
		Caller:           "web-1",
		AvailabilityZone: "perth-a",
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer asker.Close()

	question := client.NewQuestion("archive", "captain-portal", "team jersey 2019", client.WithDeadline(5*time.Second))
	answer, err := asker.Ask(context.Background(), question)
	if err != nil {
		fmt.Println(err)
		return
	}
	coverage := answer.Coverage()
	fmt.Printf("snapshot %d, %d of %d shards\n", answer.Snapshot(), coverage.Reflected(), coverage.Total())
	for _, missing := range coverage.Missing() {
		fmt.Printf("shard %d: %s\n", missing.Shard(), missing.Reason().Text())
	}
	for _, hit := range answer.Hits() {
		fmt.Println(hit.ID(), hit.Score())
	}
	// Output:
	// snapshot 12, 1 of 2 shards
	// shard 1: no replica of the shard is reachable
	// jersey-4 3
}

func ExampleAsRefusal() {
	node := newFakeNode(http.StatusGatewayTimeout, `{"run":"RUN_STATE_UNKNOWN","reason":"REASON_DEADLINE"}`)
	defer node.Close()
	asker, err := client.New(client.Settings{Addresses: []string{node.Listener.Addr().String()}, Caller: "web-1"})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer asker.Close()

	order := client.NewQuestion("rush", "dispatch-board", "order 81", client.NonIdempotent("order-81"), client.WithDeadline(5*time.Second))
	_, err = asker.Ask(context.Background(), order)
	if refusal := client.AsRefusal(err); refusal != nil && refusal.Run() == client.Unknown {
		fmt.Println("the order may have been placed:", refusal.Reason().Text())
	}
	// Output: the order may have been placed: the deadline passed before the reply
}
