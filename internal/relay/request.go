package relay

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Request is one attempt of a caller.
type Request struct {
	// ID is the caller's id of this attempt. Replies that echo an id must echo this one.
	ID string
	// Route selects where the request goes; Version is the version of the route table that it comes from.
	Route   *route.Route
	Version uint64
	// Timeout is how long the caller waits from now on; 0 means that the caller gave none.
	Timeout time.Duration
	// Head is the request head for searchers, without the fields that differ between attempts. Body is the request body. It must not change
	// after the answer either, since an attempt may still send it.
	Head []byte
	Body []byte
	// HeadOnly is set when replies carry no body (HEAD requests).
	HeadOnly bool
	// CallerGone reports whether the caller has closed its connection. It is polled while the request runs.
	CallerGone func() bool
}

// Answer is the result for a caller: Forwarded, Merged or Refused.
type Answer interface{ answer() }

// Forwarded is a single searcher's reply, returned to the caller unchanged. The receiver must release Response.
type Forwarded struct{ Response *fasthttp.Response }

// Merged holds the greatest records of the shards that replied.
type Merged struct {
	// Records is the response body: whole records in descending order.
	Records []byte
	// Proofs holds the proof of origin of each reply that was merged. Missing is the number of shards without a reply.
	Proofs  []string
	Missing int
}

// Refused is an answer without a result.
type Refused struct {
	Reason wire.Reason
	// NotRun is set when no searcher has run the request or ever will.
	NotRun bool
	// RetryAfter tells the caller how long to wait before the next attempt.
	RetryAfter time.Duration
}

func (Forwarded) answer() {}
func (Merged) answer()    {}
func (Refused) answer()   {}
