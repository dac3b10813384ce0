package member

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fireflylanding/fireflylanding/internal/shards"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func listVMs(n int) []shards.VM {
	vms := make([]shards.VM, n)
	for i := range vms {
		vms[i] = shards.NewVM(fmt.Sprintf("vm-%d", i), "r", "z", "", "")
	}
	return vms
}

// newView returns the view of vm-0 with n listed VMs.
func newView(n int) *View {
	v := New(NewNode("vm-0", 1), Settings{})
	v.SetVMs(start, listVMs(n))
	return v
}

// step is one call on the view, after a delay.
type step struct {
	after time.Duration
	call  func(v *View, now time.Time)
}

func contact(id string, incarnation uint64) step {
	return step{call: func(v *View, now time.Time) { v.RecordContact(now, id, incarnation) }}
}

func stopping(id string, incarnation uint64) step {
	return step{call: func(v *View, now time.Time) { v.RecordStopping(now, id, incarnation) }}
}

func request(id string) step {
	return step{call: func(v *View, now time.Time) { v.RecordRequest(now, id) }}
}

func failure(id string) step {
	return step{call: func(v *View, now time.Time) { v.RecordFailure(now, id) }}
}

func suspicion(id string, incarnation uint64) step {
	return step{call: func(v *View, now time.Time) { v.RecordSuspicion(now, id, incarnation) }}
}

func pause() step {
	return step{call: func(v *View, now time.Time) { v.HandlePause(now) }}
}

func wait(d time.Duration) step {
	return step{after: d, call: func(v *View, now time.Time) { v.Snapshot(now) }}
}

// Guards against states that do not follow from the list and the evidence: suspicions of others taken as fact, suspicion without a
// request, late messages of former processes, and evidence from before a pause.
func TestStates(t *testing.T) {
	type state struct{ reachable, leaving, suspectedByOthers bool }
	live := state{reachable: true}
	suspect := state{}
	leaving := state{reachable: true, leaving: true}
	suspectedByOthers := state{reachable: true, suspectedByOthers: true}
	tests := map[string]struct {
		steps []step
		want  state
	}{
		"listed without evidence":               {want: live},
		"silent without a request":              {steps: []step{contact("vm-1", 7), wait(time.Hour)}, want: live},
		"request pending for less than 3 s":     {steps: []step{request("vm-1"), wait(2999 * time.Millisecond)}, want: live},
		"no answer for 3 s":                     {steps: []step{request("vm-1"), wait(3 * time.Second)}, want: suspect},
		"no answer, second request":             {steps: []step{request("vm-1"), wait(2 * time.Second), request("vm-1"), wait(time.Second)}, want: suspect},
		"answer in time":                        {steps: []step{request("vm-1"), wait(time.Second), contact("vm-1", 7), wait(3 * time.Second)}, want: live},
		"failure":                               {steps: []step{contact("vm-1", 7), failure("vm-1")}, want: suspect},
		"contact after a failure":               {steps: []step{failure("vm-1"), wait(time.Second), contact("vm-1", 7)}, want: live},
		"suspicion":                             {steps: []step{suspicion("vm-1", 7)}, want: suspectedByOthers},
		"suspicions never make suspect":         {steps: []step{suspicion("vm-1", 7), wait(time.Hour), suspicion("vm-1", 7)}, want: suspectedByOthers},
		"recent contact overrides a suspicion":  {steps: []step{contact("vm-1", 7), wait(2 * time.Second), suspicion("vm-1", 7)}, want: live},
		"contact ends a suspicion":              {steps: []step{suspicion("vm-1", 7), wait(time.Second), contact("vm-1", 7)}, want: live},
		"suspicion of a former process":         {steps: []step{contact("vm-1", 7), contact("vm-1", 8), wait(time.Minute), suspicion("vm-1", 7)}, want: live},
		"stopping":                              {steps: []step{stopping("vm-1", 7)}, want: leaving},
		"stopping is permanent":                 {steps: []step{stopping("vm-1", 7), contact("vm-1", 7)}, want: leaving},
		"new process after stopping":            {steps: []step{stopping("vm-1", 7), contact("vm-1", 8)}, want: live},
		"late stop message of a former process": {steps: []step{contact("vm-1", 7), contact("vm-1", 8), stopping("vm-1", 7)}, want: live},
		"late contact of a former process":      {steps: []step{contact("vm-1", 7), contact("vm-1", 8), failure("vm-1"), wait(time.Second), contact("vm-1", 7)}, want: suspect},
		"pause ends a failure":                  {steps: []step{failure("vm-1"), wait(time.Minute), pause()}, want: live},
		"pause ends silence":                    {steps: []step{request("vm-1"), wait(time.Minute), pause()}, want: live},
		"pause ends a suspicion":                {steps: []step{suspicion("vm-1", 7), pause()}, want: live},
		"failure after a pause":                 {steps: []step{failure("vm-1"), pause(), wait(time.Second), failure("vm-1")}, want: suspect},
		"silence after a pause":                 {steps: []step{pause(), request("vm-1"), wait(3 * time.Second)}, want: suspect},
		"leaving persists after a pause":        {steps: []step{stopping("vm-1", 7), pause()}, want: leaving},
		"own id is ignored":                     {steps: []step{failure("vm-0"), suspicion("vm-0", 1), stopping("vm-0", 1)}, want: live},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := newView(3)
			now := start
			for _, s := range test.steps {
				now = now.Add(s.after)
				s.call(v, now)
			}
			m := v.Snapshot(now)
			if got := (state{m.Reachable("vm-1"), m.Leaving("vm-1"), m.SuspectedByOthers("vm-1")}); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
			inLive := slices.ContainsFunc(m.Live(), func(vm shards.VM) bool { return vm.ID() == "vm-1" })
			if want := test.want.reachable && !test.want.leaving; inLive != want {
				t.Errorf("in Live: got %v, want %v", inLive, want)
			}
			if !m.Reachable("vm-0") || m.Leaving("vm-0") {
				t.Errorf("this node must be reachable and not leaving")
			}
		})
	}
}

