// Command gendoc generates the reference pages EVENTS.md, REASONS.md and SETTINGS.md in docs from the schema. Run it in the root of
// the repository after a change of the schema.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const docsDirectory = "docs"

func main() {
	for name, text := range pages() {
		if err := os.WriteFile(filepath.Join(docsDirectory, name), []byte(text), 0o644); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}
