package follow

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/fleet"
	"github.com/fireflylanding/fireflylanding/internal/route"
)

var errAway = errors.New("away")

// call is what a source answers to one call.
type call struct {
	batch Batch
	err   error
}

// script is a source that answers calls in order and records them.
type script struct {
	calls []call
	asked []string
}

func (s *script) next(kind string) (Batch, error) {
	s.asked = append(s.asked, kind)
	if len(s.calls) == 0 {
		return Batch{}, errAway
	}
	c := s.calls[0]
	s.calls = s.calls[1:]
	return c.batch, c.err
}

func (s *script) List(context.Context) (Batch, error) { return s.next("list") }

func (s *script) Watch(context.Context, uint64, time.Duration) (Batch, error) { return s.next("watch") }

func (s *script) SetAddress(string) {}

// Decode reads "routes N" as a version of the routes, "bad" as unreadable, and anything else as a searcher.
func (s *script) Decode(entry Entry) Change {
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
		return Unreadable{Key: entry.Key, ID: entry.Key, Err: errAway}
	default:
		return Searcher{Searcher: fleet.NewSearcher(entry.Key, "s", entry.Key, "z", 1, false, 1, entry.Revision)}
	}
}

func routes(revision, version uint64) Entry {
	return Entry{Key: "config", Revision: revision, Value: fmt.Appendf(nil, "routes %d", version)}
}

func seen(id string, revision uint64) Entry { return Entry{Key: id, Revision: revision} }

func gone(id string, revision uint64) Entry { return Entry{Key: id, Revision: revision, Removed: true} }

func bad(id string, revision uint64) Entry {
	return Entry{Key: id, Revision: revision, Value: []byte("bad")}
}

func newFollower(source Source, reader bool, now *time.Time) (*Follower, *fleet.Registry) {
	registry := fleet.New()
	hooks := Hooks{IsReader: func() bool { return reader }, OnChange: func() {}, OnNewRevision: func() {}}
	settings := Settings{ApplyWithin: 3 * time.Second}
	return New(source, registry, settings, hooks, events.Discard(), func() time.Time { return *now }), registry
}

func idsOf(registry *fleet.Registry) []string {
	ids := []string{}
	for _, s := range registry.Snapshot().Service("s") {
		ids = append(ids, s.ID())
	}
	return ids
}

// Guards against a version that goes back, a change that is missed after a lost history, and an unreadable entry that stops the rest.
func TestFollow(t *testing.T) {
	all := func(revision uint64, list ...Entry) call {
		return call{batch: Batch{Revision: revision, Complete: true, Entries: list}}
	}
	some := func(revision uint64, list ...Entry) call {
		return call{batch: Batch{Revision: revision, Entries: list}}
	}
	tests := map[string]struct {
		calls       []call
		wantVersion uint64
		wantIDs     []string
		wantAsked   []string
	}{
		"list, then watch": {
			calls:       []call{all(5, routes(2, 3), seen("a", 4)), some(7, routes(6, 6), seen("b", 6), gone("a", 7))},
			wantVersion: 6, wantIDs: []string{"b"}, wantAsked: []string{"list", "watch"},
		},
		"removed and registered again in one batch": {
			calls:       []call{all(5, routes(2, 3), seen("a", 4), seen("b", 5)), some(8, gone("a", 6), gone("b", 7), seen("a", 8))},
			wantVersion: 3, wantIDs: []string{"a"}, wantAsked: []string{"list", "watch"},
		},
		"older version is ignored": {
			calls:       []call{all(5, routes(2, 6)), some(7, routes(6, 3))},
			wantVersion: 6, wantIDs: []string{}, wantAsked: []string{"list", "watch"},
		},
		"history lost": {
			calls:       []call{all(5, routes(2, 3), seen("a", 4)), {err: ErrHistoryLost}, all(9, routes(8, 8), seen("c", 9))},
			wantVersion: 8, wantIDs: []string{"c"}, wantAsked: []string{"list", "watch", "list"},
		},
		"unreadable entries": {
			calls:       []call{all(5, routes(2, 3), seen("a", 4), bad("x", 5)), some(7, bad("a", 6), seen("b", 6))},
			wantVersion: 3, wantIDs: []string{"b"}, wantAsked: []string{"list", "watch"},
		},
		"away, then back": {
			calls:       []call{{err: errAway}, all(5, routes(2, 3), seen("a", 4))},
			wantVersion: 3, wantIDs: []string{"a"}, wantAsked: []string{"list", "list"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			source := &script{calls: test.calls}
			now := time.Unix(1_700_000_000, 0)
			f, registry := newFollower(source, true, &now)
			for range test.wantAsked {
				f.step(t.Context())
				now = now.Add(10 * time.Second)
			}
			if got := f.Table().Version(); got != test.wantVersion {
				t.Errorf("got version %d, want %d", got, test.wantVersion)
			}
			if ids := idsOf(registry); !slices.Equal(ids, test.wantIDs) {
				t.Errorf("got searchers %v, want %v", ids, test.wantIDs)
			}
			if !slices.Equal(source.asked, test.wantAsked) {
				t.Errorf("got calls %v, want %v", source.asked, test.wantAsked)
			}
		})
	}
}

