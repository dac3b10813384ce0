package cmd

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/sigs"
	"github.com/fireflylanding/fireflylanding/internal/tier"
	site "github.com/fireflylanding/fireflylanding/platform"
	"github.com/sourcegraph/conc"
	"github.com/urfave/cli/v3"
)

func platformCommand(signals *sigs.Owner, stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run one node on the platform until SIGTERM; SIGHUP reloads the settings",
		Description: `The settings file is given by --settings, or else by the environment variable of the platform.

Example:
   fireflylanding platform --settings local.json`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` in the platform's format"},
			&cli.StringFlag{Name: "log-level", Usage: "minimum level of log lines", Value: "info"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			path := command.String("settings")
			if path == "" {
				var ok bool
				if path, ok = site.SettingsPath(); !ok {
					return withCode(exitUsage, errors.New("no settings file is given"))
				}
			}
			return runPlatformNode(ctx, signals, path, command.String("log-level"), stdout)
		},
	}
}

// runPlatformNode runs a node on the platform until SIGTERM or SIGINT.
func runPlatformNode(ctx context.Context, signals *sigs.Owner, path, level string, stdout io.Writer) error {
	var logger *events.BoundedLogger
	var err error
	if logger, err = events.NewBoundedLogger(stdout, level); err != nil {
		return withCode(exitUsage, err)
	}
	defer logger.Close()
	var settings tier.Settings
	var watcher *settingsWatcher
	if settings, watcher, err = readWatchedSettings(path, logger.Logger); err != nil {
		return withCode(exitSettings, err)
	}
	store := site.NewStore(settings.StoreAddress)
	var t *tier.Tier
	t, err = tier.New(settings, tier.Adapter{Source: store, Codec: site.Codec{}, Dial: tier.Dial, ListenPeers: tier.ListenPeers, Directory: site.DirectoryHandler, Checks: site.ReadyHandler}, logger.Logger, time.Now)
	if err != nil {
		return withCode(exitSettings, err)
	}
	stop, stopped := context.WithCancel(ctx)
	defer stopped()
	ended := make(chan struct{})
	var tasks conc.WaitGroup
	// The platform kills a node at the end of its grace, so that nothing has to abort it.
	tasks.Go(func() { stopOnSignals(signals, stopped, nil, ended, logger.Logger) })
	tasks.Go(func() { watcher.run(signals.Hangups(), t.Apply, ended) })
	defer tasks.Wait()
	defer close(ended)
	return nodeError(t.Run(stop))
}
