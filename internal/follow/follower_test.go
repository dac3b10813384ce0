package follow

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflylanding/fireflylanding/internal/epoch"
	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/fleet"
	"github.com/fireflylanding/fireflylanding/internal/route"
)

var errSourceDown = errors.New("source unavailable")

// response is what a source returns for one call.
type response struct {
	batch Batch
	err   error
}

// scriptedSource is a source that returns prepared responses in order and records the calls.
type scriptedSource struct {
	calls  []response
	called []string
}

func (s *scriptedSource) next(kind string) (Batch, error) {
	s.called = append(s.called, kind)
	if len(s.calls) == 0 {
		return Batch{}, errSourceDown
	}
	c := s.calls[0]
	s.calls = s.calls[1:]
	return c.batch, c.err
}

func (s *scriptedSource) List(context.Context) (Batch, error) { return s.next("list") }

func (s *scriptedSource) Watch(context.Context, epoch.Revision, time.Duration) (Batch, error) {
	return s.next("watch")
}

func (s *scriptedSource) SetAddress(string) {}

// evacuationTestPrefix begins the keys of evacuations in tests.
const evacuationTestPrefix = "evacuate/"

// Decode decodes "routes N" as a version of the routes, "bad" as unreadable, keys of evacuations as such, and anything else as a searcher.
func (s *scriptedSource) Decode(entry Entry) Change {
	if zone, ok := strings.CutPrefix(entry.Key, evacuationTestPrefix); ok {
		if entry.Removed {
			return EvacuationEnded{Zone: zone}
		}
		return Evacuated{Zone: zone}
	}
	var version uint64
	if n, err := fmt.Sscanf(string(entry.Value), "routes %d", &version); n == 1 && err == nil {
		made, err := route.New(version, nil, nil, route.Limits{})
		if err != nil {
			return Unreadable{Key: entry.Key, Err: err}
		}
		return Routes{Table: made}
	}
	switch {
	case entry.Removed:
		return Removed{ID: entry.Key}
	case string(entry.Value) == "bad":
		return Unreadable{Key: entry.Key, ID: entry.Key, Err: errSourceDown}
	default:
		return Searcher{Searcher: fleet.NewSearcher(entry.Key, "s", entry.Key, "z", 1, false, 1, entry.Revision)}
	}
}

func routes(revision epoch.Revision, version uint64) Entry {
	return Entry{Key: "config", Revision: revision, Value: fmt.Appendf(nil, "routes %d", version)}
}

func registration(id string, revision epoch.Revision) Entry {
	return Entry{Key: id, Revision: revision}
}

func removal(id string, revision epoch.Revision) Entry {
	return Entry{Key: id, Revision: revision, Removed: true}
}

func unreadable(id string, revision epoch.Revision) Entry {
	return Entry{Key: id, Revision: revision, Value: []byte("bad")}
}

func newFollower(source Source, reader bool, now *time.Time) (*Follower, *fleet.Registry) {
	registry := fleet.New()
	hooks := Hooks{IsReader: func() bool { return reader }, OnChange: func() {}, OnNewRevision: func() {}}
	settings := Settings{ApplyWithin: 3 * time.Second, Regions: map[string]string{"y": "r", "z": "r"}}
	return New(source, registry, settings, hooks, events.Discard(), func() time.Time { return *now }), registry
}

func searcherIDs(registry *fleet.Registry) []string {
	ids := []string{}
	for _, s := range registry.Snapshot().Service("s") {
		ids = append(ids, s.ID())
	}
	return ids
}

// followScript makes as many calls as wanted, with the interval between them, and checks what the follower of the source has then.
func followScript(t *testing.T, calls []response, interval time.Duration, wantVersion uint64, wantIDs, wantCalls []string) *Follower {
	t.Helper()
	source := &scriptedSource{calls: calls}
	now := time.Unix(1_700_000_000, 0)
	f, registry := newFollower(source, true, &now)
	for range wantCalls {
		f.poll(t.Context())
		now = now.Add(interval)
	}
	if got := f.Table().Version(); got != wantVersion {
		t.Errorf("got version %d, want %d", got, wantVersion)
	}
	if got := searcherIDs(registry); !slices.Equal(got, wantIDs) {
		t.Errorf("got searchers %v, want %v", got, wantIDs)
	}
	if !slices.Equal(source.called, wantCalls) {
		t.Errorf("got calls %v, want %v", source.called, wantCalls)
	}
	return f
}

