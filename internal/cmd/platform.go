package cmd

import (
	"context"
	"io"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/sigs"
	"github.com/fireflylanding/fireflylanding/internal/tier"
	"github.com/fireflylanding/fireflylanding/internal/wire"
	site "github.com/fireflylanding/fireflylanding/platform"
)

// reloadInterval is the interval at which the settings file is checked for changes, since it may change without a signal.
const reloadInterval = 2 * time.Second

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
	if settings, err = site.ReadSettings(path); err != nil {
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
	tasks.Go(func() { watchSettings(stop, signals.Hangups(), path, t, logger.Logger) })
	defer tasks.Wait()
	defer close(ended)
	if cut := t.Run(stop); cut > 0 {
		return withCode(exitCutOff, errors.Newf("%d requests were cut off", cut))
	}
	return nil
}

// watchSettings reloads the settings on SIGHUP and when the file has changed, until ctx ends. Invalid settings are logged and ignored.
func watchSettings(ctx context.Context, hangups <-chan struct{}, path string, t *tier.Tier, logger *events.Logger) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	lastModified := modificationTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			logSignal(logger, syscall.SIGHUP, effectReload)
		case <-ticker.C:
			if modificationTime(path).Equal(lastModified) {
				continue
			}
		}
		lastModified = modificationTime(path)
		settings, err := site.ReadSettings(path)
		if err == nil {
			err = t.Apply(settings)
		}
		if err != nil {
			logger.Log(wire.Event_EVENT_SETTINGS_REJECTED, zap.Error(err))
			continue
		}
		logger.Log(wire.Event_EVENT_SETTINGS_RELOADED)
	}
}

// modificationTime returns the modification time of a file, or the zero time if it cannot be read.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
