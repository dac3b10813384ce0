package client

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// The deadline sent to the entry is earlier than the caller's by maxReplyReserve, or by a fraction of the remaining time if that is
// less, so that an answer given at that deadline still arrives in time.
const (
	maxReplyReserve     = 20 * time.Millisecond
	replyReserveDivisor = 10
)

// Question is a query of a plan to a collection. It is immutable.
type Question struct {
	plan          string
	collection    string
	query         string
	key           string
	nonIdempotent bool
	limit         int
	deadline      time.Duration
}

// QuestionOption sets an optional property of a question.
type QuestionOption func(*Question)

// NewQuestion returns a question, which is idempotent unless an option marks it otherwise.
func NewQuestion(plan, collection, query string, options ...QuestionOption) Question {
	q := Question{plan: plan, collection: collection, query: query}
	for _, option := range options {
		option(&q)
	}
	return q
}

// NonIdempotent marks a question as one that must run at most once, such as a dispatch. The key routes it to one shard.
func NonIdempotent(key string) QuestionOption {
	return func(q *Question) {
		q.nonIdempotent = true
		q.key = key
	}
}

// WithLimit sets the maximum number of hits.
func WithLimit(hits int) QuestionOption {
	return func(q *Question) { q.limit = hits }
}

// WithDeadline sets the time that the caller waits for the answer. An earlier deadline of the context takes precedence.
func WithDeadline(d time.Duration) QuestionOption {
	return func(q *Question) { q.deadline = d }
}

// Plan returns the plan whose limits the question counts against.
func (q Question) Plan() string { return q.plan }

// Collection returns the collection that is searched.
func (q Question) Collection() string { return q.collection }

// Query returns the text of the query.
func (q Question) Query() string { return q.query }

// Key returns the routing key of a non-idempotent question.
func (q Question) Key() string { return q.key }

// Idempotent reports whether the question may run more than once.
func (q Question) Idempotent() bool { return !q.nonIdempotent }

// Limit returns the maximum number of hits, or 0 for the node's limit.
func (q Question) Limit() int { return q.limit }

// Deadline returns the time that the caller waits, or 0 for the client's default.
func (q Question) Deadline() time.Duration { return q.deadline }

// withDeadline returns ctx with the question's deadline, or with the default if neither ctx nor the question sets one.
func (q Question) withDeadline(ctx context.Context, now time.Time, defaultWait time.Duration) (context.Context, context.CancelFunc) {
	wait := q.deadline
	if _, ok := ctx.Deadline(); !ok && wait <= 0 {
		wait = defaultWait
	}
	if wait <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, now.Add(wait))
}

// message returns the message that is sent to an entry when the given time remains until the caller's deadline.
func (q Question) message(token string, remaining time.Duration) *wire.Query {
	m := &wire.Query{}
	m.SetPlan(q.plan)
	m.SetCollection(q.collection)
	m.SetQuery(q.query)
	m.SetKey(q.key)
	m.SetNonIdempotent(q.nonIdempotent)
	m.SetToken(token)
	m.SetLimit(uint32(max(q.limit, 0)))
	m.SetDeadline(durationpb.New(remaining - min(remaining/replyReserveDivisor, maxReplyReserve)))
	return m
}
