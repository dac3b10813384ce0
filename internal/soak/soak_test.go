package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// buildTimeout bounds the build of the program, soakTimeout the soak of one seed.
const (
	buildTimeout = 5 * time.Minute
	soakTimeout  = 2 * time.Minute
	// maxShown bounds the violations that a failure lists.
	maxShown = 10
)

// regressions holds the seeds of soaks that once violated a promise, by cause, and one of a soak that did not.
var regressions = map[string]uint64{
	"short run":                       20261204,
	"two soaks at the same addresses": 106,
	"a node killed twice in a round was started twice": 137,
}

// Guards against promises that are violated while faults are injected from outside the processes.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "fireflylanding")
	ctx, cancel := context.WithTimeout(t.Context(), buildTimeout)
	defer cancel()
	if output, err := exec.CommandContext(ctx, "go", "build", "-o", binary, "github.com/fireflylanding/fireflylanding").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	for name, seed := range regressions {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), soakTimeout)
			defer cancel()
			report, err := Run(ctx, Settings{Binary: binary, Seed: seed, Rounds: 1, Nodes: 4, Shards: 3, Callers: 6, Directory: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range report.Violations[:min(len(report.Violations), maxShown)] {
				t.Errorf("got violation %v under faults %v, want none", v, report.Faults)
			}
			if report.Requests == 0 {
				t.Error("got no requests, want some")
			}
		})
	}
}
