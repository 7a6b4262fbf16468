// Package logs carries structured lines to standard output without ever holding
// up the work they tell of. Lines about requests are bounded per second; lines
// that do not fit are counted, and the count is logged.
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferBytes is how much may wait for a reader that is slow or gone: some two
	// seconds of a busy node's lines.
	bufferBytes = 256 << 10
	// gather is how long lines are collected before they are written, so that a
	// busy process makes ten system calls a second for them and not a thousand.
	gather = 100 * time.Millisecond
)

// Writer is an io.Writer that never blocks. What does not fit its buffer while
// the output is not read is dropped whole, line by line. Safe for concurrent use.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	waiting []byte
	closed  bool
	wake    chan struct{}
	done    chan struct{}
	// Dropped counts lines that were dropped.
	Dropped atomic.Int64
	told    int64
}

// NewWriter starts a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes in one line. It always succeeds.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.waiting)+len(line) > bufferBytes {
		w.mu.Unlock()
		w.Dropped.Add(1)
		return len(line), nil
	}
	w.waiting = append(w.waiting, line...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for range w.wake {
		w.mu.Lock()
		closed := w.closed
		w.mu.Unlock()
		if !closed {
			time.Sleep(gather)
		}
		w.mu.Lock()
		batch, w.waiting = w.waiting, batch[:0]
		closed = w.closed
		w.mu.Unlock()
		if dropped := w.Dropped.Load(); dropped > w.told {
			batch = fmt.Appendf(batch, "W \"Log lines dropped: the output was not read\" lines=%d total=%d\n", dropped-w.told, dropped)
			w.told = dropped
		}
		if len(batch) > 0 {
			// Nothing can be told of an output that fails; the lines are lost.
			_, _ = w.out.Write(batch)
		}
		if closed {
			return
		}
	}
}

// Close writes what waits, for at most the given time.
func (w *Writer) Close(atMost time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case <-w.done:
	case <-time.After(atMost):
	}
}
