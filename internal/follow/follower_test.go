package follow

import (
	"context"
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

func table(t *testing.T, version uint64) Change {
	t.Helper()
	made, err := route.New(version, nil, nil, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	return Routes{Table: made}
}

func seen(id string, revision uint64) Change {
	return Searcher{Searcher: fleet.NewSearcher(id, "s", id, "z", 1, false, 1, revision)}
}

// Guards against a version that goes back, a change that is missed after a lost history, and an unreadable entry that stops the rest.
func TestFollow(t *testing.T) {
	tests := map[string]struct {
		calls       []call
		wantVersion uint64
		wantIDs     []string
		wantAsked   []string
	}{
		"list, then watch": {
			calls: []call{
				{batch: Batch{Revision: 5, Changes: []Change{table(t, 3), seen("a", 4)}}},
				{batch: Batch{Revision: 7, Changes: []Change{table(t, 6), seen("b", 6), Removed{ID: "a"}}}},
			},
			wantVersion: 6, wantIDs: []string{"b"}, wantAsked: []string{"list", "watch"},
		},
		"older version is ignored": {
			calls: []call{
				{batch: Batch{Revision: 5, Changes: []Change{table(t, 6)}}},
				{batch: Batch{Revision: 7, Changes: []Change{table(t, 3)}}},
			},
			wantVersion: 6, wantIDs: []string{}, wantAsked: []string{"list", "watch"},
		},
		"history lost": {
			calls: []call{
				{batch: Batch{Revision: 5, Changes: []Change{table(t, 3), seen("a", 4)}}},
				{err: ErrHistoryLost},
				{batch: Batch{Revision: 9, Changes: []Change{table(t, 8), seen("c", 9)}}},
			},
			wantVersion: 8, wantIDs: []string{"c"}, wantAsked: []string{"list", "watch", "list"},
		},
		"unreadable entries": {
			calls: []call{
				{batch: Batch{Revision: 5, Changes: []Change{table(t, 3), seen("a", 4), Unreadable{Key: "k", Err: errAway}}}},
				{batch: Batch{Revision: 7, Changes: []Change{Unreadable{Key: "a", ID: "a", Err: errAway}, seen("b", 6)}}},
			},
			wantVersion: 3, wantIDs: []string{"b"}, wantAsked: []string{"list", "watch"},
		},
		"away, then back": {
			calls: []call{
				{err: errAway},
				{batch: Batch{Revision: 5, Changes: []Change{table(t, 3), seen("a", 4)}}},
			},
			wantVersion: 3, wantIDs: []string{"a"}, wantAsked: []string{"list", "list"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			source := &script{calls: test.calls}
			registry := fleet.New()
			now := time.Unix(1_700_000_000, 0)
			f := New(source, registry, func() {}, events.Discard(), func() time.Time { return now })
			for range test.wantAsked {
				f.step(t.Context())
				now = now.Add(10 * time.Second)
			}
			if got := f.Table().Version(); got != test.wantVersion {
				t.Errorf("got version %d, want %d", got, test.wantVersion)
			}
			ids := []string{}
			for _, s := range registry.Snapshot().Service("s") {
				ids = append(ids, s.ID())
			}
			if !slices.Equal(ids, test.wantIDs) {
				t.Errorf("got searchers %v, want %v", ids, test.wantIDs)
			}
			if !slices.Equal(source.asked, test.wantAsked) {
				t.Errorf("got calls %v, want %v", source.asked, test.wantAsked)
			}
		})
	}
}

// Guards against a storm of calls at a store that does not answer, and against a wait that grows beyond use.
func TestBackoff(t *testing.T) {
	f := New(&script{}, fleet.New(), func() {}, events.Discard(), time.Now)
	previous := time.Duration(0)
	for i := range 12 {
		wait := f.step(t.Context())
		if wait < previous || wait > maxBackoff || wait < firstBackoff {
			t.Errorf("call %d: got wait %v after %v, want it to grow from %v to %v", i, wait, previous, firstBackoff, maxBackoff)
		}
		previous = wait
	}
}
