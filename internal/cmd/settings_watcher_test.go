package cmd

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/tier"
	"github.com/fireflylanding/fireflylanding/platform/stand"
)

// writeNodeSettings writes the settings of a node to a file and returns its path and contents.
func writeNodeSettings(t *testing.T) (string, []byte) {
	t.Helper()
	config := stand.NodeConfig{
		Node: "front-1", IP: "127.0.0.1", Zone: "z", Zones: map[string]string{"z": "r"}, CallerPort: 1, ReadyPort: 2, DirectoryPort: 3,
		ControlPort: 4, PeerPort: 5, StoreAddress: "127.0.0.1:6",
	}
	data, err := config.SettingsFile()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path, data
}

// newTestWatcher reads a settings file and returns the watcher of its later changes, which logs to output.
func newTestWatcher(t *testing.T, path string, output io.Writer) *settingsWatcher {
	t.Helper()
	logger, err := events.New(output, "info")
	if err != nil {
		t.Fatal(err)
	}
	_, watcher, err := readWatchedSettings(path, logger)
	if err != nil {
		t.Fatal(err)
	}
	return watcher
}

// startTestWatcher runs a watcher until the end of the test. The returned channel receives a value after one or more reloads.
func startTestWatcher(t *testing.T, watcher *settingsWatcher) <-chan struct{} {
	t.Helper()
	applied, ended, done := make(chan struct{}, 1), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		watcher.run(nil, func(tier.Settings) error {
			select {
			case applied <- struct{}{}:
			default:
			}
			return nil
		}, ended)
	}()
	t.Cleanup(func() {
		close(ended)
		<-done
	})
	return applied
}

// Guards against settings that change while a node starts, after they were read and before they are watched, and never take effect.
func TestSettingsChangedWhileStartingTakeEffect(t *testing.T) {
	path, _ := writeNodeSettings(t)
	watcher := newTestWatcher(t, path, t.Output())
	if err := os.Chtimes(path, time.Time{}, time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	applied := startTestWatcher(t, watcher)
	select {
	case <-applied:
	case <-time.After(2 * reloadInterval):
		t.Errorf("got no reload within %v", 2*reloadInterval)
	}
}

// Guards against changed settings that never take effect, since the file could not be read when the change was noticed, as without descriptors.
func TestUnreadableSettingsAreReadAgain(t *testing.T) {
	t.Parallel()
	path, data := writeNodeSettings(t)
	var log nodeOutput
	watcher := newTestWatcher(t, path, &log)
	modified := time.Now().Add(time.Second)
	replace := func(create func() error) {
		t.Helper()
		if err := errors.Join(os.RemoveAll(path), create(), os.Chtimes(path, time.Time{}, modified)); err != nil {
			t.Fatal(err)
		}
	}
	// A directory has a modification time but can't be read as a file.
	replace(func() error { return os.Mkdir(path, 0o700) })
	applied := startTestWatcher(t, watcher)
	awaitSignalled(t, "the change is noticed", func() bool { return strings.Contains(log.String(), "rejected") })
	time.Sleep(2 * reloadInterval)
	if got := strings.Count(log.String(), "rejected"); got != 1 {
		t.Errorf("got %d lines for one unreadable file, want 1", got)
	}
	replace(func() error { return os.WriteFile(path, data, 0o600) })
	select {
	case <-applied:
	case <-time.After(3 * reloadInterval):
		t.Errorf("got no reload within %v", 3*reloadInterval)
	}
}