// Guards against directing work to VMs that the list marks as leaving, and against wrong reachability of unlisted nodes.
func TestSetVMs(t *testing.T) {
	v := newView(3)
	vms := listVMs(3)
	vms[1] = vms[1].AsLeaving()
	v.RecordContact(start, "unlisted", 9)
	v.SetVMs(start, vms)
	m := v.Snapshot(start)
	if !m.Leaving("vm-1") || len(m.Live()) != 2 {
		t.Errorf("leaving: got %v, live %d; want true, 2", m.Leaving("vm-1"), len(m.Live()))
	}
	if !m.Reachable("unlisted") {
		t.Errorf("a node that made contact is not reachable because the list lags")
	}
	if m.Reachable("unknown") {
		t.Errorf("a node that is neither listed nor contacted is reachable")
	}
	v.SetVMs(start.Add(2*evidenceRetention), vms)
	if v.Snapshot(start.Add(2 * evidenceRetention)).Reachable("unlisted") {
		t.Errorf("evidence about an unlisted node is kept without limit")
	}
}

// Guards against a node that does not detect its isolation, or reports it right after a pause or when no other node is listed.
func TestAlone(t *testing.T) {
	tests := map[string]struct {
		listed int
		steps  []step
		want   bool
	}{
		"just started":              {listed: 3},
		"no contact for 3 s":        {listed: 3, steps: []step{wait(3 * time.Second)}, want: true},
		"recent contact":            {listed: 3, steps: []step{wait(2 * time.Second), contact("vm-2", 5), wait(2 * time.Second)}},
		"contact while alone":       {listed: 3, steps: []step{wait(time.Minute), contact("vm-2", 5)}},
		"silent again":              {listed: 3, steps: []step{contact("vm-2", 5), wait(3 * time.Second)}, want: true},
		"only node":                 {listed: 1, steps: []step{wait(time.Minute)}},
		"right after a pause":       {listed: 3, steps: []step{contact("vm-2", 5), wait(time.Hour), pause(), wait(2 * time.Second)}},
		"silence after a pause":     {listed: 3, steps: []step{pause(), wait(3 * time.Second)}, want: true},
		"a suspicion is no contact": {listed: 3, steps: []step{wait(time.Minute), suspicion("vm-1", 1)}, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := newView(test.listed)
			now := start
			for _, s := range test.steps {
				now = now.Add(s.after)
				s.call(v, now)
			}
			if got := v.Snapshot(now).Alone(); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against probes that are unbounded or never back off, and against suspicions that are never checked.
func TestDueProbes(t *testing.T) {
	v := New(NewNode("vm-0", 1), Settings{MaxProbes: 2})
	v.SetVMs(start, listVMs(6))
	if got := len(v.DueProbes(start)); got != 0 {
		t.Errorf("got %d probes without suspicion, want 0", got)
	}
	v.RecordSuspicion(start, "vm-1", 1)
	if got := v.DueProbes(start); len(got) != 1 || got[0].ID() != "vm-1" {
		t.Errorf("after a suspicion: got %v, want vm-1", got)
	}
	if got := len(v.DueProbes(start)); got != 0 {
		t.Errorf("got %d probes at once after a probe, want 0", got)
	}
	now := start.Add(3 * time.Second)
	if v.Snapshot(now).Reachable("vm-1") {
		t.Errorf("an unanswered probe leaves vm-1 reachable")
	}
	for _, id := range []string{"vm-2", "vm-3", "vm-4", "vm-5"} {
		v.RecordFailure(start, id)
	}
	seen := make(map[string]bool)
	for range 3 {
		due := v.DueProbes(now)
		if len(due) > 2 {
			t.Fatalf("got %d probes in one call, want at most 2", len(due))
		}
		for _, vm := range due {
			seen[vm.ID()] = true
		}
	}
	if got, want := len(seen), 5; got != want {
		t.Errorf("probed %d nodes, want %d", got, want)
	}
	probes := 0
	for range 60 {
		now = now.Add(time.Second)
		probes += len(v.DueProbes(now))
	}
	if probes < 5*60/8-10 || probes > 5*60/8+10 {
		t.Errorf("got %d probes of 5 silent nodes in 60 s, want about one each 8 s", probes)
	}
}

// Guards against suspicions about unlisted nodes that grow the memory of a node.
func TestSuspicionsAboutUnlistedNodes(t *testing.T) {
	v := newView(2)
	for i := range 1000 {
		v.RecordSuspicion(start, fmt.Sprintf("unlisted-%d", i), 1)
	}
	if got := len(v.peers); got > 1 {
		t.Errorf("got %d peers, want at most the listed one", got)
	}
}

// Guards, for any order of events, against suspicions of others that change reachability, suspects without a request or failure, and
// a snapshot that is older than the evidence.
func TestViewModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newView(4)
		now := start
		type evidence struct {
			failed, stopping bool
			pendingSince     time.Time
			incarnation      uint64
			former           map[uint64]bool
		}
		model := make(map[string]*evidence)
		for i := range 4 {
			model[fmt.Sprintf("vm-%d", i)] = &evidence{former: make(map[uint64]bool)}
		}
		peerIDs := rapid.SampledFrom([]string{"vm-1", "vm-2", "vm-3"})
		contact := func(t *rapid.T, stopping bool) {
			id := peerIDs.Draw(t, "id")
			incarnation := rapid.Uint64Range(1, 4).Draw(t, "incarnation")
			e := model[id]
			if stopping {
				v.RecordStopping(now, id, incarnation)
			} else {
				v.RecordContact(now, id, incarnation)
			}
			if e.former[incarnation] {
				return
			}
			if e.incarnation != incarnation {
				if e.incarnation != 0 {
					e.former[e.incarnation] = true
				}
				e.incarnation, e.stopping = incarnation, false
			}
			e.failed, e.pendingSince = false, time.Time{}
			e.stopping = e.stopping || stopping
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"heard":    func(t *rapid.T) { contact(t, false) },
			"stopping": func(t *rapid.T) { contact(t, true) },
			"failed": func(t *rapid.T) {
				id := peerIDs.Draw(t, "id")
				v.RecordFailure(now, id)
				model[id].failed = true
			},
			"asked": func(t *rapid.T) {
				id := peerIDs.Draw(t, "id")
				v.RecordRequest(now, id)
				if e := model[id]; e.pendingSince.IsZero() {
					e.pendingSince = now
				}
			},
			"rumour": func(t *rapid.T) {
				v.RecordSuspicion(now, peerIDs.Draw(t, "id"), rapid.Uint64Range(1, 4).Draw(t, "incarnation"))
			},
			"due": func(t *rapid.T) {
				for _, vm := range v.DueProbes(now) {
					if e := model[vm.ID()]; e.pendingSince.IsZero() {
						e.pendingSince = now
					}
				}
			},
			"paused": func(t *rapid.T) {
				v.HandlePause(now)
				for _, e := range model {
					e.failed, e.pendingSince = false, time.Time{}
				}
			},
			"": func(t *rapid.T) {
				m := v.Snapshot(now)
				for id, e := range model {
					silent := !e.pendingSince.IsZero() && now.Sub(e.pendingSince) >= defaultSuspectAfter
					if got, want := m.Reachable(id), !e.failed && !silent; got != want {
						t.Fatalf("%s reachable: got %v, want %v", id, got, want)
					}
					if got, want := m.Leaving(id), e.stopping; got != want {
						t.Fatalf("%s leaving: got %v, want %v", id, got, want)
					}
				}
			},
		})
	})
}

// Guards against data races between the request path and the background loops.
func TestConcurrentUse(t *testing.T) {
	v := newView(20)
	var group sync.WaitGroup
	for worker := range 4 {
		group.Go(func() {
			for i := range 500 {
				now := start.Add(time.Duration(i) * 10 * time.Millisecond)
				id := fmt.Sprintf("vm-%d", 1+(i+worker)%19)
				switch worker {
				case 0:
					v.RecordContact(now, id, uint64(i%3+1))
				case 1:
					v.RecordFailure(now, id)
					v.DueProbes(now)
				case 2:
					v.RecordSuspicion(now, id, 1)
					v.RecordRequest(now, id)
				default:
					v.SetVMs(now, listVMs(20))
				}
				if !v.Snapshot(now).Reachable("vm-0") {
					t.Error("this node must be reachable")
				}
			}
		})
	}
	group.Wait()
}

func BenchmarkSnapshotUnchanged(b *testing.B) {
	v := newView(2700)
	for b.Loop() {
		v.Snapshot(start)
	}
}

func BenchmarkSnapshotRebuild(b *testing.B) {
	v := newView(2700)
	for b.Loop() {
		v.current.Store(nil)
		v.Snapshot(start)
	}
}
