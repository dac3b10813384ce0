// Package entry is the entry role: it admits a caller's query, fans it out to the owners of every shard of one index
// snapshot, hedges and retries, and merges one answer with its exact coverage.
package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"github.com/fireflylanding/fireflylanding/internal/admit"
	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/hedge"
	"github.com/fireflylanding/fireflylanding/internal/member"
	"github.com/fireflylanding/fireflylanding/internal/picker"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/quar"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/retry"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/token"
	"github.com/fireflylanding/fireflylanding/internal/view"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// defaultHits is the number of hits in an answer to a query that names no limit.
const defaultHits = 10

// OwnerClient sends batches to owners. An error marked with peer.ErrNotSent means that the owner got nothing.
type OwnerClient interface {
	Batch(ctx context.Context, to shards.VM, batch *wire.Batch, receive func(*wire.BatchReply)) error
	Cancel(ctx context.Context, to shards.VM, cancel *wire.Cancel) error
}

// IssuerClient forwards a non-idempotent request to the node that issued its token.
type IssuerClient interface {
	Forward(ctx context.Context, address string, query *wire.Query) (*wire.Answer, error)
}

// Policies are the decisions that an entry consults.
type Policies struct {
	Admission  *admit.Admission
	Hedger     *hedge.Hedger
	Retrier    *retry.Retrier
	Picker     *picker.Picker
	Issuer     *token.Issuer
	Quarantine *quar.Table
}

// Hooks are the views that an entry reads. Each call returns an immutable snapshot.
type Hooks struct {
	View    func() *view.Snapshot
	Members func(now time.Time) *member.Members
	// OwnerFailed reports an owner that could not be reached.
	OwnerFailed func(now time.Time, id string)
	// QuarantineChanged reports that the quarantine table changed.
	QuarantineChanged func()
	// Gate refuses requests while the node is not ready or stops, and returns nil otherwise.
	Gate func() *reason.Refusal
	// Clock returns the present time.
	Clock func() time.Time
}

// Entry answers queries. It is safe for concurrent use.
type Entry struct {
	self     shards.VM
	limits   *wire.LimitSettings
	policies Policies
	sources  Hooks
	owners   OwnerClient
	issuers  IssuerClient
	logger   *events.Logger
	counters *reason.Counters
	avoided  *avoidance
	tasks    conc.WaitGroup
	inFlight atomic.Int64
	// closing ends when Close is called.
	closing context.Context
	end     context.CancelFunc
	// lastID precedes the ids of queries and attempts. It starts at a random number, so that a restarted process does not reuse ids
	// that searchers may still hold.
	lastID atomic.Uint64

	latency    [plans.NumRanks]metrics.Histogram
	attempts   metrics.Counter
	subqueries metrics.Counter
	late       metrics.Counter
}

// New returns an entry of the node self.
func New(self shards.VM, limits *wire.LimitSettings, policies Policies, sources Hooks, owners OwnerClient, issuers IssuerClient,
	logger *events.Logger, counters *reason.Counters, registry metrics.Registry) *Entry {
	e := &Entry{
		self:       self,
		limits:     limits,
		policies:   policies,
		sources:    sources,
		owners:     owners,
		issuers:    issuers,
		logger:     logger,
		counters:   counters,
		avoided:    newAvoidance(),
		attempts:   metrics.NewRegisteredCounter("entry.attempts", registry),
		subqueries: metrics.NewRegisteredCounter("entry.subqueries", registry),
		late:       metrics.NewRegisteredCounter("entry.late_replies", registry),
	}
	e.closing, e.end = context.WithCancel(context.Background())
	e.lastID.Store(rand.Uint64())
	for _, rank := range plans.Ranks() {
		sample := metrics.NewExpDecaySample(1028, 0.015)
		e.latency[rank] = metrics.NewRegisteredHistogram(fmt.Sprintf("entry.latency_us.%s", rank), registry, sample)
	}
	return e
}

// Attempts returns the attempts sent and those that were neither hedges nor retries.
func (e *Entry) Attempts() (sent, needed int64) { return e.attempts.Count(), e.subqueries.Count() }

// InFlight returns the number of requests that wait for their answer.
func (e *Entry) InFlight() int { return int(e.inFlight.Load()) }

// closePoll is how often Close looks for requests in flight.
const closePoll = 5 * time.Millisecond

// Close ends the requests in flight, which are answered with what they have, and returns when no exchange with an
// owner is open. The gate must refuse new requests before.
func (e *Entry) Close() {
	e.end()
	for e.inFlight.Load() > 0 {
		time.Sleep(closePoll)
	}
	e.tasks.Wait()
}

