package main

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// sourceFiles returns the contents of all non-test Go files by slash-separated path.
func sourceFiles(t *testing.T) map[string]string {
	t.Helper()
	files := make(map[string]string)
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		data, err := os.ReadFile(path)
		files[filepath.ToSlash(path)] = string(data)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// TestSystemWritesNothing guards against code of the system that writes files, starts processes or modifies the platform's store. Only
// developer tools may write files.
func TestSystemWritesNothing(t *testing.T) {
	tests := map[string]struct {
		pattern *regexp.Regexp
		allowed []string
	}{
		// The fault soak is a developer tool that runs the program as separate processes.
		"starts a process": {pattern: regexp.MustCompile(`"os/exec"|os\.StartProcess|syscall\.ForkExec`), allowed: []string{"internal/soak/"}},
		"writes a file": {
			pattern: regexp.MustCompile(`os\.(Create|CreateTemp|WriteFile|OpenFile|Mkdir|MkdirAll|MkdirTemp|Rename|Remove|RemoveAll|Truncate)\(`),
			allowed: []string{"internal/events/gendoc/", "internal/bench/", "internal/cmd/bench.go", "internal/cmd/capacity.go", "internal/cmd/soak.go", "internal/sizing/", "internal/soak/"},
		},
		"stores at the platform": {pattern: regexp.MustCompile(`fasthttp\.MethodPut|MethodPatch|MethodDelete`)},
	}
	files := sourceFiles(t)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for path, text := range files {
				found := test.pattern.FindString(text)
				if found != "" && !hasPrefix(path, test.allowed) {
					t.Errorf("%s: found %s, want none outside %v", path, found, test.allowed)
				}
			}
		})
	}
}

func hasPrefix(path string, prefixes []string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// TestPackageNames guards against package names that violate the naming convention of 4 to 6 letters. The exceptions are main and the
// prescribed internal/cmd.
func TestPackageNames(t *testing.T) {
	exceptions := map[string]bool{"main": true, "cmd": true}
	for path, text := range sourceFiles(t) {
		parsed, err := parser.ParseFile(token.NewFileSet(), path, text, parser.PackageClauseOnly)
		if err != nil {
			t.Fatal(err)
		}
		name := parsed.Name.Name
		if !exceptions[name] && (len(name) < 4 || len(name) > 6) {
			t.Errorf("%s: got package %s, want a name of 4 to 6 letters", path, name)
		}
	}
}

var (
	testName       = regexp.MustCompile("`([a-z/]+)\\.((?:Test|Fuzz|Benchmark)[A-Za-z0-9_]+)`")
	testDefinition = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)[A-Za-z0-9_]+)\(`)
)

// TestNamedTestsExist guards against tables of promises or failures that name a nonexistent test.
func TestNamedTestsExist(t *testing.T) {
	for _, page := range []string{"docs/promises.md", "docs/failures.md"} {
		data, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		named := testName.FindAllStringSubmatch(string(data), -1)
		if len(named) == 0 {
			t.Errorf("%s: found no test names, want some", page)
		}
		for _, match := range named {
			if !testExists(t, match[1], match[2]) {
				t.Errorf("%s: test %s.%s does not exist", page, match[1], match[2])
			}
		}
	}
}

// testExists reports whether a package defines a test. The package is given by its path below the root, internal or pkg.
func testExists(t *testing.T, pkg, name string) bool {
	t.Helper()
	for _, root := range []string{".", "internal", "pkg"} {
		files, err := filepath.Glob(filepath.Join(root, filepath.FromSlash(pkg), "*_test.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, match := range testDefinition.FindAllStringSubmatch(string(data), -1) {
				if match[1] == name {
					return true
				}
			}
		}
	}
	return false
}

// platformNames matches names that are specific to the platform. Only the adapter may use them.
var platformNames = regexp.MustCompile(`X-Request-Id|X-Deadline-Ms|X-Server-Stamp|X-Expect-Instance|X-Not-Executed|X-Instance-Id|X-Shard-Stamps|` +
	`X-Shards-Missing|/v1/(kv-key|kv-range|kv-watch|resolve|ready)\b|op/config|"servers/|latency_goal_ms|max_attempts|min_coverage|top_k|` +
	`warmup_left_ms|node_name|machine_class|internal_ports|config_apply_ms|retry_slack|contact_ms|grace_s|ttl_max_s|as_of|has_more|` +
	`allow_stale|wait_ms|FIREFLYLANDING_SETTINGS`)

// TestPlatformNamesStayInTheAdapter guards against platform names outside the adapter package.
func TestPlatformNamesStayInTheAdapter(t *testing.T) {
	var adapterMatches int
	for path, text := range sourceFiles(t) {
		found := platformNames.FindAllString(text, -1)
		if strings.HasPrefix(path, "platform/") {
			adapterMatches += len(found)
			continue
		}
		if len(found) > 0 {
			t.Errorf("%s: found %q, want none outside platform/", path, found)
		}
	}
	if adapterMatches == 0 {
		t.Error("found no platform name in platform/, want the pattern to match there")
	}
}
