package peer

import (
	"sync"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// replyWriter writes the frames of the reply to one batch. Until it is stopped, it also writes an empty frame every progressInterval.
type replyWriter struct {
	write func(*wire.BatchReply) error

	mu            sync.Mutex
	progressTimer *time.Timer
	stopped       bool
}

func newReplyWriter(write func(*wire.BatchReply) error) *replyWriter {
	w := &replyWriter{write: write}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progressTimer = time.AfterFunc(progressInterval, w.sendProgress)
	return w
}

// send writes a frame.
func (w *replyWriter) send(reply *wire.BatchReply) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.write(reply)
}

func (w *replyWriter) sendProgress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.write(&wire.BatchReply{}) != nil {
		return
	}
	w.progressTimer.Reset(progressInterval)
}

// stop ends the empty frames.
func (w *replyWriter) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.progressTimer.Stop()
}