// Guards against calls of nodes that others keep up to date, and against a node that nobody does and that does not read either.
func TestMustRead(t *testing.T) {
	tests := map[string]struct {
		reader    bool
		started   bool
		confirmed time.Duration
		resumed   bool
		after     time.Duration
		want      bool
	}{
		"at the start":           {want: true},
		"reader":                 {reader: true, started: true, want: true},
		"told lately":            {started: true, after: time.Second, want: false},
		"told long ago":          {started: true, after: 3 * time.Second, want: true},
		"after a pause":          {started: true, resumed: true, after: time.Second, want: true},
		"confirmed by another":   {started: true, confirmed: 2 * time.Second, after: 3 * time.Second, want: false},
		"confirmation was stale": {started: true, confirmed: 200 * time.Millisecond, after: 3 * time.Second, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			f, _ := newFollower(&script{}, test.reader, &now)
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

// Guards against nodes that differ after they told each other, whatever the order and repetition, and against entries that come back.
func TestNodesAgree(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	batches := []Batch{
		{Revision: 4, Complete: true, Entries: []Entry{routes(2, 3), seen("a", 3), seen("b", 4)}},
		{Revision: 6, Entries: []Entry{gone("a", 5), seen("c", 6)}},
		{Revision: 8, Entries: []Entry{routes(7, 9), seen("a", 8)}},
		{Revision: 9, Entries: []Entry{gone("b", 9)}},
	}
	reader, _ := newFollower(&script{}, true, &now)
	for _, batch := range batches {
		reader.ReceiveBatch(now, batch, Position{Revision: batch.Revision})
	}
	for after := range uint64(10) {
		follower, registry := newFollower(&script{}, false, &now)
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
		if got, want := idsOf(registry), []string{"a", "c"}; !slices.Equal(got, want) {
			t.Errorf("from revision %d: got searchers %v, want %v", known, got, want)
		}
		if got := follower.Table().Version(); got != 9 {
			t.Errorf("from revision %d: got version %d, want 9", known, got)
		}
	}
}

// Guards against dropping searchers on the word of a node whose store was away.
func TestDoubtIsPassedOn(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	f, registry := newFollower(&script{}, false, &now)
	f.ReceiveBatch(now, Batch{Revision: 4, Complete: true, Entries: []Entry{routes(2, 3), seen("a", 3)}}, Position{Revision: 4})
	f.ReceiveBatch(now, Batch{Revision: 5, Entries: []Entry{gone("a", 5)}}, Position{Revision: 5, RemovalHold: 2 * time.Second})
	if got, want := idsOf(registry), []string{"a"}; !slices.Equal(got, want) {
		t.Errorf("while in doubt: got %v, want %v", got, want)
	}
	now = now.Add(3 * time.Second)
	f.expire()
	if got := idsOf(registry); len(got) != 0 {
		t.Errorf("later: got %v, want none", got)
	}
}

// Guards against a storm of calls at a store that does not answer, and against a wait that grows beyond use.
func TestBackoff(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	f, _ := newFollower(&script{}, true, &now)
	previous := time.Duration(0)
	for i := range 12 {
		wait := f.step(t.Context())
		if wait < previous || wait > maxBackoff || wait < firstBackoff {
			t.Errorf("call %d: got wait %v after %v, want it to grow from %v to %v", i, wait, previous, firstBackoff, maxBackoff)
		}
		previous = wait
	}
}

// Guards against a region that is cut off from the source and keeps old routes while other regions know later ones, and against nodes that
// fetch from other regions what their own tells them.
func TestHearFar(t *testing.T) {
	later := Position{Revision: 9}
	tests := map[string]struct {
		revision uint64
		silence  time.Duration
		away     bool
		want     bool
	}{
		"up to date":                   {revision: 5, silence: time.Second},
		"nothing heard for long":       {revision: 5, silence: 2 * time.Second, want: true},
		"knows nothing yet":            {silence: time.Hour},
		"knows nothing, source away":   {silence: time.Hour, away: true, want: true},
		"knows later entries than far": {revision: 10, silence: time.Hour, away: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			source := &script{}
			f, _ := newFollower(source, true, &now)
			if test.revision > 0 {
				f.ReceiveBatch(now, Batch{Revision: test.revision, Complete: true}, Position{Revision: test.revision})
			}
			now = now.Add(test.silence)
			if test.away {
				f.step(t.Context())
			}
			if got := f.ObserveRemotePeer(now, later); got != test.want {
				t.Errorf("needs entries of another region: got %v, want %v", got, test.want)
			}
		})
	}
}
