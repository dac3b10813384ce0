package cmd

import (
	"os"
	"slices"
	"syscall"
	"testing"
)

// Guards against a repeated SIGTERM that aborts the graceful shutdown and cuts off requests, and against an interrupt that no longer does.
func TestOnlySecondInterruptAborts(t *testing.T) {
	tests := map[string]struct {
		signals []os.Signal
		want    []signalEffect
	}{
		"terminated three times":      {signals: []os.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM}, want: []signalEffect{effectStop, effectNone, effectNone}},
		"interrupted three times":     {signals: []os.Signal{syscall.SIGINT, syscall.SIGINT, syscall.SIGINT}, want: []signalEffect{effectStop, effectAbort, effectNone}},
		"terminated, interrupted":     {signals: []os.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGINT}, want: []signalEffect{effectStop, effectNone, effectAbort}},
		"interrupted, terminated":     {signals: []os.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGTERM}, want: []signalEffect{effectStop, effectNone, effectNone}},
		"interrupted around a second": {signals: []os.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGINT}, want: []signalEffect{effectStop, effectNone, effectAbort}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := stopper{abortable: true}
			var got []signalEffect
			for _, received := range test.signals {
				got = append(got, s.handle(received))
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
