package follow

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/epoch"
	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/route"
)

func evacuation(zone string, revision epoch.Revision) Entry {
	return Entry{Key: evacuationTestPrefix + zone, Revision: revision}
}

// Guards against evacuations that are lost with the path to the source or in an older copy of it, against one that outlives its removal, and
// against a zone that stays out of use although it is unknown.
func TestEvacuation(t *testing.T) {
	at := func(era, number uint64) epoch.Revision { return revisionOf(t, era, number) }
	complete := func(revision epoch.Revision, list ...Entry) response {
		return response{batch: Batch{Revision: revision, Complete: true, Entries: list}}
	}
	incremental := func(revision epoch.Revision, list ...Entry) response {
		return response{batch: Batch{Revision: revision, Entries: list}}
	}
	evacuated := complete(at(1, 9), registration("a", at(1, 4)), evacuation("z", at(1, 8)))
	restored := complete(at(2, 5), registration("a", at(2, 4)))
	lost := response{err: ErrHistoryLost}
	down := response{err: errSourceDown}
	tests := map[string]struct {
		calls []response
		// after is the time that passes after the last call.
		after time.Duration
		want  []string
	}{
		"begun":                          {calls: []response{evacuated}, want: []string{"z"}},
		"begun in a watch":               {calls: []response{complete(at(1, 5), registration("a", at(1, 4))), incremental(at(1, 6), evacuation("z", at(1, 6)))}, want: []string{"z"}},
		"ended":                          {calls: []response{evacuated, incremental(at(1, 10), removal(evacuationTestPrefix+"z", at(1, 10)))}},
		"ended and begun again":          {calls: []response{evacuated, incremental(at(1, 11), removal(evacuationTestPrefix+"z", at(1, 10)), evacuation("z", at(1, 11)))}, want: []string{"z"}},
		"one of two ended":               {calls: []response{evacuated, incremental(at(1, 11), evacuation("y", at(1, 10)), removal(evacuationTestPrefix+"z", at(1, 11)))}, want: []string{"y"}},
		"source down":                    {calls: []response{evacuated, down, down}, after: time.Hour, want: []string{"z"}},
		"ended while the source is down": {calls: []response{evacuated, down, lost, complete(at(1, 12), registration("a", at(1, 4)))}},
		"missing from an older copy":     {calls: []response{evacuated, lost, restored}, after: lapseTime - time.Millisecond, want: []string{"z"}},
		"missing for good":               {calls: []response{evacuated, lost, restored}, after: lapseTime},
		"written again after a restore":  {calls: []response{evacuated, lost, restored, incremental(at(2, 6), evacuation("z", at(2, 6)))}, after: time.Hour, want: []string{"z"}},
		"written again and removed": {calls: []response{evacuated, lost, restored, incremental(at(2, 6), evacuation("z", at(2, 6))),
			incremental(at(2, 7), removal(evacuationTestPrefix+"z", at(2, 7)))}},
		"restored again before it is written": {calls: []response{evacuated, lost, restored, incremental(at(2, 6)), incremental(at(2, 7)), incremental(at(2, 8)),
			lost, complete(at(3, 5), registration("a", at(3, 4)))}, after: lapseTime - time.Millisecond, want: []string{"z"}},
		"unknown zone": {calls: []response{complete(at(1, 5), registration("a", at(1, 3)), evacuation("nowhere", at(1, 4)), evacuation("", at(1, 5)))}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			f, _ := newFollower(&scriptedSource{calls: test.calls}, true, &now)
			var calledAt time.Time
			for range test.calls {
				calledAt = now
				f.poll(t.Context())
				now = now.Add(500 * time.Millisecond)
				f.expireRemovals(now)
			}
			now = calledAt.Add(test.after)
			f.expireRemovals(now)
			if got := f.Evacuated(); !slices.Equal(got, test.want) {
				t.Errorf("got evacuated zones %v, want %v", got, test.want)
			}
			if got, want := len(searcherIDs(f.registry)) == 0, slices.Contains(test.want, "z"); got != want {
				t.Errorf("searchers of the zone out of use: got %v, want %v", got, want)
			}
		})
	}
}

// Guards against a node that starts without a path to the source and uses a zone whose evacuation the other nodes know.
func TestStartingNodeLearnsEvacuations(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	known, _ := newFollower(&scriptedSource{}, true, &now)
	list := Batch{Revision: 9, Complete: true, Entries: []Entry{registration("a", 4), evacuation("z", 8)}}
	known.ReceiveBatch(now, list, Position{Revision: list.Revision})
	started, registry := newFollower(&scriptedSource{}, false, &now)
	started.ReceiveBatch(now, known.EntriesAfter(started.Position(now).Revision), known.Position(now))
	if got, want := started.Evacuated(), []string{"z"}; !slices.Equal(got, want) {
		t.Errorf("got evacuated zones %v, want %v", got, want)
	}
	if got := searcherIDs(registry); len(got) > 0 {
		t.Errorf("got searchers %v, want none", got)
	}
	known.ReceiveBatch(now, Batch{Revision: 10, Entries: []Entry{removal(evacuationTestPrefix+"z", 10)}}, Position{Revision: 10})
	started.ReceiveBatch(now, known.EntriesAfter(started.Position(now).Revision), known.Position(now))
	if got := searcherIDs(registry); len(got) != 1 {
		t.Errorf("after the end: got searchers %v, want one", got)
	}
}

// Guards against a log that fills with the evacuations of an unknown zone, or that does not name it.
func TestUnknownZoneIsLoggedOnce(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	f, _ := newFollower(&scriptedSource{}, true, &now)
	var log bytes.Buffer
	logger, err := events.New(&log, "info")
	if err != nil {
		t.Fatal(err)
	}
	f.logger = logger
	for i := range epoch.Revision(3) {
		f.ReceiveBatch(now, Batch{Revision: i + 1, Entries: []Entry{evacuation("nowhere", i+1)}}, Position{Revision: i + 1})
	}
	if got := strings.Count(log.String(), "nowhere"); got != 1 {
		t.Errorf("got %d lines that name the zone, want 1:\n%s", got, log.String())
	}
}

// Guards against a log that fills with a home region that is no region at each version of the routes, or that does not name it.
func TestUnknownHomeIsLoggedOnce(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	f, _ := newFollower(&scriptedSource{}, true, &now)
	var log bytes.Buffer
	var err error
	if f.logger, err = events.New(&log, "info"); err != nil {
		t.Fatal(err)
	}
	r, err := route.NewRoute("lookup", "h", "/", route.Single{Service: "s"}, route.Policy{Homes: route.NewHomes("r", "atlantis")})
	if err != nil {
		t.Fatal(err)
	}
	for version := range uint64(3) {
		table, err := route.New(version+1, []*route.Route{r}, []route.Service{route.NewService("s", 1)}, route.Limits{})
		if err != nil {
			t.Fatal(err)
		}
		f.installRoutes(table)
	}
	if got := strings.Count(log.String(), "atlantis"); got != 1 {
		t.Errorf("got %d lines that name the region, want 1:\n%s", got, log.String())
	}
}