// Guards against a version of the routes that goes back, a change that is missed after the history was lost, and an unreadable entry that
// stops the others.
func TestFollow(t *testing.T) {
	complete := func(revision epoch.Revision, list ...Entry) response {
		return response{batch: Batch{Revision: revision, Complete: true, Entries: list}}
	}
	incremental := func(revision epoch.Revision, list ...Entry) response {
		return response{batch: Batch{Revision: revision, Entries: list}}
	}
	tests := map[string]struct {
		calls       []response
		wantVersion uint64
		wantIDs     []string
		wantCalls   []string
	}{
		"list, then watch": {
			calls:       []response{complete(5, routes(2, 3), registration("a", 4)), incremental(7, routes(6, 6), registration("b", 6), removal("a", 7))},
			wantVersion: 6, wantIDs: []string{"b"}, wantCalls: []string{"list", "watch"},
		},
		"removed and registered again in one batch": {
			calls:       []response{complete(5, routes(2, 3), registration("a", 4), registration("b", 5)), incremental(8, removal("a", 6), removal("b", 7), registration("a", 8))},
			wantVersion: 3, wantIDs: []string{"a"}, wantCalls: []string{"list", "watch"},
		},
		"older version is ignored": {
			calls:       []response{complete(5, routes(2, 6)), incremental(7, routes(6, 3))},
			wantVersion: 6, wantIDs: []string{}, wantCalls: []string{"list", "watch"},
		},
		"history lost": {
			calls:       []response{complete(5, routes(2, 3), registration("a", 4)), {err: ErrHistoryLost}, complete(9, routes(8, 8), registration("c", 9))},
			wantVersion: 8, wantIDs: []string{"c"}, wantCalls: []string{"list", "watch", "list"},
		},
		"unreadable entries": {
			calls:       []response{complete(5, routes(2, 3), registration("a", 4), unreadable("x", 5)), incremental(7, unreadable("a", 6), registration("b", 6))},
			wantVersion: 3, wantIDs: []string{"b"}, wantCalls: []string{"list", "watch"},
		},
		"unavailable, then back": {
			calls:       []response{{err: errSourceDown}, complete(5, routes(2, 3), registration("a", 4))},
			wantVersion: 3, wantIDs: []string{"a"}, wantCalls: []string{"list", "list"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			followScript(t, test.calls, 10*time.Second, test.wantVersion, test.wantIDs, test.wantCalls)
		})
	}
}

