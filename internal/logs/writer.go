// Package logs writes structured log lines to standard output without blocking the code that logs
// them. Lines about requests are limited per second; lines over the limit are counted, and the
// count is logged.
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferBytes limits the lines that are buffered while the output is read slowly or not at all.
	// The buffer holds about two seconds of log lines of a busy node.
	bufferBytes = 256 << 10
	// batchInterval is the time for which lines are collected before they are written together, so
	// that a busy process makes ten write calls per second instead of a thousand.
	batchInterval = 100 * time.Millisecond
)

// Writer is an io.Writer that buffers log lines and writes them to an output in the background, so
// that Write never blocks. If the output is not read and the buffer is full, it drops whole lines.
// It is safe for concurrent use.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	closed  bool
	wake    chan struct{}
	done    chan struct{}
	// Dropped is the number of dropped lines.
	Dropped  atomic.Int64
	reported int64
}

// NewWriter returns a Writer to out and starts its goroutine, which Close stops.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one line, or drops it if the buffer is full. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.pending)+len(line) > bufferBytes {
		w.mu.Unlock()
		w.Dropped.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
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
			time.Sleep(batchInterval)
		}
		w.mu.Lock()
		batch, w.pending = w.pending, batch[:0]
		closed = w.closed
		w.mu.Unlock()
		if dropped := w.Dropped.Load(); dropped > w.reported {
			batch = fmt.Appendf(batch, "W \"Log lines dropped: the output was not read\" lines=%d total=%d\n", dropped-w.reported, dropped)
			w.reported = dropped
		}
		if len(batch) > 0 {
			// There is no other place to report a failing output; the lines are lost.
			_, _ = w.out.Write(batch)
		}
		if closed {
			return
		}
	}
}

// Close writes the buffered lines and stops the writer. It waits at most for the given time, so
// that an output that is not read does not block the exit.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
