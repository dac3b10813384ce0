package cmd

import (
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/tier"
	"github.com/fireflylanding/fireflylanding/internal/wire"
	site "github.com/fireflylanding/fireflylanding/platform"
)

// reloadInterval is the interval at which the settings file is checked for changes, since it may change without a signal.
const reloadInterval = 2 * time.Second

// settingsWatcher reloads the settings file of a node on SIGHUP and when it has changed.
type settingsWatcher struct {
	path   string
	logger *events.Logger
	// lastModified is the modification time from before the file was last read, so that no change is missed.
	lastModified time.Time
	// rejection is the text of the error for which the file was rejected last, empty when it was applied. A rejected file is read again at each
	// check, since the cause may be that of the moment, such as a lack of descriptors or a file that is not written completely.
	rejection string
}

// readWatchedSettings reads a settings file, and returns a watcher of its later changes.
func readWatchedSettings(path string, logger *events.Logger) (tier.Settings, *settingsWatcher, error) {
	w := &settingsWatcher{path: path, logger: logger}
	settings, err := w.read()
	return settings, w, err
}

func (w *settingsWatcher) read() (tier.Settings, error) {
	w.lastModified = modificationTime(w.path)
	return site.ReadSettings(w.path)
}

// run applies changed settings until ended is closed. Invalid settings are logged and ignored.
func (w *settingsWatcher) run(hangups <-chan struct{}, apply func(tier.Settings) error, ended <-chan struct{}) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-hangups:
			logSignal(w.logger, syscall.SIGHUP, effectReload)
			w.rejection = ""
		case <-ticker.C:
			if w.rejection == "" && modificationTime(w.path).Equal(w.lastModified) {
				continue
			}
		}
		settings, err := w.read()
		if err == nil {
			err = apply(settings)
		}
		w.logOutcome(err)
	}
}

// logOutcome logs a reload, and each cause of a rejection once.
func (w *settingsWatcher) logOutcome(err error) {
	if err == nil {
		w.rejection = ""
		w.logger.Log(wire.Event_EVENT_SETTINGS_RELOADED)
		return
	}
	if w.rejection != err.Error() {
		w.rejection = err.Error()
		w.logger.Log(wire.Event_EVENT_SETTINGS_REJECTED, zap.Error(err))
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
