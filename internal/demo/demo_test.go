package demo

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "rewrite the golden file")

// address matches the addresses, which differ between runs, since the operating system assigns the ports.
var address = regexp.MustCompile(`127\.0\.0\.1:\d+`)

// Guards against a system that does not serve queries from end to end, and against unintended changes of the directory's
// response, the merge, the snapshot or the coverage.
func TestSessionMatchesGoldenFile(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	var out bytes.Buffer
	if err := Run(ctx, &out, Settings{Queries: 60}); err != nil {
		t.Fatal(err)
	}
	session, table, ok := strings.Cut(out.String(), "     rank")
	if !ok {
		t.Fatalf("got a report without a table:\n%s", out.String())
	}
	got := address.ReplaceAllString(session, "ADDRESS")
	golden := filepath.Join("testdata", "session.golden")
	if *update {
		if err := os.WriteFile(golden, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("got session:\n%s\nwant:\n%s", got, want)
	}
	for _, rank := range []string{"urgent", "routine", "bulk"} {
		if !strings.Contains(table, rank) {
			t.Errorf("got a table without rank %s:\n%s", rank, table)
		}
	}
}
