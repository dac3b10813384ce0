// Command fireflylanding is a query tier. It fans callers' queries out to the searchers of many shards and returns one answer, which
// states its coverage.
package main

import (
	"os"

	"github.com/fireflylanding/fireflylanding/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args, os.Stdout, os.Stderr))
}
