package relay

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Request is one attempt of a caller.
type Request struct {
	// ID is the caller's id of this attempt; replies must echo it.
	ID string
	// Route is where the request goes, by the given version of the routes.
	Route   *route.Route
	Version uint64
	// Timeout is how long the caller waits from now on; 0 means that it did not say.
	Timeout time.Duration
	// Head is the head for searchers without the parts that differ between attempts, and Body the body.
	Head []byte
	Body []byte
	// HeadOnly is set when replies have a head only (HEAD).
	HeadOnly bool
	// CallerGone reports whether the caller has closed its connection. It is asked now and then while the request runs.
	CallerGone func() bool
}

// Answer is the result for a caller: Passed, Merged or Refused.
type Answer interface{ answer() }

// Forwarded is one searcher's reply, to be passed on unchanged. The receiver must release the response.
type Forwarded struct{ Response *fasthttp.Response }

// Merged holds the greatest records of the shards that replied.
type Merged struct {
	// Records is the body: whole records, the greatest first.
	Records []byte
	// Proofs are those of the replies that are in. Missing is the number of shards that are not.
	Proofs  []string
	Missing int
}

// Refused is an answer without a result.
type Refused struct {
	Reason wire.Reason
	// NotRun is set when no searcher ran the request or ever will.
	NotRun bool
	// RetryAfter tells the caller when another attempt makes sense.
	RetryAfter time.Duration
}

func (Forwarded) answer() {}
func (Merged) answer()    {}
func (Refused) answer()   {}
