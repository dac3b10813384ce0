package cmd

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/tier"
	"github.com/fireflylanding/fireflylanding/internal/wire"
	site "github.com/fireflylanding/fireflylanding/platform"
)

// reloadInterval is how often the settings file is looked at; it may change without a signal.
const reloadInterval = 2 * time.Second

func platformCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run one node on the users' platform until SIGTERM; SIGHUP reads the settings again",
		Description: `The settings file is named by the platform's environment variable, or by --settings.

Example:
   fireflylanding platform --settings local.json`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` in the platform's format"},
			&cli.StringFlag{Name: "log-level", Usage: "least level of log lines", Value: "info"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			path := command.String("settings")
			if path == "" {
				var ok bool
				if path, ok = site.SettingsPath(); !ok {
					return withCode(exitUsage, errors.New("no settings file is named"))
				}
			}
			return runTier(ctx, path, command.String("log-level"), stdout)
		},
	}
}

// runTier runs a node on the platform until SIGTERM.
func runTier(ctx context.Context, path, level string, stdout io.Writer) error {
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
	t, err = tier.New(settings, tier.Adapter{Source: store, Codec: site.Codec{}, Directory: site.Directory, Checks: site.Ready}, logger.Logger, time.Now)
	if err != nil {
		return withCode(exitSettings, err)
	}
	stop, stopped := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stopped()
	var tasks conc.WaitGroup
	tasks.Go(func() { reload(stop, path, t, logger.Logger) })
	defer tasks.Wait()
	if cut := t.Run(stop); cut > 0 {
		return withCode(exitCut, errors.Newf("%d requests were cut off", cut))
	}
	return nil
}

// reload reads the settings again on SIGHUP and when the file changed, until ctx ends. Unusable settings change nothing.
func reload(ctx context.Context, path string, t *tier.Tier, logger *events.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	known := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if modified(path).Equal(known) {
				continue
			}
		}
		known = modified(path)
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

// modified returns the time of a file's last change, or the zero time while it cannot be looked at.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
