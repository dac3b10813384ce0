package events_test

import (
	"bytes"
	"encoding/json"
	"slices"
	"testing"

	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

var levels = []string{"debug", "info", "warn", "error"}

// Guards against an event without a text or with an unknown level, and against an error event without an action.
func TestEveryEventIsDescribed(t *testing.T) {
	for number, name := range wire.Event_name {
		if number == 0 {
			continue
		}
		info := events.Info(wire.Event(number))
		if info.GetText() == "" {
			t.Errorf("%s: got no text", name)
		}
		if !slices.Contains(levels, info.GetLevel()) {
			t.Errorf("%s: got level %q, want one of %v", name, info.GetLevel(), levels)
		}
		if info.GetLevel() == "error" && info.GetAction() == "" {
			t.Errorf("%s: got an error without an action for the operator", name)
		}
	}
}

// Guards against a log line without its number, text, level or fields, and against lines below the configured level.
func TestLog(t *testing.T) {
	tests := map[string]struct {
		level string
		event wire.Event
		want  map[string]any
	}{
		"info":              {level: "info", event: wire.Event_EVENT_NODE_STARTED, want: map[string]any{"level": "info", "msg": "node started", "event": 100.0, "node": "n1", "revision": 4.0}},
		"error":             {level: "error", event: wire.Event_EVENT_LISTENER_FAILED, want: map[string]any{"level": "error", "msg": "a listener failed", "event": 107.0, "node": "n1", "revision": 4.0}},
		"below the level":   {level: "warn", event: wire.Event_EVENT_NODE_STARTED},
		"warn at the level": {level: "warn", event: wire.Event_EVENT_ALONE, want: map[string]any{"level": "warn", "msg": "no other node answers", "event": 306.0, "node": "n1", "revision": 4.0}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			logger, err := events.New(&out, test.level)
			if err != nil {
				t.Fatal(err)
			}
			logger.With(zap.String("node", "n1")).Log(test.event, zap.Int("revision", 4))
			if test.want == nil {
				if out.Len() != 0 {
					t.Errorf("got %s, want no line", out.String())
				}
				return
			}
			var got map[string]any
			if err := json.Unmarshal(out.Bytes(), &got); err != nil {
				t.Fatalf("%v in %q", err, out.String())
			}
			for key, want := range test.want {
				if got[key] != want {
					t.Errorf("%s: got %v, want %v", key, got[key], want)
				}
			}
		})
	}
}

// Guards against a misspelled level that is accepted as another level.
func TestUnknownLevel(t *testing.T) {
	if _, err := events.New(&bytes.Buffer{}, "loud"); err == nil {
		t.Error("got no error, want one")
	}
}

// Guards against a panic in a logger that discards events.
func TestDiscard(t *testing.T) {
	events.Discard().With(zap.String("node", "n1")).Log(wire.Event_EVENT_NODE_STARTED)
}
