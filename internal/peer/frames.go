package peer

import (
	"sync"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// frames writes the answer of one batch, and an empty frame when progressInterval passes, until it ends.
type frames struct {
	write func(*wire.BatchReply) error

	mu    sync.Mutex
	timer *time.Timer
	ended bool
}

func newFrames(write func(*wire.BatchReply) error) *frames {
	f := &frames{write: write}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timer = time.AfterFunc(progressInterval, f.progress)
	return f
}

// send writes a frame.
func (f *frames) send(reply *wire.BatchReply) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.write(reply)
}

func (f *frames) progress() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended || f.write(&wire.BatchReply{}) != nil {
		return
	}
	f.timer.Reset(progressInterval)
}

// end stops the empty frames.
func (f *frames) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = true
	f.timer.Stop()
}
