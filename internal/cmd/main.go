// Package cmd implements the command line and its subcommands.
package cmd

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/fireflylanding/fireflylanding/internal/sigs"
)

// Exit codes. They are part of the interface for scripts.
const (
	exitOK = iota
	// exitFailure is a failure without a specific exit code.
	exitFailure
	// exitUsage is an invalid command line.
	exitUsage
	// exitSettings is an invalid settings file or list.
	exitSettings
	// exitNotRun is a query that was refused and certainly not run.
	exitNotRun
	// exitUnknown is a query that may or may not have run.
	exitUnknown
	// exitPartial is an answer that does not reflect all shards.
	exitPartial
	// exitCutOff is a shutdown that cut off requests in flight.
	exitCutOff
)

// exitError associates an error with an exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the cause.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// nodeError returns the error for a node that cut requests off, or that ended by itself.
func nodeError(cut int, failure error) error {
	if failure != nil {
		return withCode(exitFailure, failure)
	}
	if cut > 0 {
		return withCode(exitCutOff, errors.Newf("%d requests were cut off", cut))
	}
	return nil
}

func withCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, err: err}
}

// Main runs the command with the given arguments and returns the exit code.
func Main(signals *sigs.Owner, args []string, stdout, stderr io.Writer) int {
	var err error
	if err = root(signals, stdout, stderr).Run(context.Background(), args); err == nil {
		return exitOK
	}
	fmt.Fprintln(stderr, "fireflylanding:", err)
	var coded *exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	return exitFailure
}

// handlesSignals holds the subcommands that shut down when a signal stops them. The others end at once.
var handlesSignals = map[string]bool{"serve": true, "platform": true, "standins": true, "soak": true}

func root(signals *sigs.Owner, stdout, stderr io.Writer) *cli.Command {
	command := &cli.Command{
		Name:      "fireflylanding",
		Usage:     "query tier over many shards",
		Version:   version(),
		Writer:    stdout,
		ErrWriter: stderr,
		Description: `Examples:
   fireflylanding demo
   fireflylanding check examples/local/attica.ini
   fireflylanding serve --config node.ini
   fireflylanding ask --entry 127.0.0.1:8080 --plan nykterida-urgent --collection care-desk "lamp 4711"
   fireflylanding status --admin 127.0.0.1:8082
   fireflylanding capacity --nodes 100 --searchers 900

Exit codes: 0 success, 1 failure, 2 usage, 3 invalid settings, 4 not run, 5 outcome unknown, 6 partial answer, 7 requests cut off.`,
		Commands: []*cli.Command{
			demoCommand(stdout, stderr),
			benchCommand(stdout, stderr),
			serveCommand(signals, stderr),
			platformCommand(signals, stdout),
			explainCommand(stdout),
			whereCommand(stdout),
			soakCommand(signals, stdout),
			checkCommand(stdout),
			askCommand(stdout),
			statusCommand(stdout),
			standinsCommand(signals, stdout),
			capacityCommand(stdout, stderr),
		},
		// Main prints errors and determines the exit code.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Present() {
				return withCode(exitUsage, errors.Newf("unknown command %q", command.Args().First()))
			}
			return cli.ShowRootCommandHelp(command)
		},
		OnUsageError: usageError,
	}
	// The library only calls the handler of the command whose flags are wrong.
	for _, sub := range command.Commands {
		sub.OnUsageError = usageError
		if !handlesSignals[sub.Name] {
			sub.Before = func(ctx context.Context, _ *cli.Command) (context.Context, error) {
				signals.Release()
				return ctx, nil
			}
		}
	}
	return command
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return withCode(exitUsage, err)
}

// version returns the module version, followed by the VCS revision in a build from a checkout.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return info.Main.Version + " " + setting.Value
		}
	}
	return info.Main.Version
}