// Query answers a caller's query. The answer carries the run state and the reason when the query was refused or is incomplete.
func (e *Entry) Query(ctx context.Context, now time.Time, query *wire.Query) *wire.Answer {
	return e.serve(ctx, now, query, false)
}

// QueryForwarded answers a non-idempotent query that another entry forwarded because this node issued its token.
func (e *Entry) QueryForwarded(ctx context.Context, now time.Time, query *wire.Query) *wire.Answer {
	return e.serve(ctx, now, query, true)
}

func (e *Entry) serve(ctx context.Context, now time.Time, query *wire.Query, forwarded bool) *wire.Answer {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(e.closing, cancel)()
	if refusal := e.check(query); refusal != nil {
		return e.refuse(refusal)
	}
	if query.GetNonIdempotent() {
		return e.serveOnce(ctx, now, query, forwarded)
	}
	return e.run(ctx, now, query)
}

// check refuses queries that no node would run.
func (e *Entry) check(query *wire.Query) *reason.Refusal {
	switch {
	case query.GetPlan() == "":
		return reason.New(wire.Reason_REASON_BAD_REQUEST, "plan is missing")
	case query.GetCollection() == "":
		return reason.New(wire.Reason_REASON_BAD_REQUEST, "collection is missing")
	case query.GetNonIdempotent() && query.GetKey() == "":
		return reason.New(wire.Reason_REASON_BAD_REQUEST, "a non-idempotent request needs a key")
	case query.GetLimit() > e.limits.GetMaxHits():
		return reason.New(wire.Reason_REASON_BAD_REQUEST, fmt.Sprintf("limit is above %d", e.limits.GetMaxHits()))
	case query.HasDeadline() && query.GetDeadline().AsDuration() <= 0:
		return reason.New(wire.Reason_REASON_BAD_REQUEST, "deadline must be positive")
	case query.GetDeadline().AsDuration() > e.limits.GetMaxDeadline().AsDuration():
		return reason.New(wire.Reason_REASON_BAD_REQUEST, "deadline is above "+e.limits.GetMaxDeadline().AsDuration().String())
	default:
		return nil
	}
}

// run admits a query and fans it out. Nothing was sent to a searcher when the answer says "not run".
func (e *Entry) run(ctx context.Context, now time.Time, query *wire.Query) *wire.Answer {
	// The gate is asked only here, after a request token was looked up: a resend must learn what became of the first presentation even
	// from a node that takes no new work.
	if refusal := e.sources.Gate(); refusal != nil {
		return e.refuse(refusal)
	}
	snapshot := e.sources.View()
	plan, ok := snapshot.Lists().Plan(query.GetPlan())
	if !ok {
		return e.refuse(reason.New(wire.Reason_REASON_PLAN_UNKNOWN, query.GetPlan()))
	}
	use, ok := snapshot.Lists().Use(plan.Name(), query.GetCollection())
	if !ok {
		return e.refuse(reason.New(wire.Reason_REASON_USE_NOT_LISTED, plan.Name()+"/"+query.GetCollection()))
	}
	index := snapshot.Index(query.GetCollection())
	if index == nil || len(index.Snapshots()) == 0 {
		return e.refuse(reason.New(wire.Reason_REASON_COLLECTION_UNKNOWN, query.GetCollection()))
	}
	fingerprint := quar.Fingerprint(plan.Name(), query.GetCollection(), query.GetQuery())
	verdict := e.policies.Quarantine.Check(now, fingerprint)
	if _, ok := verdict.(quar.Quarantined); ok {
		return e.refuse(reason.New(wire.Reason_REASON_QUARANTINED, ""))
	}
	grant, refusal := e.policies.Admission.Admit(now, query.GetCollection(), plan.Name(), use)
	if refusal != nil {
		return e.refuse(refusal)
	}
	answer := newFanout(e, now, query, plan, snapshot, index, fingerprint).run(ctx)
	ended := e.sources.Clock()
	grant.Release(ended)
	e.latency[plan.Rank()].Update(ended.Sub(now).Microseconds())
	return answer
}

// refuse counts a refusal and returns it as an answer.
func (e *Entry) refuse(refusal *reason.Refusal) *wire.Answer {
	e.counters.Add(refusal.Reason())
	return wire.Answer_builder{
		Run:    refusal.RunState(),
		Reason: refusal.Reason(),
		Detail: refusal.Error(),
	}.Build()
}

func (e *Entry) nextID() uint64 { return e.lastID.Add(1) }

// deadline returns the time that a query may take.
func (e *Entry) deadline(query *wire.Query) time.Duration {
	if query.HasDeadline() {
		return query.GetDeadline().AsDuration()
	}
	return e.limits.GetDefaultDeadline().AsDuration()
}
