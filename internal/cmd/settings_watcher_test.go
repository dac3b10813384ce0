package cmd

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/tier"
	"github.com/fireflylanding/fireflylanding/platform/stand"
)

// Guards against settings that change while a node starts, after they were read and before they are watched, and never take effect.
func TestSettingsChangedWhileStartingTakeEffect(t *testing.T) {
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
	logger, err := events.New(t.Output(), "info")
	if err != nil {
		t.Fatal(err)
	}
	_, watcher, err := readWatchedSettings(path, logger)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(path, time.Time{}, time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	applied, ended, done := make(chan struct{}, 1), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		watcher.run(nil, func(tier.Settings) error {
			applied <- struct{}{}
			return nil
		}, ended)
	}()
	select {
	case <-applied:
	case <-time.After(2 * reloadInterval):
		t.Errorf("got no reload within %v", 2*reloadInterval)
	}
	close(ended)
	<-done
}
