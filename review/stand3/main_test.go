//go:build review3

package stand3

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// cases are the scripts by the name that run.sh passes in CASE.
var cases = make(map[string]func(w *world))

// TestMain runs one case instead of tests, and exits with its code.
func TestMain(*testing.M) {
	run, ok := cases[os.Getenv("CASE")]
	if !ok {
		fmt.Println("CASE names no case; start the run.sh of a case")
		os.Exit(exitNotRun)
	}
	w := newWorld()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-interrupted:
			w.giveUp("interrupted")
		case <-time.After(118 * time.Second):
			w.giveUp("out of time")
		}
	}()
	run(w)
}
