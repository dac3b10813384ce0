package owner

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	searchPath = "/v1/search"
	cancelPath = "/v1/cancel"
	healthPath = "/v1/health"
	// endpointTimeout bounds health requests, probes and cancellations.
	endpointTimeout = 500 * time.Millisecond
)

// search makes the attempt and says what became of it.
func (s *station) search(now time.Time, l *link, t *task) outcome {
	message := t.batch.message
	request := wire.SearchRequest_builder{
		AttemptId:     t.id(),
		Collection:    message.GetCollection(),
		Snapshot:      message.GetSnapshot(),
		Shard:         t.item.GetShard(),
		Query:         message.GetQuery(),
		NonIdempotent: message.GetNonIdempotent(),
		Remaining:     durationpb.New(t.batch.deadline.Sub(now)),
		Limit:         message.GetLimit(),
	}.Build()
	reply := &wire.SearchReply{}
	if err := call(l.client, searchPath, request, reply, t.batch.deadline); err != nil {
		return s.lost(l, err, t.batch.deadline)
	}
	return s.judge(l, request, reply)
}

// judge checks that a reply belongs to its request and translates it.
func (s *station) judge(l *link, request *wire.SearchRequest, reply *wire.SearchReply) outcome {
	if !matches(request, reply) {
		// The client gives no hold on the one connection that the reply came on, so all idle ones go.
		l.client.CloseIdleConnections()
		return outcome{reason: wire.Reason_REASON_REPLY_MISMATCH}
	}
	result := outcome{service: reply.GetService().AsDuration(), leaving: reply.GetLeaving()}
	switch reply.GetStatus() {
	case wire.SearchStatus_SEARCH_STATUS_OK:
		result.hits = reply.GetHits()
	case wire.SearchStatus_SEARCH_STATUS_SHED:
		result.reason = wire.Reason_REASON_SEARCHER_SHED
	case wire.SearchStatus_SEARCH_STATUS_LEAVING:
		result.reason = wire.Reason_REASON_SEARCHER_LEAVING
		result.leaving = true
	case wire.SearchStatus_SEARCH_STATUS_SNAPSHOT_GONE:
		result.reason = wire.Reason_REASON_SNAPSHOT_GONE
	case wire.SearchStatus_SEARCH_STATUS_NOT_RUN:
		result.reason = wire.Reason_REASON_EXPIRED
	case wire.SearchStatus_SEARCH_STATUS_INTERRUPTED:
		result.reason = wire.Reason_REASON_CANCELLED_RUNNING
	default:
		result.reason = wire.Reason_REASON_SEARCHER_ERROR
	}
	return result
}

func matches(request *wire.SearchRequest, reply *wire.SearchReply) bool {
	return reply.GetAttemptId() == request.GetAttemptId() &&
		reply.GetShard() == request.GetShard() &&
		reply.GetSnapshot() == request.GetSnapshot() &&
		int(reply.GetHitCount()) == len(reply.GetHits())
}

// lost translates an error of the client. A request counts as not run only when no connection was there to write it to.
func (s *station) lost(l *link, err error, deadline time.Time) outcome {
	var status statusError
	switch {
	case errors.Is(err, errDial):
		return outcome{reason: wire.Reason_REASON_CONNECT_FAILED, gone: true}
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		return outcome{reason: wire.Reason_REASON_CONNECT_FAILED}
	case errors.Is(err, fasthttp.ErrTimeout) && s.clock().Before(deadline):
		// The client reports stall.ErrSilent as a timeout.
		return outcome{reason: wire.Reason_REASON_CONNECTION_SILENT}
	case errors.Is(err, fasthttp.ErrTimeout):
		return outcome{reason: wire.Reason_REASON_DEADLINE}
	case errors.Is(err, errDecode):
		return outcome{reason: wire.Reason_REASON_REPLY_MISMATCH}
	case errors.As(err, &status):
		return outcome{reason: wire.Reason_REASON_SEARCHER_ERROR}
	}
	l.client.CloseIdleConnections()
	return outcome{reason: wire.Reason_REASON_CONNECTION_LOST, abrupt: refusesConnections(l.searcher.Address())}
}

// refusesConnections tells a searcher that crashed from one that closed a connection, such as an idle one.
func refusesConnections(address string) bool {
	var conn net.Conn
	var err error
	if conn, err = net.DialTimeout("tcp", address, dialTimeout); err != nil {
		return true
	}
	_ = conn.Close()
	return false
}

// errDecode marks replies that are not a message of the schema.
var errDecode = errors.New("decode reply")

// statusError is an HTTP status other than 200.
type statusError int

// Error returns the status text.
func (e statusError) Error() string { return "searcher answered: " + fasthttp.StatusMessage(int(e)) }

