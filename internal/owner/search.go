package owner

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/fireflylanding/fireflylanding/internal/meter"
	"github.com/fireflylanding/fireflylanding/internal/strict"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	searchPath = "/v1/search"
	cancelPath = "/v1/cancel"
	healthPath = "/v1/health"
	// endpointTimeout limits health requests, probes and cancellations.
	endpointTimeout = 500 * time.Millisecond
)

// search sends the search request of a task and returns its outcome.
func (u *upstream) search(now time.Time, p *connPool, t *task) outcome {
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
	u.replies.transport.Expect(int64(message.GetLimit()) * maxHitBytes)
	reply := &wire.SearchReply{}
	if err := postProto(p.client, searchPath, request, reply, t.batch.deadline); err != nil {
		return u.errorOutcome(p, err, t.batch.deadline)
	}
	return u.replyOutcome(p, request, reply)
}

// replyOutcome checks that a reply belongs to its request and converts it to an outcome.
func (u *upstream) replyOutcome(p *connPool, request *wire.SearchRequest, reply *wire.SearchReply) outcome {
	if !replyMatches(request, reply) {
		// The client does not expose the connection that the reply came on, so all idle connections are closed.
		p.client.CloseIdleConnections()
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

// replyMatches reports whether a reply is for the request and has all the hits that it announces.
func replyMatches(request *wire.SearchRequest, reply *wire.SearchReply) bool {
	return reply.GetAttemptId() == request.GetAttemptId() &&
		reply.GetShard() == request.GetShard() &&
		reply.GetSnapshot() == request.GetSnapshot() &&
		int(reply.GetHitCount()) == len(reply.GetHits())
}

// errorOutcome converts an error of the client to an outcome. A request counts as not run only if there was no connection to write it to.
func (u *upstream) errorOutcome(p *connPool, err error, deadline time.Time) outcome {
	var status statusError
	switch {
	case errors.Is(err, errDial):
		return outcome{reason: wire.Reason_REASON_CONNECT_FAILED, dialFailed: true}
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		return outcome{reason: wire.Reason_REASON_CONNECT_FAILED}
	case errors.Is(err, fasthttp.ErrTimeout) && u.clock().Before(deadline):
		// The client reports stall.ErrSilent as a timeout.
		return outcome{reason: wire.Reason_REASON_CONNECTION_SILENT}
	case errors.Is(err, fasthttp.ErrTimeout):
		return outcome{reason: wire.Reason_REASON_DEADLINE}
	case errors.Is(err, errDecode):
		return outcome{reason: wire.Reason_REASON_REPLY_MISMATCH}
	case errors.As(err, &status):
		return outcome{reason: wire.Reason_REASON_SEARCHER_ERROR}
	case strict.IsMalformed(err):
		return outcome{reason: wire.Reason_REASON_REPLY_MALFORMED, err: err}
	case errors.IsAny(err, fasthttp.ErrBodyTooLarge, strict.ErrTooLong, meter.ErrTooLong, meter.ErrBudget):
		return outcome{reason: wire.Reason_REASON_REPLY_TOO_LONG}
	}
	p.client.CloseIdleConnections()
	return outcome{reason: wire.Reason_REASON_CONNECTION_LOST, abrupt: refusesConnections(p.searcher.Address())}
}

// refusesConnections reports whether a connection to the address fails. This distinguishes a searcher that crashed from one that only
// closed a connection, such as an idle one.
func refusesConnections(address string) bool {
	var conn net.Conn
	var err error
	if conn, err = net.DialTimeout("tcp", address, dialTimeout); err != nil {
		return true
	}
	_ = conn.Close()
	return false
}

// errDecode marks errors of replies that are not valid messages of the schema.
var errDecode = errors.New("decode reply")

// statusError is an HTTP status code other than 200.
type statusError int

// Error implements error.
func (e statusError) Error() string {
	return "searcher returned HTTP status: " + fasthttp.StatusMessage(int(e))
}

// postProto posts a message and decodes the reply, both in protobuf. If message is nil, it sends a GET request; if reply is nil, the body
// is ignored.
func postProto(client *fasthttp.HostClient, path string, message, reply proto.Message, deadline time.Time) error {
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

// cancel asks the searcher to cancel a running attempt.
func (u *upstream) cancel(now time.Time, attempt uint64) {
	message := wire.SearcherCancel_builder{AttemptId: attempt}.Build()
	// If the cancellation is lost, the searcher only spends time on a result that is not used.
	_ = u.callEndpoint(cancelPath, message, nil, now.Add(endpointTimeout))
}

// callEndpoint calls an endpoint other than search. If running sub-requests hold all connections of this node's share, it uses the probe
// client.
func (u *upstream) callEndpoint(path string, message, reply proto.Message, deadline time.Time) error {
	p := u.pool.Load()
	defer u.release(p)
	var err error
	if err = postProto(p.client, path, message, reply, deadline); errors.Is(err, fasthttp.ErrNoFreeConns) {
		// The connection exceeds the share, so it is closed after the call.
		defer p.probe.CloseIdleConnections()
		return postProto(p.probe, path, message, reply, deadline)
	}
	return err
}

// release closes the idle connections of a pool that was replaced while a request used it. The request has returned its
// connection to a client that no longer counts against the share.
func (u *upstream) release(p *connPool) {
	if p != u.pool.Load() {
		p.close()
	}
}

// report updates the leaving state, the counters and the log from an outcome.
func (o *Owner) report(now time.Time, u *upstream, result outcome) {
	if result.dialFailed {
		u.clearLeaving()
	}
	if result.leaving {
		o.markLeaving(now, u)
	}
	if result.abrupt {
		o.abrupt.Inc(1)
		o.log(wire.Event_EVENT_SEARCHER_LOST, u)
	}
	if result.reason == wire.Reason_REASON_REPLY_MISMATCH {
		o.mismatches.Inc(1)
		o.log(wire.Event_EVENT_REPLY_MISMATCH, u)
	}
}

// logMalformed logs an answer of a searcher that was not a valid HTTP response.
func (o *Owner) logMalformed(u *upstream, err error, request ...zap.Field) {
	o.log(wire.Event_EVENT_REPLY_MALFORMED, u, append(request, zap.Error(err))...)
}

// markLeaving records that a searcher reported that it is leaving, and logs the first such report.
func (o *Owner) markLeaving(now time.Time, u *upstream) {
	if u.markLeaving(now) {
		o.log(wire.Event_EVENT_SEARCHER_LEAVING, u)
	}
}

// log logs an event about a searcher.
func (o *Owner) log(event wire.Event, u *upstream, fields ...zap.Field) {
	o.logger.Log(event, append(fields, zap.String("collection", u.key.collection), zap.String("searcher", u.key.searcher))...)
}

// pollHealth polls the health endpoint for a leaving signal. The rest of the reply is ignored, since it may be wrong.
func (o *Owner) pollHealth(u *upstream) {
	health := &wire.SearcherHealth{}
	now := o.clock()
	defer o.enableDispatch(u)
	if err := u.callEndpoint(healthPath, nil, health, now.Add(endpointTimeout)); err != nil {
		if errors.Is(err, errDial) {
			u.clearLeaving()
		}
		if strict.IsMalformed(err) {
			o.counters.Add(wire.Reason_REASON_REPLY_MALFORMED)
			o.logMalformed(u, err, zap.String("path", healthPath))
		}
		return
	}
	if health.GetLeaving() {
		o.markLeaving(now, u)
	}
}

// enableDispatch allows sub-requests to start once the health endpoint was polled or firstHealthTimeout has passed.
func (o *Owner) enableDispatch(u *upstream) {
	if u.dispatchEnabled.CompareAndSwap(false, true) {
		o.dispatch(o.clock(), u)
	}
}

const (
	// latencyQuantile is the quantile of the reply times from which the limit for silent connections is derived.
	latencyQuantile = 0.99
	// initialReplyTime is used instead until the first reply, so that a slow searcher is not mistaken for a silent one.
	initialReplyTime = 2 * time.Second
)

// expectedReplyTime returns the reply time from which the limit for silent connections is derived.
func (u *upstream) expectedReplyTime() time.Duration {
	if u.latency.Count() == 0 {
		return initialReplyTime
	}
	return time.Duration(u.latency.Percentile(latencyQuantile))
}

// checkConnections closes silent connections. If a request is overdue and no other connection shows whether the searcher replies, it sends
// a probe on a new connection.
func (o *Owner) checkConnections(now time.Time, u *upstream) {
	if u.inFlight.Load() == 0 {
		return
	}
	p := u.pool.Load()
	expected := u.expectedReplyTime()
	for range p.group.Check(now, expected) {
		o.silent.Inc(1)
		o.log(wire.Event_EVENT_CONNECTION_SILENT, u)
	}
	if !p.group.NeedsProbe(now, expected) || !u.probing.CompareAndSwap(false, true) {
		return
	}
	o.tasks.Go(func() {
		defer u.probing.Store(false)
		p.probe.CloseIdleConnections()
		// The reply shows that the searcher answers on other connections; its content does not matter.
		_ = postProto(p.probe, healthPath, nil, nil, o.clock().Add(endpointTimeout))
		p.probe.CloseIdleConnections()
	})
}
