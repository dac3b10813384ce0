package cmd

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/fakes"
	"github.com/fireflylanding/fireflylanding/internal/local"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/sigs"
)

// run runs the command with the arguments and returns the exit code, standard output and standard error.
func run(args ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	code := Main(sigs.New(), append([]string{"fireflylanding"}, args...), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// Guards against wrong exit codes, and against faults without file, section and key.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	const node = "[node]\nid = n\nregion = r\navailability_zone = a\nregions = r\ncaller_address = 127.0.0.1:0\npeer_address = 127.0.0.1:0\n" +
		"admin_address = 127.0.0.1:0\n[platform]\naddress = 127.0.0.1:1\n[peers]\ndevelopment_keys = true\n"
	good := write("good.ini", node)
	unknown := write("unknown.ini", node+"[limits]\nmax_hit = 3\n")
	outside := write("outside.ini", node+"[limits]\nmax_hits = 0\n")
	list := write("plans.ini", "[p]\ncustomer = c\nrank = highest\n")
	tests := map[string]struct {
		args       []string
		want       int
		wantStdout string
		wantStderr string
	}{
		"help names examples":          {args: []string{"--help"}, want: exitOK, wantStdout: "Examples:"},
		"version":                      {args: []string{"--version"}, want: exitOK, wantStdout: "fireflylanding version"},
		"check, good":                  {args: []string{"check", good}, want: exitOK, wantStdout: good + ": ok"},
		"check, no file":               {args: []string{"check"}, want: exitUsage, wantStderr: "at least one file"},
		"check, missing file":          {args: []string{"check", filepath.Join(dir, "none.ini")}, want: exitSettings, wantStderr: "none.ini"},
		"check, unknown key":           {args: []string{"check", good, unknown}, want: exitSettings, wantStdout: good + ": ok", wantStderr: "unknown.ini: [limits] max_hit:"},
		"check, bad value":             {args: []string{"check", outside}, want: exitSettings, wantStderr: "outside.ini: [limits] max_hits:"},
		"check, bad list":              {args: []string{"check", "--list", "plans", list}, want: exitSettings, wantStderr: "[p] rank:"},
		"check, bad platform settings": {args: []string{"check", "--platform", "settings", list}, want: exitSettings, wantStderr: "settings"},
		"check, bad platform routes":   {args: []string{"check", "--platform", "routes", list}, want: exitSettings, wantStderr: "configuration"},
		"check, unknown platform file": {args: []string{"check", "--platform", "keys", list}, want: exitUsage, wantStderr: "--platform must be"},
		"explain without an id":        {args: []string{"explain"}, want: exitUsage, wantStderr: "id of a request"},
		"explain, unknown request":     {args: []string{"explain", "none", list}, want: exitFailure, wantStderr: "no log line mentions"},
		"check, unknown list":          {args: []string{"check", "--list", "vms", list}, want: exitUsage, wantStderr: "--list must be"},
		"unknown flag":                 {args: []string{"check", "--none"}, want: exitUsage, wantStderr: "none"},
		"unknown command":              {args: []string{"serv"}, want: exitUsage, wantStderr: "serv"},
		"serve, no file":               {args: []string{"serve", "--config", filepath.Join(dir, "none.ini")}, want: exitSettings, wantStderr: "none.ini"},
		"serve, without flag":          {args: []string{"serve"}, want: exitUsage, wantStderr: "config"},
		"ask, no query":                {args: []string{"ask", "--entry", "127.0.0.1:1", "--plan", "p", "--collection", "c"}, want: exitUsage, wantStderr: "exactly one query"},
		"status, no node":              {args: []string{"status", "--admin", "127.0.0.1:1"}, want: exitFailure, wantStderr: "read status"},
	}
	for _, name := range []string{"demo", "serve", "check", "ask", "status"} {
		tests["help of "+name] = struct {
			args       []string
			want       int
			wantStdout string
			wantStderr string
		}{args: []string{name, "--help"}, want: exitOK, wantStdout: "fireflylanding " + name + " "}
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			code, stdout, stderr := run(test.args...)
			if code != test.want {
				t.Errorf("got exit code %d, want %d", code, test.want)
			}
			if !strings.Contains(stdout, test.wantStdout) || !strings.Contains(stderr, test.wantStderr) {
				t.Errorf("got output %q and errors %q, want %q and %q", stdout, stderr, test.wantStdout, test.wantStderr)
			}
		})
	}
}

// Guards against incompatibilities between the client, the nodes and the administration API, and against wrong exit codes of answers.
func TestAskSmallFleet(t *testing.T) {
	plan := plans.NewPlan("p", "c", plans.Urgent, 1, plans.Coverage{})
	fleet, err := fakes.StartFleet(fakes.NewFleetSettings(fakes.NewRegion("r", "a", "b")).
		WithCollections(fakes.NewCollectionSettings("archive", 2, 1)).
		WithPlans(plan).WithUses(plans.NewUse("p", "archive", 1000, 100)))
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	nodes := local.New(fleet, local.Options{})
	defer nodes.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := nodes.StartPerRegion(ctx, 2); err != nil {
		t.Fatal(err)
	}
	ask := func(more ...string) []string {
		args := []string{"ask", "--deadline", "5s", "--entry", nodes.Addresses()[0], "--collection", "archive"}
		return append(args, more...)
	}
	tests := map[string]struct {
		args []string
		want int
		text string
	}{
		"whole answer":   {ask("--plan", "p", "lamp"), exitOK, "2 of 2 shards reflected"},
		"non-idempotent": {ask("--plan", "p", "--once", "order", "lamp"), exitOK, "1 of 1 shards reflected"},
		"refused":        {ask("--plan", "none", "lamp"), exitNotRun, "the plan is not in the list of plans"},
		"status":         {[]string{"status", "--admin", nodes.Nodes()[0].AdminAddress()}, exitOK, `"ready"`},
		"metrics":        {[]string{"status", "--metrics", "--admin", nodes.Nodes()[0].AdminAddress()}, exitOK, "entry.subqueries"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			code, stdout, stderr := run(test.args...)
			if code != test.want || !strings.Contains(stdout+stderr, test.text) {
				t.Errorf("got %d, %s%s; want %d and %q", code, stdout, stderr, test.want, fmt.Sprint(test.text))
			}
		})
	}
}
