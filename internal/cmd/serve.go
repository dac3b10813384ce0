package cmd

import (
	"context"
	"io"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/urfave/cli/v3"

	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/node"
	"github.com/fireflylanding/fireflylanding/internal/sigs"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

func serveCommand(signals *sigs.Owner, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one node until SIGTERM or SIGINT; a second SIGINT aborts the graceful shutdown",
		Description: `Example:
   fireflylanding serve --config node.ini`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings `FILE`", Required: true},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			var settings *wire.Settings
			var err error
			if settings, err = loadSettings(command.String("config")); err != nil {
				return err
			}
			return serve(ctx, signals, settings, stderr)
		},
	}
}

// serve runs a node. The first SIGTERM or SIGINT starts the graceful shutdown and the second SIGINT aborts it.
func serve(ctx context.Context, signals *sigs.Owner, settings *wire.Settings, stderr io.Writer) error {
	var logger *events.Logger
	var err error
	if logger, err = events.New(stderr, settings.GetLog().GetLevel()); err != nil {
		return withCode(exitSettings, err)
	}
	var listeners node.Listeners
	if listeners, err = node.Listen(settings); err != nil {
		return err
	}
	var n *node.Node
	if n, err = node.New(settings, listeners, logger, time.Now); err != nil {
		return err
	}
	stop, stopped := context.WithCancel(ctx)
	abort, aborted := context.WithCancel(ctx)
	defer stopped()
	defer aborted()
	ended := make(chan struct{})
	var tasks conc.WaitGroup
	tasks.Go(func() { stopOnSignals(signals, stopped, aborted, ended, logger) })
	defer tasks.Wait()
	defer close(ended)
	return nodeError(n.Run(stop, abort))
}
