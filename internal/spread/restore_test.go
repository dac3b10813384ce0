package spread

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/epoch"
)

// Guards against changes that are taken for old ones after the service came back from an older copy, and against documents that revert to the
// copy before operators have written them again.
func TestChangesAfterRestoredService(t *testing.T) {
	withCluster(t, 8, func(t *testing.T, c *testCluster) {
		var inForce uint64
		for i := range 5 {
			inForce = c.platform.put("plans", fmt.Sprintf("[p]\nat = %d\n", i))
		}
		c.waitRevision(propagationLimit, "plans", inForce)
		c.platform.restore("plans", 3)
		time.Sleep(rewriteTime / 2)
		for _, n := range c.running() {
			if got := n.engine.store.Get("plans").Revision(); got != inForce {
				t.Errorf("%s: got revision %v before operators wrote again, want %v", n.id, epoch.Revision(got), epoch.Revision(inForce))
			}
		}
		c.waitRevision(propagationLimit, "plans", c.platform.put("plans", "[p]\nat = 4\n"))
		c.waitRevision(propagationLimit, "plans", c.platform.put("plans", "[p]\nat = 5\n"))
	})
}

// Guards against a copy that is never taken although nobody writes again, and against waiting for a document that was written again.
func TestAcceptRestored(t *testing.T) {
	at := func(era, number uint64) uint64 {
		revision, err := epoch.New(era, number)
		if err != nil {
			t.Fatal(err)
		}
		return uint64(revision)
	}
	start := time.Unix(1_700_000_000, 0)
	tests := map[string]struct {
		offered []*Document
		after   time.Duration
		want    uint64
	}{
		"older copy":                    {offered: []*Document{doc(at(1, 5), "a", "old")}, want: at(0, 9)},
		"older copy that stays":         {offered: []*Document{doc(at(1, 5), "a", "old"), doc(at(1, 5), "a", "old")}, after: rewriteTime, want: at(1, 5)},
		"copy of what is in force":      {offered: []*Document{doc(at(1, 9), "a", "new")}, want: at(1, 9)},
		"older copy, then written":      {offered: []*Document{doc(at(1, 5), "a", "old"), doc(at(1, 6), "a", "newer")}, want: at(1, 6)},
		"older copy, then another copy": {offered: []*Document{doc(at(1, 5), "a", "old"), doc(at(2, 6), "a", "old too")}, want: at(0, 9)},
		"late value of the former era":  {offered: []*Document{doc(at(1, 9), "a", "new"), doc(at(0, 12), "a", "lost")}, want: at(1, 9)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewStore(func(string, uint64, map[string]string) error { return nil })
			s.Accept(start, doc(at(0, 9), "a", "new"))
			now := start
			for _, d := range test.offered {
				s.Accept(now, d)
				now = now.Add(test.after)
			}
			if got := s.Get(test.offered[0].Key()).Revision(); got != test.want {
				t.Errorf("got revision %v, want %v", epoch.Revision(got), epoch.Revision(test.want))
			}
		})
	}
}

// Guards against a revision that was refused before a restore and is refused again for another document.
func TestRefusedRevisionIsGivenOutAgain(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	s := NewStore(rejectInvalidBody)
	s.Accept(start, doc(4, "a", "new"))
	s.RejectValue(start, doc(4, "a", "new").Key(), 5, errConnectionRefused)
	again, err := epoch.New(1, 5)
	if err != nil {
		t.Fatal(err)
	}
	s.Accept(start, doc(uint64(again), "a", "valid"))
	s.Accept(start.Add(rewriteTime), doc(uint64(again), "a", "valid"))
	if got := s.Get(doc(4, "a", "new").Key()).Revision(); got != uint64(again) {
		t.Errorf("got revision %v, want %v", epoch.Revision(got), again)
	}
}
