package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter is a writer whose Write blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

// Guards against log calls that block while standard output is not read, which would stall the
// requests that they report on. Lines that do not fit must be dropped as a whole, and a line must
// report their number once the output is read again.
func TestWriterNeverBlocksAndReportsDroppedLines(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := NewWriter(out)
	line := []byte(strings.Repeat("x", 999) + "\n")
	start := time.Now()
	for range 3 * bufferBytes / len(line) {
		n, err := w.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	assert.Assert(t, time.Since(start) < time.Second, "Write waited for the output")
	assert.Assert(t, w.Dropped.Load() > 0)
	close(out.release)
	w.Close(5 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	text := out.written.String()
	assert.Assert(t, strings.Contains(text, "lines dropped"), "no line reports the dropped lines")
	for _, l := range strings.Split(strings.TrimSpace(text), "\n") {
		assert.Assert(t, len(l) == 999 || strings.Contains(l, "dropped"), "a partial line was written")
	}
}

func TestWriterDeliversInOrder(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	close(out.release)
	w := NewWriter(out)
	for _, l := range []string{"a\n", "b\n", "c\n"} {
		_, _ = w.Write([]byte(l))
	}
	w.Close(5 * time.Second)
	assert.Equal(t, out.written.String(), "a\nb\nc\n")
}

// Guards against a flood of lines about successful requests that suppresses the lines about failed
// ones.
func TestFailuresHaveSeparateLimit(t *testing.T) {
	l := &limiter{routine: rateLimit{perSecond: 5}, failures: rateLimit{perSecond: 3}, start: time.Now()}
	passed := func(failure bool, n int) int {
		count := 0
		for range n {
			if ok, _ := l.allow(failure); ok {
				count++
			}
		}
		return count
	}
	assert.Equal(t, passed(false, 100), 5)
	assert.Equal(t, passed(true, 100), 3)
	assert.Equal(t, l.skipped.Load(), int64(192))
	l.routine.second = -1
	ok, skipped := l.allow(false)
	assert.Assert(t, ok)
	assert.Equal(t, skipped, int64(97), "95 were reported with the first failure")
}