// Guards against calls to the source by nodes that other nodes keep up to date, and against a node that no other node keeps up to date and
// that does not read the source either.
func TestMustRead(t *testing.T) {
	tests := map[string]struct {
		reader    bool
		started   bool
		confirmed time.Duration
		resumed   bool
		after     time.Duration
		want      bool
	}{
		"at the start":              {want: true},
		"reader":                    {reader: true, started: true, want: true},
		"confirmed recently":        {started: true, after: time.Second, want: false},
		"confirmed long ago":        {started: true, after: 3 * time.Second, want: true},
		"after a pause":             {started: true, resumed: true, after: time.Second, want: true},
		"confirmed by another node": {started: true, confirmed: 2 * time.Second, after: 3 * time.Second, want: false},
		"confirmation was stale":    {started: true, confirmed: 200 * time.Millisecond, after: 3 * time.Second, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			f, _ := newFollower(&scriptedSource{}, test.reader, &now)
			if test.started {
				f.ReceiveBatch(now, Batch{Revision: 5, Complete: true, Entries: []Entry{routes(2, 3)}}, Position{Revision: 5})
			}
			if test.confirmed > 0 {
				f.ObservePeer(now.Add(test.confirmed), Position{Revision: 5})
			}
			if test.resumed {
				f.Resumed()
			}
			if got := f.mustRead(now.Add(test.after)); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against nodes whose state differs after they exchanged entries, because batches arrived in another order or more than once, and
// against removed entries that come back.
func TestNodesAgree(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	batches := []Batch{
		{Revision: 4, Complete: true, Entries: []Entry{routes(2, 3), registration("a", 3), registration("b", 4)}},
		{Revision: 6, Entries: []Entry{removal("a", 5), registration("c", 6)}},
		{Revision: 8, Entries: []Entry{routes(7, 9), registration("a", 8)}},
		{Revision: 9, Entries: []Entry{removal("b", 9)}},
	}
	reader, _ := newFollower(&scriptedSource{}, true, &now)
	for _, batch := range batches {
		reader.ReceiveBatch(now, batch, Position{Revision: batch.Revision})
	}
	for after := range epoch.Revision(10) {
		follower, registry := newFollower(&scriptedSource{}, false, &now)
		for _, batch := range batches {
			if batch.Revision <= after {
				follower.ReceiveBatch(now, batch, Position{Revision: batch.Revision})
			}
		}
		known := follower.Position(now).Revision
		for range 2 {
			follower.ReceiveBatch(now, reader.EntriesAfter(known), Position{Revision: 9})
		}
		follower.ReceiveBatch(now, batches[1], Position{Revision: 6})
		if got, want := searcherIDs(registry), []string{"a", "c"}; !slices.Equal(got, want) {
			t.Errorf("from revision %d: got searchers %v, want %v", known, got, want)
		}
		if got := follower.Table().Version(); got != 9 {
			t.Errorf("from revision %d: got version %d, want 9", known, got)
		}
	}
}

// Guards against dropping searchers on the word of a node whose source was unavailable. Such a node holds removals back for a while, and
// the nodes that it informs must do so too.
func TestRemovalHoldIsPropagated(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	f, registry := newFollower(&scriptedSource{}, false, &now)
	f.ReceiveBatch(now, Batch{Revision: 4, Complete: true, Entries: []Entry{routes(2, 3), registration("a", 3)}}, Position{Revision: 4})
	f.ReceiveBatch(now, Batch{Revision: 5, Entries: []Entry{removal("a", 5)}}, Position{Revision: 5, RemovalHold: 2 * time.Second})
	if got, want := searcherIDs(registry), []string{"a"}; !slices.Equal(got, want) {
		t.Errorf("while removals are held: got %v, want %v", got, want)
	}
	now = now.Add(3 * time.Second)
	f.expireRemovals(now)
	if got := searcherIDs(registry); len(got) != 0 {
		t.Errorf("after the hold: got %v, want none", got)
	}
}

// Guards against failed calls that are repeated without growing delays, which overload a source that does not answer, and against delays
// that grow beyond use.
func TestBackoff(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	f, _ := newFollower(&scriptedSource{}, true, &now)
	previous := time.Duration(0)
	for i := range 12 {
		wait := f.poll(t.Context())
		if wait < previous || wait > maxBackoff || wait < firstBackoff {
			t.Errorf("call %d: got wait %v after %v, want it to grow from %v to %v", i, wait, previous, firstBackoff, maxBackoff)
		}
		previous = wait
	}
}

// Guards against a region that is cut off from the source and keeps old routes while other regions know later ones, and against nodes that
// fetch from other regions what their own region provides, since traffic between regions is expensive.
func TestObserveRemotePeer(t *testing.T) {
	later := Position{Revision: 9}
	tests := map[string]struct {
		revision   epoch.Revision
		silence    time.Duration
		sourceDown bool
		want       bool
	}{
		"up to date":                         {revision: 5, silence: time.Second},
		"no news for a long time":            {revision: 5, silence: 2 * time.Second, want: true},
		"has no entries yet":                 {silence: time.Hour},
		"no entries, source unavailable":     {silence: time.Hour, sourceDown: true, want: true},
		"later entries than the remote peer": {revision: 10, silence: time.Hour, sourceDown: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			source := &scriptedSource{}
			f, _ := newFollower(source, true, &now)
			if test.revision > 0 {
				f.ReceiveBatch(now, Batch{Revision: test.revision, Complete: true}, Position{Revision: test.revision})
			}
			now = now.Add(test.silence)
			if test.sourceDown {
				f.poll(t.Context())
			}
			if got := f.ObserveRemotePeer(now, later); got != test.want {
				t.Errorf("needs entries of another region: got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against nodes that read the source without failures, and keep removed searchers because another node cannot reach it.
func TestHealthyReaderIgnoresHoldOfOtherNodes(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	source := &scriptedSource{calls: []response{
		{batch: Batch{Revision: 4, Complete: true, Entries: []Entry{registration("a", 3)}}},
		{batch: Batch{Revision: 5, Entries: []Entry{removal("a", 5)}}},
	}}
	f, registry := newFollower(source, true, &now)
	f.poll(t.Context())
	f.ObservePeer(now, Position{Revision: 4, RemovalHold: 2 * time.Second})
	f.poll(t.Context())
	if got := searcherIDs(registry); len(got) != 0 {
		t.Errorf("got searchers %v, want none", got)
	}
}

// idleSource has nothing new: each watch lasts for the time that it may wait.
type idleSource struct{ scriptedSource }

func (s *idleSource) Watch(ctx context.Context, _ epoch.Revision, wait time.Duration) (Batch, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return Batch{}, nil
}

// Guards against removals that are held beyond their time because a call to the source is under way when it ends.
func TestHoldEndsDuringCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &idleSource{scriptedSource{calls: []response{{batch: Batch{Revision: 4, Complete: true, Entries: []Entry{registration("a", 3)}}}}}}
		registry := fleet.New()
		hooks := Hooks{IsReader: func() bool { return true }, OnChange: func() {}, OnNewRevision: func() {}}
		f := New(source, registry, Settings{ApplyWithin: 3 * time.Second}, hooks, events.Discard(), time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.Run(ctx)
		const hold = 300 * time.Millisecond
		time.Sleep(hold)
		f.ReceiveBatch(time.Now(), Batch{Revision: 5, Entries: []Entry{removal("a", 5)}}, Position{Revision: 5, RemovalHold: hold})
		time.Sleep(hold + idlePollInterval)
		if got := searcherIDs(registry); len(got) != 0 {
			t.Errorf("%v after the hold: got searchers %v, want none", idlePollInterval, got)
		}
	})
}

// Guards against searchers that have left and are used again, because a node learned of them from another node's older or incomplete entries.
func TestRemovedSearcherDoesNotComeBack(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	list := func(f *Follower, revision epoch.Revision, ids ...string) {
		batch := Batch{Revision: revision, Complete: true}
		for _, id := range ids {
			batch.Entries = append(batch.Entries, registration(id, 1))
		}
		f.ReceiveBatch(now, batch, Position{Revision: revision})
	}
	tests := map[string]struct {
		apply func(f, other *Follower)
	}{
		"older entries arrive after a list": {apply: func(f, other *Follower) {
			list(other, 4, "a", "b")
			delayed := other.EntriesAfter(0)
			list(f, 9, "a")
			f.ReceiveBatch(now, delayed, Position{Revision: 4})
		}},
		"removal is in history that the other node lost": {apply: func(f, other *Follower) {
			list(f, 2, "a")
			list(other, 2, "a")
			f.ReceiveBatch(now, Batch{Revision: 4, Entries: []Entry{registration("b", 4)}}, Position{Revision: 4})
			list(other, 9, "a")
			f.ReceiveBatch(now, other.EntriesAfter(4), Position{Revision: 9})
		}},
		"removal of a searcher that the other node never knew": {apply: func(f, other *Follower) {
			list(f, 2, "a")
			list(other, 2, "a")
			f.ReceiveBatch(now, Batch{Revision: 4, Entries: []Entry{registration("b", 4)}}, Position{Revision: 4})
			other.ReceiveBatch(now, Batch{Revision: 9, Entries: []Entry{removal("b", 9)}}, Position{Revision: 9})
			f.ReceiveBatch(now, other.EntriesAfter(4), Position{Revision: 9})
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f, registry := newFollower(&scriptedSource{}, true, &now)
			other, _ := newFollower(&scriptedSource{}, true, &now)
			test.apply(f, other)
			if got, want := searcherIDs(registry), []string{"a"}; !slices.Equal(got, want) {
				t.Errorf("got searchers %v, want %v", got, want)
			}
		})
	}
}

// orderSource records whether routes were visible when a searcher was decoded.
type orderSource struct {
	scriptedSource
	visible func() bool
	early   bool
}

func (s *orderSource) Decode(entry Entry) Change {
	change := s.scriptedSource.Decode(entry)
	if _, ok := change.(Searcher); ok {
		s.early = s.early || s.visible()
	}
	return change
}

// Guards against a node that starts and is rebuilt by another goroutine with the routes but without the searchers of the first batch: it would
// take them for new, and so for cold, when they appear.
func TestRoutesAreVisibleAfterTheSearchersOfTheirBatch(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	source := &orderSource{}
	f, _ := newFollower(source, true, &now)
	source.visible = func() bool { return f.Table() != nil }
	f.applyBatch(now, Batch{Revision: 2, Entries: []Entry{routes(1, 1), registration("a", 2)}}, now, time.Time{})
	if source.early || f.Table() == nil {
		t.Errorf("got routes visible before the searchers %v, afterwards %v, want only afterwards", source.early, f.Table() != nil)
	}
}
