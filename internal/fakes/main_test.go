package fakes

import (
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	testCollection = "archive"
	testSnapshot   = 7
	testShard      = 3
	// callTimeout bounds each call in a test. A call that reaches it is a failure.
	callTimeout = 3 * time.Second
)

// TestMain guards against goroutines that outlive Close. The cleaner goroutines of fasthttp clients exit on their own within 10 s.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
	)
}

// newClient returns a client that never retries a request and closes its idle connections at the end of the test.
func newClient(t testing.TB) *fasthttp.Client {
	t.Helper()
	client := &fasthttp.Client{
		Dial:                      func(address string) (net.Conn, error) { return net.Dial("tcp", address) },
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// response is the result of an HTTP call.
type response struct {
	status   int
	revision string
	body     []byte
	err      error
}

func get(client *fasthttp.Client, url string, timeout time.Duration) response {
	request := fasthttp.AcquireRequest()
	reply := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(reply)
	request.SetRequestURI(url)
	err := client.DoTimeout(request, reply, timeout)
	return response{
		status:   reply.StatusCode(),
		revision: string(reply.Header.Peek(RevisionHeader)),
		body:     append([]byte(nil), reply.Body()...),
		err:      err,
	}
}

func post(client *fasthttp.Client, url string, message, into proto.Message, timeout time.Duration) error {
	encoded, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	request := fasthttp.AcquireRequest()
	reply := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(reply)
	request.SetRequestURI(url)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBody(encoded)
	if err := client.DoTimeout(request, reply, timeout); err != nil {
		return err
	}
	if into == nil {
		return nil
	}
	return proto.Unmarshal(reply.Body(), into)
}

// searchRequest returns a sub-request for the shard that the searcher of startTestSearcher has loaded.
func searchRequest(attemptID uint64, query string, remaining time.Duration) *wire.SearchRequest {
	request := wire.SearchRequest_builder{
		AttemptId:  attemptID,
		Collection: testCollection,
		Snapshot:   testSnapshot,
		Shard:      testShard,
		Query:      query,
		Limit:      5,
	}.Build()
	if remaining != 0 {
		request.SetRemaining(durationpb.New(remaining))
	}
	return request
}

func search(client *fasthttp.Client, s *Searcher, request *wire.SearchRequest) (*wire.SearchReply, error) {
	reply := &wire.SearchReply{}
	err := post(client, "http://"+s.Address()+SearchPath, request, reply, callTimeout)
	return reply, err
}

func startTestSearcher(t *testing.T, change func(SearcherSettings) SearcherSettings) *Searcher {
	t.Helper()
	settings := NewSearcherSettings("s1").WithIndex(testCollection, testSnapshot, testShard)
	if change != nil {
		settings = change(settings)
	}
	s, err := StartSearcher(settings)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// eventually polls until a condition holds and fails the test after callTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(callTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("%s: condition not met within %v", what, callTimeout)
}
