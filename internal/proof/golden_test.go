package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/fireflylanding/fireflylanding/internal/fakes"
	"github.com/fireflylanding/fireflylanding/internal/local"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/token"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// varyingText matches the text that differs between runs: addresses, and tokens, which contain the issuer's address and incarnation.
var varyingText = regexp.MustCompile(`127\.0\.0\.1:\d+|"(token|freshToken)":\s*"[^"]*"`)

// session records requests and answers as text.
type session struct {
	t    *testing.T
	text bytes.Buffer
}

func (s *session) write(label string, message proto.Message) {
	raw, err := protojson.Marshal(message)
	if err != nil {
		s.t.Fatal(err)
	}
	// protojson deliberately varies its white space between builds.
	var indented bytes.Buffer
	if err := json.Indent(&indented, raw, "", "  "); err != nil {
		s.t.Fatal(err)
	}
	normal := varyingText.ReplaceAllStringFunc(indented.String(), func(found string) string {
		if name, _, ok := bytes.Cut([]byte(found), []byte(":")); ok && found[0] == '"' {
			return string(name) + `: "TOKEN"`
		}
		return "ADDRESS"
	})
	fmt.Fprintf(&s.text, "%s\n%s\n", label, normal)
}

// ask sends a request, records the request and the answer, and returns the answer.
func (s *session) ask(address string, query *wire.Query) *wire.Answer {
	got, err := newCaller(5*time.Second).ask(context.Background(), address, query)
	if err != nil {
		s.t.Fatal(err)
	}
	s.write("POST /v1/query", query)
	s.write(fmt.Sprintf("%d", got.status), got.answer)
	return got.answer
}

// publishUses replaces the list of uses and waits until it is in force at the first node.
func (s *session) publishUses(f *local.Fleet, uses ...plans.Use) {
	s.t.Helper()
	body, err := fakes.UsesDocument(uses)
	if err != nil {
		s.t.Fatal(err)
	}
	revision := f.Searchers().Platform().Set(plans.UsesKey, body)
	ctx, cancel := context.WithTimeout(context.Background(), 13*time.Second)
	defer cancel()
	inForce := func() bool { return f.Node("north-1").Node().View().Lists().UsesRevision() == revision }
	if err := local.Wait(ctx, inForce); err != nil {
		s.t.Fatal(err)
	}
}

// Guards against unintended changes of the responses that callers see.
func TestSessionsMatchGoldenFiles(t *testing.T) {
	tests := map[string]func(s *session, f *local.Fleet, address string){
		"unavailable": func(s *session, f *local.Fleet, address string) {
			s.publishUses(f, plans.NewUse(urgentPlan, lamps, 0, 1), plans.NewUse(urgentPlan, "absent", 1, 1))
			s.ask(address, searchQuery("lamp 4711", time.Second))
			absent := searchQuery("lamp 4711", time.Second)
			absent.SetCollection("absent")
			s.ask(address, absent)
			gone := token.New("127.0.0.1:1", 1, []byte("key")).Issue(1)[0]
			s.ask(address, orderRequest("order 1", gone, time.Second))
		},
		"normal": func(s *session, _ *local.Fleet, address string) {
			s.ask(address, searchQuery("lamp 4711", 2*time.Second))
		},
		"partial": func(s *session, f *local.Fleet, address string) {
			index, err := f.Searchers().Index(lamps)
			if err != nil {
				s.t.Fatal(err)
			}
			for _, id := range index.Snapshots()[0].Replicas(1) {
				f.Searchers().Searcher(id).SetHints(fakes.FalseHints{Healthy: true})
				f.Searchers().Searcher(id).Leave()
			}
			s.ask(address, searchQuery("lamp 4711", 2*time.Second))
		},
		"refusals": func(s *session, _ *local.Fleet, address string) {
			bad := searchQuery("lamp 4711", time.Second)
			bad.SetCollection("")
			s.ask(address, bad)
			unknown := searchQuery("lamp 4711", time.Second)
			unknown.SetPlan("unknown")
			s.ask(address, unknown)
			unlisted := searchQuery("lamp 4711", time.Second)
			unlisted.SetCollection("unlisted")
			s.ask(address, unlisted)
			s.ask(address, orderRequest("order 1", "not-a-token", time.Second))
		},
		"non-idempotent": func(s *session, _ *local.Fleet, address string) {
			fresh := s.ask(address, orderRequest("order 1", "", time.Second)).GetFreshToken()
			s.ask(address, orderRequest("order 1", fresh, time.Second))
			s.ask(address, orderRequest("order 1", fresh, time.Second))
		},
	}
	for name, script := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetOptions{})
			s := &session{t: t}
			script(s, f, f.Node("north-1").VM().Address())
			golden := filepath.Join("testdata", name+".golden")
			if *update {
				if err := os.WriteFile(golden, s.text.Bytes(), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if got := s.text.String(); got != string(want) {
				t.Errorf("got session:\n%s\nwant:\n%s", got, want)
			}
		})
	}
}

// Guards against a node that does not report that it has no contact with any other node, and against a rate of calls above
// the configuration service's limit when all nodes restart at the same time.
func TestAloneAndCallRate(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{nodesPerRegion: 2})
	for _, n := range f.Nodes() {
		id := n.VM().ID()
		f.Kill(id)
	}
	for _, name := range []string{"north", "south", "west"} {
		for i := 1; i <= 2; i++ {
			expectNoError(t, f.Start(fmt.Sprintf("%s-%d", name, i), name, name+"-a"))
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	expectNoError(t, f.WaitReady(ctx))
	if refused := f.Searchers().Platform().Calls().Refused(); refused != 0 {
		t.Errorf("got %d calls refused above the rate limit, want 0", refused)
	}
	var others []string
	for _, n := range f.Nodes() {
		if id := n.VM().ID(); id != "north-1" {
			others = append(others, id)
		}
	}
	f.Network().Partition([]string{"north-1"}, others)
	c := newCaller(time.Second)
	await(t, waitTimeout, "the node to report that it is alone", func() bool {
		entries, err := c.entries(context.Background(), f.Node("north-1").VM().Address())
		return err == nil && entries.GetAlone()
	})
}
