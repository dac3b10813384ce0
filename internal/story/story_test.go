package story

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// lastRequest returns the request ID of the last line of a log that has one.
func lastRequest(t *testing.T, log []byte) string {
	t.Helper()
	lines, err := readLines(bytes.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Request != "" {
			return lines[i].Request
		}
	}
	t.Fatal("got no line of a request")
	return ""
}

// Guards against a report on a failed request that omits the reason or the context events of its node.
func TestExplain(t *testing.T) {
	logs, err := filepath.Glob("testdata/*.log")
	if err != nil || len(logs) < 3 {
		t.Fatalf("got logs %v, error %v, want at least 3", logs, err)
	}
	for _, path := range logs {
		t.Run(filepath.Base(path), func(t *testing.T) {
			log, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			var out strings.Builder
			invalid := strings.NewReader("not JSON\n12:00:01 front-9 {\"broken\n")
			if err := Explain(&out, lastRequest(t, log), invalid, bytes.NewReader(log)); err != nil {
				t.Fatal(err)
			}
			golden := strings.TrimSuffix(path, ".log") + ".golden"
			if *update {
				if err := os.WriteFile(golden, []byte(out.String()), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if got := out.String(); got != string(want) {
				t.Errorf("got\n%s\nwant\n%s", got, want)
			}
		})
	}
}

// Guards against a report on another request than the one asked for.
func TestExplainUnknown(t *testing.T) {
	var out strings.Builder
	if err := Explain(&out, "none", strings.NewReader(`{"request":"other"}`)); !errors.Is(err, ErrRequestNotFound) {
		t.Errorf("got error %v, want %v", err, ErrRequestNotFound)
	}
}

// Guards against an explanation that leaves out the end of a quarantine after many trials.
func TestCrashesBeforeHoldsTheLatest(t *testing.T) {
	lines := make([]logLine, 3*maxCrashLines)
	for i := range lines {
		lines[i] = logLine{Fingerprint: "f", Event: i}
	}
	got := crashesBefore(lines, logLine{Fingerprint: "f"})
	if first, last := got[0].Event, got[len(got)-1].Event; len(got) != maxCrashLines || first != 0 || last != len(lines)-1 {
		t.Errorf("got %d lines from %d to %d, want %d from 0 to %d", len(got), first, last, maxCrashLines, len(lines)-1)
	}
}
