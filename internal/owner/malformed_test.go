package owner

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"github.com/fireflylanding/fireflylanding/internal/broken"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// rawSearcher is a searcher whose answers a test replaces.
type rawSearcher struct {
	*broken.Server
	// search and health build the answers from the body of a sound one.
	search atomic.Pointer[func(body string) broken.Answer]
	health atomic.Pointer[func(body string) broken.Answer]
	// leaving is what the health endpoint states.
	leaving atomic.Bool
}

func soundAnswer(body string) broken.Answer {
	return broken.Answer{Message: broken.Sound("200 OK", "", body)}
}

// newRawSearcher returns an owner of one searcher whose answers the test replaces.
func newRawSearcher(t *testing.T) (*harness, *rawSearcher) {
	t.Helper()
	s := &rawSearcher{}
	s.setSearch(soundAnswer)
	s.setHealth(soundAnswer)
	var err error
	if s.Server, err = broken.Start(s.answer); err != nil {
		t.Fatal(err)
	}
	h := newHarness(t, nil)
	t.Cleanup(s.Close)
	h.setView(t, s.Address(), false, "e1")
	h.Refresh(time.Now())
	return h, s
}

func (s *rawSearcher) setSearch(answer func(body string) broken.Answer) { s.search.Store(&answer) }
func (s *rawSearcher) setHealth(answer func(body string) broken.Answer) { s.health.Store(&answer) }

// answer returns the answer of the test around the body of a sound reply.
func (s *rawSearcher) answer(request *fasthttp.Request) broken.Answer {
	if string(request.URI().Path()) == healthPath {
		return (*s.health.Load())(marshal(wire.SearcherHealth_builder{Leaving: s.leaving.Load()}.Build()))
	}
	search := &wire.SearchRequest{}
	if err := proto.Unmarshal(request.Body(), search); err != nil {
		return broken.Answer{Closes: true}
	}
	return (*s.search.Load())(marshal(wire.SearchReply_builder{
		AttemptId: search.GetAttemptId(), Shard: search.GetShard(), Snapshot: search.GetSnapshot(), Status: wire.SearchStatus_SEARCH_STATUS_OK,
	}.Build()))
}

func marshal(message proto.Message) string {
	// A message that the test builds can be encoded.
	body, _ := proto.Marshal(message)
	return string(body)
}

// Guards against a malformed reply of a searcher that counts as its answer or leaves its connection in use.
func TestMalformedReply(t *testing.T) {
	h, s := newRawSearcher(t)
	attempt := uint64(0)
	for name := range broken.Malformed("", "body") {
		t.Run(name, func(t *testing.T) {
			for _, closes := range []bool{false, true} {
				s.setSearch(func(body string) broken.Answer {
					return broken.Answer{Message: broken.Malformed("", body)[name], Closes: closes, Watched: true}
				})
				attempt++
				if got, want := h.run(t, testBatch("q", attempt))[attempt].GetReason(), wire.Reason_REASON_REPLY_MALFORMED; got != want {
					t.Errorf("closes %v: got %v, want %v", closes, got, want)
				}
				eventually(t, "the connection of the malformed reply is closed", func() bool { return s.Watched() == 0 })
			}
		})
	}
	s.setSearch(soundAnswer)
	if got, want := h.run(t, testBatch("q", attempt+1))[attempt+1].GetReason(), wire.Reason_REASON_UNSPECIFIED; got != want {
		t.Errorf("after the faults: got %v, want %v", got, want)
	}
	if got := h.counters.Count(wire.Reason_REASON_REPLY_MALFORMED); got != int64(attempt) {
		t.Errorf("got a count of %d malformed replies, want %d", got, attempt)
	}
}

// Guards against a control byte at any place of a line of a reply that passes.
func TestControlByteInReply(t *testing.T) {
	h, s := newRawSearcher(t)
	const attempt = 1
	var body string
	s.setSearch(func(sound string) broken.Answer {
		body = sound
		return soundAnswer(sound)
	})
	h.run(t, testBatch("q", attempt))
	for _, closes := range []bool{false, true} {
		for name, message := range broken.ControlBytes("Content-Type: a\r\n", body) {
			s.setSearch(func(string) broken.Answer { return broken.Answer{Message: message, Closes: closes} })
			if got, want := h.run(t, testBatch("q", attempt))[attempt].GetReason(), wire.Reason_REASON_REPLY_MALFORMED; got != want {
				t.Errorf("%s, closes %v: got %v, want %v", name, closes, got, want)
			}
		}
	}
}

// Guards against sound replies of unusual form that are rejected.
func TestOddReply(t *testing.T) {
	h, s := newRawSearcher(t)
	attempt := uint64(0)
	for name := range broken.Odd("", "body") {
		t.Run(name, func(t *testing.T) {
			s.setSearch(func(body string) broken.Answer { return broken.Answer{Message: broken.Odd("", body)[name]} })
			attempt++
			// Requests have a protocol of their own, in which a status other than 200 is a failure.
			want := wire.Reason_REASON_UNSPECIFIED
			if name == "unknown status of class 2" {
				want = wire.Reason_REASON_SEARCHER_ERROR
			}
			if got := h.run(t, testBatch("q", attempt))[attempt].GetReason(); got != want {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
}

// Guards against a malformed answer of the health endpoint that is believed.
func TestMalformedHealth(t *testing.T) {
	h, s := newRawSearcher(t)
	u := h.upstreamFor(time.Now(), "archive", "s1")
	s.leaving.Store(true)
	for name := range broken.Malformed("", "body") {
		t.Run(name, func(t *testing.T) {
			for _, closes := range []bool{false, true} {
				u.clearLeaving()
				s.setHealth(func(body string) broken.Answer {
					return broken.Answer{Message: broken.Malformed("", body)[name], Closes: closes, Watched: true}
				})
				h.pollHealth(u)
				if u.isLeaving(time.Now()) {
					t.Errorf("closes %v: got a searcher that leaves, want the answer ignored", closes)
				}
				eventually(t, "the connection of the malformed answer is closed", func() bool { return s.Watched() == 0 })
			}
		})
	}
	s.setHealth(soundAnswer)
	h.pollHealth(u)
	if !u.isLeaving(time.Now()) {
		t.Error("after the faults: got a searcher that stays, want one that leaves")
	}
}

// Guards against bytes after a reply that are taken for the next one: the request would lose its own reply.
func TestExtraBytesAfterReply(t *testing.T) {
	tests := map[string]struct{ later bool }{
		"with the reply": {},
		"later":          {later: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h, s := newRawSearcher(t)
			s.setSearch(func(body string) broken.Answer {
				sound := broken.Sound("200 OK", "", body)
				if test.later {
					return broken.Answer{Message: sound, Extra: sound}
				}
				return broken.Answer{Message: sound + sound}
			})
			for attempt := 1; attempt <= 3; attempt++ {
				if got, want := h.run(t, testBatch("q", uint64(attempt)))[uint64(attempt)].GetReason(), wire.Reason_REASON_UNSPECIFIED; got != want {
					t.Errorf("attempt %d: got %v, want %v", attempt, got, want)
				}
				if test.later && !s.AwaitExtra(attempt) {
					t.Fatalf("attempt %d: the extra bytes were not sent", attempt)
				}
			}
		})
	}
}
