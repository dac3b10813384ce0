package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Guards against pages that differ from the schema. After a change of the schema, run `go run ./internal/events/gendoc`.
func TestPagesAreUpToDate(t *testing.T) {
	for name, want := range pages() {
		t.Run(name, func(t *testing.T) {
			got, err := os.ReadFile(filepath.Join("..", "..", "..", docsDirectory, name))
			if err != nil {
				t.Fatal(err)
			}
			if string(got) != want {
				t.Errorf("docs/%s is out of date: run go run ./internal/events/gendoc", name)
			}
		})
	}
}

// Guards against rows without their number, default or bounds.
func TestPagesContent(t *testing.T) {
	tests := map[string]struct {
		page string
		want string
	}{
		"event with action":     {page: "EVENTS.md", want: "| 107 | error | a listener failed | check the addresses in the settings |\n"},
		"event without action":  {page: "EVENTS.md", want: "| 100 | info | node started | – |\n"},
		"refusal":               {page: "REASONS.md", want: "| 4 | `over_rate` | `not_run` | the plan exceeds its queries per second for the collection |\n"},
		"retry reason":          {page: "REASONS.md", want: "| 60 | `retry_budget` | – | the retry budget is spent |\n"},
		"required key":          {page: "SETTINGS.md", want: "| `id` | text | required | – | name of the VM in the VM list |\n"},
		"bounded duration":      {page: "SETTINGS.md", want: "| `valid` | duration | 30s | 100ms to 10m | time that callers keep an answer |\n"},
		"allowed values":        {page: "SETTINGS.md", want: "| `level` | text | info | debug, info, warn, error | minimum level of logged events |\n"},
		"section of a document": {page: "SETTINGS.md", want: "### `[shard VERSION/N]`\n"},
	}
	all := pages()
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if !strings.Contains(all[test.page], test.want) {
				t.Errorf("%s: got no line %q", test.page, test.want)
			}
		})
	}
}

// Guards against a kind of section that the schema defines and SETTINGS.md omits.
func TestAllDocumentSectionsAreListed(t *testing.T) {
	got := len(documentSections())
	want := wire.File_fireflylanding_v1_documents_proto.Messages().Len()
	if got != want {
		t.Errorf("kinds of section: got %d, want %d", got, want)
	}
}
