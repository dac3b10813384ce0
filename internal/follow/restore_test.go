package follow

import (
	"slices"
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/epoch"
)

// revisionOf returns a revision of an era.
func revisionOf(t *testing.T, era, number uint64) epoch.Revision {
	t.Helper()
	revision, err := epoch.New(era, number)
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

// Guards against entries of a restored source that are taken for old ones, and against a position that stays in the lost history.
func TestFollowRestoredSource(t *testing.T) {
	at := func(era, number uint64) epoch.Revision { return revisionOf(t, era, number) }
	complete := func(revision epoch.Revision, list ...Entry) response {
		return response{batch: Batch{Revision: revision, Complete: true, Entries: list}}
	}
	incremental := func(revision epoch.Revision, list ...Entry) response {
		return response{batch: Batch{Revision: revision, Entries: list}}
	}
	start := complete(at(1, 9), routes(at(1, 9), 6), registration("a", at(1, 4)), registration("b", at(1, 8)))
	restored := complete(at(2, 5), routes(at(2, 2), 3), registration("a", at(2, 4)))
	tests := map[string]struct {
		calls        []response
		wantVersion  uint64
		wantIDs      []string
		wantCalls    []string
		wantPosition epoch.Revision
	}{
		"history lost": {
			calls:       []response{start, {err: ErrHistoryLost}, restored, incremental(at(2, 6), routes(at(2, 6), 9))},
			wantVersion: 9, wantIDs: []string{"a", "b"}, wantCalls: []string{"list", "watch", "list", "watch"}, wantPosition: at(2, 6),
		},
		"watch is answered from a later era": {
			calls:       []response{start, incremental(at(2, 12), registration("c", at(2, 11))), restored},
			wantVersion: 6, wantIDs: []string{"a", "b"}, wantCalls: []string{"list", "watch", "list"}, wantPosition: at(2, 5),
		},
		"late answer from an earlier era": {
			calls:       []response{start, {err: ErrHistoryLost}, restored, incremental(at(1, 12), removal("a", at(1, 12)), routes(at(1, 11), 12))},
			wantVersion: 6, wantIDs: []string{"a", "b"}, wantCalls: []string{"list", "watch", "list", "watch"}, wantPosition: at(2, 5),
		},
		"restored twice": {
			calls:       []response{start, {err: ErrHistoryLost}, restored, {err: ErrHistoryLost}, complete(at(3, 2), routes(at(3, 2), 12))},
			wantVersion: 12, wantIDs: []string{"a", "b"}, wantCalls: []string{"list", "watch", "list", "watch", "list"}, wantPosition: at(3, 2),
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := followScript(t, test.calls, 100*time.Millisecond, test.wantVersion, test.wantIDs, test.wantCalls)
			if got := f.Position(time.Time{}).Revision; got != test.wantPosition {
				t.Errorf("got position %v, want %v", got, test.wantPosition)
			}
		})
	}
}

// Guards against nodes that keep each other in the lost history, by their positions or by their entries.
func TestNodesFollowEachOtherIntoNewEra(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	behind, registry := newFollower(&scriptedSource{}, false, &now)
	ahead, _ := newFollower(&scriptedSource{}, true, &now)
	old := Batch{Revision: revisionOf(t, 1, 9), Complete: true, Entries: []Entry{routes(revisionOf(t, 1, 9), 6), registration("a", revisionOf(t, 1, 4)), registration("b", revisionOf(t, 1, 5))}}
	restored := Batch{Revision: revisionOf(t, 2, 3), Complete: true, Entries: []Entry{registration("a", revisionOf(t, 2, 2))}}
	behind.ReceiveBatch(now, old, Position{Revision: old.Revision})
	ahead.ReceiveBatch(now, old, Position{Revision: old.Revision})
	ahead.ReceiveBatch(now, restored, Position{Revision: restored.Revision})
	ahead.ReceiveBatch(now, Batch{Revision: revisionOf(t, 2, 4), Entries: []Entry{routes(revisionOf(t, 2, 4), 9)}}, Position{Revision: revisionOf(t, 2, 4)})

	if behind.ObservePeer(now, ahead.Position(now)) != true {
		t.Error("a lower number of a later era: got no later entries, want some")
	}
	if ahead.ObservePeer(now, behind.Position(now)) {
		t.Error("a higher number of an earlier era: got later entries, want none")
	}
	behind.ReceiveBatch(now, ahead.EntriesAfter(behind.Position(now).Revision), ahead.Position(now))
	ahead.ReceiveBatch(now, old, Position{Revision: old.Revision})
	for name, f := range map[string]*Follower{"behind": behind, "ahead": ahead} {
		if got, want := f.Position(now).Revision, revisionOf(t, 2, 4); got != want {
			t.Errorf("%s: got position %v, want %v", name, got, want)
		}
		if got := f.Table().Version(); got != 9 {
			t.Errorf("%s: got version %d, want 9", name, got)
		}
	}
	now = now.Add(reregisterTime)
	behind.expireRemovals(now)
	if got, want := searcherIDs(registry), []string{"a"}; !slices.Equal(got, want) {
		t.Errorf("after the time to register again: got searchers %v, want %v", got, want)
	}
}
