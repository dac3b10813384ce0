// Command fireflylanding is a query tier. It fans callers' queries out to the searchers of many shards and returns one answer, which
// states its coverage.
package main

import (
	"os"

	"github.com/fireflylanding/fireflylanding/internal/cmd"
	"github.com/fireflylanding/fireflylanding/internal/sigs"
)

func main() {
	os.Exit(cmd.Main(sigs.New(), os.Args, os.Stdout, os.Stderr))
}