// call posts a message and reads the reply, both in protobuf. A nil message makes a GET request.
func call(client *fasthttp.HostClient, path string, message, reply proto.Message, deadline time.Time) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.URI().SetScheme("http")
	request.URI().SetHost(client.Addr)
	request.URI().SetPath(path)
	if message != nil {
		request.Header.SetMethod(fasthttp.MethodPost)
		var body []byte
		var err error
		if body, err = (proto.MarshalOptions{}).MarshalAppend(request.Body()[:0], message); err != nil {
			return errors.Wrap(err, "encode request")
		}
		request.SetBodyRaw(body)
	}
	if err := client.DoDeadline(request, response, deadline); err != nil {
		return err
	}
	if code := response.StatusCode(); code != fasthttp.StatusOK {
		return statusError(code)
	}
	if reply == nil {
		return nil
	}
	if err := proto.Unmarshal(response.Body(), reply); err != nil {
		return errors.Mark(err, errDecode)
	}
	return nil
}

// cancel asks the searcher to stop a running attempt.
func (s *station) cancel(now time.Time, attempt uint64) {
	message := wire.SearcherCancel_builder{AttemptId: attempt}.Build()
	// A lost cancellation costs the searcher some time and nothing else.
	_ = s.tell(cancelPath, message, nil, now.Add(endpointTimeout))
}

// tell calls an endpoint other than search. It takes the probe's connection when running work holds all of this node's share.
func (s *station) tell(path string, message, reply proto.Message, deadline time.Time) error {
	l := s.link.Load()
	defer s.release(l)
	var err error
	if err = call(l.client, path, message, reply, deadline); errors.Is(err, fasthttp.ErrNoFreeConns) {
		// The connection is beyond the share, so it does not stay open.
		defer l.probe.CloseIdleConnections()
		return call(l.probe, path, message, reply, deadline)
	}
	return err
}

// release closes the idle connections of a link that was replaced meanwhile. They went back to clients that no longer
// count against the share.
func (s *station) release(l *link) {
	if l != s.link.Load() {
		l.close()
	}
}

// report logs what an outcome says about the searcher.
func (o *Owner) report(now time.Time, s *station, result outcome) {
	if result.gone {
		s.noteGone()
	}
	if result.leaving {
		o.noteLeaving(now, s)
	}
	if result.abrupt {
		o.abrupt.Inc(1)
		o.log(wire.Event_EVENT_SEARCHER_LOST, s)
	}
	if result.reason == wire.Reason_REASON_REPLY_MISMATCH {
		o.mismatches.Inc(1)
		o.log(wire.Event_EVENT_REPLY_MISMATCH, s)
	}
}

// noteLeaving marks a searcher that said it is leaving, and logs the first signal.
func (o *Owner) noteLeaving(now time.Time, s *station) {
	if s.noteLeaving(now) {
		o.log(wire.Event_EVENT_SEARCHER_LEAVING, s)
	}
}

// log writes an event about a searcher.
func (o *Owner) log(event wire.Event, s *station) {
	o.logger.Log(event, zap.String("collection", s.key.collection), zap.String("searcher", s.key.searcher))
}

// pollHealth obeys a leaving signal of the health endpoint. What else the endpoint says is not used, since it may mislead.
func (o *Owner) pollHealth(s *station) {
	health := &wire.SearcherHealth{}
	now := o.clock()
	defer o.vet(s)
	if err := s.tell(healthPath, nil, health, now.Add(endpointTimeout)); err != nil {
		if errors.Is(err, errDial) {
			s.noteGone()
		}
		return
	}
	if health.GetLeaving() {
		o.noteLeaving(now, s)
	}
}

// vet lets work start at a station whose health endpoint was asked.
func (o *Owner) vet(s *station) {
	if s.vetted.CompareAndSwap(false, true) {
		o.pump(o.clock(), s)
	}
}

const (
	// latencyQuantile is the quantile of the reply time that a silent connection is judged by.
	latencyQuantile = 0.99
	// unlearnedReply stands for it until the first reply, so that a slow searcher is not taken for a silent one.
	unlearnedReply = 2 * time.Second
)

// expectedReply returns the reply time that silent connections are judged by.
func (s *station) expectedReply() time.Duration {
	if s.latency.Count() == 0 {
		return unlearnedReply
	}
	return time.Duration(s.latency.Percentile(latencyQuantile))
}

// checkConnections closes silent connections, and sends a probe on a new connection when only that can tell.
func (o *Owner) checkConnections(now time.Time, s *station) {
	if s.inFlight.Load() == 0 {
		return
	}
	l := s.link.Load()
	expected := s.expectedReply()
	for range l.group.Check(now, expected) {
		o.silent.Inc(1)
		o.log(wire.Event_EVENT_CONNECTION_SILENT, s)
	}
	if !l.group.NeedsProbe(now, expected) || !s.probing.CompareAndSwap(false, true) {
		return
	}
	o.tasks.Go(func() {
		defer s.probing.Store(false)
		l.probe.CloseIdleConnections()
		// The probe's reply is a witness; its content does not matter.
		_ = call(l.probe, healthPath, nil, nil, o.clock().Add(endpointTimeout))
		l.probe.CloseIdleConnections()
	})
}
